// Package tracker tracks what an entry host has read from the store and when, which tells whether the host
// reaches the store, which records of the jobs it may not have read yet, and when it last read one of a former
// holder (a host whose claim made it the leader).
//
// # Usage
//
//	var t tracker.Tracker
//	for _, e := range t.RecordJobs(now, batch) {
//		// apply a record that was not read before
//	}
//	if t.IsStoreDown(now) {
//		// refuse what would have to be persisted
//	}
//	var former tracker.FormerRecords
//	former.RecordRead(now)
//	former.RecordClaim(epoch)
//	seenAt := former.SeenBefore(epoch)
package tracker

import (
	"slices"
	"time"

	"lentilrock.example/internal/entry/follower"
	"lentilrock.example/internal/entry/storer"
)

const (
	// storeTimeout is how long after the last read a store that does not reply counts as down. It
	// exceeds the second that a read may wait for records.
	storeTimeout = follower.ReadWait + 900*time.Millisecond
	// storeErrorTimeout is how long after the last read a store that returns errors counts as down.
	storeErrorTimeout = 700 * time.Millisecond
)

// Tracker has the times of reads. The zero value has none. It is not safe for concurrent use.
type Tracker struct {
	// JobsAt and ClaimsAt are when these topics were last read to the end of the log.
	JobsAt   time.Time
	ClaimsAt time.Time
	// ClaimsFailedAt is when a read of the claims last failed.
	ClaimsFailedAt time.Time
	// storeAt is when the store last replied to a read of any topic.
	storeAt time.Time
	// nextJob and nextClaim are the offsets of the first records that may not have been read.
	nextJob   int64
	nextClaim int64
}

// RecordJobs records that jobs were read and returns the records that were not read before.
func (t *Tracker) RecordJobs(now time.Time, batch storer.Batch) []storer.Entry {
	t.storeAt = now
	if batch.IsAtEnd() {
		t.JobsAt = now
	}
	return advance(&t.nextJob, batch)
}

// RecordClaims records that claims were read and returns the records that were not read before.
func (t *Tracker) RecordClaims(now time.Time, batch storer.Batch) []storer.Entry {
	t.storeAt = now
	if batch.IsAtEnd() {
		t.ClaimsAt = now
	}
	return advance(&t.nextClaim, batch)
}

// advance moves next to that of a batch and returns the records of the batch from the former next on. A list
// has newer records, too, but not all of them.
func advance(next *int64, batch storer.Batch) []storer.Entry {
	former := *next
	*next = max(former, batch.Next)
	i := slices.IndexFunc(batch.Entries, func(e storer.Entry) bool { return e.Offset >= former })
	if i < 0 {
		return nil
	}
	return batch.Entries[i:]
}

// Next returns the offset of the first record of the jobs or the claims that may not have been read.
func (t *Tracker) Next(topic storer.Topic) int64 {
	if topic == storer.Jobs {
		return t.nextJob
	}
	return t.nextClaim
}

// RecordReply records that the store replied to a read.
func (t *Tracker) RecordReply(now time.Time) { t.storeAt = now }

// HasReadAll reports whether the jobs and the claims were each read to the end of the log at least once.
func (t *Tracker) HasReadAll() bool { return !t.JobsAt.IsZero() && !t.ClaimsAt.IsZero() }

// ViewAt returns how recent the view of the jobs is. Submissions are in the topic of jobs or, if a
// holder persisted them, in that of claims.
func (t *Tracker) ViewAt() time.Time {
	if t.ClaimsAt.Before(t.JobsAt) {
		return t.ClaimsAt
	}
	return t.JobsAt
}

// IsStoreDown reports whether the store has not replied, or replied only with errors, for too long.
func (t *Tracker) IsStoreDown(now time.Time) bool {
	sinceReply := now.Sub(t.storeAt)
	return sinceReply > storeTimeout || sinceReply > storeErrorTimeout && t.ClaimsFailedAt.After(t.storeAt)
}
