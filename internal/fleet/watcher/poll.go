package watcher

import (
	"time"

	"lentilrock.example/internal/fleet/acknowledger"
	"lentilrock.example/internal/fleet/leaser"
	"lentilrock.example/internal/fleet/monitor"
	"lentilrock.example/internal/fleet/orderer"
)

// lateFirstReply is how long after the claim the first reply of a worker is logged: until then it had seen no fencing
// token of this holder, and former holders could reach it.
const lateFirstReply = time.Second

// NextPoll returns the next poll of a worker's inventory, or false if the worker was removed.
func (wt *Watcher) NextPoll(now time.Time, id string) (orderer.Poll, bool) {
	w, found := wt.Workers[id]
	if !found {
		return orderer.Poll{}, false
	}
	wt.Now = now
	return wt.reconciler.NextPoll(w), true
}

// PollAnswered applies the reply to a poll, or the failure of the poll. Replies may arrive late: one that
// names another incarnation counts only if its poll was sent after the current one had replied.
func (wt *Watcher) PollAnswered(now time.Time, poll orderer.Poll, inventory orderer.Inventory, verdict orderer.Verdict) {
	wt.Now = now
	w, found := wt.Workers[poll.Worker.ID]
	if !found {
		return
	}
	isBeforeIncarnation := !poll.SentAt.After(w.IncarnationAt)
	w.PollEnded(poll.Incarnation, poll.Acknowledged > 0)
	if verdict == orderer.Unknown && poll.Deadline > 0 {
		w.DeadlineLost(poll.SentAt)
	}
	switch {
	case poll.Acknowledged == 0:
	case verdict == orderer.Unknown:
		w.AcknowledgementLost(poll.Incarnation, poll.SentAt)
	case verdict == orderer.Accepted && inventory.Incarnation == poll.Incarnation && poll.Incarnation == w.Incarnation:
		w.Results.Confirm(poll.Acknowledged)
	}
	switch verdict {
	case orderer.Accepted:
		if w.Incarnation == inventory.Incarnation && inventory.Clock < w.ReplyClock {
			// The reply to a later poll arrived first, so this inventory is out of date.
			return
		}
		if w.Incarnation != inventory.Incarnation && isBeforeIncarnation {
			return
		}
		wt.applyInventory(w, poll, inventory)
	case orderer.Fenced:
		wt.IsFenced = true
	case orderer.OtherIncarnation:
		// The worker may live on, although another one has its address: only its lease ends its runs.
		if !isBeforeIncarnation {
			wt.pollFailed(w, verdict)
		}
	default:
		wt.pollFailed(w, verdict)
	}
}

// pollFailed records that a worker did not reply to a poll.
func (wt *Watcher) pollFailed(w *monitor.Worker, verdict orderer.Verdict) {
	if !w.HasFailedPoll {
		wt.Report("A poll of a worker failed. The worker gets no tasks until it replies.", "worker", w.Info.ID, "verdict", verdict.String())
	}
	w.HasFailedPoll = true
	wt.reportRefusal(w, verdict)
}

// applyInventory updates a worker and its runs from the reply to a poll.
func (wt *Watcher) applyInventory(w *monitor.Worker, poll orderer.Poll, inventory orderer.Inventory) {
	needsPoll := false
	if w.Incarnation != inventory.Incarnation {
		needsPoll = wt.workerRestarted(w, poll, inventory.Incarnation)
	}
	if w.HasFailedPoll {
		wt.Report("A worker replies to polls again.", "worker", w.Info.ID)
		w.IsReportedRefused = false
	}
	if !w.IsSynced {
		w.BeginSync(inventory.Incarnation, wt.Now)
		// The worker has now seen this holder's fencing token and refuses former holders. Until
		// now one of them could have renewed its lease.
		if sinceClaim := wt.Now.Sub(wt.ClaimedAt); sinceClaim > lateFirstReply {
			wt.Report("A worker replies to this holder for the first time.", "worker", w.Info.ID, "since_claim", sinceClaim,
				"running", len(inventory.Running), "results", len(inventory.Results))
		}
		former := wt.Options.FormerLease
		if w.MayHaveLongestLease(inventory.Incarnation) {
			former = wt.Options.MaxLease
		}
		w.Lease.ExpiresAt = wt.Now.Add(leaser.ExpiryOf(former))
	}
	w.HasFailedPoll, w.IsSynced, w.HasUnconfirmedStart, w.RepliedAt = false, true, false, wt.Now
	w.EndRestartNotice(poll.SentAt)
	w.HasListedResults = w.HasListedResults || !inventory.MayOmitResults
	w.ReplyClock = inventory.Clock
	w.Lease.Sample(wt.Now, inventory.Clock)
	wt.applyResults(w, inventory.Results)
	present := make(map[monitor.RunKey]bool, len(inventory.Running))
	for _, running := range inventory.Running {
		present[monitor.RunKey{Ref: running.Task, Number: running.Run}] = true
		wt.reconciler.ApplyRunning(w, running)
	}
	for key, r := range w.Runs {
		// A run that is missing from both lists may have a result that the worker has not listed yet.
		if !present[key] && !inventory.MayOmitResults {
			wt.reconciler.ApplyAbsent(r, poll.SentAt)
		}
	}
	wt.throttler.Pace(w)
	if needsPoll {
		wt.reconciler.PollNow(w)
	}
}

// workerRestarted resolves the runs of a worker's former incarnation, which a reply to a poll shows. A start
// without a reply may still reach the new incarnation, so its run stays until the worker has acknowledged a
// stop. A start that was confirmed after the poll was sent may have reached the new one after that replied;
// workerRestarted then returns true, and another poll has to show whether its run is there.
func (wt *Watcher) workerRestarted(w *monitor.Worker, poll orderer.Poll, incarnation int64) bool {
	if w.Incarnation != 0 {
		wt.Report("A worker restarted with a new incarnation. The runs of the former one are lost.", "worker", w.Info.ID, "runs_lost", len(w.Runs))
		// Deadlines on the clock of the former incarnation lie far ahead of that of the new one, which takes
		// the longest lease that it accepts.
		w.Lease.Cover(wt.Now, wt.Options.MaxLease)
		w.BeginLongestLease(wt.Now.Add(leaser.ExpiryOf(wt.Options.MaxLease)))
		// The new incarnation has not seen the fencing token of a later holder that had polled the former one, so it
		// gets tasks only once a roster has been appended since.
		w.IsEnrolled, w.RosterBatch = false, 0
		wt.Persister.MarkRosterChanged()
	}
	noticed := w.TakeNoticedRuns()
	w.BeginIncarnation(incarnation, wt.Now)
	wt.Estimator.Forget(w.Info.ID)
	needsPoll := false
	for key, r := range w.Runs {
		if noticed[key] && !r.ConfirmedAt.After(poll.SentAt) {
			// The inventory shows whether the run is there.
			continue
		}
		wt.Hold(r.Task)
		switch {
		case r.ConfirmedAt.IsZero():
			r.Stopping, r.StopAckedAt = true, time.Time{}
			wt.reconciler.SendStop(r)
		case r.ConfirmedAt.After(poll.SentAt):
			needsPoll = true
		default:
			wt.reconciler.Resolve(r)
		}
	}
	wt.reconciler.StopLostStarts(w)
	return needsPoll
}

// mayStartAgainUntil returns until when the next incarnation of a worker may carry out another start of the task whose result
// is given; zero if there is none. A result that is not acknowledged is lost with its worker, so that its task may run again.
func (wt *Watcher) mayStartAgainUntil(w *monitor.Worker, result orderer.RunResult) time.Time {
	var until time.Time
	if result.Kind != orderer.EndDone && result.Kind != orderer.EndFailed {
		return until
	}
	for _, lost := range w.LostStarts(wt.Now) {
		if lost.IsHarmful && lost.Ref == result.Task && lost.Until().After(until) {
			until = lost.Until()
		}
	}
	return until
}

// applyResults applies the new results of ended runs at a worker. They are acknowledged, so
// that the worker may discard them, once the changes that they cause are persisted.
func (wt *Watcher) applyResults(w *monitor.Worker, results []orderer.RunResult) {
	for _, result := range results {
		if !w.Results.Record(result.Number) {
			continue
		}
		wt.reconciler.ApplyResult(w, result)
		w.Results.Await(acknowledger.Result{Number: result.Number, Batch: wt.Persister.Batch(), NotBefore: wt.mayStartAgainUntil(w, result)})
	}
	w.Results.MarkDurable(wt.Persister.LastDurable(), wt.Now)
}
