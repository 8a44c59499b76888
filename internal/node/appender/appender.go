// Package appender appends records to the platform's log. It batches the records that are
// queued for a stream and has at most one append in flight, which keeps the number of appends
// low.
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
	// appendQueueSize bounds the queued appends.
	appendQueueSize = 8_192
	// maxBatch is the number of records after which a batch takes no further appends.
	maxBatch      = 2_000
	appendTimeout = 2 * time.Second
	retryPause    = 200 * time.Millisecond
)

// Core receives the events that the appender produces.
type Core interface {
	// Offer queues an event without blocking; it returns false if the queue is full.
	Offer(event signaller.Event) bool
	// Put queues an event and blocks while the queue is full; it returns false if ctx ends.
	Put(ctx context.Context, event signaller.Event) bool
}

// Options configure an Appender and supply its dependencies.
type Options struct {
	Log    connector.Log
	Clock  clockwork.Clock
	Logger *zap.Logger
	Core   Core
	// Batch is how long the appender collects records after the first one before it sends
	// them together; it keeps the number of appends low.
	Batch time.Duration
	// Self is recorded as the author of snapshots.
	Self descriptor.HostID
}

// Appender appends queued records to the log from a single goroutine.
type Appender struct {
	options Options
	queue   *buffer.Ring[signaller.Append]
	appends atomic.Uint64
}

// New returns an appender with an empty queue; Run starts it.
func New(options Options) *Appender {
	return &Appender{options: options, queue: buffer.New[signaller.Append](appendQueueSize)}
}

// Appends returns the number of append calls sent to the log, including retries.
func (a *Appender) Appends() uint64 { return a.appends.Load() }

// Add queues records. If the queue is full, the core receives AppendFailed for them.
func (a *Appender) Add(ctx context.Context, records signaller.Append) {
	if !a.queue.Offer(records) {
		a.refuse(ctx, records.Records, "the queue to the log is full")
	}
}

// refuse notifies the core that records will never be appended.
func (a *Appender) refuse(ctx context.Context, records []recorder.Record, reason string) {
	failed := signaller.AppendFailed{Records: records, Reason: reason}
	if !a.options.Core.Offer(failed) {
		// The caller may be the core's goroutine, which drains the event queue, so that a
		// blocking Put could deadlock.
		go a.options.Core.Put(ctx, failed)
	}
}

// AddSnapshot queues a snapshot for the snapshot stream of its stream.
func (a *Appender) AddSnapshot(ctx context.Context, s signaller.SaveSnapshot) {
	id := "snapshot." + s.Stream + "." + a.options.Self.String()
	record := recorder.New(id, a.options.Clock.Now(), recorder.Author{Name: a.options.Self.String()},
		recorder.Snapshot{Stream: s.Stream, Offset: s.Offset, State: s.State})
	a.Add(ctx, signaller.Append{Stream: recorder.SnapshotStream(s.Stream), Records: []recorder.Record{record}})
}

// Run sends the queued records in batches until ctx ends.
func (a *Appender) Run(ctx context.Context) {
	for {
		first, ok := a.queue.Take(ctx)
		if !ok {
			return
		}
		pauser.Pause(ctx, a.options.Clock, a.options.Batch)
		batches := map[string][]recorder.Record{first.Stream: first.Records}
		streams := []string{first.Stream}
		for count := len(first.Records); count < maxBatch; {
			next, found := a.queue.Poll()
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

// send appends records, and retries until the log has either stored or refused them. A retry
// after an unknown outcome is safe since each record is idempotent. Once the outcome of a try
// is unknown, a later refusal does not prove that the records were not stored, so that send
// keeps retrying.
func (a *Appender) send(ctx context.Context, stream string, records []recorder.Record) {
	encoded, err := encodeRecords(records)
	if err != nil {
		a.refuse(ctx, records, err.Error())
		return
	}
	isOutcomeUnknown := false
	for ctx.Err() == nil {
		sendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := a.options.Log.Append(sendCtx, stream, encoded)
		cancel()
		a.appends.Add(1)
		if err == nil {
			return
		}
		a.options.Logger.Debug("log: Append failed; it is retried unless the log refused it.", zap.String("stream", stream), zap.String("error", err.Error()))
		if errors.Is(err, connector.ErrNoEffect) && !isOutcomeUnknown {
			a.refuse(ctx, records, err.Error())
			return
		}
		isOutcomeUnknown = true
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
