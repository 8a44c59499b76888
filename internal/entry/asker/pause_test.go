package asker

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/journaler"
)

func TestHostThatIsGoneIsTriedLessAndLess(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a := New(Options{Self: "self", Clock: clock, Hosts: func() []journaler.Host { return []journaler.Host{{Name: "gone"}} }})
	var tried []int
	for second := range 60 {
		if host, found := a.free(); found {
			tried = append(tried, second)
			a.release(host, false)
		}
		clock.Advance(time.Second)
	}
	require.Equal(t, []int{0, 3, 9, 21, 45}, tried)

	clock.Advance(time.Minute)
	host, found := a.free()
	require.True(t, found)
	a.release(host, true)
	_, found = a.free()
	require.True(t, found, "a host that answers is trusted again")
}
