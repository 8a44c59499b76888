package repeater_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/entry/repeater"
	"lentilrock.example/internal/entry/storer"
)

// reply is what a scripted store does with an attempt: it replies after a delay, or never if the
// delay is 0.
type reply struct {
	after time.Duration
	err   error
}

// store replies to the attempts by a script; all further attempts get the last reply of the script.
type store struct {
	mu       sync.Mutex
	script   []reply
	attempts int
	// isSilent reports that reads get no reply either.
	isSilent bool
}

// read replies to a read without records.
func (s *store) read(ctx context.Context) error {
	if s.isSilent {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (s *store) Append(ctx context.Context, _ storer.Append) (int64, error) {
	s.mu.Lock()
	r := s.script[min(s.attempts, len(s.script)-1)]
	s.attempts++
	s.mu.Unlock()
	if r.after == 0 {
		<-ctx.Done()
		return 0, errors.Errorf("test: %w", storer.ErrOutcomeUnknown)
	}
	select {
	case <-time.After(r.after):
		return 7, r.err
	case <-ctx.Done():
		return 0, errors.Errorf("test: %w", storer.ErrOutcomeUnknown)
	}
}

// TestAppendIsRepeatedUntilItsReply guards against appends that wait for a reply that is lost, and
// against refusals that are reported although an earlier attempt may have taken effect.
func TestAppendIsRepeatedUntilItsReply(t *testing.T) {
	const fast = 10 * time.Millisecond
	for _, test := range []struct {
		name        string
		script      []reply
		want        error
		within      time.Duration
		maxAttempts int
	}{
		{"a fast reply needs one attempt", []reply{{fast, nil}}, nil, fast, 1},
		{"one lost reply", []reply{{}, {fast, nil}}, nil, 250 * time.Millisecond, 2},
		{"three lost replies", []reply{{}, {}, {}, {fast, nil}}, nil, 1200 * time.Millisecond, 4},
		{"a refusal at once", []reply{{fast, storer.ErrRefused}}, storer.ErrRefused, fast, 1},
		{"a refusal after a lost reply", []reply{{}, {fast, storer.ErrRefused}}, storer.ErrOutcomeUnknown, 250 * time.Millisecond, 2},
		{"a later writer", []reply{{fast, storer.ErrFenced}}, storer.ErrFenced, fast, 1},
		{"a later writer after a lost reply", []reply{{}, {fast, storer.ErrFenced}}, storer.ErrFenced, 250 * time.Millisecond, 2},
		{"a store that never replies", []reply{{}}, storer.ErrOutcomeUnknown, 3 * time.Second, 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &store{script: test.script, isSilent: len(test.script) == 1 && test.script[0].after == 0}
				r := repeater.New(repeater.Options{Store: s, Check: s.read, Clock: clockwork.NewRealClock()})
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				startedAt := time.Now()
				_, err := r.Append(ctx, storer.Append{Topic: storer.Claims})
				if test.want == nil {
					require.NoError(t, err)
				} else {
					require.True(t, errors.Is(err, test.want), "%v", err)
				}
				require.LessOrEqual(t, time.Since(startedAt), test.within)
				require.LessOrEqual(t, s.attempts, test.maxAttempts)
				time.Sleep(time.Second)
			})
		})
	}
}

// queueStore carries out one append at a time.
type queueStore struct {
	mu       sync.Mutex
	duration time.Duration
	freeAt   time.Time
	attempts int
}

func (s *queueStore) Append(ctx context.Context, _ storer.Append) (int64, error) {
	s.mu.Lock()
	s.attempts++
	if s.freeAt.Before(time.Now()) {
		s.freeAt = time.Now()
	}
	s.freeAt = s.freeAt.Add(s.duration)
	wait := time.Until(s.freeAt)
	s.mu.Unlock()
	select {
	case <-time.After(wait):
		return 0, nil
	case <-ctx.Done():
		return 0, errors.Errorf("test: %w", storer.ErrOutcomeUnknown)
	}
}

// read takes as long as an append would if no other were queued.
func (s *queueStore) read(ctx context.Context) error {
	select {
	case <-time.After(s.duration):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TestSlowStoreGetsFewRepeats answers the pattern of a store that becomes a hundred times slower. It
// guards against repeats that fill the store's queue, so that nothing is persisted in time.
func TestSlowStoreGetsFewRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &queueStore{duration: 4 * time.Millisecond}
		r := repeater.New(repeater.Options{Store: s, Check: s.read, Clock: clockwork.NewRealClock()})
		const appends, writers = 10, 2
		run := func() {
			var wg sync.WaitGroup
			for range writers {
				wg.Go(func() {
					for range appends {
						_, err := r.Append(t.Context(), storer.Append{Topic: storer.Jobs})
						require.NoError(t, err)
					}
				})
			}
			wg.Wait()
		}
		run()
		require.Equal(t, appends*writers, s.attempts)
		s.duration, s.attempts = 400*time.Millisecond, 0
		run()
		require.LessOrEqual(t, s.attempts, appends*writers*11/10, "a tenth more appends at the most")
		time.Sleep(time.Second)
	})
}
