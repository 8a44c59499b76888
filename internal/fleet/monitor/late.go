package monitor

import (
	"slices"
	"time"

	"lentilrock.example/internal/fleet/describer"
)

// LostStart is a start without a reply.
type LostStart struct {
	Ref    describer.TaskRef
	Number int64
	Charge describer.Resources
	Owner  describer.Owner
	SentAt time.Time
	// IsHarmful reports that a later incarnation of the worker would accept the start, and that the task may not run twice.
	IsHarmful bool
}

// Until returns until when the start may be carried out.
func (l LostStart) Until() time.Time { return l.SentAt.Add(MaxLateness) }

// RecordLostStart records that the start of a run got no reply. Of very many the oldest harmless ones are forgotten.
func (w *Worker) RecordLostStart(start LostStart) {
	w.lostStarts = append(w.lostStarts, start)
	if len(w.lostStarts) <= maxRuns {
		return
	}
	if i := slices.IndexFunc(w.lostStarts, func(s LostStart) bool { return !s.IsHarmful }); i >= 0 {
		w.lostStarts = slices.Delete(w.lostStarts, i, i+1)
	}
}

// StartArrived drops a start that the worker has carried out or refused: it is carried out once.
func (w *Worker) StartArrived(ref describer.TaskRef, number int64) {
	w.lostStarts = slices.DeleteFunc(w.lostStarts, func(s LostStart) bool { return s.Ref == ref && s.Number == number })
}

// LateStarts returns the harmful starts that may still be carried out: those without a reply, and those in flight, whose holder may
// end before it knows which of both they are.
func (w *Worker) LateStarts(now time.Time) []LostStart {
	var late []LostStart
	for _, lost := range w.LostStarts(now) {
		if lost.IsHarmful {
			late = append(late, lost)
		}
	}
	if w.startsInFlight == 0 {
		return late
	}
	for _, r := range w.Runs {
		isKnown := slices.ContainsFunc(late, func(s LostStart) bool { return s.Ref == r.Ref && s.Number == r.Number })
		isHarmful := r.Task != nil && r.Task.Step.Spec.HasHarmfulStarts(r.Job.Queue)
		if r.ConfirmedAt.IsZero() && isHarmful && !isKnown && now.Sub(r.SentAt) < MaxLateness {
			late = append(late, LostStart{Ref: r.Ref, Number: r.Number, SentAt: r.SentAt, IsHarmful: true})
		}
	}
	return late
}

// LostStarts returns the starts without a reply that may still be carried out.
func (w *Worker) LostStarts(now time.Time) []LostStart {
	w.lostStarts = slices.DeleteFunc(w.lostStarts, func(s LostStart) bool { return now.Sub(s.SentAt) >= MaxLateness })
	return w.lostStarts
}
