package monitor

import "time"

// restartNotice is what the replies to starts have shown of a restart, before the reply to a poll has told of the new
// incarnation.
type restartNotice struct {
	// at is when the last of these replies arrived; zero if there is none.
	at time.Time
	// runs are those that the new incarnation has accepted.
	runs map[RunKey]bool
}

// RestartNoticed records that the start of a run was accepted by a later incarnation, which may have taken the longest lease
// from a deadline on the clock of the former one.
func (w *Worker) RestartNoticed(run RunKey, now time.Time, longest time.Duration) {
	if w.notice.runs == nil {
		w.notice.runs = make(map[RunKey]bool)
	}
	w.notice.at, w.notice.runs[run] = now, true
	w.Lease.Cover(now, longest)
}

// IsRestartNoticed reports whether the worker has restarted and its incarnation, with the numbers of its results, is not known.
func (w *Worker) IsRestartNoticed() bool { return !w.notice.at.IsZero() }

// TakeNoticedRuns returns the runs that the next incarnation has accepted, and ends the notice.
func (w *Worker) TakeNoticedRuns() map[RunKey]bool {
	runs := w.notice.runs
	w.notice = restartNotice{}
	return runs
}

// EndRestartNotice ends the notice once the worker has replied to a poll that was sent after it.
func (w *Worker) EndRestartNotice(polledAt time.Time) {
	if polledAt.After(w.notice.at) {
		w.notice = restartNotice{}
	}
}

// MayDiscardResults reports whether a poll to the current incarnation that acknowledges results may still reach the next one,
// which would discard its own results by their numbers.
func (w *Worker) MayDiscardResults(now time.Time) bool {
	isLost := !w.lostAcknowledgementAt.IsZero() && now.Sub(w.lostAcknowledgementAt) < MaxLateness
	return w.acknowledgementsInFlight > 0 || isLost || w.stalePolls > 0 || now.Before(w.mayDiscardUntil)
}
