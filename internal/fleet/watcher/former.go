package watcher

import (
	"slices"
	"time"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/leaser"
	"lentilrock.example/internal/fleet/monitor"
)

// FormerHolderEnded records that the former holder grants no lease any more, and the ones before it none after a time. Workers
// that have not replied need not be waited for until its authority would have ended: its leases end sooner.
func (wt *Watcher) FormerHolderEnded(now, earlierEnd time.Time) {
	wt.Now = now
	lease := wt.Options.FormerLease
	if wt.hasUnguardedStarts() {
		// A restarted worker may have the longest lease, and a run that it began before the former holder knew of the restart.
		lease = wt.Options.MaxLease
	}
	end := now.Add(leaser.ExpiryOf(lease))
	if earlierEnd.After(end) {
		end = earlierEnd
	}
	wt.formerLeasesEnd = end
	waiting := 0
	for _, w := range wt.Ordered {
		if w.IsSynced || !mayShorten(w) {
			continue
		}
		waiting++
		w.Lease.EndBy(end)
	}
	wt.Report("The former holder has ended. Workers that do not reply are waited for until its leases have ended.", "until", end, "workers", waiting)
}

// mayShorten reports whether a worker that has not replied has no lease but the ones that the former holder granted to the
// incarnation which the roster names.
func mayShorten(w *monitor.Worker) bool {
	return !w.HadLongestLease && w.FormerIncarnation != 0 && !w.HasRestartedUnnoticed(w.Info.Incarnation)
}

// hasUnguardedStarts reports whether a job of the former holder has a step whose starts a later incarnation of a worker accepts.
func (wt *Watcher) hasUnguardedStarts() bool {
	for _, j := range wt.Jobs {
		isUnguarded := func(s describer.Step) bool { return s.HasHarmfulStarts(j.Queue) }
		if j.MayHaveUnknownRuns && slices.ContainsFunc(j.Spec.Steps, isUnguarded) {
			return true
		}
	}
	return false
}
