package follower

import (
	"context"
	"time"

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
	// Next returns the offset of the next record to read, and false once the records are not needed
	// any more.
	Next func() (offset int64, isNeeded bool)
	// Apply receives the records and moves the offset that Next returns.
	Apply func(entries []storer.Entry)
}

// Run returns true once the records are read, and false if they are not needed any more. It retries reads
// that fail.
func (c CatchUp) Run() bool {
	end, hasEnd := int64(0), false
	for {
		from, isNeeded := c.Next()
		if !isNeeded || hasEnd && from >= end {
			return isNeeded
		}
		ctx, cancel := context.WithTimeout(context.Background(), catchUpTimeout)
		var entries []storer.Entry
		var err error
		if hasEnd {
			entries, err = c.Store.Read(ctx, c.Topic, from, 0)
		} else {
			end, err = storer.End(ctx, c.Store, c.Topic)
		}
		cancel()
		switch {
		case err != nil:
			c.Logger.Warn("claim: Reading the jobs failed; the takeover retries.", zap.Stringer("topic", c.Topic), zap.String("error", err.Error()))
			c.Clock.Sleep(catchUpRetryPause)
		case hasEnd:
			c.Apply(entries)
		default:
			hasEnd = true
		}
	}
}
