// Package follower reads a topic of the platform's store. It first lists the newest record of
// each key, then reads new records as they are appended. If the store no longer has the next
// record, it lists the topic again.
//
// # Usage
//
//	f := follower.Follower{
//		Store: store, Clock: clock, Logger: logger, Topic: storer.Jobs, Reset: reset, Apply: apply,
//		Pause: pause,
//	}
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
	// ReadWait is how long a read may wait at the store for a record.
	ReadWait = time.Second
	// readTimeoutMargin is how much longer a reply may take before the connection counts as dead.
	readTimeoutMargin = 1500 * time.Millisecond
	// retryPause is the pause after a failed read.
	retryPause = 150 * time.Millisecond
	// checkInterval separates the reads that check whether the store replies again. They are in flight
	// beside each other, as a connection on which one got no reply may return nothing further.
	checkInterval = 500 * time.Millisecond
)

// Follower reads a topic. ApplyPage, OnFailure and Wake may be nil.
type Follower struct {
	Store  storer.Store
	Clock  clockwork.Clock
	Logger *zap.Logger
	Topic  storer.Topic
	// Reset receives the newest record of each key, by offset. It is called at the start, after
	// each RelistInterval, and after the store dropped records that were not read yet.
	Reset func(entries []storer.Entry)
	// ApplyPage receives each page of the newest records as soon as it is read, before Reset gets all.
	ApplyPage func(entries []storer.Entry)
	// Apply receives new records in log order; it is also called with none after an empty read.
	Apply func(entries []storer.Entry)
	// OnFailure is called after each failed read.
	OnFailure func()
	// Pause returns the pause between reads.
	Pause func() time.Duration
	// RelistInterval is how often the whole topic is listed again; 0 means never.
	RelistInterval time.Duration

	// Wake ends a pause between reads early.
	Wake pauser.Waker
	// isFailing reports whether the last read failed.
	isFailing bool
}

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.follow(ctx); err != nil && ctx.Err() == nil {
			f.recordFailure(err)
			f.awaitStore(ctx)
		}
	}
}

// awaitStore returns after retryPause and once the store has replied to a small read.
func (f *Follower) awaitStore(ctx context.Context) {
	pauser.Pause(ctx, f.Clock, retryPause)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replied := make(chan struct{})
	for {
		go f.check(ctx, replied)
		select {
		case <-replied:
			return
		case <-ctx.Done():
			return
		case <-f.Clock.After(checkInterval):
		}
	}
}

// check sends a small read and reports a reply to replied.
func (f *Follower) check(ctx context.Context, replied chan<- struct{}) {
	readCtx, cancel := context.WithTimeout(ctx, ReadWait+readTimeoutMargin)
	defer cancel()
	_, err := f.Store.Read(readCtx, storer.Reports, 0, 0)
	if err != nil && !errors.Is(err, storer.ErrRecordsRemoved) {
		return
	}
	select {
	case replied <- struct{}{}:
	case <-ctx.Done():
	}
}

// follow lists the newest records, then reads new ones until the store no longer has the next
// record or the topic is due to be listed again. A failed read is retried at the same offset.
func (f *Follower) follow(ctx context.Context) error {
	from, err := f.readNewest(ctx)
	if err != nil {
		return errors.Errorf("list newest records: %w", err)
	}
	f.recordSuccess()
	listedAt := f.Clock.Now()
	for ctx.Err() == nil {
		if f.RelistInterval > 0 && f.Clock.Since(listedAt) > f.RelistInterval {
			return nil
		}
		entries, err := f.read(ctx, from)
		switch {
		case errors.Is(err, storer.ErrRecordsRemoved):
			f.Logger.Info("store: Unread records were dropped from the log; listing the topic again.", zap.Stringer("topic", f.Topic), zap.Int64("from", from))
			return nil
		case err != nil:
			f.recordFailure(err)
			f.awaitStore(ctx)
			continue
		}
		f.recordSuccess()
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

func (f *Follower) recordFailure(err error) {
	if !f.isFailing {
		f.Logger.Warn("store: Reading the topic failed; retrying until it succeeds.", zap.Stringer("topic", f.Topic), zap.String("error", err.Error()))
	}
	f.isFailing = true
	if f.OnFailure != nil {
		f.OnFailure()
	}
}

func (f *Follower) recordSuccess() {
	if f.isFailing {
		f.Logger.Info("store: Reading the topic succeeded again.", zap.Stringer("topic", f.Topic))
	}
	f.isFailing = false
}

func (f *Follower) read(ctx context.Context, from int64) ([]storer.Entry, error) {
	readCtx, cancel := context.WithTimeout(ctx, ReadWait+readTimeoutMargin)
	defer cancel()
	return f.Store.Read(readCtx, f.Topic, from, ReadWait)
}

// readNewest passes the newest record of each key to Reset and returns the offset to read from.
// That is the end of the log at the time of the first page, since the pages together are not a
// consistent snapshot.
func (f *Follower) readNewest(ctx context.Context) (int64, error) {
	var entries []storer.Entry
	after, from := "", int64(-1)
	startedAt, pages := f.Clock.Now(), 0
	for {
		readCtx, cancel := context.WithTimeout(ctx, ReadWait+readTimeoutMargin)
		page, err := f.Store.Newest(readCtx, f.Topic, after)
		cancel()
		if err != nil {
			return 0, err
		}
		if from < 0 {
			from = page.End
		}
		if f.ApplyPage != nil {
			f.ApplyPage(page.Entries)
		}
		entries = append(entries, page.Entries...)
		pages++
		if page.After == "" {
			f.logList(pages, len(entries), from, page.End, f.Clock.Since(startedAt))
			break
		}
		after = page.After
	}
	slices.SortFunc(entries, func(a, b storer.Entry) int { return cmp.Compare(a.Offset, b.Offset) })
	f.Reset(entries)
	return from, nil
}

// logList logs how long the list took and how many records were appended meanwhile. Lists that are read
// again and again are not logged.
func (f *Follower) logList(pages, records int, from, end int64, took time.Duration) {
	if f.RelistInterval > 0 {
		return
	}
	f.Logger.Info("store: Listed the topic.", zap.Stringer("topic", f.Topic), zap.Int("pages", pages), zap.Int("records", records),
		zap.Int64("from", from), zap.Int64("appended_meanwhile", end-from), zap.Duration("took", took))
}
