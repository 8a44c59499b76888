package starter

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// inCell runs a test in a bubble of its own time, so that waits cost nothing and the
// verdict does not depend on the machine's speed.
func inCell(t *testing.T, places []string, workers, upstreams int, test func(c *cell)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, places, workers, upstreams)
		defer c.close()
		test(c)
	})
}

var brno = []string{"morava-brno"}

// setUp starts some entry hosts in the first data centre and gives team svacinka a quota.
func setUp(c *cell, entries int) (holder *entry) {
	for i := range entries {
		c.addEntry(0, i+1)
	}
	holder = c.waitHeld(0, 20*time.Second)
	c.mustDo(holder, "quota svacinka = 60")
	c.wait("readiness", 10*time.Second, func() bool {
		for _, e := range c.entries {
			if !e.node.runner.Routes().Ready {
				return false
			}
		}
		return true
	})
	return holder
}

func TestWholePath(t *testing.T) {
	inCell(t, brno, 8, 4, func(c *cell) {
		holder := setUp(c, 2)
		for _, e := range c.entries {
			first := c.order(e, "order-1", "25 boxes", true, 5*time.Second)
			require.Equal(t, reply{state: "done", body: "done: 25 boxes"}, first, "by way of "+e.name)
		}
		require.Equal(t, 1, c.runsOf("order-1"))

		c.mustDo(holder, "submit batch plan team svacinka tasks 20 cores 0.5 memory 256Mi run_time 300ms")
		c.mustDo(holder, "submit service dispatch team svacinka tasks 3 cores 1 memory 512Mi")
		c.mustDo(holder, "submit gang logs team svacinka tasks 5 cores 2 memory 1Gi run_time 400ms")
		c.wait("the end of the jobs", 20*time.Second, func() bool {
			return len(c.do(holder, "show jobs where state = done").Table.Rows) == 2
		})
		require.Equal(t, 3, c.running("dispatch"))
		c.checkWorkers()
	})
}
