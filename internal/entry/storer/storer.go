// Package storer defines the interface of the platform's store as entry hosts use it: compacted
// logs of keyed records, in which the newest record of each key is durable.
//
// # Usage
//
//	offset, err := store.Append(ctx, storer.Append{Records: records})
//	if errors.Is(err, storer.ErrOutcomeUnknown) {
//		// the append may have taken effect, or may do so later
//	}
package storer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/fleet/journaler"
)

// Errors of a store. After any other error it is unknown whether the call took effect.
var (
	// ErrRefused means that the call had no effect.
	ErrRefused = errors.New("the store refused")
	// ErrInvalid means that the call had no effect and never will have one as it is, such as an append with a
	// record that is too large. Errors that wrap it wrap ErrRefused as well.
	ErrInvalid = errors.New("the store does not take such a call")
	// ErrFenced means that a later writer has appended, so the store rejects the call.
	ErrFenced = errors.New("a later writer has appended")
	// ErrOutcomeUnknown means that the outcome is unknown: the call may have taken effect, or may do
	// so later.
	ErrOutcomeUnknown = errors.New("the store did not answer")
	// ErrRecordsRemoved means that the store no longer has the requested records.
	ErrRecordsRemoved = errors.New("the store no longer has the requested records")
)

// Topic is a log of the store.
type Topic uint8

// Topics.
const (
	// Jobs has the submissions and cancellations of callers, the drains that operators set, and the
	// announcements of entry hosts.
	Jobs Topic = iota
	// Claims has the claims, and the heartbeats and job progress that their holders append.
	Claims
	// Operators has the configuration and the waves of upkeep that operators set.
	Operators
	// Workers has the host list, to which each worker writes its own entry.
	Workers
	// Reports has the reports to operators on the progress of waves.
	Reports
)

var topicNames = [...]string{"jobs", "claims", "operators", "workers", "reports"}

// String returns the topic's name in logs and metrics.
func (t Topic) String() string { return topicNames[t] }

// Append is a call that appends records to a topic atomically: all or none.
type Append struct {
	Topic   Topic
	Records []journaler.Record
	// Epoch and Sequence fence the appends of former holders and make retries idempotent. An
	// append with an Epoch of 0 is not fenced.
	Epoch    int64
	Sequence int64
}

// Entry is a record with its offset in the log.
type Entry struct {
	Offset int64
	journaler.Record
}

// Batch has the records of a topic up to an offset: those of a range of the log, or the newest record of
// each key.
type Batch struct {
	Entries []Entry
	// Next is the offset of the first record that may be missing.
	Next int64
	// End is the offset after the last record of the log at the time of the store's last reply.
	End int64
}

// IsAtEnd reports whether no record was missing when the store replied last.
func (b Batch) IsAtEnd() bool { return b.Next >= b.End }

// Keys returns the keys of the records.
func (b Batch) Keys() map[string]bool {
	keys := make(map[string]bool, len(b.Entries))
	for _, e := range b.Entries {
		keys[e.Key] = true
	}
	return keys
}

// Page is one page of a list of the newest record of each key.
type Page struct {
	Entries []Entry
	// After is the key after which the next page continues; empty on the last page.
	After string
	// End is the offset after the last record of the log.
	End int64
}

// Appender appends records to the platform's store.
type Appender interface {
	// Append returns the offset of the first record.
	Append(ctx context.Context, call Append) (int64, error)
}

// Store is the platform's store.
type Store interface {
	Appender
	// Read returns records from an offset on, as many as the store returns at a time. It waits at most
	// wait for the first one.
	Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (Batch, error)
	// Newest returns a page of the newest records of the keys after the given one.
	Newest(ctx context.Context, topic Topic, after string) (Page, error)
}

// Check reads from an offset on without waiting for records, to check that a store replies. It does not matter whether the
// records are still there.
func Check(ctx context.Context, s Store, topic Topic, from int64) error {
	_, err := s.Read(ctx, topic, from, 0)
	if errors.Is(err, ErrRecordsRemoved) {
		return nil
	}
	return errors.Wrap(err, "check the store")
}
