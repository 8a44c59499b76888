// Package storer defines what an entry host needs of the platform's store: logs of keyed
// records, of which the newest of each key lasts.
//
// # Usage
//
//	offset, err := store.Append(ctx, storer.Append{Records: records})
//	if errors.Is(err, storer.ErrNotKnown) {
//		// it may take effect later
//	}
package storer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/fleet/journaler"
)

// Errors of a store. Any other error leaves open whether the call took effect.
var (
	// ErrRefused means that the store did nothing.
	ErrRefused = errors.New("the store refused")
	// ErrFenced means that a later writer has appended.
	ErrFenced = errors.New("a later writer has appended")
	// ErrNotKnown means that the call may have taken effect, or may do so later.
	ErrNotKnown = errors.New("the store did not answer")
	// ErrForgotten means that the records asked for are gone.
	ErrForgotten = errors.New("the records are gone")
)

// Topic is a log of the store.
type Topic uint8

// Topics.
const (
	// Jobs has what callers handed in and cancelled, and the entry hosts.
	Jobs Topic = iota
	// Claims has what the holders of the claim wrote.
	Claims
	// Operators has what operators set.
	Operators
	// Workers has what workers say of themselves.
	Workers
	// Reports has what operators are told.
	Reports
)

var topicNames = [...]string{"jobs", "claims", "operators", "workers", "reports"}

// String returns the topic's name in logs.
func (t Topic) String() string { return topicNames[t] }

// Append is a call that adds records to one of the cell's topics, all or none.
type Append struct {
	Topic   Topic
	Records []journaler.Record
	// Epoch and Sequence fence off the appends of former writers; an Epoch of 0 does not.
	Epoch    int64
	Sequence int64
}

// Entry is a record at its offset.
type Entry struct {
	Offset int64
	journaler.Record
}

// Page is a part of the newest records of each key.
type Page struct {
	Entries []Entry
	// After continues behind a key; empty where nothing is left.
	After string
	// End is the offset behind the log's last record.
	End int64
}

// Store is the platform's store.
type Store interface {
	// Append returns the offset of the first record.
	Append(ctx context.Context, call Append) (int64, error)
	// Read returns the records from an offset on; it waits for the first one.
	Read(ctx context.Context, topic Topic, from int64, wait time.Duration) ([]Entry, error)
	// Newest returns the newest records of the keys behind one.
	Newest(ctx context.Context, topic Topic, after string) (Page, error)
}
