package runner

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"lentilrock.example/internal/cell/applier"
	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/cell/recorder"
	"lentilrock.example/internal/core/signaller"
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

func (r *Runner) followConfig(ctx context.Context) {
	r.follow(ctx, recorder.ConfigStream, configWait)
}

func (r *Runner) followLocal(ctx context.Context) {
	r.follow(ctx, recorder.DataCentreStream(r.options.Settings.DataCentre), readWait)
}

// follow reads a stream from its newest snapshot on.
func (r *Runner) follow(ctx context.Context, stream string, wait time.Duration) {
	next := int64(0)
	isRestored := false
	for ctx.Err() == nil {
		if !isRestored {
			offset, err := r.restore(ctx, stream, next)
			if err != nil {
				r.readFailed(ctx, stream, err)
				continue
			}
			next = offset
			isRestored = true
		}
		page, sentAt, err := r.read(ctx, stream, next, wait)
		if err != nil {
			r.readFailed(ctx, stream, err)
			continue
		}
		if page.First > next {
			// What this host has not read was trimmed; a newer snapshot covers it.
			isRestored = false
			if next, err = r.skipTrimmed(ctx, stream, next, page.First); err != nil {
				r.readFailed(ctx, stream, err)
			}
			continue
		}
		next = page.Next
		if !r.put(ctx, toLogRead(stream, sentAt, page)) {
			return
		}
	}
}

// skipTrimmed waits for a snapshot that covers what was trimmed.
func (r *Runner) skipTrimmed(ctx context.Context, stream string, next, first int64) (int64, error) {
	offset, err := r.restore(ctx, stream, next)
	if err != nil {
		return next, err
	}
	if offset < first {
		return next, errors.Newf("records %d to %d are trimmed and no snapshot covers them", next, first)
	}
	return offset, nil
}

func (r *Runner) read(ctx context.Context, stream string, next int64, wait time.Duration) (messages.Page, time.Time, error) {
	reading, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	sentAt := r.options.Clock.Now()
	page, err := r.options.Log.Read(reading, stream, next, wait)
	r.count(func(c *Counts) { c.Reads++ })
	return page, sentAt, err
}

func (r *Runner) readFailed(ctx context.Context, stream string, err error) {
	if ctx.Err() != nil {
		return
	}
	r.options.Logger.Debug("log: A read failed.", zap.String("stream", stream), zap.String("error", err.Error()))
	r.put(ctx, signaller.LogFailed{Stream: stream})
	r.pause(ctx, retryPause)
}

func (r *Runner) pause(ctx context.Context, wait time.Duration) {
	timer := r.options.Clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-ctx.Done():
	}
}

// restore hands the newest snapshot of a stream to the core, where it is ahead of next,
// and returns the offset to read on from.
func (r *Runner) restore(ctx context.Context, stream string, next int64) (int64, error) {
	snapshots := recorder.SnapshotStream(stream)
	from := int64(0)
	var newest recorder.Snapshot
	for {
		page, _, err := r.read(ctx, snapshots, from, 0)
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
	r.put(ctx, signaller.Restored{Stream: stream, State: newest.State})
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

// list reads the platform's host list again and again.
func (r *Runner) list(ctx context.Context) {
	for ctx.Err() == nil {
		sentAt := r.options.Clock.Now()
		reading, cancel := context.WithTimeout(ctx, listTimeout)
		hosts, err := r.options.List.Hosts(reading)
		cancel()
		if err != nil {
			r.options.Logger.Debug("hosts: The host list was not read.", zap.String("error", err.Error()))
		} else {
			r.updatePeers(hosts)
			r.put(ctx, signaller.HostsListed{SentAt: sentAt, Hosts: hosts})
		}
		r.pause(ctx, listPause)
	}
}

// Routes say where requests go, as this host knows it.
type Routes struct {
	// Holders gives the holder of each shard of this data centre.
	Holders map[descriptor.ShardID]applier.Claim
	// Entries gives the entry hosts by name.
	Entries map[string]descriptor.Host
	// Ready reports whether this host may take work.
	Ready bool
	// Left reports whether a leaving host holds nothing any more.
	Left bool
}

// publishRoutes lets the doors see the newest claims without asking the core.
func (r *Runner) publishRoutes(event signaller.Event) {
	switch event.(type) {
	case signaller.Left, signaller.LogRead, signaller.Restored, signaller.Tick:
	default:
		return
	}
	old := r.routes.Load()
	routes := &Routes{Entries: old.Entries, Ready: r.core.IsReady(), Left: r.core.HasLeft()}
	routes.Holders = r.core.Holders()
	r.routes.Store(routes)
}

func (r *Runner) updatePeers(hosts []descriptor.Host) {
	entries := make(map[string]descriptor.Host)
	for _, host := range hosts {
		if host.Role == descriptor.RoleEntry {
			entries[host.Name] = host
		}
	}
	for {
		old := r.routes.Load()
		next := *old
		next.Entries = entries
		if r.routes.CompareAndSwap(old, &next) {
			return
		}
	}
}

func encodeRecords(records []recorder.Record) ([]json.RawMessage, error) {
	encoded := make([]json.RawMessage, 0, len(records))
	for _, record := range records {
		data, err := recorder.Encode(record)
		if err != nil {
			return nil, errors.Errorf("encode for the log: %w", err)
		}
		encoded = append(encoded, data)
	}
	return encoded, nil
}
