package adviser_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/adviser"
)

// TestCache guards against starts with a ticket that the worker would refuse, and against requests
// that are useless or never sent: about ineligible workers, several at a time, or none after a lost
// one.
func TestCache(t *testing.T) {
	now := time.Unix(1_000, 0)
	const valid = 2500 * time.Millisecond
	newCache := func() *adviser.Cache {
		c := &adviser.Cache{}
		c.QuerySent(now)
		eligible := c.RecordResponse(now, []string{"a", "b", "c"}, map[string]string{"a": "t-a", "b": "t-b"},
			map[string]int64{"a": 1, "b": 1, "c": 1}, valid)
		require.Equal(t, 2, eligible)
		return c
	}
	t.Run("a ticket is valid for one incarnation of the worker only", func(t *testing.T) {
		c := newCache()
		value, isValid := c.Ticket("a", 1, now)
		require.True(t, isValid)
		require.Equal(t, "t-a", value)
		_, isValid = c.Ticket("a", 2, now)
		require.False(t, isValid)
	})
	t.Run("a ticket expires before the end of its validity", func(t *testing.T) {
		_, isValid := newCache().Ticket("a", 1, now.Add(valid-100*time.Millisecond))
		require.False(t, isValid)
	})
	t.Run("a refused ticket is dropped and the worker stays eligible", func(t *testing.T) {
		c := newCache()
		c.Drop("a")
		_, isValid := c.Ticket("a", 1, now)
		require.False(t, isValid)
		require.True(t, c.IsEligible("a"))
	})
	t.Run("eligible workers are queried first and ineligible ones are remembered", func(t *testing.T) {
		c := newCache()
		require.True(t, c.IsIneligible("c"))
		require.False(t, c.IsIneligible("d"))
		chosen := c.Choose([]adviser.Candidate{{"d", 1}, {"e", 0}, {"b", 9}}, 2)
		require.Equal(t, []string{"b", "e"}, chosen)
	})
	t.Run("only one request is pending and a failed one is followed by a backoff", func(t *testing.T) {
		c := &adviser.Cache{}
		require.True(t, c.CanQuery(now))
		c.QuerySent(now)
		require.False(t, c.CanQuery(now.Add(time.Second)))
		require.True(t, c.CanQuery(now.Add(5*time.Second)), "a lost request must not block the step")
		c.QueryFailed(now)
		require.False(t, c.CanQuery(now))
		require.True(t, c.CanQuery(now.Add(time.Second)))
	})
}

// TestShares guards against requests about too few workers for queues that allow few of them.
func TestShares(t *testing.T) {
	var shares adviser.Shares
	before := shares.QuerySize("q", 10)
	for range 50 {
		shares.Update("q", 35, 100)
	}
	require.InDelta(t, 0.35, shares.Of("q"), 0.01)
	require.Greater(t, shares.QuerySize("q", 10), before, "a smaller share of eligible workers needs larger requests")
	require.Equal(t, 0.5, shares.Of("other"))
	shares.Update("other", 0, 0)
	require.Equal(t, 0.5, shares.Of("other"), "an empty request must not change the share")
}
