package holder

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/dispatcher"
	"lentilrock.example/internal/fleet/journaler"
)

const (
	// submissionQueueSize bounds the submissions that wait to be appended.
	submissionQueueSize = 1024
	// maxSubmissions and maxSubmissionsBytes bound the submissions in one append, so that it stays below
	// the largest request that the store accepts. The holder repeats its appends until they succeed.
	maxSubmissions      = 256
	maxSubmissionsBytes = 512 << 10
	// suspiciousAfter is how long an append may have no reply before it is checked whether the store
	// replies at all. An append to a fast store from a distant host takes less.
	suspiciousAfter = 600 * time.Millisecond
	// unresponsiveAfter is how long an append may have no reply before submissions are refused, even
	// if the store replies to reads. An append to a slow store takes less.
	unresponsiveAfter = 1500 * time.Millisecond
)

// MaxSubmissionBytes is the size of the largest record that Submit takes.
const MaxSubmissionBytes = 64 << 10

// ErrStopped means that the holder stopped before it learned the outcome of an append. Errors that
// also wrap storer.ErrRefused mean that the submission was not sent.
var ErrStopped = errors.New("the holder has stopped")

// States of a submission.
const (
	submissionQueued = iota
	submissionTaken
	submissionWithdrawn
)

// submission is a job's submission with the caller that waits for its append.
type submission struct {
	id     describer.JobID
	record journaler.Record
	state  atomic.Int32
	reply  chan error
}

// Submit persists a job's submission and the beginning of its progress in one append under the
// claim, so that its tasks may start once that append is durable. Errors wrap storer.ErrRefused, after
// which the record is never stored, ErrStopped or storer.ErrOutcomeUnknown.
func (h *Holder) Submit(ctx context.Context, id describer.JobID, record journaler.Record) error {
	if !h.mayAppend(ctx) {
		return errors.Errorf("submit job %s: appends to the store fail: %w", id, storer.ErrRefused)
	}
	s := &submission{id: id, record: record, reply: make(chan error, 1)}
	if !h.submissions.Offer(s) {
		return errors.Errorf("submit job %s: too many submissions wait: %w", id, storer.ErrRefused)
	}
	h.saveWaker.Wake()
	var err error
	select {
	case err = <-s.reply:
		return err
	case <-ctx.Done():
		err = storer.ErrOutcomeUnknown
	case <-h.saveStopped:
		err = ErrStopped
	}
	if s.state.CompareAndSwap(submissionQueued, submissionWithdrawn) {
		err = errors.Mark(err, storer.ErrRefused)
	}
	return errors.Errorf("submit job %s: %w", id, err)
}

// mayAppend reports whether a submission is likely to be appended in time. Otherwise it is refused
// before it is sent.
func (h *Holder) mayAppend(ctx context.Context) bool {
	h.mu.Lock()
	since, failingSince := h.appendingSince, h.failingSince
	h.mu.Unlock()
	now := h.options.Clock.Now()
	switch {
	case since.IsZero() || now.Sub(since) <= suspiciousAfter:
		return failingSince.IsZero() || now.Sub(failingSince) <= maxFailingTime
	case now.Sub(since) > unresponsiveAfter:
		return false
	}
	return h.options.StoreReplies(ctx)
}

// takeSubmissions returns the next submissions to append and the records that persist them. It replies
// to those of jobs that are known already. A submission that repeats one of the batch is set aside for the next
// batch: whether it may repeat that one is known only once that one is applied. Only the goroutine that saves calls it.
func (h *Holder) takeSubmissions(d *dispatcher.Dispatcher) ([]*submission, []journaler.Record) {
	var taken []*submission
	var records []journaler.Record
	size := 0
	isTaken := make(map[describer.JobID]bool)
	former := h.repeated
	h.repeated = nil
	for len(taken) < maxSubmissions && size < maxSubmissionsBytes && len(h.repeated) < submissionQueueSize {
		var s *submission
		if len(former) > 0 {
			s, former = former[0], former[1:]
		} else {
			polled, found := h.submissions.Poll()
			if !found {
				break
			}
			if !polled.state.CompareAndSwap(submissionQueued, submissionTaken) {
				continue
			}
			s = polled
		}
		if isTaken[s.id] {
			// It stays taken, so that its caller can't withdraw it: a refusal would be false if the first one is stored.
			h.repeated = append(h.repeated, s)
			continue
		}
		accepted, err := d.AcceptJob(s.id, s.record)
		if err != nil {
			s.reply <- errors.Mark(err, storer.ErrRefused)
			continue
		}
		if len(accepted) == 0 {
			s.reply <- nil
			continue
		}
		isTaken[s.id] = true
		taken, records = append(taken, s), append(records, accepted...)
		size += len(s.record.Value)
	}
	h.repeated = append(h.repeated, former...)
	if len(h.repeated) > 0 || h.submissions.Len() > 0 {
		h.saveWaker.Wake()
	}
	return taken, records
}
