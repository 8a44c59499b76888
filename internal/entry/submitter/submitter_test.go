package submitter_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/entry/submitter"
	"lentilrock.example/internal/fleet/journaler"
)

// store is a fake store that replies to appends after a configurable delay or not at all.
type store struct {
	storer.Store
	delay          atomic.Int64
	isUnresponsive atomic.Bool
	appends        atomic.Int64
	// lostReplies is how many of the next replies are lost.
	lostReplies atomic.Int64
	// isResetting makes appends fail at once with an unknown outcome, and checks fail unless isReadable.
	isResetting atomic.Bool
	isReadable  atomic.Bool
}

func (s *store) Append(ctx context.Context, _ storer.Append) (int64, error) {
	s.appends.Add(1)
	if s.isUnresponsive.Load() || s.lostReplies.Add(-1) >= 0 {
		<-ctx.Done()
		return 0, errors.Wrap(storer.ErrOutcomeUnknown, "test")
	}
	if s.isResetting.Load() {
		return 0, errors.Wrap(storer.ErrOutcomeUnknown, "test")
	}
	time.Sleep(time.Duration(s.delay.Load()))
	return 0, nil
}

// start runs a submitter on a store until the test ends.
func start(t *testing.T, s *store) *submitter.Submitter {
	sub := submitter.New(submitter.Options{
		Appender: s, Clock: clockwork.NewRealClock(), Logger: zap.NewNop(), OnAppended: func([]journaler.Record, int64) {},
		StoreReplies: func(context.Context) bool { return !s.isResetting.Load() || s.isReadable.Load() },
	})
	ctx, cancel := context.WithCancel(context.Background())
	go sub.Run(ctx)
	t.Cleanup(func() {
		cancel()
		time.Sleep(10 * time.Second)
	})
	return sub
}

// persist submits a record for a caller that waits up to 3 s and returns how long that took.
func persist(sub *submitter.Submitter) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	startedAt := time.Now()
	err := sub.Persist(ctx, journaler.Record{Key: "j/a"})
	return time.Since(startedAt), err
}

// TestKeep guards against appends that overload a slow store, against one lost reply that
// delays a caller until the append times out, and against callers that wait for a store that
// replies to nothing.
func TestKeep(t *testing.T) {
	t.Run("a slow store gets few appends with many records each", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := &store{}
			s.delay.Store(int64(400 * time.Millisecond))
			sub := start(t, s)
			var late atomic.Int64
			for range 100 {
				go func() {
					if took, err := persist(sub); err != nil || took > 1500*time.Millisecond {
						late.Add(1)
					}
				}()
				time.Sleep(20 * time.Millisecond)
			}
			time.Sleep(3 * time.Second)
			require.Zero(t, late.Load())
			require.Less(t, s.appends.Load(), int64(20), "appends for 100 records in 2 s")
		})
	})
	t.Run("a lost reply is detected once a later append gets a reply", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := &store{}
			s.delay.Store(int64(5 * time.Millisecond))
			sub := start(t, s)
			s.lostReplies.Store(1)
			go func() {
				for range 20 {
					time.Sleep(50 * time.Millisecond)
					go func() { _, _ = persist(sub) }()
				}
			}()
			took, err := persist(sub)
			require.NoError(t, err)
			require.Less(t, took, 600*time.Millisecond, "the retry must not wait for the timeout of the lost append")
			time.Sleep(2 * time.Second)
		})
	})
	t.Run("records are refused at once while the store is unresponsive", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := &store{}
			sub := start(t, s)
			_, err := persist(sub)
			require.NoError(t, err)
			s.isUnresponsive.Store(true)
			go func() { _, _ = persist(sub) }()
			time.Sleep(2 * time.Second)
			took, err := persist(sub)
			require.True(t, errors.Is(err, storer.ErrRefused), "%v", err)
			require.Zero(t, took)
			s.isUnresponsive.Store(false)
			time.Sleep(3 * time.Second)
			_, err = persist(sub)
			require.NoError(t, err)
		})
	})
	t.Run("records are refused at once while the store resets connections", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := &store{}
			sub := start(t, s)
			_, err := persist(sub)
			require.NoError(t, err)
			s.isResetting.Store(true)
			var unknown, refused, late atomic.Int64
			var callers sync.WaitGroup
			for range 60 {
				callers.Go(func() {
					took, err := persist(sub)
					switch {
					case errors.Is(err, storer.ErrOutcomeUnknown):
						unknown.Add(1)
					case took > 150*time.Millisecond:
						late.Add(1)
					case errors.Is(err, storer.ErrRefused):
						refused.Add(1)
					}
				})
				time.Sleep(50 * time.Millisecond)
			}
			callers.Wait()
			require.Zero(t, late.Load(), "callers that were refused after more than 150 ms")
			require.LessOrEqual(t, unknown.Load(), int64(6), "callers without a definite reply: only those of the first moment of 3 s")
			require.Equal(t, int64(60), unknown.Load()+refused.Load())
			s.isResetting.Store(false)
			took, err := persist(sub)
			require.NoError(t, err, "a record must be accepted once the store replies again")
			require.Less(t, took, 150*time.Millisecond)
		})
	})
}

// TestRecordsAreAcceptedOnceResetsEnd guards against callers that are refused although the store
// replies again, since a retry happens to be in flight after a period of reset connections.
func TestRecordsAreAcceptedOnceResetsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{}
		sub := start(t, s)
		s.isResetting.Store(true)
		go func() { _, _ = persist(sub) }()
		time.Sleep(2 * time.Second)
		synctest.Wait()
		s.delay.Store(int64(100 * time.Millisecond))
		s.isResetting.Store(false)
		for appends := s.appends.Load(); s.appends.Load() == appends; {
			time.Sleep(10 * time.Millisecond)
		}
		took, err := persist(sub)
		require.NoError(t, err, "a record must be accepted while the store handles the retry")
		require.Less(t, took, 150*time.Millisecond)
	})
}

// TestResetsDoNotHideSilence guards against callers that wait for a store that replies to nothing,
// since the connections of some appends are reset while the others stay open.
func TestResetsDoNotHideSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{}
		s.isReadable.Store(true)
		sub := start(t, s)
		s.isUnresponsive.Store(true)
		for range 2 {
			go func() { _, _ = persist(sub) }()
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		s.isResetting.Store(true)
		s.isUnresponsive.Store(false)
		time.Sleep(time.Second)
		require.Greater(t, s.appends.Load(), int64(4), "appends whose connection was reset, beside one without a reply")
		took, err := persist(sub)
		require.True(t, errors.Is(err, storer.ErrRefused), "%v", err)
		require.Zero(t, took)
	})
}
