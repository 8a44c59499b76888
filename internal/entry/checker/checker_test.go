package checker_test

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

	"lentilrock.example/internal/entry/checker"
)

// TestReplies guards against callers that wait long for a service that does not reply, and against
// a check for each of many concurrent callers.
func TestReplies(t *testing.T) {
	const callers = 50
	for _, test := range []struct {
		name   string
		delay  time.Duration
		err    error
		want   bool
		within time.Duration
	}{
		{"a fast reply", 5 * time.Millisecond, nil, true, 5 * time.Millisecond},
		{"a slow reply", 400 * time.Millisecond, nil, true, 400 * time.Millisecond},
		{"an error", 5 * time.Millisecond, errors.New("test"), false, 5 * time.Millisecond},
		{"no reply", time.Hour, nil, false, 600 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var checks atomic.Int64
				c := checker.New(checker.Options{Clock: clockwork.NewRealClock(), Check: func(ctx context.Context) error {
					checks.Add(1)
					select {
					case <-time.After(test.delay):
						return test.err
					case <-ctx.Done():
						return ctx.Err()
					}
				}})
				startedAt := time.Now()
				var wg sync.WaitGroup
				for range callers {
					wg.Go(func() { require.Equal(t, test.want, c.Replies(t.Context())) })
				}
				wg.Wait()
				require.LessOrEqual(t, time.Since(startedAt), test.within)
				require.EqualValues(t, 1, checks.Load())
				time.Sleep(time.Second)
				startedAt = time.Now()
				require.Equal(t, test.want, c.Replies(t.Context()))
				if !test.want {
					require.Zero(t, time.Since(startedAt), "a caller must not wait again for a service that has just not replied")
				}
				synctest.Wait()
				require.EqualValues(t, 2, checks.Load(), "an old result must not count")
				time.Sleep(time.Second)
			})
		})
	}
}

// TestRepliesAfterOutage guards against a service that counts as down after it is back.
func TestRepliesAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		isDown := true
		c := checker.New(checker.Options{Clock: clockwork.NewRealClock(), Check: func(context.Context) error {
			if isDown {
				return errors.New("test")
			}
			return nil
		}})
		require.False(t, c.Replies(t.Context()))
		isDown = false
		time.Sleep(200 * time.Millisecond)
		require.False(t, c.Replies(t.Context()))
		synctest.Wait()
		require.True(t, c.Replies(t.Context()))
		isDown = true
		time.Sleep(time.Second)
		require.False(t, c.Replies(t.Context()))
		isDown = false
		time.Sleep(time.Hour)
		require.True(t, c.Replies(t.Context()), "the failure was long ago")
	})
}
