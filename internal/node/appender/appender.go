// Package appender appends to the log: one append a stream at a time, with all records that
// have gathered meanwhile, so that the log takes few appends.
//
// # Usage
//
//	a := appender.New(appender.Options{Log: log, Core: core, ...})
//	go a.Run(ctx)
//	a.Add(ctx, append)
package appender

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/cell/recorder"
	"lentilrock.example/internal/container/buffer"
	"lentilrock.example/internal/core/signaller"
	"lentilrock.example/internal/node/pauser"
	"lentilrock.example/internal/platform/connector"
)

const (
	// appendRing bounds the appends that wait.
	appendRing = 8_192
	// maxBatch bounds the records of one append.
	maxBatch      = 2_000
	appendTimeout = 2 * time.Second
	retryPause    = 200 * time.Millisecond
)

// Core takes events.
type Core interface {
	// Offer hands over an event, or reports false where there is no room.
	Offer(event signaller.Event) bool
	// Put hands over an event, waiting for room.
	Put(ctx context.Context, event signaller.Event) bool
}

// Options are what an appender works with.
type Options struct {
	Log    connector.Log
	Clock  clockwork.Clock
	Logger *zap.Logger
	Core   Core
	// Batch is how long records gather, so that the log takes few appends.
	Batch time.Duration
	// Self is the author of snapshots.
	Self descriptor.HostID
}

// Appender is the duty that appends to the log.
type Appender struct {
	options Options
	ring    *buffer.Ring[signaller.Append]
	appends atomic.Uint64
}

// New returns an appender with nothing to append.
func New(options Options) *Appender {
	return &Appender{options: options, ring: buffer.New[signaller.Append](appendRing)}
}

// Appends returns how many appends were sent.
func (a *Appender) Appends() uint64 { return a.appends.Load() }

// Add queues records; where there is no room the core hears that they were refused.
func (a *Appender) Add(ctx context.Context, records signaller.Append) {
	if !a.ring.Offer(records) {
		a.refuse(ctx, records.Records, "the queue to the log is full")
	}
}

func (a *Appender) refuse(ctx context.Context, records []recorder.Record, reason string) {
	failed := signaller.AppendFailed{Records: records, Reason: reason}
	if !a.options.Core.Offer(failed) {
		// The core's own goroutine may be the caller, so it must not wait for room.
		go a.options.Core.Put(ctx, failed)
	}
}

// Save queues a snapshot.
func (a *Appender) Save(ctx context.Context, s signaller.SaveSnapshot) {
	id := "snapshot." + s.Stream + "." + a.options.Self.String()
	record := recorder.New(id, a.options.Clock.Now(), recorder.Author{Name: a.options.Self.String()},
		recorder.Snapshot{Stream: s.Stream, Offset: s.Offset, State: s.State})
	a.Add(ctx, signaller.Append{Stream: recorder.SnapshotStream(s.Stream), Records: []recorder.Record{record}})
}

// Run appends until ctx ends.
func (a *Appender) Run(ctx context.Context) {
	for {
		first, ok := a.ring.Take(ctx)
		if !ok {
			return
		}
		pauser.Pause(ctx, a.options.Clock, a.options.Batch)
		batches := map[string][]recorder.Record{first.Stream: first.Records}
		streams := []string{first.Stream}
		for count := len(first.Records); count < maxBatch; {
			next, found := a.ring.Poll()
			if !found {
				break
			}
			if _, known := batches[next.Stream]; !known {
				streams = append(streams, next.Stream)
			}
			batches[next.Stream] = append(batches[next.Stream], next.Records...)
			count += len(next.Records)
		}
		for _, stream := range streams {
			a.send(ctx, stream, batches[stream])
		}
	}
}

// send appends records until it is certain that they were added or refused. Repeating an
// append of unknown fate is safe: each record is idempotent.
func (a *Appender) send(ctx context.Context, stream string, records []recorder.Record) {
	encoded, err := encodeRecords(records)
	if err != nil {
		a.refuse(ctx, records, err.Error())
		return
	}
	isUnknown := false
	for ctx.Err() == nil {
		sending, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := a.options.Log.Append(sending, stream, encoded)
		cancel()
		a.appends.Add(1)
		if err == nil {
			return
		}
		a.options.Logger.Debug("log: An append failed.", zap.String("stream", stream), zap.String("error", err.Error()))
		if errors.Is(err, connector.ErrNotDone) && !isUnknown {
			a.refuse(ctx, records, err.Error())
			return
		}
		isUnknown = true
		pauser.Pause(ctx, a.options.Clock, retryPause)
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
