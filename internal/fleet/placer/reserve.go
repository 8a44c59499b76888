package placer

import (
	"time"

	"lentilrock.example/internal/fleet/monitor"
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
