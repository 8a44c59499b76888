package leaser_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/leaser"
)

func TestLease(t *testing.T) {
	now := time.Unix(1_000, 0)
	t.Run("nothing is promised while the clock is not known", func(t *testing.T) {
		var lease leaser.Lease
		require.Zero(t, lease.Extend(now, time.Second))
		require.True(t, lease.HasLapsed(now))
	})
	t.Run("a promise is on the worker's clock", func(t *testing.T) {
		var lease leaser.Lease
		lease.Sample(now, 500*time.Second)
		require.Equal(t, 503*time.Second, lease.Extend(now.Add(time.Second), 2*time.Second))
	})
	t.Run("a worker whose clock is 2% slow has ended what lapsed", func(t *testing.T) {
		var lease leaser.Lease
		lease.Sample(now, 0)
		deadline := lease.Extend(now, 6*time.Second)
		slowest := now.Add(time.Duration(float64(deadline) / 0.98))
		require.False(t, lease.HasLapsed(slowest))
	})
	t.Run("a shorter promise takes nothing back", func(t *testing.T) {
		var lease leaser.Lease
		lease.Sample(now, 0)
		lease.Extend(now, 6*time.Second)
		lease.Extend(now, time.Second)
		require.False(t, lease.HasLapsed(now.Add(5*time.Second)))
	})
}
