package refresher_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/entry/refresher"
)

// TestCallersWaitForReadThatBeginsAfterTheirCall guards against a caller that gets the result of a read
// which was under way when it called, and may have missed what the caller asks about.
func TestCallersWaitForReadThatBeginsAfterTheirCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var begun []time.Time
		r := refresher.New(refresher.Options{Clock: clockwork.NewRealClock(), Read: func(context.Context) error {
			mu.Lock()
			begun = append(begun, time.Now())
			mu.Unlock()
			time.Sleep(50 * time.Millisecond)
			return nil
		}})
		var calls sync.WaitGroup
		for i := range 40 {
			time.Sleep(7 * time.Millisecond)
			calls.Go(func() {
				calledAt := time.Now()
				require.NoError(t, r.Refresh(t.Context()))
				mu.Lock()
				defer mu.Unlock()
				require.False(t, begun[len(begun)-1].Before(calledAt), "call %d", i)
				require.LessOrEqual(t, time.Since(calledAt), 200*time.Millisecond, "call %d", i)
			})
		}
		calls.Wait()
		require.Len(t, begun, 3, "reads are shared, and a pause separates them")
		time.Sleep(time.Second)
	})
}

// TestCallerWaitsForOneReadAtMost guards against a caller that waits for a read under way that fails, and
// then for one of its own, so that no time is left to ask other hosts.
func TestCallerWaitsForOneReadAtMost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := refresher.New(refresher.Options{Clock: clockwork.NewRealClock(), Read: func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		}})
		var calls sync.WaitGroup
		for range 5 {
			calls.Go(func() {
				calledAt := time.Now()
				require.ErrorIs(t, r.Refresh(t.Context()), context.DeadlineExceeded)
				require.LessOrEqual(t, time.Since(calledAt), time.Second)
			})
			time.Sleep(300 * time.Millisecond)
		}
		calls.Wait()
		time.Sleep(3 * time.Second)
	})
}

// TestFailedOrLateReadIsAnError guards against callers for whom a read that failed, or that they did not wait
// for, counts as one that found nothing.
func TestFailedOrLateReadIsAnError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failure := errors.New("test")
		r := refresher.New(refresher.Options{Clock: clockwork.NewRealClock(), Read: func(ctx context.Context) error {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(300 * time.Millisecond):
				return failure
			}
		}})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		require.ErrorIs(t, r.Refresh(ctx), context.DeadlineExceeded)
		require.ErrorIs(t, r.Refresh(t.Context()), failure)
		silent := refresher.New(refresher.Options{Clock: clockwork.NewRealClock(), Read: func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		}})
		calledAt := time.Now()
		require.ErrorIs(t, silent.Refresh(t.Context()), context.DeadlineExceeded)
		require.LessOrEqual(t, time.Since(calledAt), time.Second)
		time.Sleep(time.Second)
	})
}
