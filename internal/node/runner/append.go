package runner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"lentilrock.example/internal/cell/recorder"
	"lentilrock.example/internal/container/buffer"
	"lentilrock.example/internal/core/signaller"
	"lentilrock.example/internal/platform/connector"
)

const (
	// appendRing bounds the appends that wait.
	appendRing = 8_192
	// maxBatch bounds the records of one append.
	maxBatch      = 2_000
	appendTimeout = 2 * time.Second
	// batchPause lets records gather, so that the log takes few appends.
	batchPause = 2 * time.Millisecond
)

// appender is the duty that appends to the log: one append a stream at a time, with all
// records that have gathered meanwhile.
type appender struct {
	runner *Runner
	ring   *buffer.Ring[signaller.Append]
}

func newAppender(r *Runner) *appender {
	return &appender{runner: r, ring: buffer.New[signaller.Append](appendRing)}
}

// add queues records; where the ring is full they are refused for certain.
func (a *appender) add(ctx context.Context, append signaller.Append) {
	if !a.ring.Offer(append) {
		a.refuse(ctx, append.Records, "the queue to the log is full")
	}
}

func (a *appender) refuse(ctx context.Context, records []recorder.Record, reason string) {
	failed := signaller.AppendFailed{Records: records, Reason: reason}
	if !a.runner.inputs.Offer(input{event: failed}) {
		// The core's own goroutine may be the caller, so it must not wait for room.
		go a.runner.put(ctx, failed)
	}
}

func (a *appender) save(ctx context.Context, s signaller.SaveSnapshot) {
	id := "snapshot." + s.Stream + "." + a.runner.self.String()
	record := recorder.New(id, a.runner.options.Clock.Now(), recorder.Author{Name: a.runner.self.String()},
		recorder.Snapshot{Stream: s.Stream, Offset: s.Offset, State: s.State})
	a.add(ctx, signaller.Append{Stream: recorder.SnapshotStream(s.Stream), Records: []recorder.Record{record}})
}

func (a *appender) run(ctx context.Context) {
	for {
		first, ok := a.ring.Take(ctx)
		if !ok {
			return
		}
		a.runner.pause(ctx, batchPause)
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
func (a *appender) send(ctx context.Context, stream string, records []recorder.Record) {
	encoded, err := encodeRecords(records)
	if err != nil {
		a.refuse(ctx, records, err.Error())
		return
	}
	isUnknown := false
	for ctx.Err() == nil {
		sending, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := a.runner.options.Log.Append(sending, stream, encoded)
		cancel()
		a.runner.count(func(c *Counts) { c.Appends++ })
		if err == nil {
			return
		}
		a.runner.options.Logger.Debug("log: An append failed.", zap.String("stream", stream), zap.String("error", err.Error()))
		if errors.Is(err, connector.ErrNotDone) && !isUnknown {
			a.refuse(ctx, records, err.Error())
			return
		}
		isUnknown = true
		a.runner.pause(ctx, retryPause)
	}
}
