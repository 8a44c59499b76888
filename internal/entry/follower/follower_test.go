package follower_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"lentilrock.example/internal/entry/follower"
	"lentilrock.example/internal/entry/storer"
)

// silentStore gets no replies until a time: calls that arrive before wait until their context ends.
type silentStore struct {
	storer.Store
	// until is in nanoseconds since the Unix epoch.
	until atomic.Int64
}

func (s *silentStore) reply(ctx context.Context, after time.Duration) error {
	if time.Now().UnixNano() < s.until.Load() {
		<-ctx.Done()
		return errors.Wrap(storer.ErrOutcomeUnknown, "test")
	}
	select {
	case <-time.After(after):
		return nil
	case <-ctx.Done():
		return errors.Wrap(storer.ErrOutcomeUnknown, "test")
	}
}

func (s *silentStore) Read(ctx context.Context, _ storer.Topic, _ int64, wait time.Duration) (storer.Batch, error) {
	return storer.Batch{}, s.reply(ctx, 5*time.Millisecond+wait)
}

func (s *silentStore) Newest(ctx context.Context, _ storer.Topic, _ string) (storer.Page, error) {
	return storer.Page{}, s.reply(ctx, 5*time.Millisecond)
}

// partialStore replies with at most maxRecords records of a log, to which a record is appended each period.
type partialStore struct {
	storer.Store
	startedAt  time.Time
	period     time.Duration
	maxRecords int64
}

func (s *partialStore) end() int64 { return int64(time.Since(s.startedAt) / s.period) }

func (s *partialStore) Read(_ context.Context, _ storer.Topic, from int64, _ time.Duration) (storer.Batch, error) {
	time.Sleep(10 * time.Millisecond)
	batch := storer.Batch{Next: min(from+s.maxRecords, s.end()), End: s.end()}
	for offset := from; offset < batch.Next; offset++ {
		batch.Entries = append(batch.Entries, storer.Entry{Offset: offset})
	}
	return batch, nil
}

func (s *partialStore) Newest(context.Context, storer.Topic, string) (storer.Page, error) {
	return storer.Page{}, nil
}

// TestFollowerReadsOnWhileRecordsAreLeft guards against a host that was cut off from the store, reads a part of
// what was appended meanwhile, and then pauses although more is left.
func TestFollowerReadsOnWhileRecordsAreLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &partialStore{startedAt: time.Now(), period: 10 * time.Millisecond, maxRecords: 30}
		time.Sleep(4 * time.Second)
		var endAt time.Time
		f := follower.Follower{
			Store: s, Clock: clockwork.NewRealClock(), Logger: zap.NewNop(), Topic: storer.Claims, Reset: func(storer.Batch) {},
			Apply: func(batch storer.Batch) {
				if batch.IsAtEnd() && endAt.IsZero() {
					endAt = time.Now()
				}
			},
			Pause: func() time.Duration { return 200 * time.Millisecond },
		}
		startedAt := time.Now()
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(10 * time.Second)
		cancel()
		require.False(t, endAt.IsZero(), "the end of the log was not reached")
		require.LessOrEqual(t, endAt.Sub(startedAt), 200*time.Millisecond, "reads of 400 records in parts of 30")
		time.Sleep(2 * time.Second)
	})
}

// withholdingStore says that its log has records, and returns none.
type withholdingStore struct {
	storer.Store
	reads atomic.Int64
}

func (s *withholdingStore) Read(_ context.Context, _ storer.Topic, from int64, _ time.Duration) (storer.Batch, error) {
	s.reads.Add(1)
	time.Sleep(5 * time.Millisecond)
	return storer.Batch{Next: from, End: from + 1}, nil
}

func (s *withholdingStore) Newest(context.Context, storer.Topic, string) (storer.Page, error) {
	return storer.Page{}, nil
}

// TestFollowerPausesAfterReadWithoutRecords guards against a host that reads without a pause from a store
// that returns no records although its log has more.
func TestFollowerPausesAfterReadWithoutRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &withholdingStore{}
		f := follower.Follower{
			Store: s, Clock: clockwork.NewRealClock(), Logger: zap.NewNop(), Topic: storer.Claims, Reset: func(storer.Batch) {},
			Apply: func(storer.Batch) {}, Pause: func() time.Duration { return 200 * time.Millisecond },
		}
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(10 * time.Second)
		cancel()
		require.LessOrEqual(t, s.reads.Load(), int64(50))
		time.Sleep(2 * time.Second)
	})
}

// TestReadsResumeAfterSilentStore answers the pattern of a store that gets silent for seconds. It
// guards against a host that waits for the time limit of a read that was sent during the outage, so
// that nobody takes over, and nothing is accepted, for seconds after the store is back.
func TestReadsResumeAfterSilentStore(t *testing.T) {
	for _, test := range []struct {
		name    string
		silence time.Duration
	}{
		{"from the first read on", 0}, {"4.5 s", 4500 * time.Millisecond}, {"7 s", 7 * time.Second}, {"9.3 s", 9300 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &silentStore{}
				if test.silence == 0 {
					s.until.Store(time.Now().Add(7 * time.Second).UnixNano())
				}
				var appliedAt atomic.Int64
				apply := func(storer.Batch) { appliedAt.Store(time.Now().UnixNano()) }
				f := follower.Follower{
					Store: s, Clock: clockwork.NewRealClock(), Logger: zap.NewNop(), Topic: storer.Claims, Reset: apply, Apply: apply,
					Pause: func() time.Duration { return 600 * time.Millisecond },
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go f.Run(ctx)
				if test.silence > 0 {
					time.Sleep(3 * time.Second)
					s.until.Store(time.Now().Add(test.silence).UnixNano())
				}
				time.Sleep(time.Until(time.Unix(0, s.until.Load())))
				// A read waits up to follower.ReadWait for records. Another second is the time limit for the
				// hosts to notice that the store is back.
				time.Sleep(follower.ReadWait + time.Second)
				require.Greater(t, appliedAt.Load(), s.until.Load(), "the topic was not read within a second")
				cancel()
				time.Sleep(5 * time.Second)
			})
		})
	}
}
