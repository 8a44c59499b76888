package starter

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// runInCell runs a test of a new cell in a synctest bubble with simulated time, so that waits are
// instant and the result does not depend on the speed of the machine.
func runInCell(t *testing.T, dataCentres []string, workers, upstreams int, test func(c *cell)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, dataCentres, workers, upstreams)
		defer c.close()
		test(c)
	})
}

var brno = []string{"morava-brno"}

// setUp starts entry hosts in the first data centre, sets a quota for team svacinka and waits until all hosts
// are ready. It returns the holder of the shard.
func setUp(c *cell, entries int) (holder *entry) {
	for i := range entries {
		c.addEntry(0, i+1)
	}
	holder = c.waitForHolder(0, 20*time.Second)
	c.mustExecute(holder, "quota svacinka = 60")
	c.waitFor("all hosts to be ready", 10*time.Second, func() bool {
		for _, e := range c.entries {
			if !e.node.runner.Routes().IsReady {
				return false
			}
		}
		return true
	})
	return holder
}

// TestRequestsAndJobsEndToEnd guards against failures of the whole cell without faults: a
// repeated request runs once, and batch jobs, services and gangs run to their end.
func TestRequestsAndJobsEndToEnd(t *testing.T) {
	runInCell(t, brno, 8, 4, func(c *cell) {
		holder := setUp(c, 2)
		for _, e := range c.entries {
			first := c.sendRequest(e, "order-1", "25 boxes", true, 5*time.Second)
			require.Equal(t, reply{state: "done", body: "done: 25 boxes"}, first, "sent to "+e.name)
		}
		require.Equal(t, 1, c.countRuns("order-1"))

		c.mustExecute(holder, "submit batch plan team svacinka tasks 20 cores 0.5 memory 256Mi run_time 300ms")
		c.mustExecute(holder, "submit service dispatch team svacinka tasks 3 cores 1 memory 512Mi")
		c.mustExecute(holder, "submit gang logs team svacinka tasks 5 cores 2 memory 1Gi run_time 400ms")
		c.waitFor("the jobs to end", 20*time.Second, func() bool {
			return len(c.execute(holder, "show jobs where state = done").Table.Rows) == 2
		})
		require.Equal(t, 3, c.countRunning("dispatch"))
		c.checkWorkerInvariants()
	})
}
