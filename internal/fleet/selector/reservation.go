package selector

import (
	"cmp"
	"slices"
	"time"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/monitor"
	"lentilrock.example/internal/fleet/tasker"
)

const (
	// reserveAfter is how long a task waits before capacity is reserved for it.
	reserveAfter = 300 * time.Millisecond
	// evictAfter is how long a task waits before batch runs are evicted for it: a third of the
	// time within which a long-running task must be up again.
	evictAfter = 2 * time.Second
)

// PlanReservation returns the worker on which to reserve capacity for a step that could not be
// placed for the time waited, and the runs to evict there. It minimizes the work that is lost and
// returns nil if no worker qualifies.
func PlanReservation(s *tasker.Step, workers []*monitor.Worker, waited time.Duration, now time.Time) (*monitor.Worker, []*tasker.Run) {
	var chosen *monitor.Worker
	var victims []*tasker.Run
	lowest := 0.0
	if waited < reserveAfter {
		return nil, nil
	}
	for _, w := range workers {
		if !CanReserve(s, w, now) {
			continue
		}
		isEligible := s.Advice.IsEligible(w.Info.ID) || !s.Job.Queue.NeedsAdvice()
		evicted, lost, isEnough := SelectVictims(s, w, now)
		if !isEnough || len(evicted) > 0 && (waited < evictAfter || !isEligible) {
			continue
		}
		if !isEligible {
			lost++
		}
		if chosen == nil || lost < lowest {
			chosen, victims, lowest = w, evicted, lost
		}
	}
	return chosen, victims
}

// CanReserve reports whether capacity on a worker may be reserved for a step.
func CanReserve(s *tasker.Step, w *monitor.Worker, now time.Time) bool {
	return !w.Reserved.IsHeldForOther(s, now) && w.AcceptsTasks(now) && Matches(s, w) && !s.Advice.IsIneligible(w.Info.ID) &&
		s.Spec.Charge().Fits(w.Info.Capacity) &&
		(s.Spec.MaxPerWorker == 0 || s.RunsAt(w.Info.ID) < s.Spec.MaxPerWorker)
}

// SelectVictims returns the runs to evict so that a task of a step fits on a worker, and the
// processor time that is lost, in core seconds. It returns false if the task would not fit.
func SelectVictims(s *tasker.Step, w *monitor.Worker, now time.Time) ([]*tasker.Run, float64, bool) {
	free, need := w.FreeCapacity(), s.Spec.Charge()
	if need.Fits(free) {
		return nil, 0, true
	}
	var candidates []*tasker.Run
	for _, r := range w.Runs {
		switch {
		case r.Stopping:
			free = free.Plus(r.Charge)
		case CanEvict(r, s):
			candidates = append(candidates, r)
		}
	}
	slices.SortFunc(candidates, func(a, b *tasker.Run) int {
		return cmp.Or(cmp.Compare(lostWork(a, now), lostWork(b, now)), cmp.Compare(a.Ref.String(), b.Ref.String()))
	})
	var victims []*tasker.Run
	for _, r := range candidates {
		if need.Fits(free) {
			break
		}
		victims = append(victims, r)
		free = free.Plus(r.Charge)
	}
	if !need.Fits(free) {
		return nil, 0, false
	}
	victims, _ = DropSuperfluous(victims, free, need, func(r *tasker.Run) float64 { return lostWork(r, now) })
	lost := 0.0
	for _, r := range victims {
		lost += lostWork(r, now)
	}
	return victims, lost, true
}

// DropSuperfluous returns the victims without those that need not be stopped for a need to fit into what is free with all of
// them stopped, and what is free then. The most costly ones are dropped first, and the largest of equal ones: a run that was
// selected for its low cost may be superfluous once a larger one is stopped, too.
func DropSuperfluous(
	victims []*tasker.Run, free, need describer.Resources, cost func(r *tasker.Run) float64,
) ([]*tasker.Run, describer.Resources) {
	slices.SortFunc(victims, func(a, b *tasker.Run) int {
		return cmp.Or(cmp.Compare(cost(b), cost(a)), cmp.Compare(b.Charge.MilliCPU, a.Charge.MilliCPU), cmp.Compare(a.Ref.String(), b.Ref.String()))
	})
	victims = slices.DeleteFunc(victims, func(r *tasker.Run) bool {
		isSuperfluous := need.Fits(free.Minus(r.Charge))
		if isSuperfluous {
			free = free.Minus(r.Charge)
		}
		return isSuperfluous
	})
	return victims, free
}

// CanEvict reports whether a run may be evicted for a step: it is the current run of a batch task
// outside a gang, and the priority of its queue is lower.
func CanEvict(r *tasker.Run, s *tasker.Step) bool {
	return r.Task != nil && r.Task.Run == r && !r.Task.Step.Spec.LongRunning && !r.Task.Step.Spec.Gang &&
		r.Job.Queue.Priority > s.Job.Queue.Priority
}

// lostWork returns the work that is lost when a run is stopped, in core seconds.
func lostWork(r *tasker.Run, now time.Time) float64 {
	if r.Task.Step.Spec.Checkpoints {
		return 0
	}
	return now.Sub(r.SentAt).Seconds() * float64(r.Charge.MilliCPU) / 1000
}

// HasReservation reports whether capacity is reserved for a step on one of the workers.
func HasReservation(s *tasker.Step, workers []*monitor.Worker, now time.Time) bool {
	for _, w := range workers {
		if w.Reserved.Step == s && now.Before(w.Reserved.Until) {
			return true
		}
	}
	return false
}
