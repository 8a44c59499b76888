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
	// maxAppends are under way side by side, so that a lost answer does not hold up the others.
	maxAppends = 4
	// maxSlowAppends are while the store is slow: more would fill its queue, few gather larger
	// batches instead.
	maxSlowAppends = 2
	// lateAppend is when an append that was not answered may be lost or slow.
	lateAppend = 100 * time.Millisecond
	// probePause separates appends beside others that may be lost or slow.
	probePause = 250 * time.Millisecond
	// gatePoll is how often it is looked whether one more append may begin.
	gatePoll = 10 * time.Millisecond
	// batchSize bounds the submissions of one append.
	batchSize = 64
	// lostTimeout is when the answer of a store that was fast counts as lost where no other
	// append is under way.
	lostTimeout = 800 * time.Millisecond
	// slowTimeout bounds an append at a slow store: it lets 2 s of appends wait, and repeating
	// one would add to them.
	slowTimeout = 2400 * time.Millisecond
	// silentTime is when a store that answers no append counts as silent: those at a slow store
	// are answered by then.
	silentTime = 1300 * time.Millisecond
	// fastAppend is below what a slow store takes, and above what a far host needs of one
	// that is well.
	fastAppend = 250 * time.Millisecond
	// refusedPause separates appends that the store refuses.
	refusedPause = 120 * time.Millisecond
	// refusedFor is how long refused submissions are tried again where nobody else could keep
	// them.
	refusedFor = 600 * time.Millisecond
)

// Options are what a submitter is made from.
type Options struct {
	Store  storer.Store
	Clock  clockwork.Clock
	Logger *zap.Logger
	// Kept is told of records that were appended, with the offset of the first.
	Kept func(records []journaler.Record, offset int64)
	// HasAlternative reports whether a peer could keep what the store refuses here; nil means
	// that none can.
	HasAlternative func() bool
}

// Submitter appends records of callers.
type Submitter struct {
	options Options
	ring    *buffer.Ring[*submission]

	mu sync.Mutex
	// underWay are the appends that were not answered yet.
	underWay map[*call]bool
	// unansweredSince is when the first append began since the store last answered one.
	unansweredSince time.Time
	// isSlow reports that the newest append took long or was not answered.
	isSlow bool
	// batches counts those that are not done, of which the newest began at beganAt.
	batches int
	beganAt time.Time
}

// call is an append that was not answered yet.
type call struct {
	began  time.Time
	cancel context.CancelFunc
}

// submission is a record that a caller waits for.
type submission struct {
	ctx    context.Context
	record journaler.Record
	reply  chan error
}

// New returns a submitter.
func New(options Options) *Submitter {
	if options.HasAlternative == nil {
		options.HasAlternative = func() bool { return false }
	}
	return &Submitter{options: options, ring: buffer.New[*submission](ringSize), underWay: make(map[*call]bool)}
}

// isSilent reports whether the store has answered nothing for a while, though it was asked:
// a record that is not sent then is refused at once, and surely never kept.
func (s *Submitter) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	isAsked := len(s.underWay) > 0 && !s.unansweredSince.IsZero()
	return isAsked && s.options.Clock.Now().Sub(s.unansweredSince) > silentTime
}

// begin lets one more batch be appended, if that helps: many side by side while the store is
// fast, few while it is slow, and one now and then while that is open.
func (s *Submitter) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	isLate := false
	for c := range s.underWay {
		isLate = isLate || now.Sub(c.began) > lateAppend
	}
	switch {
	case s.batches < maxSlowAppends:
	case s.batches >= maxAppends || s.isSlow || isLate && now.Sub(s.beganAt) < probePause:
		return false
	}
	s.batches++
	s.beganAt = now
	return true
}

// end notes that a batch is done.
func (s *Submitter) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.batches--
}

// call appends once. An append counts as lost when a later one is answered, since the store
// takes them one after the other, or after a time.
func (s *Submitter) call(ctx context.Context, records []journaler.Record) (int64, error) {
	c := &call{began: s.options.Clock.Now()}
	s.mu.Lock()
	// Beside others it is noticed by their answers when this one is lost.
	timeout := slowTimeout
	if !s.isSlow && len(s.underWay) == 0 {
		timeout = lostTimeout
	}
	ctx, c.cancel = context.WithTimeout(ctx, timeout)
	s.underWay[c] = true
	if s.unansweredSince.IsZero() {
		s.unansweredSince = c.began
	}
	s.mu.Unlock()
	defer c.cancel()
	offset, err := s.options.Store.Append(ctx, storer.Append{Topic: storer.Jobs, Records: records})
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.underWay, c)
	now := s.options.Clock.Now()
	if !errors.Is(err, storer.ErrNotKnown) {
		s.unansweredSince = time.Time{}
	}
	isFast := now.Sub(c.began) <= fastAppend
	switch {
	case err == nil:
		s.isSlow = !isFast
		s.cancelOvertaken(c.began, now)
	case errors.Is(err, storer.ErrNotKnown) && !isFast:
		s.isSlow = true
	}
	return offset, err
}

// cancelOvertaken ends the appends that began before one that was answered.
func (s *Submitter) cancelOvertaken(answered, now time.Time) {
	for c := range s.underWay {
		if c.began.Before(answered) && now.Sub(c.began) > fastAppend {
			c.cancel()
		}
	}
}

// Run appends until ctx ends.
func (s *Submitter) Run(ctx context.Context) {
	var duties sync.WaitGroup
	defer duties.Wait()
	for {
		first, ok := s.ring.Take(ctx)
		if !ok {
			return
		}
		for !s.begin() && ctx.Err() == nil {
			pauser.Pause(ctx, s.options.Clock, gatePoll)
		}
		batch := s.gather(first)
		duties.Go(func() {
			err := s.append(ctx, batch)
			s.end()
			for _, waiting := range batch {
				waiting.reply <- err
			}
		})
	}
}

// gather returns a submission with those that wait behind it.
func (s *Submitter) gather(first *submission) []*submission {
	batch := []*submission{first}
	for len(batch) < batchSize {
		next, found := s.ring.Poll()
		if !found {
			break
		}
		batch = append(batch, next)
	}
	return batch
}

// Keep appends a record and waits until it is kept. Errors wrap storer.ErrRefused, after
// which the record is never kept, or storer.ErrNotKnown.
func (s *Submitter) Keep(ctx context.Context, record journaler.Record) error {
	if s.isSilent() {
		return errors.Errorf("the store answers nothing: %w", storer.ErrRefused)
	}
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

// append appends the records of a batch. An append without an answer is repeated
// while a caller waits: each record is idempotent.
func (s *Submitter) append(ctx context.Context, batch []*submission) error {
	records := make([]journaler.Record, 0, len(batch))
	for _, waiting := range batch {
		records = append(records, waiting.record)
	}
	began, isOpen := s.options.Clock.Now(), false
	for {
		offset, err := s.call(ctx, records)
		switch {
		case err == nil:
			s.options.Kept(records, offset)
			return nil
		case errors.Is(err, storer.ErrRefused) && !isOpen && s.isGivenUp(began):
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

// isGivenUp reports whether a refused append that began then is not tried again.
func (s *Submitter) isGivenUp(began time.Time) bool {
	return s.options.HasAlternative() || s.options.Clock.Now().Sub(began) > refusedFor
}

func someoneWaits(batch []*submission) bool {
	for _, waiting := range batch {
		if waiting.ctx.Err() == nil {
			return true
		}
	}
	return false
}
