package pauser_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/node/pauser"
)

// TestWaker guards against a wake-up that is lost because it comes before the pause, and
// against one that ends more than one pause.
func TestWaker(t *testing.T) {
	tests := []struct {
		name  string
		wakes int
		// woken holds the results of two pauses of one second each, took their total time.
		woken []bool
		took  time.Duration
	}{
		{"without a wake both pauses last their full time", 0, []bool{false, false}, 2 * time.Second},
		{"a wake before the first pause ends that pause", 1, []bool{true, false}, time.Second},
		{"two wakes before the first pause end only that pause", 2, []bool{true, false}, time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, clock, began := pauser.NewWaker(), clockwork.NewRealClock(), time.Now()
				for range test.wakes {
					w.Wake()
				}
				var woken []bool
				for range test.woken {
					woken = append(woken, w.Pause(t.Context(), clock, time.Second))
				}
				require.Equal(t, test.woken, woken)
				require.Equal(t, test.took, time.Since(began))
			})
		})
	}
}

// TestPauseReturnsWhenContextEnds guards against a pause that delays a shutdown because it
// ignores its context.
func TestPauseReturnsWhenContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		began := time.Now()
		pauser.Pause(ctx, clockwork.NewRealClock(), time.Second)
		require.Equal(t, time.Millisecond, time.Since(began))
	})
}
