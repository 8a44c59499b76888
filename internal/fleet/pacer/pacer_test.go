package pacer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/pacer"
)

// readInterval is the time between two polls of a worker.
const readInterval = 700 * time.Millisecond

// TestNext guards against serving tasks that miss their latency objective for long, and against
// a speed that oscillates because it rises too early or changes before the last change shows in
// the readings.
func TestNext(t *testing.T) {
	for _, test := range []struct {
		name     string
		readings []float64
		want     []int
	}{
		{"the speed stays at 100 percent while the ratio is below the near threshold", []float64{0.2, 0.7, 0.8}, []int{100, 100, 100}},
		{"a missed objective stops the tasks at the second reading", []float64{1.2, 1.1, 0.9}, []int{25, 0, 0}},
		{"a reading near the objective halves the speed", []float64{0.9, 0.7, 0.9}, []int{50, 50, 25}},
		{"the speed rises slowly after a missed objective", []float64{1.2, 1.2, 0.3, 0.3, 0.3, 0.3, 0.3}, []int{25, 0, 0, 0, 0, 15, 30}},
		{"a reading above the calm threshold restarts the delay before a rise", []float64{1.2, 0.3, 0.3, 0.7, 0.3, 0.3, 0.3, 0.3}, []int{25, 25, 25, 25, 25, 25, 25, 40}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var p pacer.Pacer
			now := time.Unix(1_000, 0)
			var got []int
			for _, ratio := range test.readings {
				got = append(got, p.Next(now, ratio))
				now = now.Add(readInterval)
			}
			require.Equal(t, test.want, got)
		})
	}
	t.Run("a second change waits for the settling time", func(t *testing.T) {
		var p pacer.Pacer
		now := time.Unix(1_000, 0)
		require.Equal(t, 25, p.Next(now, 2))
		require.Equal(t, 25, p.Next(now.Add(100*time.Millisecond), 2))
		require.Equal(t, 0, p.Next(now.Add(time.Second), 2))
	})
}
