package placer

import (
	"time"

	"lentilrock.example/internal/container/clamper"
	"lentilrock.example/internal/fleet/bookkeeper"
	"lentilrock.example/internal/fleet/monitor"
	"lentilrock.example/internal/fleet/preempter"
	"lentilrock.example/internal/fleet/selector"
	"lentilrock.example/internal/fleet/tasker"
)

// reservationTime is longer than an advice request and the start that follows it.
const reservationTime = 2500 * time.Millisecond

// reserve reserves capacity for a long-running task that could not be placed. Without the
// reservation, other tasks would take the capacity that becomes free before the advice arrives.
// Batch runs that are in the way are evicted.
func (p *Placer) reserve(t *tasker.Task) {
	s := t.Step
	if t.UnplacedSince.IsZero() {
		t.UnplacedSince = p.Now
		t.Keep()
		return
	}
	if selector.HasReservation(s, p.Ordered, p.Now) {
		return
	}
	w, victims := selector.PlanReservation(s, p.Ordered, p.Now.Sub(t.UnplacedSince), p.Now)
	if w == nil {
		return
	}
	w.Reserved = monitor.Reservation{Step: s, Charge: s.Spec.Charge(), Until: p.Now.Add(reservationTime)}
	for _, r := range victims {
		p.Report("Evicting a run to free capacity for a long-running step.", "task", r.Ref.String(), "run", r.Number, "worker", w.Info.ID, "for", s.Ref().String())
		p.reconciler.Stop(r)
	}
}

// releaseRoom gives up the room that is reserved for steps that no longer wait and of which no run moves, or that the limit of
// their workspace holds back.
func (p *Placer) releaseRoom(held bookkeeper.Held) {
	for _, w := range p.Ordered {
		s := w.Reserved.Step
		if s == nil || s.Spec.LongRunning {
			continue
		}
		name := s.Job.Spec.Workspace
		isHeld := held.MakesWay[name] || !p.round.limits.MayStart(name, s.Spec.Need, 1)
		if isHeld || s.Job.IsOver() || s.WaitingTasks(p.Now) == 0 && !selector.HasMovingRun(s, p.Now) {
			w.Reserved = monitor.Reservation{}
		}
	}
}

const (
	// maxPreempting bounds the steps of a round that may preempt.
	maxPreempting = 16
	// preemptLogPause is the time between two log lines on preemption.
	preemptLogPause = time.Second
)

// preempt stops batch runs for a quick step of which no more tasks could be placed, if that pays. The room that becomes
// free is reserved for the step.
func (p *Placer) preempt(s *tasker.Step) {
	if !preempter.MayPreempt(s) {
		return
	}
	tasks := p.round.startable(s, s.WaitingTasks(p.Now))
	if tasks == 0 {
		return
	}
	service := s.Job.Queue.Service
	wait := clamper.Add(p.round.quickWait[service], p.round.flows[service].Fill(s.Spec, tasks))
	p.round.quickWait[service] = wait
	if p.round.preempting >= maxPreempting || p.preempter.IsExhausted() || !preempter.IsWorthwhile(preempter.Slack(s.Job, p.Now), wait) {
		return
	}
	p.round.preempting++
	p.round.claim(s, tasks)
	var workers []*monitor.Worker
	for _, w := range p.Ordered {
		if selector.CanReserve(s, w, p.Now) && (s.Advice.IsEligible(w.Info.ID) || !s.Job.Queue.NeedsAdvice()) {
			workers = append(workers, w)
		}
	}
	for _, c := range p.preempter.Select(s, tasks, workers, p.Now) {
		s.Keep()
		c.Worker.Reserved = monitor.Reservation{Step: s, Charge: c.Charge, Until: p.Now.Add(reservationTime)}
		for _, r := range c.Victims {
			p.Options.Count("runs_preempted")
			p.preempted++
			p.reconciler.Stop(r)
		}
	}
	if p.preempted > 0 && p.Now.Sub(p.preemptedAt) >= preemptLogPause {
		p.Report("Batch runs with checkpoints are stopped for quick steps.", "runs", p.preempted, "for", s.Ref().String())
		p.preempted, p.preemptedAt = 0, p.Now
	}
}
