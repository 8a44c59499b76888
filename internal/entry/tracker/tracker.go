// Package tracker tracks when an entry host last read from the store, which tells whether the host
// reaches the store and how recent its view of the jobs is.
//
// # Usage
//
//	var t tracker.Tracker
//	t.RecordJobs(now)
//	if t.IsStoreDown(now) {
//		// refuse what would have to be persisted
//	}
package tracker

import (
	"time"

	"lentilrock.example/internal/entry/follower"
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
	// JobsAt and ClaimsAt are when these topics were last read in full.
	JobsAt   time.Time
	ClaimsAt time.Time
	// ClaimsFailedAt is when a read of the claims last failed.
	ClaimsFailedAt time.Time
	// storeAt is when the store last replied to a read of any topic.
	storeAt time.Time
}

// RecordJobs records that the jobs were read to their end.
func (t *Tracker) RecordJobs(now time.Time) { t.JobsAt, t.storeAt = now, now }

// RecordClaims records that the claims were read to their end.
func (t *Tracker) RecordClaims(now time.Time) { t.ClaimsAt, t.storeAt = now, now }

// RecordReply records that the store replied to a read.
func (t *Tracker) RecordReply(now time.Time) { t.storeAt = now }

// HasReadAll reports whether the jobs and the claims were each read at least once.
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
