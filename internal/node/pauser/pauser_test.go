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

func TestWaker(t *testing.T) {
	tests := []struct {
		name  string
		wakes int
		// woken has what two pauses of a second report, which take so long together.
		woken []bool
		took  time.Duration
	}{
		{"pauses that nothing wakes last", 0, []bool{false, false}, 2 * time.Second},
		{"a wake before a pause ends it", 1, []bool{true, false}, time.Second},
		{"two wakes end one pause", 2, []bool{true, false}, time.Second},
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

func TestPauseEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		began := time.Now()
		pauser.Pause(ctx, clockwork.NewRealClock(), time.Second)
		require.Equal(t, time.Millisecond, time.Since(began))
	})
}
