package breaker_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/breaker"
	"lentilrock.example/internal/fleet/describer"
)

// TestBreaker guards against a faulty worker that fails task after task, and against a faulty job
// that blocks healthy workers.
func TestBreaker(t *testing.T) {
	now := time.Unix(1_000, 0)
	for _, test := range []struct {
		name     string
		failed   []describer.JobID
		isClosed bool
	}{
		{"two failures of two jobs leave the circuit breaker closed", []describer.JobID{"a", "b"}, true},
		{"any number of failures of one job leaves it closed", []describer.JobID{"a", "a", "a", "a", "a"}, true},
		{"three failures of two jobs open it", []describer.JobID{"a", "b", "a"}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var circuit breaker.Breaker
			for _, id := range test.failed {
				circuit.Failed(now, id)
			}
			require.Equal(t, test.isClosed, circuit.AllowsStarts(now))
		})
	}
	t.Run("an open circuit breaker closes after a time that doubles, and a success resets it", func(t *testing.T) {
		var circuit breaker.Breaker
		for _, id := range []describer.JobID{"a", "b", "c"} {
			circuit.Failed(now, id)
		}
		require.False(t, circuit.AllowsStarts(now.Add(time.Second)))
		now := now.Add(3 * time.Second)
		require.True(t, circuit.AllowsStarts(now))
		require.True(t, circuit.Failed(now, "d"), "one more failure opens the circuit breaker again")
		require.False(t, circuit.AllowsStarts(now.Add(3*time.Second)), "the open time doubles")
		circuit.Succeeded()
		require.True(t, circuit.AllowsStarts(now))
	})
}
