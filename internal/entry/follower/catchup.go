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
	// catchUpTimeout bounds a read of a CatchUp.
	catchUpTimeout = time.Second
	// catchUpRetryPause is the pause after a read that failed.
	catchUpRetryPause = 50 * time.Millisecond
)

// CatchUp reads a topic to the end that it has when the reading begins. Records that are appended
// meanwhile are not waited for: in a busy cell there are new ones in each read.
type CatchUp struct {
	Store  storer.Store
	Clock  clockwork.Clock
	Logger *zap.Logger
	Topic  storer.Topic
	// Next returns the offset of the first record that was not read yet, and false once the records are
	// not needed any more.
	Next func() (offset int64, isNeeded bool)
	// Apply receives the records and moves the offset that Next returns.
	Apply func(batch storer.Batch)
}

// Run returns true once the records are read, and false if they are not needed any more. It retries reads
// that fail.
func (c CatchUp) Run() bool {
	for {
		isNeeded, err := c.read(context.Background())
		if err == nil {
			return isNeeded
		}
		c.Logger.Warn("claim: Reading the jobs failed; the takeover retries.", zap.Stringer("topic", c.Topic), zap.String("error", err.Error()))
		c.Clock.Sleep(catchUpRetryPause)
	}
}

// ReadAll reads several topics at once, without retries.
func ReadAll(ctx context.Context, topics ...CatchUp) error {
	errs := make([]error, len(topics))
	var reads sync.WaitGroup
	for i, c := range topics {
		reads.Go(func() { _, errs[i] = c.read(ctx) })
	}
	reads.Wait()
	return errors.Join(errs...)
}

// read returns false if the records are not needed any more.
func (c CatchUp) read(ctx context.Context) (bool, error) {
	end, hasEnd := int64(0), false
	for {
		from, isNeeded := c.Next()
		if !isNeeded || hasEnd && from >= end {
			return isNeeded, nil
		}
		readCtx, cancel := context.WithTimeout(ctx, catchUpTimeout)
		batch, err := c.Store.Read(readCtx, c.Topic, from, 0)
		cancel()
		switch {
		case err != nil:
			return true, err
		case hasEnd && len(batch.Entries) == 0:
			return true, errors.Errorf("read %s from %d: no records before the end at %d", c.Topic, from, end)
		case !hasEnd:
			end, hasEnd = batch.End, true
		}
		c.Apply(batch)
	}
}
