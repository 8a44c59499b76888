package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/tasker"
)

const (
	// reserveAfter is how long a lasting task waits before room is kept for it.
	reserveAfter = 300 * time.Millisecond
	// evictAfter is how long it waits before batch work makes room: a third of the time in
	// which a lasting task must be back.
	evictAfter = 2 * time.Second
	// reserveFor outlives a question for advice and the start that follows.
	reserveFor = 2500 * time.Millisecond
)

// reservation keeps room on a worker for one step.
type reservation struct {
	step   *tasker.Step
	charge describer.Resources
	until  time.Time
}

// roomFor returns the room on a worker that a step may use.
func (w *worker) roomFor(s *tasker.Step, now time.Time) describer.Resources {
	room := w.room()
	if r := w.reserved; r.step != nil && r.step != s && now.Before(r.until) {
		room = room.Minus(r.charge)
	}
	return room
}

// reserve keeps room for a lasting task that finds no place: other tasks would take what
// becomes free before its advice is there. Where no allowed worker has room, batch work is
// evicted from the one that loses least by it.
func (d *Dispatcher) reserve(t *tasker.Task) {
	waited := d.now.Sub(t.FreeSince)
	if t.FreeSince.IsZero() {
		t.FreeSince = d.now
		return
	}
	s := t.Step
	if waited < reserveAfter || d.hasReservation(s) {
		return
	}
	var chosen *worker
	var victims []*tasker.Run
	lowest := 0.0
	for _, w := range d.ordered {
		if !d.mayReserve(s, w) {
			continue
		}
		evicted, loss, isEnough := d.victims(s, w)
		if !isEnough || len(evicted) > 0 && (waited < evictAfter || !s.Advice.IsGood(w.info.ID) && s.Job.Queue.NeedsAdvice()) {
			continue
		}
		if !s.Advice.IsGood(w.info.ID) {
			loss++
		}
		if chosen == nil || loss < lowest {
			chosen, victims, lowest = w, evicted, loss
		}
	}
	if chosen == nil {
		return
	}
	chosen.reserved = reservation{step: s, charge: s.Spec.Charge(), until: d.now.Add(reserveFor)}
	for _, r := range victims {
		d.options.Report("A run makes room.", "task", r.Ref.String(), "run", r.Number, "worker", chosen.info.ID, "for", s.Ref().String())
		d.stop(r)
	}
}

func (d *Dispatcher) hasReservation(s *tasker.Step) bool {
	for _, w := range d.ordered {
		if w.reserved.step == s && d.now.Before(w.reserved.until) {
			return true
		}
	}
	return false
}

func (d *Dispatcher) mayReserve(s *tasker.Step, w *worker) bool {
	isTaken := w.reserved.step != nil && w.reserved.step != s && d.now.Before(w.reserved.until)
	return !isTaken && d.takesWork(w) && d.suits(s, w) && !s.Advice.IsBad(w.info.ID) &&
		s.Spec.Charge().Fits(w.info.Capacity) &&
		(s.Spec.MaxPerWorker == 0 || s.RunsAt(w.info.ID) < s.Spec.MaxPerWorker)
}

// victims returns the runs that would have to end for a task of a step to fit, and the
// processor time that is lost by it, in core seconds.
func (d *Dispatcher) victims(s *tasker.Step, w *worker) ([]*tasker.Run, float64, bool) {
	room, need := w.room(), s.Spec.Charge()
	if need.Fits(room) {
		return nil, 0, true
	}
	var candidates []*tasker.Run
	for _, r := range w.runs {
		switch {
		case r.Stopping:
			room = room.Plus(r.Charge)
		case canEvict(r, s):
			candidates = append(candidates, r)
		}
	}
	slices.SortFunc(candidates, func(a, b *tasker.Run) int {
		return cmp.Or(cmp.Compare(d.loss(a), d.loss(b)), cmp.Compare(a.Ref.String(), b.Ref.String()))
	})
	loss := 0.0
	var victims []*tasker.Run
	for _, r := range candidates {
		if need.Fits(room) {
			break
		}
		victims = append(victims, r)
		room = room.Plus(r.Charge)
		loss += d.loss(r)
	}
	return victims, loss, need.Fits(room)
}

// canEvict reports whether a run may end for a step: batch work of a lesser queue.
func canEvict(r *tasker.Run, s *tasker.Step) bool {
	return r.Task != nil && r.Task.Run == r && !r.Task.Step.Spec.LongRunning && !r.Task.Step.Spec.Gang &&
		r.Job.Queue.Priority > s.Job.Queue.Priority
}

// loss returns the work that is lost when a run is stopped, in core seconds.
func (d *Dispatcher) loss(r *tasker.Run) float64 {
	if r.Task.Step.Spec.Checkpoints {
		return 0
	}
	return d.now.Sub(r.SentAt).Seconds() * float64(r.Charge.MilliCPU) / 1000
}
