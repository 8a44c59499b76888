// Package follower reads the platform's streams and host list on and on, and hands what
// they show to the core.
//
// # Usage
//
//	f := follower.New(follower.Options{Log: log, List: list, Core: core, ...})
//	go f.FollowLocal(ctx)
//	go f.FollowConfig(ctx)
//	go f.List(ctx)
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
	// readWait is how long a read waits at the tail; it must be well under a window.
	readWait = 500 * time.Millisecond
	// configWait is how long a read of the configuration waits at the tail.
	configWait  = 2 * time.Second
	readTimeout = 3 * time.Second
	retryPause  = 200 * time.Millisecond
	listPause   = 500 * time.Millisecond
	listTimeout = 2 * time.Second
)

// Core takes events.
type Core interface {
	// Put hands over an event, waiting for room.
	Put(ctx context.Context, event signaller.Event) bool
}

// Options are what a follower works with.
type Options struct {
	Log        connector.Log
	List       connector.List
	Clock      clockwork.Clock
	Logger     *zap.Logger
	Core       Core
	DataCentre string
	// Listed takes each answer of the host list, too.
	Listed func(hosts []descriptor.Host)
}

// Follower reads the platform.
type Follower struct {
	options Options
	reads   atomic.Uint64
}

// New returns a follower.
func New(options Options) *Follower { return &Follower{options: options} }

// Reads returns how many reads of the log were sent.
func (f *Follower) Reads() uint64 { return f.reads.Load() }

// FollowConfig follows the cell's configuration until ctx ends.
func (f *Follower) FollowConfig(ctx context.Context) {
	f.follow(ctx, recorder.ConfigStream, configWait)
}

// FollowLocal follows the data centre's stream until ctx ends.
func (f *Follower) FollowLocal(ctx context.Context) {
	f.follow(ctx, recorder.DataCentreStream(f.options.DataCentre), readWait)
}

// follow reads a stream from its newest snapshot on.
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
			// What this host has not read was trimmed; a newer snapshot covers it.
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

// skipTrimmed waits for a snapshot that covers what was trimmed.
func (f *Follower) skipTrimmed(ctx context.Context, stream string, next, first int64) (int64, error) {
	offset, err := f.restore(ctx, stream, next)
	if err != nil {
		return next, err
	}
	if offset < first {
		return next, errors.Newf("records %d to %d are trimmed and no snapshot covers them", next, first)
	}
	return offset, nil
}

func (f *Follower) read(ctx context.Context, stream string, next int64, wait time.Duration) (messages.Page, time.Time, error) {
	reading, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	sentAt := f.options.Clock.Now()
	page, err := f.options.Log.Read(reading, stream, next, wait)
	f.reads.Add(1)
	return page, sentAt, err
}

func (f *Follower) readFailed(ctx context.Context, stream string, err error) {
	if ctx.Err() != nil {
		return
	}
	f.options.Logger.Debug("log: A read failed.", zap.String("stream", stream), zap.String("error", err.Error()))
	f.options.Core.Put(ctx, signaller.LogFailed{Stream: stream})
	pauser.Pause(ctx, f.options.Clock, retryPause)
}

// restore hands the newest snapshot of a stream to the core, where it is ahead of next,
// and returns the offset to read on from.
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

// toLogRead decodes a page. A record that can't be read has no effect on any host.
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

// List reads the platform's host list again and again until ctx ends.
func (f *Follower) List(ctx context.Context) {
	for ctx.Err() == nil {
		sentAt := f.options.Clock.Now()
		reading, cancel := context.WithTimeout(ctx, listTimeout)
		hosts, err := f.options.List.Hosts(reading)
		cancel()
		if err != nil {
			f.options.Logger.Debug("hosts: The host list was not read.", zap.String("error", err.Error()))
		} else {
			f.options.Listed(hosts)
			f.options.Core.Put(ctx, signaller.HostsListed{SentAt: sentAt, Hosts: hosts})
		}
		pauser.Pause(ctx, f.options.Clock, listPause)
	}
}
