package chooser

import (
	"cmp"
	"slices"
	"time"

	"lentilrock.example/internal/fleet/minder"
	"lentilrock.example/internal/fleet/tasker"
)

const (
	// reserveAfter is how long a task waits before room is kept for it.
	reserveAfter = 300 * time.Millisecond
	// evictAfter is how long it waits before batch work makes room: a third of the time in
	// which a lasting task must be back.
	evictAfter = 2 * time.Second
)

// MakeRoom returns the worker where room should be kept for a step that found none for a
// while, and the runs that have to make it: those by which least is lost. It returns nil
// where no worker will do.
func MakeRoom(s *tasker.Step, workers []*minder.Worker, waited time.Duration, now time.Time) (*minder.Worker, []*tasker.Run) {
	var chosen *minder.Worker
	var victims []*tasker.Run
	lowest := 0.0
	if waited < reserveAfter {
		return nil, nil
	}
	for _, w := range workers {
		if !mayReserve(s, w, now) {
			continue
		}
		isGood := s.Advice.IsGood(w.Info.ID) || !s.Job.Queue.NeedsAdvice()
		evicted, lost, isEnough := victimsOf(s, w, now)
		if !isEnough || len(evicted) > 0 && (waited < evictAfter || !isGood) {
			continue
		}
		if !isGood {
			lost++
		}
		if chosen == nil || lost < lowest {
			chosen, victims, lowest = w, evicted, lost
		}
	}
	return chosen, victims
}

// mayReserve reports whether room on a worker could be kept for a step.
func mayReserve(s *tasker.Step, w *minder.Worker, now time.Time) bool {
	return !w.Reserved.IsHeld(s, now) && w.TakesWork(now) && Suits(s, w) && !s.Advice.IsBad(w.Info.ID) &&
		s.Spec.Charge().Fits(w.Info.Capacity) &&
		(s.Spec.MaxPerWorker == 0 || s.RunsAt(w.Info.ID) < s.Spec.MaxPerWorker)
}

// victimsOf returns the runs that would have to end for a task of a step to fit, and the
// processor time that is lost by it, in core seconds; false means that it would not fit.
func victimsOf(s *tasker.Step, w *minder.Worker, now time.Time) ([]*tasker.Run, float64, bool) {
	room, need := w.Room(), s.Spec.Charge()
	if need.Fits(room) {
		return nil, 0, true
	}
	var candidates []*tasker.Run
	for _, r := range w.Runs {
		switch {
		case r.Stopping:
			room = room.Plus(r.Charge)
		case canEvict(r, s):
			candidates = append(candidates, r)
		}
	}
	slices.SortFunc(candidates, func(a, b *tasker.Run) int {
		return cmp.Or(cmp.Compare(loss(a, now), loss(b, now)), cmp.Compare(a.Ref.String(), b.Ref.String()))
	})
	lost := 0.0
	var victims []*tasker.Run
	for _, r := range candidates {
		if need.Fits(room) {
			break
		}
		victims = append(victims, r)
		room = room.Plus(r.Charge)
		lost += loss(r, now)
	}
	return victims, lost, need.Fits(room)
}

// canEvict reports whether a run may end for a step: batch work of a lesser queue.
func canEvict(r *tasker.Run, s *tasker.Step) bool {
	return r.Task != nil && r.Task.Run == r && !r.Task.Step.Spec.LongRunning && !r.Task.Step.Spec.Gang &&
		r.Job.Queue.Priority > s.Job.Queue.Priority
}

// loss returns the work that is lost when a run is stopped, in core seconds.
func loss(r *tasker.Run, now time.Time) float64 {
	if r.Task.Step.Spec.Checkpoints {
		return 0
	}
	return now.Sub(r.SentAt).Seconds() * float64(r.Charge.MilliCPU) / 1000
}

// HasReservation reports whether room is kept for a step on one of the workers.
func HasReservation(s *tasker.Step, workers []*minder.Worker, now time.Time) bool {
	for _, w := range workers {
		if w.Reserved.Step == s && now.Before(w.Reserved.Until) {
			return true
		}
	}
	return false
}
