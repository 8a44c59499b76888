package submitter_test

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

	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/entry/submitter"
	"lentilrock.example/internal/fleet/journaler"
)

// store answers appends after a time that the test sets, one after the other or not at all.
type store struct {
	storer.Store
	delay    atomic.Int64
	isSilent atomic.Bool
	appends  atomic.Int64
	// loses is how many answers are lost.
	loses atomic.Int64
}

func (s *store) Append(ctx context.Context, _ storer.Append) (int64, error) {
	s.appends.Add(1)
	if s.isSilent.Load() || s.loses.Add(-1) >= 0 {
		<-ctx.Done()
		return 0, errors.Wrap(storer.ErrNotKnown, "test")
	}
	time.Sleep(time.Duration(s.delay.Load()))
	return 0, nil
}

// start runs a submitter at a store until the bubble's test ends.
func start(t *testing.T, s *store) *submitter.Submitter {
	sub := submitter.New(submitter.Options{
		Store: s, Clock: clockwork.NewRealClock(), Logger: zap.NewNop(), Kept: func([]journaler.Record, int64) {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	go sub.Run(ctx)
	t.Cleanup(func() {
		cancel()
		time.Sleep(10 * time.Second)
	})
	return sub
}

// keep keeps a record for a caller that waits 3 s, and returns how long it took.
func keep(sub *submitter.Submitter) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	began := time.Now()
	err := sub.Keep(ctx, journaler.Record{Key: "j/a"})
	return time.Since(began), err
}

func TestKeep(t *testing.T) {
	t.Run("a slow store gets few appends", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := &store{}
			s.delay.Store(int64(400 * time.Millisecond))
			sub := start(t, s)
			var late atomic.Int64
			for range 100 {
				go func() {
					if took, err := keep(sub); err != nil || took > 1500*time.Millisecond {
						late.Add(1)
					}
				}()
				time.Sleep(20 * time.Millisecond)
			}
			time.Sleep(3 * time.Second)
			require.Zero(t, late.Load())
			require.Less(t, s.appends.Load(), int64(20), "100 records in 2 s")
		})
	})
	t.Run("a lost answer is noticed once a later append is answered", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := &store{}
			s.delay.Store(int64(5 * time.Millisecond))
			sub := start(t, s)
			s.loses.Store(1)
			go func() {
				for range 20 {
					time.Sleep(50 * time.Millisecond)
					go func() { _, _ = keep(sub) }()
				}
			}()
			took, err := keep(sub)
			require.NoError(t, err)
			require.Less(t, took, 600*time.Millisecond, "well before it counts as lost by itself")
			time.Sleep(2 * time.Second)
		})
	})
	t.Run("a store that answers nothing is not waited for", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := &store{}
			sub := start(t, s)
			_, err := keep(sub)
			require.NoError(t, err)
			s.isSilent.Store(true)
			go func() { _, _ = keep(sub) }()
			time.Sleep(2 * time.Second)
			took, err := keep(sub)
			require.True(t, errors.Is(err, storer.ErrRefused), "%v", err)
			require.Zero(t, took)
			s.isSilent.Store(false)
			time.Sleep(3 * time.Second)
			_, err = keep(sub)
			require.NoError(t, err)
		})
	})
}
