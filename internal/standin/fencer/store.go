package fencer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"lentilrock.example/internal/entry/storer"
)

const (
	// appendTime is how long the stand-in takes for an append.
	appendTime = 5 * time.Millisecond
	// maxQueued is how much time of appends may wait for a topic before more are refused.
	maxQueued = 2 * time.Second
)

// Store is a store in memory that keeps the newest record of each key.
type Store struct {
	clock clockwork.Clock

	mu     sync.Mutex
	topics map[storer.Topic][]storer.Entry
	// epoch and sequence are the writer's that appended last under an epoch.
	epoch    int64
	sequence int64
	offsets  map[int64]int64
	// IsDown answers nothing; loses carries appends out without an answer.
	isDown bool
	loses  int
	// slowAppend is how long each append of a topic takes, one after the other; 0 means that
	// they take no turns. freeAt is when a topic's last one is done.
	slowAppend time.Duration
	freeAt     map[storer.Topic]time.Time
}

// NewStore returns an empty store.
func NewStore(clock clockwork.Clock) *Store {
	return &Store{clock: clock, topics: make(map[storer.Topic][]storer.Entry), offsets: make(map[int64]int64), sequence: -1, freeAt: make(map[storer.Topic]time.Time)}
}

// SetDown lets the store refuse everything, or serve again.
func (s *Store) SetDown(isDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = isDown
}

// SetSlow has each append of a topic take so long, one after the other.
func (s *Store) SetSlow(each time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowAppend = each
}

// takeTurn waits for a topic's appends before this one; false means that too many wait.
func (s *Store) takeTurn(topic storer.Topic) bool {
	s.mu.Lock()
	now := s.clock.Now()
	free := s.freeAt[topic]
	if free.Before(now) {
		free = now
	}
	if s.slowAppend == 0 || free.Sub(now) > maxQueued {
		isRefused := s.slowAppend > 0
		s.mu.Unlock()
		return !isRefused
	}
	free = free.Add(s.slowAppend)
	s.freeAt[topic] = free
	s.mu.Unlock()
	s.clock.Sleep(free.Sub(now))
	return true
}

// LoseAnswers has the next appends carried out without an answer.
func (s *Store) LoseAnswers(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loses = count
}

// Put adds a record as operators and workers do.
func (s *Store) Put(topic storer.Topic, entry storer.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry.Offset = int64(len(s.topics[topic]))
	s.topics[topic] = append(s.topics[topic], entry)
}

// Append adds records, fenced by their epoch.
func (s *Store) Append(ctx context.Context, call storer.Append) (int64, error) {
	if err := s.pause(ctx); err != nil {
		return 0, err
	}
	if !s.takeTurn(call.Topic) {
		return 0, errors.Errorf("append: too many wait: %w", storer.ErrRefused)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown {
		return 0, errors.Errorf("append: %w", storer.ErrRefused)
	}
	if call.Epoch > 0 {
		if offset, isRepeat, err := s.fence(call); err != nil || isRepeat {
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
	if s.loses > 0 {
		s.loses--
		return 0, errors.Errorf("append: %w", storer.ErrNotKnown)
	}
	return offset, nil
}

// fence checks the epoch and sequence of an append; a repeat gets its first answer.
func (s *Store) fence(call storer.Append) (int64, bool, error) {
	switch {
	case call.Epoch < s.epoch:
		return 0, false, errors.Errorf("append of epoch %d after %d: %w", call.Epoch, s.epoch, storer.ErrFenced)
	case call.Epoch > s.epoch:
		s.epoch, s.sequence = call.Epoch, call.Sequence
		clear(s.offsets)
		return 0, false, nil
	case call.Sequence <= s.sequence:
		return s.offsets[call.Sequence], true, nil
	case call.Sequence != s.sequence+1:
		return 0, false, errors.Errorf("append of sequence %d after %d: %w", call.Sequence, s.sequence, storer.ErrFenced)
	}
	s.sequence = call.Sequence
	return 0, false, nil
}

func (s *Store) pause(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return errors.Errorf("call: %w", storer.ErrNotKnown)
	case <-s.clock.After(appendTime):
		return nil
	}
}

// Read returns the records from an offset on; it waits for the first one.
func (s *Store) Read(ctx context.Context, topic storer.Topic, from int64, wait time.Duration) ([]storer.Entry, error) {
	until := s.clock.Now().Add(wait)
	for {
		if err := s.pause(ctx); err != nil {
			return nil, err
		}
		s.mu.Lock()
		isDown := s.isDown
		entries := s.topics[topic][min(from, int64(len(s.topics[topic]))):]
		s.mu.Unlock()
		switch {
		case isDown:
			return nil, errors.Errorf("read: %w", storer.ErrRefused)
		case len(entries) > 0 || !s.clock.Now().Before(until):
			return entries, nil
		}
	}
}

// Newest returns the newest record of each key.
func (s *Store) Newest(ctx context.Context, topic storer.Topic, _ string) (storer.Page, error) {
	if err := s.pause(ctx); err != nil {
		return storer.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown {
		return storer.Page{}, errors.Errorf("read newest: %w", storer.ErrRefused)
	}
	newest := make(map[string]storer.Entry)
	for _, e := range s.topics[topic] {
		newest[e.Key] = e
	}
	page := storer.Page{End: int64(len(s.topics[topic]))}
	for _, e := range newest {
		if len(e.Value) > 0 {
			page.Entries = append(page.Entries, e)
		}
	}
	return page, nil
}
