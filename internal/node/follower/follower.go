// Package follower reads the streams of the platform's log and polls its host list, and passes
// the results to the core as events.
//
// # Usage
//
//	f := follower.New(follower.Options{Log: log, List: list, Core: core, ...})
//	go f.FollowDataCentre(ctx)
//	go f.FollowConfig(ctx)
//	go f.PollHosts(ctx)
package follower

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/cell/recorder"
	"lentilrock.example/internal/core/signaller"
	"lentilrock.example/internal/node/pauser"
	"lentilrock.example/internal/platform/connector"
	"lentilrock.example/internal/platform/messages"
)

const (
	// readWait is how long a read of the data centre's stream waits for new records at the
	// tail. It must be well below the claim window, which is how long a host may act for its
	// shards after it sent a read of the tail.
	readWait = 500 * time.Millisecond
	// configWait is how long a read of the configuration stream waits for new records at the
	// tail.
	configWait   = 2 * time.Second
	readTimeout  = 3 * time.Second
	retryPause   = 200 * time.Millisecond
	listInterval = 500 * time.Millisecond
	listTimeout  = 2 * time.Second
)

// Core receives the events that the follower produces.
type Core interface {
	// Put queues an event and blocks while the queue is full; it returns false if ctx ends.
	Put(ctx context.Context, event signaller.Event) bool
}

// Options configure a Follower and supply its dependencies.
type Options struct {
	Log        connector.Log
	List       connector.HostList
	Clock      clockwork.Clock
	Logger     *zap.Logger
	Core       Core
	DataCentre string
	// OnHosts is called with each host list, in addition to the event for the core.
	OnHosts func(hosts []descriptor.Host)
}

// Follower reads the platform's log and host list.
type Follower struct {
	options Options
	reads   atomic.Uint64
}

// New returns a follower that reads nothing until its loops are started.
func New(options Options) *Follower { return &Follower{options: options} }

// Reads returns the number of read calls sent to the log, including failed ones.
func (f *Follower) Reads() uint64 { return f.reads.Load() }

// FollowConfig reads the configuration stream of the cell until ctx ends.
func (f *Follower) FollowConfig(ctx context.Context) {
	f.follow(ctx, recorder.ConfigStream, configWait)
}

// FollowDataCentre reads the stream of this data centre until ctx ends.
func (f *Follower) FollowDataCentre(ctx context.Context) {
	f.follow(ctx, recorder.DataCentreStream(f.options.DataCentre), readWait)
}

// follow restores the newest snapshot of a stream and reads the records after it.
func (f *Follower) follow(ctx context.Context, stream string, wait time.Duration) {
	next := int64(0)
	isRestored := false
	for ctx.Err() == nil {
		if !isRestored {
			offset, err := f.restore(ctx, stream, next)
			if err != nil {
				f.readFailed(ctx, stream, err)
				continue
			}
			next = offset
			isRestored = true
		}
		page, sentAt, err := f.read(ctx, stream, next, wait)
		if err != nil {
			f.readFailed(ctx, stream, err)
			continue
		}
		if page.First > next {
			// Records that this host has not read were trimmed from the log, so that it needs a
			// snapshot that covers them.
			isRestored = false
			if next, err = f.skipTrimmed(ctx, stream, next, page.First); err != nil {
				f.readFailed(ctx, stream, err)
			}
			continue
		}
		next = page.Next
		if !f.options.Core.Put(ctx, toLogRead(stream, sentAt, page)) {
			return
		}
	}
}

// skipTrimmed restores a snapshot that covers the trimmed records from next to first-1 and
// returns its offset. It returns an error if no snapshot reaches first yet; follow then retries.
func (f *Follower) skipTrimmed(ctx context.Context, stream string, next, first int64) (int64, error) {
	offset, err := f.restore(ctx, stream, next)
	if err != nil {
		return next, err
	}
	if offset < first {
		return next, errors.Newf("records from offset %d up to %d were trimmed and no snapshot covers them", next, first)
	}
	return offset, nil
}

func (f *Follower) read(ctx context.Context, stream string, next int64, wait time.Duration) (messages.Page, time.Time, error) {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	sentAt := f.options.Clock.Now()
	page, err := f.options.Log.Read(readCtx, stream, next, wait)
	f.reads.Add(1)
	return page, sentAt, err
}

// readFailed notifies the core of a failed read and pauses before the next try.
func (f *Follower) readFailed(ctx context.Context, stream string, err error) {
	if ctx.Err() != nil {
		return
	}
	f.options.Logger.Debug("log: Read failed; it is retried.", zap.String("stream", stream), zap.String("error", err.Error()))
	f.options.Core.Put(ctx, signaller.LogFailed{Stream: stream})
	pauser.Pause(ctx, f.options.Clock, retryPause)
}

// restore passes the newest snapshot of a stream to the core if the snapshot is ahead of next,
// and returns the offset from which to continue reading.
func (f *Follower) restore(ctx context.Context, stream string, next int64) (int64, error) {
	snapshots := recorder.SnapshotStream(stream)
	from := int64(0)
	var newest recorder.Snapshot
	for {
		page, _, err := f.read(ctx, snapshots, from, 0)
		if err != nil {
			return 0, errors.Errorf("read snapshots of %s: %w", stream, err)
		}
		for _, entry := range page.Entries {
			record, err := recorder.Decode(entry.Record)
			body, isSnapshot := record.Body.(recorder.Snapshot)
			if err == nil && isSnapshot && body.Offset > newest.Offset {
				newest = body
			}
		}
		from = page.Next
		if page.Next >= page.Tail {
			break
		}
	}
	if newest.Offset <= next {
		return next, nil
	}
	f.options.Core.Put(ctx, signaller.Restored{Stream: stream, State: newest.State})
	return newest.Offset, nil
}

// toLogRead decodes a page. A record that cannot be decoded is marked as unreadable; it has no
// effect on any host.
func toLogRead(stream string, sentAt time.Time, page messages.Page) signaller.LogRead {
	read := signaller.LogRead{Stream: stream, SentAt: sentAt, AtTail: page.Next >= page.Tail}
	for _, entry := range page.Entries {
		record, err := recorder.Decode(entry.Record)
		read.Entries = append(read.Entries, signaller.Entry{
			Offset: entry.Offset, Record: record, Unreadable: err != nil,
		})
	}
	return read
}

// PollHosts polls the platform's host list until ctx ends.
func (f *Follower) PollHosts(ctx context.Context) {
	for ctx.Err() == nil {
		sentAt := f.options.Clock.Now()
		readCtx, cancel := context.WithTimeout(ctx, listTimeout)
		hosts, err := f.options.List.Hosts(readCtx)
		cancel()
		if err != nil {
			f.options.Logger.Debug("hosts: Poll of the host list failed; the previous list stays in use.", zap.String("error", err.Error()))
		} else {
			f.options.OnHosts(hosts)
			f.options.Core.Put(ctx, signaller.HostsListed{SentAt: sentAt, Hosts: hosts})
		}
		pauser.Pause(ctx, f.options.Clock, listInterval)
	}
}
