package watcher

import (
	"time"

	"lentilrock.example/internal/fleet/leaser"
	"lentilrock.example/internal/fleet/minder"
	"lentilrock.example/internal/fleet/orderer"
)

// NextLook returns the next look at a worker; false means that the worker is gone.
func (h *Watcher) NextLook(now time.Time, id string) (orderer.Look, bool) {
	w, found := h.Workers[id]
	if !found {
		return orderer.Look{}, false
	}
	h.Now = now
	return h.settler.Look(w), true
}

// Looked takes in the answer to a look.
func (h *Watcher) Looked(now time.Time, look orderer.Look, inventory orderer.Inventory, verdict orderer.Verdict) {
	h.Now = now
	w, found := h.Workers[look.Worker.ID]
	if !found {
		return
	}
	switch verdict {
	case orderer.Accepted:
		if w.Incarnation == inventory.Incarnation && inventory.Clock < w.HeardClock {
			// A later answer overtook this one.
			return
		}
		h.takeInventory(w, look, inventory)
	case orderer.Fenced:
		h.IsFenced = true
	case orderer.OtherIncarnation:
		h.workerReplaced(w)
	default:
		if !w.IsFailing {
			h.Report("A worker does not answer.", "worker", w.Info.ID, "verdict", verdict.String())
		}
		w.IsFailing = true
	}
}

func (h *Watcher) takeInventory(w *minder.Worker, look orderer.Look, inventory orderer.Inventory) {
	if w.Incarnation != inventory.Incarnation {
		h.newLife(w, inventory.Incarnation)
	}
	if w.IsFailing {
		h.Report("A worker answers again.", "worker", w.Info.ID)
	}
	if !w.IsSynced {
		// From now on the worker obeys no former holder, which could have renewed until here.
		w.Lease.LapseAt = h.Now.Add(leaser.LapseOf(h.Options.FormerLease))
	}
	w.IsFailing, w.IsSynced, w.IsDoubted, w.AnsweredAt = false, true, false, h.Now
	w.HeardClock = inventory.Clock
	w.Lease.Sample(h.Now, inventory.Clock)
	h.takeEnds(w, inventory.Ended)
	present := make(map[minder.RunKey]bool, len(inventory.Running))
	for _, running := range inventory.Running {
		present[minder.RunKey{Ref: running.Task, Number: running.Run}] = true
		h.settler.TakeRunning(w, running)
	}
	for key, r := range w.Runs {
		if !present[key] {
			h.settler.TakeAbsent(r, look.SentAt)
		}
	}
	h.governor.Pace(w)
}

// workerReplaced settles what ran at a worker whose address is another worker's now.
func (h *Watcher) workerReplaced(w *minder.Worker) {
	if len(w.Runs) > 0 {
		h.Report("A worker was replaced.", "worker", w.Info.ID, "runs_lost", len(w.Runs))
	}
	w.IsFailing, w.Lease.LapseAt = true, time.Time{}
	for _, r := range w.Runs {
		h.settler.Settle(r)
	}
}

// newLife settles what ran in a former life of a worker. A start without an answer may
// still be carried out by the new one, so it stays until a stop has been taken.
func (h *Watcher) newLife(w *minder.Worker, incarnation int64) {
	if w.Incarnation != 0 {
		h.Report("A worker began a new life.", "worker", w.Info.ID, "runs_lost", len(w.Runs))
	}
	for _, r := range w.Runs {
		if r.AnsweredAt.IsZero() {
			r.Stopping, r.StopAckedAt = true, time.Time{}
			h.settler.SendStop(r)
			continue
		}
		h.settler.Settle(r)
	}
	w.BeginLife(incarnation)
}

// takeEnds takes in the new ends of a worker. The worker may forget them once what they
// changed is kept.
func (h *Watcher) takeEnds(w *minder.Worker, ends []orderer.Ended) {
	for _, end := range ends {
		if !w.Ends.Take(end.Number) {
			continue
		}
		h.settler.TakeEnd(w, end)
		w.Ends.Mark(end.Number, h.Saver.Batch())
	}
	w.Ends.Saved(h.Saver.LastSaved())
}
