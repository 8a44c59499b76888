package watcher

import (
	"lentilrock.example/internal/fleet/monitor"
	"lentilrock.example/internal/fleet/orderer"
)

// reportEntries logs the workers whose host list entries have vanished or are back.
func (wt *Watcher) reportEntries() {
	for _, w := range wt.Ordered {
		switch {
		case w.IsListed && w.IsReportedMissing:
			w.IsReportedMissing = false
			wt.Report("The host list has the entry of a worker again.", contactOf(w)...)
		case !w.IsListed && !w.IsReportedMissing:
			// A refusal before the entry vanished says nothing about the time after it.
			w.IsReportedMissing, w.IsReportedRefused = true, false
			wt.Report("The host list has no entry of a worker.", contactOf(w)...)
		}
	}
}

// reportRefusal logs the first poll since a worker's last reply whose connection was refused, if the worker drains or has
// no host list entry.
func (wt *Watcher) reportRefusal(w *monitor.Worker, verdict orderer.Verdict) {
	if verdict != orderer.NoListener || w.IsReportedRefused || w.IsListed && !w.Info.Draining {
		return
	}
	w.IsReportedRefused = true
	wt.Report("The address of a worker refuses connections.", append(contactOf(w), "address", w.Info.Address)...)
}

// contactOf returns the fields of a log line that tell when a worker was last in touch, as pairs of key and value.
func contactOf(w *monitor.Worker) []any {
	return []any{
		"worker", w.Info.ID, "runs", len(w.Runs), "is_listed", w.IsListed, "is_draining", w.Info.Draining,
		"last_reply", w.RepliedAt, "lease_end", w.Lease.ExpiresAt,
	}
}
