package pacer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/pacer"
)

// readEvery is how often a worker is looked at.
const readEvery = 700 * time.Millisecond

func TestNext(t *testing.T) {
	for _, test := range []struct {
		name     string
		readings []float64
		want     []int
	}{
		{"nothing is cut while the objective is met", []float64{0.2, 0.7, 0.8}, []int{100, 100, 100}},
		{"a breach stops the tasks at the second reading", []float64{1.2, 1.1, 0.9}, []int{25, 0, 0}},
		{"a reading near the objective halves the share", []float64{0.9, 0.7, 0.9}, []int{50, 50, 25}},
		{"the share comes back slowly", []float64{1.2, 1.2, 0.3, 0.3, 0.3, 0.3, 0.3}, []int{25, 0, 0, 0, 0, 15, 30}},
		{"a reading that is not calm starts the wait anew", []float64{1.2, 0.3, 0.3, 0.7, 0.3, 0.3, 0.3, 0.3}, []int{25, 25, 25, 25, 25, 25, 25, 40}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var p pacer.Pacer
			now := time.Unix(1_000, 0)
			var got []int
			for _, worst := range test.readings {
				got = append(got, p.Next(now, worst))
				now = now.Add(readEvery)
			}
			require.Equal(t, test.want, got)
		})
	}
	t.Run("a change takes effect before the next one", func(t *testing.T) {
		var p pacer.Pacer
		now := time.Unix(1_000, 0)
		require.Equal(t, 25, p.Next(now, 2))
		require.Equal(t, 25, p.Next(now.Add(100*time.Millisecond), 2))
		require.Equal(t, 0, p.Next(now.Add(time.Second), 2))
	})
}
