package coordinator_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/entry/coordinator"
)

// TestJobAcceptedDuringListIsNotReportedAsMissing answers an incident on lfac-sched-grown. It guards
// against a host that lists the jobs for seconds, then takes the list for a view of the moment at which it
// ended, and replies that a job which was accepted meanwhile does not exist.
func TestJobAcceptedDuringListIsNotReportedAsMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 2)
		defer c.shutDown()
		require.NoError(t, c.submit(0, "earlier", 4))
		c.pageDelay, c.distance = 3*time.Second, 65*time.Millisecond
		c.start("h-2", "incarnation-2")
		const started = 2
		time.Sleep(time.Second)
		holder := c.holder()
		require.NoError(t, c.submit(holder, "a", 4))
		time.Sleep(1900 * time.Millisecond)
		c.network.disconnect(c.addresses[holder])
		for until := time.Now().Add(6 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
			_, err := c.status(started, "a")
			require.False(t, errors.Is(err, coordinator.ErrJobNotFound), "%v", err)
		}
		c.requireCompleted("a")
	})
}
