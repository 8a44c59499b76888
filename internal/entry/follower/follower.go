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
	// each RelistInterval, and after the store dropped records that were not read yet. Records that
	// were appended since the first page was read may be missing.
	Reset func(list storer.Batch)
	// ApplyPage receives each page of the newest records as soon as it is read, before Reset gets all.
	ApplyPage func(entries []storer.Entry)
	// Apply receives new records in log order; it is also called with none after an empty read.
	Apply func(batch storer.Batch)
	// OnFailure is called after each failed read.
	OnFailure func()
	// Pause returns the pause between reads. There is none while the log has more records.
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
	list, err := f.readNewest(ctx)
	if err != nil {
		return errors.Errorf("list newest records: %w", err)
	}
	f.Reset(list)
	f.recordSuccess()
	from := list.Next
	listedAt := f.Clock.Now()
	for ctx.Err() == nil {
		if f.RelistInterval > 0 && f.Clock.Since(listedAt) > f.RelistInterval {
			return nil
		}
		batch, err := f.read(ctx, from)
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
		from = batch.Next
		f.Apply(batch)
		hasMore := !batch.IsAtEnd() && len(batch.Entries) > 0
		if wait := f.Pause(); wait > 0 && !hasMore {
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

func (f *Follower) read(ctx context.Context, from int64) (storer.Batch, error) {
	readCtx, cancel := context.WithTimeout(ctx, ReadWait+readTimeoutMargin)
	defer cancel()
	return f.Store.Read(readCtx, f.Topic, from, ReadWait)
}

// readNewest returns the newest record of each key, by offset. The list is complete up to the end of the
// log at the time of the first page, since the pages together are not a consistent snapshot.
func (f *Follower) readNewest(ctx context.Context) (storer.Batch, error) {
	var list storer.Batch
	startedAt := f.Clock.Now()
	for after, pages := "", 1; ; pages++ {
		readCtx, cancel := context.WithTimeout(ctx, ReadWait+readTimeoutMargin)
		page, err := f.Store.Newest(readCtx, f.Topic, after)
		cancel()
		if err != nil {
			return storer.Batch{}, err
		}
		if after == "" {
			list.Next = page.End
		}
		list.End = page.End
		if f.ApplyPage != nil {
			f.ApplyPage(page.Entries)
		}
		list.Entries = append(list.Entries, page.Entries...)
		if after = page.After; after == "" {
			f.logList(list, pages, f.Clock.Since(startedAt))
			break
		}
	}
	slices.SortFunc(list.Entries, func(a, b storer.Entry) int { return cmp.Compare(a.Offset, b.Offset) })
	return list, nil
}

// logList logs how long the list took and how many records were appended meanwhile. Lists that are read
// again and again are not logged.
func (f *Follower) logList(list storer.Batch, pages int, took time.Duration) {
	if f.RelistInterval > 0 {
		return
	}
	f.Logger.Info("store: Listed the topic.", zap.Stringer("topic", f.Topic), zap.Int("pages", pages), zap.Int("records", len(list.Entries)),
		zap.Int64("from", list.Next), zap.Int64("appended_meanwhile", list.End-list.Next), zap.Duration("took", took))
}
