// Package monitor holds the claim holder's record of a worker: its host list entry, incarnation,
// lease, runs and health, and whether it may be given more tasks.
//
// The claim is the record in the log that makes one host the leader, called the holder; the
// epoch of the claim is the fencing token of all its orders.
//
// # Usage
//
//	w := monitor.New(info, lapseAt)
//	if w.AcceptsTasks(now) && need.Fits(w.FreeCapacityFor(step, now)) {
//		w.Add(run)
//	}
package monitor

import (
	"time"

	"lentilrock.example/internal/fleet/acknowledger"
	"lentilrock.example/internal/fleet/breaker"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/leaser"
	"lentilrock.example/internal/fleet/pacer"
	"lentilrock.example/internal/fleet/tasker"
)

const (
	// MaxReplyAge is how old the last reply of a worker may be for tasks to be started there.
	MaxReplyAge = 1500 * time.Millisecond
	// UnresponsiveAfter is how long after its last reply a worker counts as unresponsive. The runs
	// there are then persisted with the progress of their jobs, and speculative copies of them are
	// worth the capacity that they take.
	UnresponsiveAfter = 800 * time.Millisecond
	// RetryPause is the backoff before an order without a reply is sent again.
	RetryPause = 300 * time.Millisecond
	// startTimeoutMargin is added to three round-trip times to get the timeout of a start.
	startTimeoutMargin = 120 * time.Millisecond
	// maxStartsInFlight bounds the starts without a verdict, as more than the connections to a worker can
	// carry would wait for one until they time out.
	maxStartsInFlight = 24
	// MaxLateness is how long after it was sent a call without a reply may be carried out.
	MaxLateness = 12 * time.Second
	// maxRuns bounds the runs on a worker, which lists all of them in each reply to a poll.
	maxRuns = 1024
	// maxStartTimeout is the upper bound of the timeout of a start.
	maxStartTimeout = 500 * time.Millisecond
	// roundTripWeight is the divisor of the moving average of round-trip times: a new sample
	// counts one eighth, as in TCP.
	roundTripWeight = 8
)

// RunKey identifies a run on a worker.
type RunKey struct {
	Ref    describer.TaskRef
	Number int64
}

// KeyOf returns the key of a run on its worker.
func KeyOf(r *tasker.Run) RunKey { return RunKey{r.Ref, r.Number} }

// Reservation reserves capacity on a worker for one step.
type Reservation struct {
	Step   *tasker.Step
	Charge describer.Resources
	Until  time.Time
}

// IsHeldForOther reports whether the reservation is in force for a step other than s.
func (r Reservation) IsHeldForOther(s *tasker.Step, now time.Time) bool {
	return r.Step != nil && r.Step != s && now.Before(r.Until)
}

// Worker is the claim holder's record of a worker: its host list entry, lease, runs and health.
type Worker struct {
	Info describer.Worker
	// IsListed reports that the worker is in the host list.
	IsListed bool
	// LeavesAt is when the worker may leave at the earliest; zero if it does not drain or doesn't say it.
	LeavesAt time.Time
	// IsEnrolled reports that the newest persisted roster lists the worker as one that is not closed.
	// RosterBatch is the batch whose roster will list it; 0 if no such batch is pending.
	IsEnrolled  bool
	RosterBatch int64
	// IsClosed reports that the worker gets no tasks, as it is unresponsive or leaves, and that its runs are part of the
	// persisted progress. IsListedClosed reports that the newest roster that was taken to be persisted says so.
	IsClosed       bool
	IsListedClosed bool
	// IsDrained reports that operators have drained the worker: no new task may be started there.
	IsDrained bool
	// IsLeaving reports that the worker's machine is about to be taken down for maintenance.
	IsLeaving bool
	// HasUnconfirmedStart reports that a start got no reply, and that the worker has not replied to
	// a poll since.
	HasUnconfirmedStart bool
	// ReplyClock is the worker's clock in the newest reply that was applied.
	ReplyClock time.Duration
	// Runs are all runs that may be active on the worker.
	Runs     map[RunKey]*tasker.Run
	Used     describer.Resources
	Reserved Reservation
	// IsSynced reports that the worker replied to a request with the current fencing token.
	IsSynced bool
	// HasListedResults reports that a reply with the current fencing token omitted no results.
	HasListedResults bool
	// Incarnation is the incarnation that sent the last reply; 0 before the first reply.
	Incarnation int64
	// FormerIncarnation is the incarnation that the former holder knew; 0 if it knew none.
	FormerIncarnation int64
	// restartSeenAt is when the worker first replied, if it had restarted since the former holder persisted the roster: a
	// later holder may have acknowledged results of the former incarnation.
	restartSeenAt time.Time
	// HadLongestLease reports that the worker had the longest lease when the former holder persisted the roster.
	HadLongestLease bool
	// longestLeaseUntil is until when the worker may have the longest lease, as it has restarted; zero if it can't.
	longestLeaseUntil time.Time
	// IncarnationAt is when the first reply of the incarnation arrived.
	IncarnationAt time.Time
	// RepliedAt is when the last reply arrived, and ProbedAt when a poll was ordered to see whether the worker still replies.
	RepliedAt, ProbedAt time.Time
	// notice is what the replies to starts have shown of a restart.
	notice restartNotice
	// pollsInFlight counts the polls without a reply so far, and stalePolls those of them that were
	// sent before the worker began its current incarnation.
	pollsInFlight, stalePolls int
	// acknowledgementsInFlight counts the polls to the current incarnation without a reply so far that acknowledge results.
	acknowledgementsInFlight int
	// lostAcknowledgementAt is when the newest poll to the current incarnation was sent that acknowledges results and
	// got no reply. mayDiscardUntil is until when such a poll to a former incarnation may arrive.
	lostAcknowledgementAt, mayDiscardUntil time.Time
	// lostDeadlineAt is when the newest call to the current incarnation was sent that has a deadline and got no reply.
	// lateDeadlineUntil is until when such a call to a former incarnation may arrive.
	lostDeadlineAt, lateDeadlineUntil time.Time
	// lostStarts are the starts without a reply that may still be carried out, the oldest first.
	lostStarts []LostStart
	// startsInFlight counts the starts without a verdict so far.
	startsInFlight int
	// HasFailedPoll reports that the last poll of the worker failed: it got no reply, or a reply
	// without an inventory.
	HasFailedPoll bool
	Lease         leaser.Lease
	Results       acknowledger.ResultTracker
	Breaker       breaker.Breaker
	Pacer         pacer.Pacer
	// SpeedScore rates how fast the worker is now; see selector.SpeedScore. It is 0 at the usual speed.
	SpeedScore float64
	// IsReportedSlow reports that the log says that the worker is slow.
	IsReportedSlow bool
	// IsReportedMissing and IsReportedRefused report that the log says that the host list has no entry of the worker, and
	// that its address refuses connections.
	IsReportedMissing, IsReportedRefused bool
	// roundTrip is the moving average of the round-trip times of starts.
	roundTrip time.Duration
}

// New returns a worker on which a former holder may have runs until lapseAt.
func New(info describer.Worker, lapseAt time.Time) *Worker {
	return &Worker{Info: info, Runs: make(map[RunKey]*tasker.Run), Lease: leaser.Lease{ExpiresAt: lapseAt}}
}

// SetInfo records the worker's entry of the host list.
func (w *Worker) SetInfo(info describer.Worker, now time.Time) {
	isNews := w.LeavesAt.IsZero() || info.Remaining != w.Info.Remaining
	switch {
	case !info.Draining:
		w.LeavesAt = time.Time{}
	case isNews && info.Remaining > 0:
		w.LeavesAt = now.Add(info.Remaining)
	}
	w.Info, w.IsListed = info, true
}

// IsAboutToLeave reports whether the worker may leave within a time.
func (w *Worker) IsAboutToLeave(within time.Duration, now time.Time) bool {
	return !w.LeavesAt.IsZero() && w.LeavesAt.Sub(now) < within
}

// Add records a run that may be active on the worker and charges its resources.
func (w *Worker) Add(r *tasker.Run) {
	w.Runs[KeyOf(r)] = r
	w.Used = w.Used.Plus(r.Charge)
}

// Remove deletes a run that is not active on the worker and never will be.
func (w *Worker) Remove(r *tasker.Run) {
	delete(w.Runs, KeyOf(r))
	w.Used = w.Used.Minus(r.Charge)
}

// FreeCapacity returns the capacity that no run is charged for.
func (w *Worker) FreeCapacity() describer.Resources { return w.Info.Capacity.Minus(w.Used) }

// FreeCapacityFor returns the free capacity that a step may use. Capacity that is reserved for
// another step is not part of it.
func (w *Worker) FreeCapacityFor(s *tasker.Step, now time.Time) describer.Resources {
	if w.Reserved.IsHeldForOther(s, now) {
		return w.FreeCapacity().Minus(w.Reserved.Charge)
	}
	return w.FreeCapacity()
}

// MayHaveUnknownRuns reports whether the worker may have runs of a former holder, or results of
// such runs, that this holder does not know. The runs on a closed worker are known, as they are part of the
// persisted progress. confirmedAt is when the newest append under the claim that succeeded was sent.
func (w *Worker) MayHaveUnknownRuns(confirmedAt time.Time) bool {
	isUnread := !w.IsSynced && !w.IsClosed || w.IsSynced && !w.HasListedResults
	if !w.restartSeenAt.IsZero() && !w.restartSeenAt.Before(confirmedAt) {
		return true
	}
	return isUnread && w.MayHaveUnlistedRuns(confirmedAt)
}

// MayHaveUnlistedRuns is like MayHaveUnknownRuns for jobs whose persisted progress does not list the runs
// on closed workers.
func (w *Worker) MayHaveUnlistedRuns(confirmedAt time.Time) bool {
	return (!w.IsSynced || !w.HasListedResults) && !w.Lease.HasExpired(confirmedAt)
}

// HasExpired reports whether the worker can no longer run anything: all its leases have expired, and it has not replied
// for MaxReplyAge. Nothing else shows that without a reply: an entry may expire, and an address may refuse connections,
// while the worker is alive. A later holder may have renewed its lease, or acknowledged its results, unless an append under
// the claim has succeeded that was sent after that, at confirmedAt.
func (w *Worker) HasExpired(now, confirmedAt time.Time) bool {
	return w.Lease.HasExpired(confirmedAt) && now.Sub(w.RepliedAt) > MaxReplyAge
}

// IsUnresponsive reports whether the worker has not replied for UnresponsiveAfter.
func (w *Worker) IsUnresponsive(now time.Time) bool {
	return w.HasFailedPoll && now.Sub(w.RepliedAt) > UnresponsiveAfter
}

// HasLastRuns reports whether the worker drains and no start can add a run there that is not known: its results were listed,
// and no late start may be carried out, neither one of this holder, which claimed the cell at claimedAt, nor one of a former
// holder.
func (w *Worker) HasLastRuns(claimedAt, now time.Time) bool {
	return w.Info.Draining && w.HasListedResults && now.Sub(claimedAt) >= MaxLateness && len(w.LostStarts(now)) == 0
}

// AcceptsTasks reports whether tasks may be started on the worker. The host list entry and the
// replies must be of the same incarnation, since another one may have a different capacity. The worker gets no tasks
// until polls that were sent to a former incarnation are back, and none can arrive any more that acknowledges results by
// their numbers: it would discard those of the current one, and their tasks would run again.
func (w *Worker) AcceptsTasks(now time.Time) bool {
	isSameIncarnation := w.Info.Incarnation == 0 || w.Info.Incarnation == w.Incarnation
	isResponsive := w.IsSynced && !w.HasFailedPoll && !w.HasUnconfirmedStart && w.Lease.IsKnown() && now.Sub(w.RepliedAt) < MaxReplyAge
	hasRoom := w.startsInFlight < maxStartsInFlight && len(w.Runs) < maxRuns
	keepsResults := w.stalePolls == 0 && !now.Before(w.mayDiscardUntil) && !w.IsRestartNoticed()
	isAvailable := w.IsListed && w.IsEnrolled && !w.Info.Draining && !w.IsLeaving && !w.IsDrained
	return isAvailable && isSameIncarnation && isResponsive && hasRoom && keepsResults && w.Breaker.AllowsStarts(now)
}

// BeginIncarnation records a new incarnation and resets all state that belongs to the former one.
func (w *Worker) BeginIncarnation(incarnation int64, now time.Time) {
	w.Incarnation, w.IncarnationAt, w.ReplyClock, w.IsLeaving = incarnation, now, 0, false
	w.stalePolls = w.pollsInFlight
	w.expectAcknowledgement(w.lostAcknowledgementAt)
	w.lostAcknowledgementAt, w.acknowledgementsInFlight = time.Time{}, 0
	w.expectDeadline(w.lostDeadlineAt)
	w.lostDeadlineAt = time.Time{}
	w.Results, w.Breaker, w.Pacer = acknowledger.ResultTracker{}, breaker.Breaker{}, pacer.Pacer{}
}

// StartsInFlight returns the number of starts without a verdict so far.
func (w *Worker) StartsInFlight() int { return w.startsInFlight }

// StartSent records that a start is in flight.
func (w *Worker) StartSent() { w.startsInFlight++ }

// StartEnded records the verdict on a start.
func (w *Worker) StartEnded() { w.startsInFlight = max(w.startsInFlight-1, 0) }

// HasRestartedUnnoticed reports whether the worker has begun another incarnation than the former holder knew, and has not
// replied to this one. Such a worker may have a longer lease than the former holder has granted.
func (w *Worker) HasRestartedUnnoticed(incarnation int64) bool {
	return !w.IsSynced && w.FormerIncarnation != 0 && incarnation != 0 && incarnation != w.FormerIncarnation
}

// MayHaveLongestLease reports whether the worker, which replies for the first time, may have the longest lease: it has
// begun this incarnation after the former holder had persisted the roster, or shortly before.
func (w *Worker) MayHaveLongestLease(incarnation int64) bool {
	return w.HadLongestLease || w.FormerIncarnation != 0 && w.FormerIncarnation != incarnation
}

// BeginSync records the first reply of the worker under the current fencing token.
func (w *Worker) BeginSync(incarnation int64, now time.Time) {
	if w.FormerIncarnation != 0 && w.FormerIncarnation != incarnation {
		w.restartSeenAt = now
	}
}

// MayGetLateCalls reports whether calls without a reply may still be carried out that matter to a later incarnation:
// starts, calls with a deadline, and polls that acknowledge results.
func (w *Worker) MayGetLateCalls(now time.Time) bool {
	isOutstanding := func(sentAt time.Time) bool { return !sentAt.IsZero() && now.Sub(sentAt) < MaxLateness }
	isAwaited := isOutstanding(w.lostAcknowledgementAt) || isOutstanding(w.lostDeadlineAt) || w.startsInFlight > 0
	return isAwaited || now.Before(w.mayDiscardUntil) || now.Before(w.lateDeadlineUntil) || len(w.LostStarts(now)) > 0
}

// BeginLongestLease records until when the worker may have the longest lease. An earlier time than the known one changes
// nothing.
func (w *Worker) BeginLongestLease(until time.Time) {
	if until.After(w.longestLeaseUntil) {
		w.longestLeaseUntil = until
	}
}

// HasLongestLease reports whether the worker may have the longest lease.
func (w *Worker) HasLongestLease() bool { return !w.longestLeaseUntil.IsZero() }

// EndLongestLease reports whether the longest lease has just expired.
func (w *Worker) EndLongestLease(now time.Time) bool {
	if w.longestLeaseUntil.IsZero() || now.Before(w.longestLeaseUntil) {
		return false
	}
	w.longestLeaseUntil = time.Time{}
	return true
}

// AcknowledgementLost records that a poll to an incarnation which acknowledges results got no reply. It may still arrive.
func (w *Worker) AcknowledgementLost(incarnation int64, sentAt time.Time) {
	if incarnation == w.Incarnation {
		w.lostAcknowledgementAt = sentAt
		return
	}
	w.expectAcknowledgement(sentAt)
}

// expectAcknowledgement records that a poll to a former incarnation may still arrive.
func (w *Worker) expectAcknowledgement(sentAt time.Time) {
	if until := sentAt.Add(MaxLateness); until.After(w.mayDiscardUntil) {
		w.mayDiscardUntil = until
	}
}

// DeadlineLost records that a call with a deadline got no reply. It may still arrive.
func (w *Worker) DeadlineLost(sentAt time.Time) {
	switch {
	case !sentAt.After(w.IncarnationAt):
		w.expectDeadline(sentAt)
	case sentAt.After(w.lostDeadlineAt):
		w.lostDeadlineAt = sentAt
	}
}

// expectDeadline records that a deadline on the clock of a former incarnation may still arrive.
func (w *Worker) expectDeadline(sentAt time.Time) {
	if until := sentAt.Add(MaxLateness); until.After(w.lateDeadlineUntil) {
		w.lateDeadlineUntil = until
	}
}

// LateDeadlineUntil returns until when a deadline on the clock of a former incarnation may arrive, which lies far ahead
// of that of the current one and gives it the longest lease.
func (w *Worker) LateDeadlineUntil() time.Time { return w.lateDeadlineUntil }

// PollSent records that a poll is in flight.
func (w *Worker) PollSent() { w.pollsInFlight++ }

// AcknowledgementSent records that a poll that is in flight acknowledges results.
func (w *Worker) AcknowledgementSent() { w.acknowledgementsInFlight++ }

// PollEnded records the reply to a poll, or its failure. The incarnation is that of the poll.
func (w *Worker) PollEnded(incarnation int64, isAcknowledging bool) {
	w.pollsInFlight = max(w.pollsInFlight-1, 0)
	switch {
	case incarnation != w.Incarnation:
		w.stalePolls = max(w.stalePolls-1, 0)
	case isAcknowledging:
		w.acknowledgementsInFlight = max(w.acknowledgementsInFlight-1, 0)
	}
}

// Has reports whether the worker has a run that isKind accepts.
func (w *Worker) Has(isKind func(*tasker.Run) bool) bool { return w.Count(isKind) > 0 }

// Count returns the number of runs on the worker that isKind accepts.
func (w *Worker) Count(isKind func(*tasker.Run) bool) int {
	count := 0
	for _, r := range w.Runs {
		if isKind(r) {
			count++
		}
	}
	return count
}

// RecordRoundTrip adds the round-trip time of a start to the moving average.
func (w *Worker) RecordRoundTrip(sample time.Duration) {
	if w.roundTrip == 0 {
		w.roundTrip = sample
	}
	w.roundTrip += (sample - w.roundTrip) / roundTripWeight
}

// StartTimeout returns how long to wait for the reply to a start.
func (w *Worker) StartTimeout() time.Duration {
	if w.roundTrip == 0 {
		return maxStartTimeout
	}
	return min(3*w.roundTrip+startTimeoutMargin, maxStartTimeout)
}
