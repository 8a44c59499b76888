// Package watcher tracks the workers of a cell: which of them are in the host list, which reply
// to polls, which runs they report as running or ended, and when the lease of an unresponsive
// worker has expired, so that its runs are lost. It works for the claim holder, the
// leader of the cell. Leases of former holders may still be valid.
//
// # Usage
//
//	wt := watcher.New(r, reconciler, throttler)
//	wt.SetWorkers(now, listed)
//	poll, isKnown := wt.NextPoll(now, id)
//	wt.PollAnswered(now, poll, inventory, verdict)
//	wt.Tick()
package watcher

import (
	"iter"
	"slices"
	"strings"
	"time"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/leaser"
	"lentilrock.example/internal/fleet/monitor"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/fleet/reconciler"
	"lentilrock.example/internal/fleet/registrar"
	"lentilrock.example/internal/fleet/throttler"
)

// Watcher tracks the workers of a registrar and their leases.
type Watcher struct {
	*registrar.Registrar
	reconciler *reconciler.Reconciler
	throttler  *throttler.Throttler
	// formerLeasesEnd is when the leases of former holders have ended; zero while one of these may still grant some.
	formerLeasesEnd time.Time
}

// New returns a watcher for the workers of a registrar.
func New(r *registrar.Registrar, s *reconciler.Reconciler, g *throttler.Throttler) *Watcher {
	return &Watcher{Registrar: r, reconciler: s, throttler: g}
}

// WorkerIDs returns the IDs of the workers to poll, in ascending order. It is called at each
// tick, so it returns an iterator and allocates no list.
func (wt *Watcher) WorkerIDs() iter.Seq[string] {
	return func(yield func(string) bool) {
		for _, w := range wt.Ordered {
			if !yield(w.Info.ID) {
				return
			}
		}
	}
}

// SetWorkers applies the workers of the host list. A worker that is missing there stays known
// until it has no runs and its lease has expired.
func (wt *Watcher) SetWorkers(now time.Time, listed []describer.Worker) {
	wt.Now = now
	for _, w := range wt.Ordered {
		w.IsListed = false
	}
	for _, info := range listed {
		w, found := wt.Workers[info.ID]
		if !found {
			w = wt.add(info)
			wt.Persister.MarkRosterChanged()
		}
		if found && info.Draining && !w.Info.Draining {
			wt.Report("A worker is draining. It gets no new tasks.", "worker", info.ID, "remaining", info.Remaining, "runs", len(w.Runs))
		}
		if w.HasRestartedUnnoticed(info.Incarnation) {
			wt.expectLongestLease(w)
		}
		w.SetInfo(info, now)
	}
	slices.SortFunc(wt.Ordered, func(a, b *monitor.Worker) int { return strings.Compare(a.Info.ID, b.Info.ID) })
	wt.reportEntries()
}

// Restore adds the workers of the roster that a former holder persisted, and the runs that it
// persisted for closed workers.
func (wt *Watcher) Restore(members []journaler.Member, jobs []*journaler.Entry) {
	for _, member := range members {
		if wt.Workers[member.ID] != nil {
			continue
		}
		w := wt.add(describer.Worker{ID: member.ID, Address: member.Address})
		w.FormerIncarnation, w.HadLongestLease = member.Incarnation, member.HasLongestLease
		if member.HasLongestLease {
			wt.expectLongestLease(w)
		}
		w.IsClosed, w.IsListedClosed, w.IsEnrolled = member.IsClosed, member.IsClosed, !member.IsClosed
	}
	for _, entry := range jobs {
		wt.adoptRuns(entry)
	}
	if len(wt.State.LateStarts) > 0 {
		wt.Persister.RestoreLateStarts(wt.FormerSeenAt.Add(min(wt.State.OmittedLateStarts, monitor.MaxLateness)))
	}
	if wt.Persister.MayHaveOmittedStart(wt.Now) {
		wt.Report("The record of starts that may still be carried out is not complete. Tasks of begun jobs wait.", "listed", len(wt.State.LateStarts),
			"until", wt.FormerSeenAt.Add(min(wt.State.OmittedLateStarts, monitor.MaxLateness)))
	}
	for _, late := range wt.State.LateStarts {
		wt.reconciler.RestoreLateStart(late)
	}
}

// add adds a worker that may have runs of a former holder. These can go on until the authority of the
// former holders has ended, unless the worker has seen the fencing token of this holder.
func (wt *Watcher) add(info describer.Worker) *monitor.Worker {
	w := monitor.New(info, wt.FormerSeenAt.Add(leaser.ExpiryOf(wt.Options.FormerAuthority)))
	if !wt.formerLeasesEnd.IsZero() {
		w.Lease.EndBy(wt.formerLeasesEnd)
	}
	wt.Workers[info.ID] = w
	wt.Ordered = append(wt.Ordered, w)
	return w
}

// expectLongestLease allows for the longest lease that a worker accepts, which it took from a former holder as it had
// just begun: deadlines on the clock of its former incarnation lie far ahead of its own.
func (wt *Watcher) expectLongestLease(w *monitor.Worker) {
	w.Lease.Cover(wt.FormerSeenAt.Add(max(wt.Options.FormerAuthority, monitor.MaxLateness)), wt.Options.MaxLease)
}

// removeExpired removes the workers that are not listed, have no runs and no valid lease, and that no late call can reach.
func (wt *Watcher) removeExpired() {
	wt.Ordered = slices.DeleteFunc(wt.Ordered, func(w *monitor.Worker) bool {
		if w.IsListed || len(w.Runs) > 0 || !w.HasExpired(wt.Now, wt.Claim.ConfirmedAt()) || w.MayGetLateCalls(wt.Now) {
			return false
		}
		wt.Report("A worker is no longer listed and its lease has expired. It is removed.", contactOf(w)...)
		delete(wt.Workers, w.Info.ID)
		wt.Estimator.Forget(w.Info.ID)
		wt.Persister.MarkRosterChanged()
		return true
	})
}

// RenewLeases polls the workers that reply at once, as their leases could not be renewed for a while.
func (wt *Watcher) RenewLeases() {
	for _, w := range wt.Ordered {
		if w.IsSynced && !w.HasFailedPoll {
			wt.reconciler.PollNow(w)
		}
	}
}

// Tick resolves the runs of workers whose lease has expired, repeats stops and removes workers that are no longer needed.
func (wt *Watcher) Tick() {
	for _, w := range wt.Ordered {
		w.IsDrained = wt.State.IsDrained(w.Info.ID, w.Info.Rack)
		wt.tickWorker(w)
	}
	wt.removeExpired()
	wt.reconciler.EndConfinements()
}

// tickWorker resolves the runs of a worker whose lease has expired, and repeats its unacknowledged stops.
func (wt *Watcher) tickWorker(w *monitor.Worker) {
	wt.expectLateDeadline(w)
	hasExpired := w.HasExpired(wt.Now, wt.Claim.ConfirmedAt())
	if !hasExpired && w.HasExpired(wt.Now, wt.Now) || w.MayHaveUnknownRuns(wt.Claim.ConfirmedAt()) && !w.MayHaveUnknownRuns(wt.Now) {
		wt.RequestConfirmation()
	}
	if w.EndLongestLease(wt.Now) {
		wt.Persister.MarkRosterChanged()
	}
	wt.trackClosed(w)
	for _, r := range w.Runs {
		switch {
		case hasExpired:
			wt.Options.Count("runs_lost")
			wt.Report("A run is lost because the lease of its worker expired.", "task", r.Ref.String(), "run", r.Number, "worker", w.Info.ID,
				"is_listed", w.IsListed, "is_draining", w.Info.Draining, "last_reply", w.RepliedAt, "lease_end", w.Lease.ExpiresAt, "last_append_sent", wt.Claim.ConfirmedAt())
			wt.reconciler.Resolve(r)
		case r.Stopping && r.StopAckedAt.IsZero() && wt.Now.Sub(r.StopSentAt) >= monitor.RetryPause && !w.HasFailedPoll:
			wt.reconciler.SendStop(r)
		}
	}
}

// expectLateDeadline allows for the longest lease of a worker that has restarted while a call with a deadline may still
// arrive that was meant for its former incarnation.
func (wt *Watcher) expectLateDeadline(w *monitor.Worker) {
	until := w.LateDeadlineUntil()
	if until.IsZero() {
		return
	}
	// It may have arrived while nothing was decided.
	w.Lease.Cover(until, wt.Options.MaxLease)
	end := until.Add(leaser.ExpiryOf(wt.Options.MaxLease))
	if !wt.Now.Before(end) {
		return
	}
	if !w.HasLongestLease() {
		wt.Persister.MarkRosterChanged()
	}
	w.BeginLongestLease(end)
}

// trackClosed updates whether a worker is closed. The runs of a worker that is unresponsive, or that drains and gets no
// more starts, are persisted with the progress of their jobs, so that a later holder knows that there are no others. A worker
// that is no longer closed gets tasks once a roster that lists it as open is persisted.
func (wt *Watcher) trackClosed(w *monitor.Worker) {
	if !w.IsSynced {
		return
	}
	isClosed := w.IsUnresponsive(wt.Now) || w.HasLastRuns(wt.ClaimedAt, wt.Now)
	if w.IsClosed == isClosed {
		return
	}
	w.IsClosed, w.IsEnrolled, w.RosterBatch = isClosed, false, 0
	wt.Persister.MarkRosterChanged()
	for _, r := range w.Runs {
		if r.Job != nil {
			wt.Persister.MarkChanged(r.Job)
		}
	}
}

// adoptRuns adds the persisted runs of a job at workers that were closed under a former holder.
func (wt *Watcher) adoptRuns(entry *journaler.Entry) {
	j, found := wt.Jobs[entry.ID]
	if !found {
		return
	}
	for _, p := range entry.Progress.Steps {
		for _, sr := range p.Closed {
			w, isKnown := wt.Workers[sr.Worker]
			ref := describer.TaskRef{Job: entry.ID, Occurrence: p.Occurrence, Step: p.Step, Index: sr.Index}
			if !isKnown || sr.Run <= 0 || sr.Run > describer.MaxRun || j.Task(ref) == nil {
				continue
			}
			wt.reconciler.Adopt(w, orderer.Running{Task: ref, Run: sr.Run})
		}
	}
}
