package clamper_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/container/clamper"
)

// TestBounds guards against results that wrap around or depend on the processor at the ends of their types.
func TestBounds(t *testing.T) {
	const longest, shortest = time.Duration(math.MaxInt64), time.Duration(math.MinInt64)
	require.Equal(t, 3*time.Second, clamper.Add(time.Second, 2*time.Second))
	require.Equal(t, longest, clamper.Add(longest, 1))
	require.Equal(t, shortest, clamper.Add(shortest, -1))
	require.Equal(t, shortest, clamper.Add(shortest, shortest))
	require.Equal(t, time.Duration(-1), clamper.Add(longest, shortest))
	require.Equal(t, 1500*time.Millisecond, clamper.Scale(time.Second, 1.5))
	require.Equal(t, longest, clamper.Scale(time.Hour, 1e300))
	require.Equal(t, shortest, clamper.Scale(-time.Hour, math.Inf(1)))
	require.Equal(t, longest, clamper.Duration(float64(math.MaxInt64), time.Nanosecond))
	require.Zero(t, clamper.Duration(math.NaN(), time.Second))
	require.Zero(t, clamper.Scale(0, math.Inf(1)))
	require.EqualValues(t, 100, clamper.Integer(1e300, 0, 100))
	require.EqualValues(t, 0, clamper.Integer(-1e300, 0, 100))
	require.EqualValues(t, 42, clamper.Integer(42.9, 0, 100))
	require.EqualValues(t, 5, clamper.Integer(math.NaN(), 5, 100))
}

// FuzzAdd guards against sums of durations that are lower than their larger part or not in the order of their
// parts.
func FuzzAdd(f *testing.F) {
	f.Add(int64(math.MaxInt64), int64(1))
	f.Add(int64(math.MinInt64), int64(-1))
	f.Fuzz(func(t *testing.T, a, b int64) {
		sum := clamper.Add(time.Duration(a), time.Duration(b))
		if b >= 0 {
			require.GreaterOrEqual(t, int64(sum), a)
		}
		if b <= 0 {
			require.LessOrEqual(t, int64(sum), a)
		}
	})
}
