// Package submitter appends records to the jobs topic of the store on behalf of callers that
// wait for the result. Records that wait at the same time are appended in one batch. Each
// record is idempotent, so an append without a reply is retried.
//
// # Usage
//
//	s := submitter.New(submitter.Options{Appender: store, Clock: clock, OnAppended: apply})
//	go s.Run(ctx)
//	err := s.Persist(ctx, record)
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
	// queueSize bounds the submissions that wait to be appended.
	queueSize = 1024
	// maxConcurrentAppends bounds concurrent appends to a fast store. With more than one, a lost
	// reply does not block the other submissions.
	maxConcurrentAppends = 4
	// maxSlowStoreAppends bounds concurrent appends to a slow store. More would fill the store's
	// queue; fewer appends collect larger batches instead.
	maxSlowStoreAppends = 2
	// lateAppendAge is the age from which an append without a reply may be lost or slow.
	lateAppendAge = 100 * time.Millisecond
	// extraAppendInterval separates the starts of appends beyond maxSlowStoreAppends while another
	// one is late.
	extraAppendInterval = 250 * time.Millisecond
	// slotPollInterval is how often Run checks whether one more append may start.
	slotPollInterval = 10 * time.Millisecond
	// batchSize and batchBytes bound the submissions in one append.
	batchSize  = 64
	batchBytes = 512 << 10
	// fastStoreTimeout bounds an append to a fast store while no other append is in flight:
	// without a reply by then, the reply counts as lost.
	fastStoreTimeout = 800 * time.Millisecond
	// slowStoreTimeout bounds an append to a slow store, or to a fast one while other appends
	// are in flight. A slow store queues up to 2 s of appends, and an earlier retry would add
	// to that queue.
	slowStoreTimeout = 2400 * time.Millisecond
	// unresponsiveAfter is how long a store may reply to no append before it counts as
	// unresponsive. A slow store replies within this time.
	unresponsiveAfter = 1300 * time.Millisecond
	// fastAppendTime is the longest append that counts as fast. It is shorter than an append to
	// a slow store and longer than an append from a distant host to a healthy store.
	fastAppendTime = 250 * time.Millisecond
	// retryInterval separates retries of appends that the store refused or whose outcome is unknown.
	retryInterval = 120 * time.Millisecond
	// suspiciousAfter is how long a store may reply to no append before it is checked whether it
	// replies at all. A slow store replies to one of several appends within this time.
	suspiciousAfter = 600 * time.Millisecond
	// failingAfter is how long appends may fail before new records are not sent any more.
	failingAfter = 100 * time.Millisecond
	// trialInterval separates the records that are sent to a store that replies to checks although
	// appends to it fail.
	trialInterval = 150 * time.Millisecond
	// maxRefusedRetryTime bounds the retries of a refused batch if no peer could persist it
	// instead.
	maxRefusedRetryTime = 600 * time.Millisecond
)

// Options configure a Submitter.
type Options struct {
	// Appender appends records. It may repeat an append whose reply is late.
	Appender storer.Appender
	Clock    clockwork.Clock
	Logger   *zap.Logger
	// OnAppended is called with records that were appended and the offset of the first one.
	OnAppended func(records []journaler.Record, offset int64)
	// HasFallbackHost reports whether a peer could persist a record that the store refuses from
	// this host; nil means that no peer can.
	HasFallbackHost func() bool
	// StoreReplies asks the store for a reply; nil means that it replies. It is called while appends
	// fail or get no reply, so that no record is sent whose outcome would stay unknown.
	StoreReplies func(ctx context.Context) bool
}

// Submitter appends records on behalf of callers.
type Submitter struct {
	options Options
	queue   *buffer.Ring[*submission]

	mu sync.Mutex
	// inFlight has the appends without a reply so far.
	inFlight map[*pendingAppend]bool
	// unansweredSince is the start of the first append after the last reply of the store; zero
	// if no append has started since that reply. Appends whose connection was reset do not count.
	unansweredSince time.Time
	// isSlow reports that the last append that succeeded or got no reply took longer than
	// fastAppendTime.
	isSlow bool
	// failingSince is when the first append after the last success failed with an error of the store
	// or of the connection; zero if none did. triedAt is when a record was last accepted for an append
	// since then.
	failingSince time.Time
	triedAt      time.Time
	// activeBatches counts the batches being appended; newestBatchAt is the start of the newest.
	activeBatches int
	newestBatchAt time.Time
}

// pendingAppend is an append without a reply so far.
type pendingAppend struct {
	startedAt time.Time
	cancel    context.CancelFunc
}

// submission is a record with the caller that waits for its append.
type submission struct {
	ctx    context.Context
	record journaler.Record
	reply  chan error
}

// New returns a Submitter; Run must be called for it to append anything.
func New(options Options) *Submitter {
	if options.HasFallbackHost == nil {
		options.HasFallbackHost = func() bool { return false }
	}
	if options.StoreReplies == nil {
		options.StoreReplies = func(context.Context) bool { return true }
	}
	return &Submitter{options: options, queue: buffer.New[*submission](queueSize), inFlight: make(map[*pendingAppend]bool)}
}

// isStoreUnresponsive reports whether appends are in flight and the store has replied to none
// for longer than unresponsiveAfter. A record that arrives then is refused without being
// sent, so it is certain that it is never stored.
func (s *Submitter) isStoreUnresponsive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	hasInFlight := len(s.inFlight) > 0 && !s.unansweredSince.IsZero()
	return hasInFlight && s.options.Clock.Now().Sub(s.unansweredSince) > unresponsiveAfter
}

// isStoreSuspicious reports whether appends fail, or have had no reply for longer than
// suspiciousAfter.
func (s *Submitter) isStoreSuspicious() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	isSilent := len(s.inFlight) > 0 && !s.unansweredSince.IsZero() && now.Sub(s.unansweredSince) > suspiciousAfter
	return isSilent || s.isFailing(now)
}

// isFailing reports whether appends have failed for longer than failingAfter; the caller has the lock.
func (s *Submitter) isFailing(now time.Time) bool {
	return !s.failingSince.IsZero() && now.Sub(s.failingSince) > failingAfter
}

// IsFailing reports whether appends have failed since the last success.
func (s *Submitter) IsFailing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isFailing(s.options.Clock.Now())
}

// tryTrial reports whether a record may be sent although appends fail: one every trialInterval.
func (s *Submitter) tryTrial() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	if !s.isFailing(now) {
		return true
	}
	if now.Sub(s.triedAt) < trialInterval {
		return false
	}
	s.triedAt = now
	return true
}

// tryAcquireSlot reports whether one more batch may be appended now, and counts it if so. It
// allows maxConcurrentAppends to a fast store and maxSlowStoreAppends to a slow one. While an
// append is late, the store may be slow; batches beyond maxSlowStoreAppends then start at most
// every extraAppendInterval.
func (s *Submitter) tryAcquireSlot() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	hasLateAppend := false
	for p := range s.inFlight {
		hasLateAppend = hasLateAppend || now.Sub(p.startedAt) > lateAppendAge
	}
	switch {
	case s.activeBatches < maxSlowStoreAppends:
	case s.activeBatches >= maxConcurrentAppends || s.isSlow || hasLateAppend && now.Sub(s.newestBatchAt) < extraAppendInterval:
		return false
	}
	s.activeBatches++
	s.newestBatchAt = now
	return true
}

// releaseSlot gives back the slot of a batch that has ended.
func (s *Submitter) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeBatches--
}

// appendOnce sends one append without retries. The append counts as lost when a later append
// gets a reply, since the store handles appends in order, or when it times out.
func (s *Submitter) appendOnce(ctx context.Context, records []journaler.Record) (int64, error) {
	p := &pendingAppend{startedAt: s.options.Clock.Now()}
	s.mu.Lock()
	// While other appends are in flight, their replies reveal that this one is lost.
	timeout := slowStoreTimeout
	if !s.isSlow && len(s.inFlight) == 0 {
		timeout = fastStoreTimeout
	}
	ctx, p.cancel = context.WithTimeout(ctx, timeout)
	s.inFlight[p] = true
	if s.unansweredSince.IsZero() {
		s.unansweredSince = p.startedAt
	}
	s.mu.Unlock()
	defer p.cancel()
	offset, err := s.options.Appender.Append(ctx, storer.Append{Topic: storer.Jobs, Records: records})
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, p)
	now := s.options.Clock.Now()
	isFast := now.Sub(p.startedAt) <= fastAppendTime
	switch {
	case !errors.Is(err, storer.ErrOutcomeUnknown):
		s.unansweredSince = time.Time{}
	case isFast:
		s.discountReset()
	}
	isGivenUp := errors.Is(ctx.Err(), context.Canceled)
	if err != nil && !isGivenUp && s.failingSince.IsZero() {
		s.failingSince = now
	}
	switch {
	case err == nil:
		s.failingSince = time.Time{}
		s.isSlow = !isFast
		s.cancelOlder(p.startedAt, now)
	case errors.Is(err, storer.ErrOutcomeUnknown) && !isFast:
		s.isSlow = true
	}
	return offset, err
}

// discountReset updates unansweredSince after an append that ended at once without a reply. That is no
// silence of the store; only the appends still in flight may be. The caller has the lock.
func (s *Submitter) discountReset() {
	var oldest time.Time
	for p := range s.inFlight {
		if oldest.IsZero() || p.startedAt.Before(oldest) {
			oldest = p.startedAt
		}
	}
	if len(s.inFlight) == 0 || !s.unansweredSince.IsZero() && oldest.After(s.unansweredSince) {
		s.unansweredSince = oldest
	}
}

// cancelOlder cancels the appends that started before one that got a reply and have taken
// longer than fastAppendTime.
func (s *Submitter) cancelOlder(startedBefore, now time.Time) {
	for p := range s.inFlight {
		if p.startedAt.Before(startedBefore) && now.Sub(p.startedAt) > fastAppendTime {
			p.cancel()
		}
	}
}

// Run appends submissions in batches until ctx ends.
func (s *Submitter) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		first, ok := s.queue.Take(ctx)
		if !ok {
			return
		}
		for !s.tryAcquireSlot() && ctx.Err() == nil {
			pauser.Pause(ctx, s.options.Clock, slotPollInterval)
		}
		batch := s.collectBatch(first)
		wg.Go(func() {
			err := s.appendBatch(ctx, batch)
			s.releaseSlot()
			for _, w := range batch {
				w.reply <- err
			}
		})
	}
}

// collectBatch returns a submission together with those queued behind it, at most batchSize and little
// more than batchBytes.
func (s *Submitter) collectBatch(first *submission) []*submission {
	batch, size := []*submission{first}, len(first.record.Value)
	for len(batch) < batchSize && size < batchBytes {
		next, found := s.queue.Poll()
		if !found {
			break
		}
		batch, size = append(batch, next), size+len(next.record.Value)
	}
	return batch
}

// Persist appends a record and waits until it is stored. Errors wrap storer.ErrRefused, after
// which the record is never stored, or storer.ErrOutcomeUnknown.
func (s *Submitter) Persist(ctx context.Context, record journaler.Record) error {
	if s.isStoreUnresponsive() {
		return errors.Errorf("the store answers nothing: %w", storer.ErrRefused)
	}
	if s.isStoreSuspicious() && (!s.options.StoreReplies(ctx) || !s.tryTrial()) {
		return errors.Errorf("appends to the store fail: %w", storer.ErrRefused)
	}
	pending := &submission{ctx: ctx, record: record, reply: make(chan error, 1)}
	if !s.queue.Offer(pending) {
		return errors.Errorf("too many submissions wait: %w", storer.ErrRefused)
	}
	select {
	case err := <-pending.reply:
		return err
	case <-ctx.Done():
		return errors.Errorf("wait for the store: %w", storer.ErrOutcomeUnknown)
	}
}

// appendBatch appends the records of a batch. It retries an append that was refused or whose
// outcome is unknown while a caller waits, which is safe because each record is idempotent.
func (s *Submitter) appendBatch(ctx context.Context, batch []*submission) error {
	records := make([]journaler.Record, 0, len(batch))
	for _, w := range batch {
		records = append(records, w.record)
	}
	startedAt, isOutcomeUnknown := s.options.Clock.Now(), false
	for {
		offset, err := s.appendOnce(ctx, records)
		switch {
		case err == nil:
			s.options.OnAppended(records, offset)
			return nil
		case errors.Is(err, storer.ErrRefused) && !isOutcomeUnknown && s.isRefusalFinal(startedAt):
			s.options.Logger.Warn("submit: The store refused an append; its records were not stored.", zap.Int("records", len(records)), zap.String("error", err.Error()))
			return errors.Errorf("append %d records: %w", len(records), storer.ErrRefused)
		case !errors.Is(err, storer.ErrRefused):
			isOutcomeUnknown = true
		}
		if ctx.Err() != nil || !hasWaiter(batch) {
			return errors.Errorf("append %d records: %w", len(records), storer.ErrOutcomeUnknown)
		}
		pauser.Pause(ctx, s.options.Clock, retryInterval)
	}
}

// isRefusalFinal reports whether a refused batch whose first append started at startedAt is
// not retried.
func (s *Submitter) isRefusalFinal(startedAt time.Time) bool {
	return s.options.HasFallbackHost() || s.options.Clock.Now().Sub(startedAt) > maxRefusedRetryTime
}

// hasWaiter reports whether a caller of the batch still waits.
func hasWaiter(batch []*submission) bool {
	for _, w := range batch {
		if w.ctx.Err() == nil {
			return true
		}
	}
	return false
}
