// Package follower reads a topic of the platform's store: first the newest record of each
// key, then all that come, and again from the beginning where records were lost.
//
// # Usage
//
//	f := follower.Follower{Store: store, Clock: clock, Topic: storer.Jobs, Reset: reset, Apply: apply}
//	f.Run(ctx)
package follower

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/node/pauser"
)

const (
	// ReadWait is how long the store may hold a read back for a record.
	ReadWait = time.Second
	// readSlack is how much longer an answer may take before the connection counts as dead.
	readSlack = 1500 * time.Millisecond
	// failurePause separates reads that fail.
	failurePause = 150 * time.Millisecond
)

// Follower reads a topic. Failed may be nil.
type Follower struct {
	Store  storer.Store
	Clock  clockwork.Clock
	Logger *zap.Logger
	Topic  storer.Topic
	// Reset takes in the newest records; it is called again after records were lost.
	Reset func(entries []storer.Entry)
	// Apply takes in records in their order; it is also called without any.
	Apply func(entries []storer.Entry)
	// Failed is told of each read that failed.
	Failed func()
	// Pause returns how long to wait between reads.
	Pause func() time.Duration
	// Relist is how often all is read again; 0 means never.
	Relist time.Duration

	// Wake, where not nil, ends a pause early.
	Wake pauser.Waker
	// isDown reports that the last read failed.
	isDown bool
}

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.follow(ctx); err != nil && ctx.Err() == nil {
			f.fail(err)
			pauser.Pause(ctx, f.Clock, failurePause)
		}
	}
}

// follow reads all newest records, then follows until the records are gone or it is time to
// read all again. Reads that fail are repeated from where they were.
func (f *Follower) follow(ctx context.Context) error {
	from, err := f.readNewest(ctx)
	if err != nil {
		return errors.Errorf("read newest: %w", err)
	}
	f.succeed()
	began := f.Clock.Now()
	for ctx.Err() == nil {
		if f.Relist > 0 && f.Clock.Since(began) > f.Relist {
			return nil
		}
		entries, err := f.read(ctx, from)
		switch {
		case errors.Is(err, storer.ErrForgotten):
			f.Logger.Info("store: Records are gone, all is read again.", zap.Stringer("topic", f.Topic), zap.Int64("from", from))
			return nil
		case err != nil:
			f.fail(err)
			pauser.Pause(ctx, f.Clock, failurePause)
			continue
		}
		f.succeed()
		if len(entries) > 0 {
			from = entries[len(entries)-1].Offset + 1
		}
		f.Apply(entries)
		if wait := f.Pause(); wait > 0 {
			f.Wake.Pause(ctx, f.Clock, wait)
		}
	}
	return ctx.Err()
}

func (f *Follower) fail(err error) {
	if !f.isDown {
		f.Logger.Warn("store: The topic can't be read.", zap.Stringer("topic", f.Topic), zap.String("error", err.Error()))
	}
	f.isDown = true
	if f.Failed != nil {
		f.Failed()
	}
}

func (f *Follower) succeed() {
	if f.isDown {
		f.Logger.Info("store: The topic is read again.", zap.Stringer("topic", f.Topic))
	}
	f.isDown = false
}

func (f *Follower) read(ctx context.Context, from int64) ([]storer.Entry, error) {
	reading, cancel := context.WithTimeout(ctx, ReadWait+readSlack)
	defer cancel()
	return f.Store.Read(reading, f.Topic, from, ReadWait)
}

// readNewest takes in the newest record of each key and returns where to go on: the end at
// the time of the first page, since pages are no snapshot.
func (f *Follower) readNewest(ctx context.Context) (int64, error) {
	var entries []storer.Entry
	after, from := "", int64(-1)
	for {
		reading, cancel := context.WithTimeout(ctx, ReadWait+readSlack)
		page, err := f.Store.Newest(reading, f.Topic, after)
		cancel()
		if err != nil {
			return 0, err
		}
		if from < 0 {
			from = page.End
		}
		entries = append(entries, page.Entries...)
		if page.After == "" {
			break
		}
		after = page.After
	}
	slices.SortFunc(entries, func(a, b storer.Entry) int { return cmp.Compare(a.Offset, b.Offset) })
	f.Reset(entries)
	return from, nil
}
