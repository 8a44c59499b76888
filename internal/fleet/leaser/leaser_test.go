package leaser_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/leaser"
)

// TestLease guards against a task that is started elsewhere while a worker with a slow clock still
// runs it.
func TestLease(t *testing.T) {
	now := time.Unix(1_000, 0)
	t.Run("no lease is granted while the clock is unknown", func(t *testing.T) {
		var lease leaser.Lease
		require.Zero(t, lease.Extend(now, time.Second))
		require.True(t, lease.HasExpired(now))
	})
	t.Run("the deadline of a lease is on the worker's clock", func(t *testing.T) {
		var lease leaser.Lease
		lease.Sample(now, 500*time.Second)
		require.Equal(t, 502*time.Second, lease.Extend(now, 2*time.Second))
		require.Equal(t, 502960*time.Millisecond, lease.Extend(now.Add(time.Second), 2*time.Second), "the clock may have run slow since")
	})
	t.Run("a lease on a clock that runs 2% slow lapses only after its deadline there", func(t *testing.T) {
		var lease leaser.Lease
		lease.Sample(now, 0)
		deadline := lease.Extend(now, 6*time.Second)
		slowest := now.Add(time.Duration(float64(deadline) / 0.98))
		require.False(t, lease.HasExpired(slowest))
	})
	t.Run("a shorter lease does not shorten an earlier one", func(t *testing.T) {
		var lease leaser.Lease
		lease.Sample(now, 0)
		lease.Extend(now, 6*time.Second)
		lease.Extend(now, time.Second)
		require.False(t, lease.HasExpired(now.Add(5*time.Second)))
	})
}

// TestExtendWithOldSample guards against a lease that outlasts ExpiresAt on a worker whose clock is 2% slow, as the holder
// was paused since it sampled that clock.
func TestExtendWithOldSample(t *testing.T) {
	const lease = 3500 * time.Millisecond
	for _, age := range []time.Duration{0, 2 * time.Second, 15 * time.Second, time.Minute} {
		start := time.Unix(0, 0)
		var l leaser.Lease
		l.Sample(start, 0)
		deadline := l.Extend(start.Add(age), lease)
		lapsesAt := start.Add(deadline * 100 / 98)
		require.False(t, lapsesAt.After(l.ExpiresAt), "sample of %v before: the lease ends %v after ExpiresAt", age, lapsesAt.Sub(l.ExpiresAt))
	}
}
