package placer

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
func (p *Placer) reserve(t *tasker.Task) {
	s := t.Step
	if t.FreeSince.IsZero() {
		t.FreeSince = p.Now
		return
	}
	if chooser.HasReservation(s, p.Ordered, p.Now) {
		return
	}
	w, victims := chooser.MakeRoom(s, p.Ordered, p.Now.Sub(t.FreeSince), p.Now)
	if w == nil {
		return
	}
	w.Reserved = minder.Reservation{Step: s, Charge: s.Spec.Charge(), Until: p.Now.Add(reserveFor)}
	for _, r := range victims {
		p.Report("A run makes room.", "task", r.Ref.String(), "run", r.Number, "worker", w.Info.ID, "for", s.Ref().String())
		p.settler.Stop(r)
	}
}
