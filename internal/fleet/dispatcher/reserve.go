package dispatcher

import (
	"time"

	"lentilrock.example/internal/fleet/chooser"
	"lentilrock.example/internal/fleet/minder"
	"lentilrock.example/internal/fleet/tasker"
)

// reserveFor outlives a question for advice and the start that follows.
const reserveFor = 2500 * time.Millisecond

// reserve keeps room for a lasting task that finds no place: other tasks would take what
// becomes free before its advice is there. Batch work that is in the way makes room.
func (d *Dispatcher) reserve(t *tasker.Task) {
	s := t.Step
	if t.FreeSince.IsZero() {
		t.FreeSince = d.now
		return
	}
	if chooser.HasReservation(s, d.ordered, d.now) {
		return
	}
	w, victims := chooser.MakeRoom(s, d.ordered, d.now.Sub(t.FreeSince), d.now)
	if w == nil {
		return
	}
	w.Reserved = minder.Reservation{Step: s, Charge: s.Spec.Charge(), Until: d.now.Add(reserveFor)}
	for _, r := range victims {
		d.options.Report("A run makes room.", "task", r.Ref.String(), "run", r.Number, "worker", w.Info.ID, "for", s.Ref().String())
		d.stop(r)
	}
}
