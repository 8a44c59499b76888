package ranker_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/ranker"
)

// TestOrder guards against steps in the wrong order: long-running steps first, then by priority,
// slack and remaining work, so that late jobs do not delay those that can still meet their
// objective.
func TestOrder(t *testing.T) {
	now := time.Unix(1_000, 0)
	in := func(seconds int) time.Time { return now.Add(time.Duration(seconds) * time.Second) }
	candidates := map[string]ranker.Candidate{
		"long-running":      {Priority: 1, LongRunning: true, Objective: in(-100)},
		"urgent":            {Priority: 0, Objective: in(9), Remaining: time.Second},
		"urgent tight":      {Priority: 0, Objective: in(2), Remaining: time.Second},
		"urgent late":       {Priority: 0, Objective: in(-3), Work: 2},
		"urgent late large": {Priority: 0, Objective: in(-9), Work: 50},
		"batch":             {Priority: 2, Objective: in(1)},
	}
	names := make([]string, 0, len(candidates))
	for name := range candidates {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return ranker.Of(candidates[a], now).Compare(ranker.Of(candidates[b], now))
	})
	require.Equal(t, []string{"long-running", "urgent tight", "urgent", "urgent late", "urgent late large", "batch"}, names)
}
