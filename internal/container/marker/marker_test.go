package marker_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lentilrock.example/internal/container/marker"
)

// setOf returns the numbers below bound that isIn accepts.
func setOf(bound int, isIn func(int) bool) *marker.Set {
	var s marker.Set
	for i := range bound {
		if isIn(i) {
			s.Add(i)
		}
	}
	return &s
}

// TestEncode guards against numbers that are lost or added by the encoding, and against encodings that are
// larger than promised.
func TestEncode(t *testing.T) {
	for _, test := range []struct {
		name  string
		bound int
		isIn  func(int) bool
		size  int
	}{
		{"nothing", 100_000, func(int) bool { return false }, 1},
		{"everything", 100_000, func(int) bool { return true }, 5},
		{"a prefix", 100_000, func(i int) bool { return i < 40_000 }, 5},
		{"every second number", 100_000, func(i int) bool { return i%2 == 1 }, 12_502},
		{"no numbers at all", 0, nil, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			data := setOf(test.bound, test.isIn).Encode(test.bound)
			require.LessOrEqual(t, len(data), test.size)
			var want []int
			for i := range test.bound {
				if test.isIn(i) {
					want = append(want, i)
				}
			}
			require.Equal(t, want, slices.Collect(marker.Decode(data, test.bound)))
		})
	}
	t.Run("any set", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			in := rapid.SliceOfN(rapid.Bool(), 0, 300).Draw(t, "in")
			data := setOf(len(in), func(i int) bool { return in[i] }).Encode(len(in))
			require.LessOrEqual(t, len(data), 2+(len(in)+7)/8)
			decoded := make([]bool, len(in))
			for i := range marker.Decode(data, len(in)) {
				decoded[i] = true
			}
			require.True(t, slices.Equal(in, decoded))
		})
	})
}

// TestDecodeForeignData guards against a panic, or numbers beyond the bound, on data that was not encoded here.
func TestDecodeForeignData(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	for range 2000 {
		data := make([]byte, random.IntN(20))
		for i := range data {
			data[i] = byte(random.IntN(256))
		}
		if len(data) > 0 {
			data[0] = byte(random.IntN(4))
		}
		last := -1
		for i := range marker.Decode(data, 50) {
			require.Greater(t, i, last)
			require.Less(t, i, 50)
			last = i
		}
	}
}

// TestSet guards against sets that differ from the numbers that were added, at the borders of their words, too.
func TestSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := rapid.SliceOfN(rapid.Bool(), 0, 300).Draw(t, "in")
		s := setOf(len(in), func(i int) bool { return in[i] })
		begin := rapid.IntRange(0, len(in)).Draw(t, "begin")
		end := rapid.IntRange(begin, len(in)+100).Draw(t, "end")
		count, missing := 0, -1
		for i := begin; i < end; i++ {
			isIn := i < len(in) && in[i]
			require.Equal(t, isIn, s.Has(i))
			if isIn {
				count++
			} else if missing < 0 {
				missing = i
			}
		}
		require.Equal(t, count, s.Count(begin, end))
		if missing >= 0 {
			require.Equal(t, missing, s.NextMissing(begin))
		}
	})
}
