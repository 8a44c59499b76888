package follower

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"lentilrock.example/internal/entry/storer"
)

const (
	// catchUpTimeout bounds a read of a Reader.
	catchUpTimeout = time.Second
	// catchUpRetryPause is the pause after a read that failed.
	catchUpRetryPause = 50 * time.Millisecond
)

// Reader reads topics beside their followers, to the ends that they have when the reading begins. Records
// that are appended meanwhile are not waited for: in a busy cell there are new ones in each read.
type Reader struct {
	Store  storer.Store
	Clock  clockwork.Clock
	Logger *zap.Logger
	// Next returns the offset of the first record of a topic that was not read yet.
	Next func(topic storer.Topic) int64
	// Apply receives the records of a topic and moves the offset that Next returns.
	Apply map[storer.Topic]func(batch storer.Batch)
}

// ReadAll reads all topics at once, without retries.
func (r Reader) ReadAll(ctx context.Context) error {
	var mu sync.Mutex
	var errs error
	var reads sync.WaitGroup
	for topic := range r.Apply {
		reads.Go(func() {
			err := r.read(ctx, topic, func() bool { return true })
			mu.Lock()
			defer mu.Unlock()
			errs = errors.Join(errs, err)
		})
	}
	reads.Wait()
	return errs
}

// CatchUp reads a topic and retries reads that fail. It returns early once isNeeded returns false.
func (r Reader) CatchUp(topic storer.Topic, isNeeded func() bool) {
	for isNeeded() {
		err := r.read(context.Background(), topic, isNeeded)
		if err == nil {
			return
		}
		r.Logger.Warn("claim: Reading the jobs failed; the takeover retries.", zap.Stringer("topic", topic), zap.String("error", err.Error()))
		r.Clock.Sleep(catchUpRetryPause)
	}
}

func (r Reader) read(ctx context.Context, topic storer.Topic, isNeeded func() bool) error {
	end, hasEnd := int64(0), false
	for isNeeded() {
		from := r.Next(topic)
		if hasEnd && from >= end {
			return nil
		}
		readCtx, cancel := context.WithTimeout(ctx, catchUpTimeout)
		batch, err := r.Store.Read(readCtx, topic, from, 0)
		cancel()
		switch {
		case err != nil:
			return errors.Errorf("read %s from %d to their end: %w", topic, from, err)
		case hasEnd && len(batch.Entries) == 0:
			return errors.Errorf("read %s from %d: no records before the end at %d", topic, from, end)
		case !hasEnd:
			end, hasEnd = batch.End, true
		}
		r.Apply[topic](batch)
	}
	return nil
}
