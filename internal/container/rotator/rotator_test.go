package rotator_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/container/rotator"
)

// TestSelect guards against items that are never selected, and against the first ones being left out.
func TestSelect(t *testing.T) {
	var r rotator.Rotator
	require.Equal(t, []int{1, 2, 3}, rotator.Select(&r, []int{1, 2, 3}, 3))
	items := make([]int, 100)
	for i := range items {
		items[i] = i
	}
	counts := make(map[int]int)
	for range 19 {
		selected := rotator.Select(&r, items, 10)
		require.Len(t, selected, 10)
		require.Equal(t, []int{0, 1, 2, 3, 4}, selected[:5])
		for _, item := range selected {
			counts[item]++
		}
	}
	require.Len(t, counts, 100)
}

// TestSearch guards against numbers that are never found, or found twice, and against a search that costs more
// than its bounds.
func TestSearch(t *testing.T) {
	const end, spread = 1000, 7
	for _, test := range []struct {
		name                string
		limit, cost, rounds int
	}{
		{"bounded by the results", 10, 1_000_000, 28},
		{"bounded by the cost", 1_000_000, 100, 11},
		{"within its bounds", 1_000_000, 1_000_000, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := rotator.Search{Limit: test.limit, MaxCost: test.cost}
			all := make(map[int]bool)
			for range test.rounds {
				calls := 0
				found := s.Find(0, end, func(number int) (bool, int) {
					calls++
					return number%spread == 0, 1
				})
				require.LessOrEqual(t, calls, 2*test.cost)
				require.LessOrEqual(t, len(found), test.limit)
				require.Equal(t, 0, found[0])
				once := make(map[int]bool)
				for _, number := range found {
					require.False(t, once[number])
					once[number], all[number] = true, true
				}
			}
			require.Len(t, all, 1+(end-1)/spread)
		})
	}
}
