// Package repeater sends an idempotent append again while the first attempt still has no reply. A
// store may lose replies and carry out appends seconds later, and a connection on which a reply was
// lost returns nothing further, so waiting for the timeout of one attempt costs more than a second
// attempt beside it.
//
// A slow store delays its replies too, and repeats would add to its queue. So an attempt is repeated
// only after several times the usual latency, and then if a later append has already got its reply:
// any append to the same topic, or a fast append or read elsewhere. Without such evidence the delay
// between the repeats grows quickly.
//
// # Usage
//
//	r := repeater.New(repeater.Options{Store: store, Check: read, Clock: clock})
//	offset, err := r.Append(ctx, storer.Append{Topic: storer.Claims, Records: records, Epoch: 3, Sequence: 7})
package repeater

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"lentilrock.example/internal/entry/storer"
)

const (
	// minRepeatDelay is the shortest time after which an attempt without a reply is repeated. It is
	// longer than an append from a distant host to a healthy store.
	minRepeatDelay = 100 * time.Millisecond
	// minBlindDelay is the same without evidence that the reply is lost. It is longer than minRepeatDelay
	// and readTimeout together.
	minBlindDelay = 300 * time.Millisecond
	// maxRepeatDelay bounds the delay at a slow store.
	maxRepeatDelay = 1500 * time.Millisecond
	// latencyFactor times the usual latency is the delay before a repeat.
	latencyFactor = 3
	// checkInterval is how often a call without a reply checks whether to repeat it.
	checkInterval = 25 * time.Millisecond
	// blindGrowth is the factor by which the delay between repeats without evidence grows.
	blindGrowth = 3
	// readTimeout bounds a read that checks whether the store is fast.
	readTimeout = 150 * time.Millisecond
	// maxAttempts bounds the attempts of one call in flight. The oldest is given up for another.
	maxAttempts = 3
)

// Options configure a Repeater.
type Options struct {
	Store storer.Appender
	// Check reads from the store without waiting for records. A fast reply shows that the reply to an
	// older append is lost, not late. Nil means that there is no such read.
	Check func(ctx context.Context) error
	Clock clockwork.Clock
}

// Repeater appends to a store. It is safe for concurrent use.
type Repeater struct {
	options Options

	mu sync.Mutex
	// latency is the usual latency of appends. It rises at once and falls slowly.
	latency time.Duration
	// fastStart is the latest start of an attempt, to any topic, that got its reply within
	// minRepeatDelay, or of a read that got its reply within readTimeout.
	fastStart time.Time
	isReading bool
	topics    map[storer.Topic]*topicState
}

// topicState has what the replies tell about the appends to one topic.
type topicState struct {
	// repliedStart is the latest start of an attempt that got a reply.
	repliedStart time.Time
	// blindAt is when an attempt was last repeated without evidence that its reply is lost, and
	// blindDelay the delay until the next such repeat.
	blindAt    time.Time
	blindDelay time.Duration
}

// New returns a Repeater.
func New(options Options) *Repeater {
	return &Repeater{options: options, topics: make(map[storer.Topic]*topicState)}
}

// result is the reply to an attempt.
type result struct {
	offset int64
	err    error
}

// Append appends records and returns the offset of the first one. The append must be idempotent: it
// may be carried out more than once, also after Append has returned. The first reply counts. Errors
// are those of storer.Appender; storer.ErrRefused means that no attempt had or will have an effect.
func (r *Repeater) Append(ctx context.Context, call storer.Append) (int64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan result)
	var cancels []context.CancelFunc
	var newestStart time.Time
	attempt := func() {
		if len(cancels) == maxAttempts {
			cancels[0]()
			cancels = cancels[1:]
		}
		attemptCtx, cancelAttempt := context.WithCancel(ctx)
		cancels, newestStart = append(cancels, cancelAttempt), r.options.Clock.Now()
		go r.attempt(attemptCtx, call, replies)
	}
	attempt()
	attempts := 1
	delay := minRepeatDelay
	for {
		select {
		case reply := <-replies:
			if errors.Is(reply.err, storer.ErrRefused) && attempts > 1 {
				return 0, errors.Errorf("append again: %s: %w", reply.err.Error(), storer.ErrOutcomeUnknown)
			}
			return reply.offset, reply.err
		case <-ctx.Done():
			return 0, errors.Errorf("append to %s: %w", call.Topic, storer.ErrOutcomeUnknown)
		case <-r.options.Clock.After(delay):
		}
		delay = checkInterval
		if r.shouldRepeat(call.Topic, newestStart) {
			attempt()
			attempts++
		}
	}
}

// attempt sends an append once. It delivers the reply unless the attempt was given up.
func (r *Repeater) attempt(ctx context.Context, call storer.Append, replies chan<- result) {
	startedAt := r.options.Clock.Now()
	offset, err := r.options.Store.Append(ctx, call)
	if err != nil && ctx.Err() != nil {
		return
	}
	if !errors.Is(err, storer.ErrOutcomeUnknown) {
		r.recordReply(call.Topic, startedAt, err == nil)
	}
	select {
	case replies <- result{offset, err}:
	case <-ctx.Done():
	}
}

// recordReply records the reply to an attempt that started at startedAt. Only appends that were
// carried out tell the latency.
func (r *Repeater) recordReply(topic storer.Topic, startedAt time.Time, isAppended bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if isAppended {
		sample := r.options.Clock.Now().Sub(startedAt)
		r.latency = max(sample, (3*r.latency+sample)/4)
		if sample < minRepeatDelay && startedAt.After(r.fastStart) {
			r.fastStart = startedAt
		}
	}
	state := r.topic(topic)
	if startedAt.After(state.repliedStart) {
		state.repliedStart = startedAt
	}
	state.blindDelay = 0
}

// topic returns the state of a topic; the caller has the lock.
func (r *Repeater) topic(topic storer.Topic) *topicState {
	if r.topics[topic] == nil {
		r.topics[topic] = &topicState{}
	}
	return r.topics[topic]
}

// shouldRepeat reports whether to repeat a call whose newest attempt started at startedAt. Without
// evidence that its reply is lost, it starts a read to get some, and the delay between the repeats at
// a topic grows until the store replies.
func (r *Repeater) shouldRepeat(topic storer.Topic, startedAt time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock.Now()
	repeatDelay := min(max(latencyFactor*r.latency, minRepeatDelay), maxRepeatDelay)
	state := r.topic(topic)
	switch {
	case now.Sub(startedAt) < repeatDelay:
		return false
	case startedAt.Before(state.repliedStart), startedAt.Before(r.fastStart):
		return true
	}
	r.startRead()
	blindDelay := max(state.blindDelay, repeatDelay, minBlindDelay)
	if now.Sub(startedAt) < minBlindDelay || now.Sub(state.blindAt) < blindDelay {
		return false
	}
	state.blindAt = now
	state.blindDelay = min(blindDelay*blindGrowth, maxRepeatDelay)
	return true
}

// startRead starts a read that shows whether the store is fast, unless one is in flight. The caller
// has the lock.
func (r *Repeater) startRead() {
	if r.options.Check == nil || r.isReading {
		return
	}
	r.isReading = true
	go func() {
		startedAt := r.options.Clock.Now()
		ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
		defer cancel()
		err := r.options.Check(ctx)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.isReading = false
		if err == nil && startedAt.After(r.fastStart) {
			r.fastStart = startedAt
		}
	}()
}
