package confirmer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/confirmer"
)

// TestConfirmer guards against a holder that acts while another host may have claimed the cell: after a pause, or
// for longer than its successor waits. It also guards against one that stops acting in a short outage of the store.
func TestConfirmer(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	at := func(offset time.Duration) time.Time { return start.Add(offset) }
	t.Run("nothing is allowed before the first confirmation", func(t *testing.T) {
		var c confirmer.Confirmer
		require.Zero(t, c.Remaining(at(0)))
		require.False(t, c.MayOrderUnfenced(at(0)))
		require.Zero(t, c.ConfirmedAt())
	})
	t.Run("leases end within the authority of the last confirmation", func(t *testing.T) {
		var c confirmer.Confirmer
		c.Confirm(at(0))
		for offset := time.Duration(0); offset < time.Minute; offset += 1900 * time.Millisecond {
			require.Equal(t, max(confirmer.Authority-offset, 0), c.Remaining(at(offset)))
		}
		c.Confirm(at(time.Minute))
		require.Equal(t, confirmer.Authority, c.Remaining(at(time.Minute)))
		c.Confirm(at(time.Second))
		require.Equal(t, at(time.Minute), c.ConfirmedAt(), "an older append replaced a newer one")
	})
	t.Run("after a long pause only an append that was sent after it confirms the claim", func(t *testing.T) {
		var c confirmer.Confirmer
		c.Observe(at(0))
		c.Confirm(at(0))
		require.Zero(t, c.Remaining(at(4*time.Second)))
		require.Zero(t, c.Remaining(at(4010*time.Millisecond)), "the pause was forgotten at the second look")
		c.Confirm(at(100 * time.Millisecond))
		require.Zero(t, c.Remaining(at(4020*time.Millisecond)), "an append from before the pause confirmed the claim")
		c.Confirm(at(4030 * time.Millisecond))
		require.Positive(t, c.Remaining(at(4040*time.Millisecond)))
	})
	t.Run("unfenced orders need a recent append, and one that was sent after a pause", func(t *testing.T) {
		var c confirmer.Confirmer
		require.False(t, c.MayOrderUnfenced(at(0)), "no append has succeeded")
		c.Confirm(at(0))
		require.True(t, c.MayOrderUnfenced(at(confirmer.Validity)))
		require.False(t, c.MayOrderUnfenced(at(confirmer.Validity+time.Millisecond)))
		c.Confirm(at(1600 * time.Millisecond))
		require.True(t, c.MayOrderUnfenced(at(1700*time.Millisecond)))
		require.False(t, c.MayOrderUnfenced(at(5700*time.Millisecond)))
	})
}
