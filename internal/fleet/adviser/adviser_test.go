package adviser_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/adviser"
)

func TestBook(t *testing.T) {
	now := time.Unix(1_000, 0)
	const valid = 2500 * time.Millisecond
	asked := func() *adviser.Book {
		b := &adviser.Book{}
		b.Asked(now)
		good := b.Answered(now, []string{"a", "b", "c"}, map[string]string{"a": "t-a", "b": "t-b"},
			map[string]int64{"a": 1, "b": 1, "c": 1}, valid)
		require.Equal(t, 2, good)
		return b
	}
	t.Run("a ticket is for one life of the worker", func(t *testing.T) {
		b := asked()
		value, isValid := b.Ticket("a", 1, now)
		require.True(t, isValid)
		require.Equal(t, "t-a", value)
		_, isValid = b.Ticket("a", 2, now)
		require.False(t, isValid)
	})
	t.Run("a ticket lapses before the service says", func(t *testing.T) {
		_, isValid := asked().Ticket("a", 1, now.Add(valid-100*time.Millisecond))
		require.False(t, isValid)
	})
	t.Run("a refused ticket is dropped, and the worker stays good", func(t *testing.T) {
		b := asked()
		b.Drop("a")
		_, isValid := b.Ticket("a", 1, now)
		require.False(t, isValid)
		require.True(t, b.IsGood("a"))
	})
	t.Run("good workers are asked about first, bad ones are known", func(t *testing.T) {
		b := asked()
		require.True(t, b.IsBad("c"))
		require.False(t, b.IsBad("d"))
		chosen := b.Choose([]adviser.Candidate{{"d", 1}, {"e", 0}, {"b", 9}}, 2)
		require.Equal(t, []string{"b", "e"}, chosen)
	})
	t.Run("one question at a time, and a pause after one that failed", func(t *testing.T) {
		b := &adviser.Book{}
		require.True(t, b.MayAsk(now))
		b.Asked(now)
		require.False(t, b.MayAsk(now.Add(time.Second)))
		require.True(t, b.MayAsk(now.Add(5*time.Second)), "a question that is lost does not block the step")
		b.Failed(now)
		require.False(t, b.MayAsk(now))
		require.True(t, b.MayAsk(now.Add(time.Second)))
	})
}

func TestShares(t *testing.T) {
	var shares adviser.Shares
	before := shares.Want("q", 10)
	for range 50 {
		shares.Learn("q", 35, 100)
	}
	require.InDelta(t, 0.35, shares.Of("q"), 0.01)
	require.Greater(t, shares.Want("q", 10), before, "fewer good workers need wider questions")
	require.Equal(t, 0.5, shares.Of("other"))
	shares.Learn("other", 0, 0)
	require.Equal(t, 0.5, shares.Of("other"), "an empty question teaches nothing")
}
