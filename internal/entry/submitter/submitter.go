// Package submitter appends the records that callers wait for, those that wait together in
// one call. Each record is idempotent, so an append without an answer is repeated.
//
// # Usage
//
//	s := submitter.New(submitter.Options{Store: store, Clock: clock, Kept: apply})
//	go s.Run(ctx)
//	err := s.Keep(ctx, record)
package submitter

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"lentilrock.example/internal/container/buffer"
	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/node/pauser"
)

const (
	// ringSize bounds the submissions that wait for the store.
	ringSize = 1024
	// writers append side by side, so that a lost answer does not hold up the others. More
	// would fill the store's queue when it is slow; few gather larger batches instead.
	writers = 2
	// batchSize bounds the submissions of one append.
	batchSize = 64
	// appendTimeout bounds an append before it is repeated.
	appendTimeout = 800 * time.Millisecond
	// refusedPause separates appends that the store refuses.
	refusedPause = 120 * time.Millisecond
	// refusedFor is how long refused submissions are tried again.
	refusedFor = 600 * time.Millisecond
)

// Options are what a submitter is made from.
type Options struct {
	Store  storer.Store
	Clock  clockwork.Clock
	Logger *zap.Logger
	// Kept is told of records that were appended, with the offset of the first.
	Kept func(records []journaler.Record, offset int64)
}

// Submitter appends records of callers.
type Submitter struct {
	options Options
	ring    *buffer.Ring[*submission]
}

// submission is a record that a caller waits for.
type submission struct {
	ctx    context.Context
	record journaler.Record
	reply  chan error
}

// New returns a submitter.
func New(options Options) *Submitter {
	return &Submitter{options: options, ring: buffer.New[*submission](ringSize)}
}

// Run appends until ctx ends.
func (s *Submitter) Run(ctx context.Context) {
	var duties sync.WaitGroup
	for range writers {
		duties.Go(func() { s.write(ctx) })
	}
	duties.Wait()
}

// Keep appends a record and waits until it is kept. Errors wrap storer.ErrRefused, after
// which the record is never kept, or storer.ErrNotKnown.
func (s *Submitter) Keep(ctx context.Context, record journaler.Record) error {
	waiting := &submission{ctx: ctx, record: record, reply: make(chan error, 1)}
	if !s.ring.Offer(waiting) {
		return errors.Errorf("too many submissions wait: %w", storer.ErrRefused)
	}
	select {
	case err := <-waiting.reply:
		return err
	case <-ctx.Done():
		return errors.Errorf("wait for the store: %w", storer.ErrNotKnown)
	}
}

// write appends the submissions that wait.
func (s *Submitter) write(ctx context.Context) {
	for {
		first, ok := s.ring.Take(ctx)
		if !ok {
			return
		}
		batch := []*submission{first}
		for len(batch) < batchSize {
			next, found := s.ring.Poll()
			if !found {
				break
			}
			batch = append(batch, next)
		}
		err := s.append(ctx, batch)
		for _, waiting := range batch {
			waiting.reply <- err
		}
	}
}

// append appends the records of a batch. An append without an answer is repeated
// while a caller waits: each record is idempotent.
func (s *Submitter) append(ctx context.Context, batch []*submission) error {
	records := make([]journaler.Record, 0, len(batch))
	for _, waiting := range batch {
		records = append(records, waiting.record)
	}
	began, isOpen := s.options.Clock.Now(), false
	for {
		appending, cancel := context.WithTimeout(ctx, appendTimeout)
		offset, err := s.options.Store.Append(appending, storer.Append{Topic: storer.Jobs, Records: records})
		cancel()
		switch {
		case err == nil:
			s.options.Kept(records, offset)
			return nil
		case errors.Is(err, storer.ErrRefused) && !isOpen && s.options.Clock.Now().Sub(began) > refusedFor:
			s.options.Logger.Warn("submit: The store refused.", zap.Int("records", len(records)), zap.String("error", err.Error()))
			return errors.Errorf("append %d records: %w", len(records), storer.ErrRefused)
		case !errors.Is(err, storer.ErrRefused):
			isOpen = true
		}
		if ctx.Err() != nil || !someoneWaits(batch) {
			return errors.Errorf("append %d records: %w", len(records), storer.ErrNotKnown)
		}
		pauser.Pause(ctx, s.options.Clock, refusedPause)
	}
}

func someoneWaits(batch []*submission) bool {
	for _, waiting := range batch {
		if waiting.ctx.Err() == nil {
			return true
		}
	}
	return false
}
