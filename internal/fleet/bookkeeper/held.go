package bookkeeper

import (
	"cmp"
	"slices"
	"time"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/limiter"
	"lentilrock.example/internal/fleet/monitor"
	"lentilrock.example/internal/fleet/selector"
	"lentilrock.example/internal/fleet/tasker"
)

const (
	// evictionPause is the least time between two evictions for a step of which no task has started since. A worker that
	// looks able to take it may still refuse it, and each eviction costs the batch runs their work.
	evictionPause = 30 * time.Second
	// maxHold is how long room is held for such a step after an eviction. It covers a stop, the eviction of runs on the
	// worker, a request for advice and the start.
	maxHold = 10 * time.Second
)

// Held is what limits hold back in a round.
type Held struct {
	// Steps counts the steps that wait for the limit, by workspace.
	Steps map[string]int
	// Impossible is a step that can never start within the limit; nil if there is none.
	Impossible *tasker.Step
	// MakesWay has the workspaces whose other steps wait for room that runs make for a long-running one.
	MakesWay map[string]bool
	// Unadvised are long-running steps for which runs make way once advice says which workers are eligible.
	Unadvised []*tasker.Step
}

// hold is the room within a limit that was made for a step.
type hold struct {
	// since is when runs were evicted, or when a task of the step has started after that.
	since time.Time
	// waiting is the number of tasks of the step that waited then.
	waiting int
}

// WithinLimits returns the steps of which a task, or the gang, may start within the limit of its workspace. The others are
// left out before the steps of a round are selected, so that they take the turn of no one. Runs of the workspace
// make way for its long-running steps; its other steps wait meanwhile, as they would take the room that becomes free. At most
// maxStarts tasks of a step will be started in the round, and none of a step that mayPlace refuses.
func (b *Bookkeeper) WithinLimits(steps []*tasker.Step, l *limiter.Limiter, maxStarts int, mayPlace func(*tasker.Step) bool) ([]*tasker.Step, Held) {
	var held Held
	if l == nil {
		return steps, held
	}
	makesWay, isHeld := make(map[string]bool), b.heldWorkspaces(mayPlace)
	held.Steps, held.MakesWay = make(map[string]int), makesWay
	steps = slices.DeleteFunc(steps, func(s *tasker.Step) bool {
		name, need := s.Job.Spec.Workspace, limiter.NeedAtOnce(s.Spec)
		switch {
		case l.MayStart(name, need, 1):
			return (makesWay[name] || isHeld[name]) && !s.Spec.LongRunning
		case !need.Within(l.Limit(name)):
			held.Impossible = s
			return true
		case s.Spec.LongRunning && !s.Spec.Gang && !makesWay[name] && mayPlace(s):
			if s.Job.Queue.NeedsAdvice() && !b.hasEligibleWorker(s) {
				held.Unadvised = append(held.Unadvised, s)
				break
			}
			makesWay[name] = b.makeWay(s, l, maxStarts)
		}
		held.Steps[name]++
		return true
	})
	return steps, held
}

// heldWorkspaces returns the workspaces with room that is held for steps that wait, and ends the holds of the others.
func (b *Bookkeeper) heldWorkspaces(mayPlace func(*tasker.Step) bool) map[string]bool {
	names := make(map[string]bool)
	for ref, h := range b.holds {
		j, found := b.Jobs[ref.Job]
		if !found || j.IsOver() {
			delete(b.holds, ref)
			continue
		}
		s := j.Step(ref.Occurrence, ref.Step)
		waiting := s.WaitingTasks(b.Now)
		if waiting < h.waiting {
			h.since = b.Now
		}
		h.waiting = waiting
		if waiting == 0 || b.Now.Sub(h.since) >= evictionPause {
			delete(b.holds, ref)
			continue
		}
		if _, isPlaceable := b.blockers(s); isPlaceable && b.Now.Sub(h.since) < maxHold && mayPlace(s) {
			names[j.Spec.Workspace] = true
		}
	}
	return names
}

// hasEligibleWorker reports whether a worker that accepts tasks of a step is known to be eligible.
func (b *Bookkeeper) hasEligibleWorker(s *tasker.Step) bool {
	return slices.ContainsFunc(b.Ordered, func(w *monitor.Worker) bool {
		return s.Advice.IsEligible(w.Info.ID) && selector.CanReserve(s, w, b.Now)
	})
}

// blockers returns the fewest runs of the step's workspace that have to end on a worker for a task of the step to have room
// there, and reports whether there is such a worker. Runs that are being stopped, and those that the placer evicts to free
// capacity, count as free.
func (b *Bookkeeper) blockers(s *tasker.Step) ([]*tasker.Run, bool) {
	var fewest []*tasker.Run
	isFound, need := false, s.Spec.Charge()
	for _, w := range b.Ordered {
		if !selector.CanReserve(s, w, b.Now) || s.Job.Queue.NeedsAdvice() && !s.Advice.IsEligible(w.Info.ID) {
			continue
		}
		free := w.FreeCapacityFor(s, b.Now)
		var own []*tasker.Run
		for _, r := range w.Runs {
			switch {
			case r.Stopping:
				free = free.Plus(r.Charge)
			case isVictim(r, s):
				own = append(own, r)
			case selector.CanEvict(r, s):
				free = free.Plus(r.Charge)
			}
		}
		slices.SortFunc(own, compareVictims)
		count := 0
		for ; count < len(own) && !need.Fits(free); count++ {
			free = free.Plus(own[count].Charge)
		}
		if need.Fits(free) && (!isFound || count < len(fewest)) {
			fewest, isFound = own[:count], true
		}
	}
	return fewest, isFound
}

// isVictim reports whether a run may be stopped so that a long-running step of its workspace starts within the limit.
func isVictim(r *tasker.Run, s *tasker.Step) bool {
	return !r.Stopping && !r.Owner.IsUnknown && r.Owner.Workspace == s.Job.Spec.Workspace && r.Task != nil &&
		!r.Task.Step.Spec.LongRunning && !r.Task.Step.Spec.Gang
}

// compareVictims orders runs by how little is lost when they are stopped: first those that save checkpoints, then those of
// the least urgent queues, then those that have run for the shortest time.
func compareVictims(x, y *tasker.Run) int {
	if saves := x.Task.Step.Spec.Checkpoints; saves != y.Task.Step.Spec.Checkpoints {
		if saves {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(y.Job.Queue.Priority, x.Job.Queue.Priority), y.SentAt.Compare(x.SentAt), cmp.Compare(x.Ref.String(), y.Ref.String()))
}

// makeWay stops runs of the workspace of a long-running step that fill its limit, and no more than the waiting tasks need:
// first those without which a worker has room for a task, if none has it so far, then in the order of compareVictims. It
// reports whether at least one task can start once the stopped runs have ended. It stops none if no worker can take a task,
// while the workspace may have unknown runs, as its limit may not be reached, and soon after it did so for the same step, unless
// a stopped run is on a worker that has fallen silent since.
func (b *Bookkeeper) makeWay(s *tasker.Step, l *limiter.Limiter, maxStarts int) bool {
	blockers, isPlaceable := b.blockers(s)
	name := s.Job.Spec.Workspace
	if !isPlaceable || l.HasHidden(name) {
		return false
	}
	_, isPaused := b.holds[s.Ref()]
	// Runs on workers that don't reply end late, when the lease expires. They are the last to be stopped.
	var victims, late []*tasker.Run
	var freed describer.Resources
	for _, w := range b.Ordered {
		for _, r := range w.Runs {
			switch {
			case r.Owner.Workspace != name || r.Owner.IsUnknown:
			case r.Stopping && w.IsUnresponsive(b.Now):
				isPaused = false
			case r.Stopping:
				freed = freed.Plus(r.Owner.Need)
			case !isVictim(r, s) || slices.Contains(blockers, r):
			case w.HasFailedPoll:
				late = append(late, r)
			default:
				victims = append(victims, r)
			}
		}
	}
	slices.SortFunc(victims, compareVictims)
	slices.SortFunc(late, compareVictims)
	victims = slices.Concat(blockers, victims, late)
	if isPaused {
		victims = nil
	}
	stops, tasks := 0, min(s.WaitingTasks(b.Now), maxStarts)
	for count := 1; count <= tasks; count++ {
		missing, next := l.Missing(name, s.Spec.Need, count), stops
		for next < len(victims) && !missing.Fits(freed) {
			freed = freed.Plus(victims[next].Owner.Need)
			next++
		}
		if !missing.Fits(freed) {
			tasks = count - 1
			break
		}
		stops = next
	}
	if stops > 0 {
		if b.holds == nil {
			b.holds = make(map[describer.StepRef]*hold)
		}
		b.holds[s.Ref()] = &hold{since: b.Now, waiting: s.WaitingTasks(b.Now)}
	}
	for _, r := range victims[:stops] {
		b.Report("Evicting a run to start a long-running step within the limit of its workspace.", "task", r.Ref.String(), "run", r.Number,
			"worker", r.Worker, "for", s.Ref().String(), "workspace", name)
		b.reconciler.Stop(r)
	}
	return tasks > 0
}
