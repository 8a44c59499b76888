// Package keeper simulates, in memory, a store that enforces fences: it rejects appends with an epoch below the newest
// one. The epoch of the claim, the record that makes one host the leader, is the fencing token. Tests inject faults such as
// outages, lost replies and slow appends.
//
// # Usage
//
//	store := keeper.NewStore(clock)
//	store.SetDown(true)
package keeper

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"lentilrock.example/internal/container/sorter"
	"lentilrock.example/internal/entry/storer"
)

const (
	// callLatency is the simulated latency of each append and read.
	callLatency = 5 * time.Millisecond
	// maxQueueTime is the backlog of a topic, in time, above which further appends are refused.
	maxQueueTime = 2 * time.Second
)

// Store is an in-memory store of topics, each a sequence of records with keys.
type Store struct {
	clock clockwork.Clock

	mu     sync.Mutex
	topics map[storer.Topic][]storer.Entry
	// epoch and sequence are those of the last append that named an epoch, and offsets holds
	// the offset of each append of that epoch by its sequence number.
	epoch    int64
	sequence int64
	offsets  map[int64]int64
	// isDown refuses every append and read, but not Put; lostReplies is how many appends still
	// take effect without a reply.
	isDown      bool
	lostReplies int
	// lose decides whether the reply to an append is lost, and how much later the append then
	// takes effect; nil loses none. appends counts the appends to each topic that it has decided on.
	lose    func(append int) (isLost bool, delay time.Duration)
	appends map[storer.Topic]int
	// appendDuration is how long each append takes when the appends to each topic run one after
	// the other; 0 means that they run concurrently. freeAt is when the last queued append of a
	// topic ends.
	appendDuration time.Duration
	freeAt         map[storer.Topic]time.Time
	// pageSize limits the records in a page of the newest ones; 0 means no limit.
	pageSize int
}

// NewStore returns an empty store.
func NewStore(clock clockwork.Clock) *Store {
	return &Store{clock: clock, topics: make(map[storer.Topic][]storer.Entry), offsets: make(map[int64]int64), sequence: -1, freeAt: make(map[storer.Topic]time.Time)}
}

// SetDown makes the store refuse every append and read, or serve them again. It does not concern Put.
func (s *Store) SetDown(isDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = isDown
}

// SetSlow makes the appends to each topic run one after the other, each for a duration, and adds the
// same duration to every reply; 0 makes the store fast and appends concurrent again.
func (s *Store) SetSlow(duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendDuration = duration
}

// waitForTurn waits until the queued appends of a topic and this one are complete; it does not
// wait if appends run concurrently. It returns false if the backlog is above maxQueueTime.
func (s *Store) waitForTurn(topic storer.Topic) bool {
	s.mu.Lock()
	now := s.clock.Now()
	free := s.freeAt[topic]
	if free.Before(now) {
		free = now
	}
	if s.appendDuration == 0 || free.Sub(now) > maxQueueTime {
		isRefused := s.appendDuration > 0
		s.mu.Unlock()
		return !isRefused
	}
	free = free.Add(s.appendDuration)
	s.freeAt[topic] = free
	s.mu.Unlock()
	s.clock.Sleep(free.Sub(now))
	return true
}

// LoseReplies makes the next count appends take effect without a reply: they return
// storer.ErrOutcomeUnknown.
func (s *Store) LoseReplies(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostReplies = count
}

// SetLossy makes the store lose replies: for each append, numbered from 0 in its topic, lose reports
// whether its reply is lost and how much later the append then takes effect. The caller waits until
// its context ends. A nil function ends the losses.
func (s *Store) SetLossy(lose func(append int) (isLost bool, delay time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose, s.appends = lose, make(map[storer.Topic]int)
}

// nextLoss decides whether the reply to the next append is lost.
func (s *Store) nextLoss(topic storer.Topic) (bool, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lose == nil {
		return false, 0
	}
	s.appends[topic]++
	return s.lose(s.appends[topic] - 1)
}

// Put adds a record without an epoch, as operators and workers do.
func (s *Store) Put(topic storer.Topic, entry storer.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry.Offset = int64(len(s.topics[topic]))
	s.topics[topic] = append(s.topics[topic], entry)
}

// Entries returns all records of a topic, also while the store is down.
func (s *Store) Entries(topic storer.Topic) []storer.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topics[topic]
}

// Append adds records to a topic and returns the offset of the first. It returns
// storer.ErrFenced for an outdated epoch or a gap in the sequence, storer.ErrRefused if the store
// is down or has too many queued appends, and storer.ErrOutcomeUnknown if the outcome is unknown.
func (s *Store) Append(ctx context.Context, call storer.Append) (int64, error) {
	if err := s.simulateLatency(ctx); err != nil {
		return 0, err
	}
	isLost, delay := s.nextLoss(call.Topic)
	if isLost {
		go func() {
			s.clock.Sleep(delay)
			_, _ = s.apply(call)
		}()
		<-ctx.Done()
		return 0, errors.Errorf("append: reply lost: %w", storer.ErrOutcomeUnknown)
	}
	return s.apply(call)
}

// apply carries out an append once it is its turn.
func (s *Store) apply(call storer.Append) (int64, error) {
	if !s.waitForTurn(call.Topic) {
		return 0, errors.Errorf("append: too many appends are queued: %w", storer.ErrRefused)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown {
		return 0, errors.Errorf("append: store is down: %w", storer.ErrRefused)
	}
	if call.Epoch > 0 {
		if offset, isDuplicate, err := s.checkFence(call); err != nil || isDuplicate {
			return offset, err
		}
	}
	offset := int64(len(s.topics[call.Topic]))
	for i, r := range call.Records {
		s.topics[call.Topic] = append(s.topics[call.Topic], storer.Entry{Offset: offset + int64(i), Record: r})
	}
	if call.Epoch > 0 {
		s.offsets[call.Sequence] = offset
	}
	if s.lostReplies > 0 {
		s.lostReplies--
		return 0, errors.Errorf("append: reply lost: %w", storer.ErrOutcomeUnknown)
	}
	return offset, nil
}

// checkFence checks the epoch and sequence number of an append. For a duplicate it returns true
// and the offset of the first append.
func (s *Store) checkFence(call storer.Append) (int64, bool, error) {
	switch {
	case call.Epoch < s.epoch:
		return 0, false, errors.Errorf("append with epoch %d after epoch %d: %w", call.Epoch, s.epoch, storer.ErrFenced)
	case call.Epoch > s.epoch:
		s.epoch, s.sequence = call.Epoch, call.Sequence
		clear(s.offsets)
		return 0, false, nil
	case call.Sequence <= s.sequence:
		return s.offsets[call.Sequence], true, nil
	case call.Sequence != s.sequence+1:
		return 0, false, errors.Errorf("append with sequence number %d after %d: %w", call.Sequence, s.sequence, storer.ErrFenced)
	}
	s.sequence = call.Sequence
	return 0, false, nil
}

func (s *Store) simulateLatency(ctx context.Context) error {
	s.mu.Lock()
	latency := callLatency + s.appendDuration
	s.mu.Unlock()
	select {
	case <-ctx.Done():
		return errors.Errorf("call cancelled: %w", storer.ErrOutcomeUnknown)
	case <-s.clock.After(latency):
		return nil
	}
}

// Read returns the records of a topic from an offset on. If there are none, it waits up to wait
// for the first.
func (s *Store) Read(ctx context.Context, topic storer.Topic, from int64, wait time.Duration) (storer.Batch, error) {
	deadline := s.clock.Now().Add(wait)
	for {
		if err := s.simulateLatency(ctx); err != nil {
			return storer.Batch{}, err
		}
		s.mu.Lock()
		isDown := s.isDown
		end := int64(len(s.topics[topic]))
		entries := s.topics[topic][min(from, end):]
		s.mu.Unlock()
		switch {
		case isDown:
			return storer.Batch{}, errors.Errorf("read: store is down: %w", storer.ErrRefused)
		case len(entries) > 0 || !s.clock.Now().Before(deadline):
			return storer.Batch{Entries: entries, Next: from + int64(len(entries)), End: end}, nil
		}
	}
}

// SetPageSize limits the records in a page of the newest ones; 0 means that a page has all.
func (s *Store) SetPageSize(size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pageSize = size
}

// Newest returns the newest record of each key after the given one, without keys whose newest value is
// empty, by key. Pages are not a consistent snapshot: each has the records of its own moment.
func (s *Store) Newest(ctx context.Context, topic storer.Topic, after string) (storer.Page, error) {
	if err := s.simulateLatency(ctx); err != nil {
		return storer.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown {
		return storer.Page{}, errors.Errorf("read newest records: store is down: %w", storer.ErrRefused)
	}
	newest := make(map[string]storer.Entry)
	for _, e := range s.topics[topic] {
		newest[e.Key] = e
	}
	page := storer.Page{End: int64(len(s.topics[topic]))}
	for _, key := range sorter.Keys(newest) {
		if key <= after || len(newest[key].Value) == 0 {
			continue
		}
		if s.pageSize > 0 && len(page.Entries) == s.pageSize {
			page.After = page.Entries[s.pageSize-1].Key
			break
		}
		page.Entries = append(page.Entries, newest[key])
	}
	return page, nil
}
