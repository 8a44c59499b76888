package placer

import (
	"slices"
	"time"

	"lentilrock.example/internal/container/clamper"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/mitigator"
	"lentilrock.example/internal/fleet/monitor"
	"lentilrock.example/internal/fleet/selector"
	"lentilrock.example/internal/fleet/tasker"
)

const (
	// moveScore is the speed score of a worker from which on its runs may be moved: that of half the usual speed.
	moveScore = 9.0
)

// placeCopies starts speculative copies of stragglers, and of tasks on unresponsive workers, if
// the step allows copies and capacity is left after all other tasks were placed.
func (p *Placer) placeCopies() {
	for _, s := range tasker.SpeculativeSteps(p.Jobs, p.Now) {
		candidates := p.candidates(s)
		for _, t := range s.KeptTasks() {
			isUnresponsive, isSlow := p.isWorthCopying(t)
			if !isUnresponsive && !isSlow || !p.round.mayStart(s, 1) {
				continue
			}
			w, ticket := p.selector.Best(t, candidates, selector.Plan{}, p.Now)
			if w == nil {
				break
			}
			if !isUnresponsive && p.Estimator.IsLearned(s.Job.Queue.Name) && !p.budget.Take(p.Now, p.round.runs) {
				continue
			}
			p.Options.Count("copies")
			p.Report("Starting a speculative copy of a task: its run is slow or its worker is unresponsive.", "task", t.Ref().String(), "slow", t.Run.Worker, "worker", w.Info.ID)
			p.start(t, w, ticket, t.NextRun(p.Options.Epoch))
		}
	}
}

// isWorthCopying reports whether a second run of a task is likely to end before the first, as its worker is
// unresponsive or the run is slow.
func (p *Placer) isWorthCopying(t *tasker.Task) (isUnresponsive, isSlow bool) {
	if t.Done || t.Run == nil || mitigator.ActiveRuns(t) >= tasker.MaxRuns {
		return false, false
	}
	w, found := p.Workers[t.Run.Worker]
	if found && w.IsUnresponsive(p.Now) {
		return true, false
	}
	c := p.caseOf(t.Run, w)
	c.MayCopy = true
	return false, mitigator.Decide(c) == mitigator.Copy
}

// caseOf returns what is known of a run. The worker may be nil.
func (p *Placer) caseOf(r *tasker.Run, w *monitor.Worker) mitigator.Case {
	spec, queue := r.Task.Step.Spec, r.Job.Queue.Name
	mean, spread := spec.Estimate, time.Duration(0)
	if p.Estimator.IsLearned(queue) {
		mean, spread = p.Estimator.Expected(queue, spec.Image, spec.Estimate)
		if w != nil && spec.DataRack != "" && w.Info.Rack != spec.DataRack {
			mean, spread = clamper.Scale(mean, p.Options.RemoteFactor), clamper.Scale(spread, p.Options.RemoteFactor)
		}
	}
	if own := time.Duration(r.Task.Step.Durations); own > 0 {
		mean = own
	}
	rate, isMeasured := r.Progress.Rate()
	return mitigator.Case{
		Elapsed: p.Now.Sub(r.SentAt), Done: r.Done, Rate: rate, IsMeasured: isMeasured, Mean: mean, Spread: spread,
		Speed: p.Estimator.Speed(r.Worker), Checkpoints: spec.Checkpoints,
	}
}

// moveStragglers stops runs at slow workers whose tasks end sooner elsewhere, if capacity is left after all other tasks
// were placed.
func (p *Placer) moveStragglers() {
	var others []*monitor.Worker
	for _, w := range p.Ordered {
		if w.SpeedScore < moveScore {
			continue
		}
		if others == nil {
			others = slices.DeleteFunc(slices.Clone(p.Ordered), func(o *monitor.Worker) bool { return o.SpeedScore > 0 })
		}
		for _, r := range mitigator.Movable(w, p.caseOf) {
			// Without the run its task starts only if the workspace is within its limit with the run, which may have been lowered.
			if !p.round.limits.MayStart(r.Job.Spec.Workspace, describer.Resources{}, 0) {
				continue
			}
			target := p.selector.MoveTarget(r.Task, others, p.Now)
			if target == nil {
				continue
			}
			if !p.budget.Take(p.Now, p.round.runs) {
				return
			}
			p.reserveMove(r, target)
			p.Options.Count("moves")
			p.Report("A run is stopped, so that its task starts elsewhere: its worker is slow.", "task", r.Ref.String(), "run", r.Number, "worker", w.Info.ID,
				"to", target.Info.ID, "speed", p.Estimator.Speed(w.Info.ID), "done", r.Done)
			p.reconciler.Stop(r)
		}
	}
}

// reserveMove reserves room on a worker for the task of a run that is about to be stopped, until the task can have started there.
func (p *Placer) reserveMove(r *tasker.Run, target *monitor.Worker) {
	t, charge := r.Task, r.Task.Step.Spec.Charge()
	t.Moves++
	t.MovedFrom, t.MovedUntil = r.Worker, p.Now.Add(reservationTime)
	t.Step.Keep()
	if target.Reserved.Step == t.Step && p.Now.Before(target.Reserved.Until) {
		charge = charge.Plus(target.Reserved.Charge)
	}
	target.Reserved = monitor.Reservation{Step: t.Step, Charge: charge, Until: t.MovedUntil}
}
