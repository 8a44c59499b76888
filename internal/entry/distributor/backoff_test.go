package distributor

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/journaler"
)

// TestBackoffDoublesUntilSuccess guards against frequent requests through a host that has gone,
// and against a backoff that outlasts the host's next success.
func TestBackoffDoublesUntilSuccess(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a := New(Options{Self: "self", Clock: clock, Hosts: func() []journaler.Host { return []journaler.Host{{Name: "gone"}} }})
	var triedAt []int
	for second := range 60 {
		if host, found := a.freeHost(); found {
			triedAt = append(triedAt, second)
			a.release(host, false)
		}
		clock.Advance(time.Second)
	}
	require.Equal(t, []int{0, 3, 9, 21, 45}, triedAt)

	clock.Advance(time.Minute)
	host, found := a.freeHost()
	require.True(t, found)
	a.release(host, true)
	_, found = a.freeHost()
	require.True(t, found, "a host that succeeded must be used again at once")
}
