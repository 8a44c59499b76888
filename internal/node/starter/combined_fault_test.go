package starter

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/platform/messages"
)

// TestTakeoverAfterRackLoss guards against tasks that run twice or not at all when a rack and the holder of
// the shard fail at the same time, with and without a log outage.
func TestTakeoverAfterRackLoss(t *testing.T) {
	for _, outage := range []bool{false, true} {
		t.Run(fmt.Sprintf("all work completes with log outage %v", outage), func(t *testing.T) {
			runInCell(t, brno, 16, 1, func(c *cell) {
				holder := setUp(c, 3)
				c.mustExecute(holder, "submit service dispatch team svacinka tasks 6 cores 4 memory 1Gi")
				c.mustExecute(holder, "submit batch plan team svacinka tasks 40 cores 3 memory 1Gi run_time 8s retries 3")
				c.waitFor("the service to run", 20*time.Second, func() bool { return c.countRunning("dispatch") == 6 })
				time.Sleep(3 * time.Second)
				for i := range rackSize {
					c.workers[fmt.Sprintf("morava-brno-w%d", i)].SetFault(messages.WorkerFault{Down: true})
				}
				c.log.SetFault(messages.LogFault{Down: outage})
				c.kill(holder)
				time.Sleep(8 * time.Second)
				c.log.SetFault(messages.LogFault{})
				next := c.waitForHolder(0, 3*time.Minute)
				time.Sleep(20 * time.Second)
				c.waitFor("all tasks to run on the other rack", 3*time.Minute, func() bool {
					done := len(c.execute(next, "show jobs where job = plan and state = done").Table.Rows) == 1
					return done && c.countRunning("dispatch") == 6
				})
				c.checkWorkerInvariants()
			})
		})
	}
}

// TestMassCancelWithSlowLog guards against urgent work that is delayed by the cancellation of
// many jobs while each append is slow.
func TestMassCancelWithSlowLog(t *testing.T) {
	runInCell(t, brno, 4, 2, func(c *cell) {
		holder := setUp(c, 2)
		for i := range 200 {
			c.mustExecute(holder, fmt.Sprintf("submit batch job-%d team svacinka tasks 5 cores 2 memory 1Gi run_time 1m", i))
		}
		c.log.SetFault(messages.LogFault{Delay: 300 * time.Millisecond})
		time.Sleep(2 * time.Second)
		c.mustExecute(holder, "cancel where team = svacinka")
		c.mustExecute(holder, "submit batch alarm team svacinka tasks 1 cores 1 memory 1Gi run_time 1s priority urgent")
		c.waitFor("the urgent job to be done", 10*time.Second, func() bool {
			return len(c.execute(holder, "show jobs where job = alarm and state = done").Table.Rows) == 1
		})
		c.waitFor("the workers to be empty", 30*time.Second, func() bool {
			for _, w := range c.workers {
				for _, run := range w.Runs().Runs {
					if run.State == messages.TaskRunning {
						return false
					}
				}
			}
			return true
		})
		got := c.sendRequest(holder, "order-1", "box", true, 10*time.Second)
		require.Equal(t, "done", got.state, got.body)
		c.checkWorkerInvariants()
	})
}

// TestTakeoverWithFailingWorker guards against jobs that fail because a new holder of the shard does not
// recognize a failing worker.
func TestTakeoverWithFailingWorker(t *testing.T) {
	runInCell(t, brno, 4, 1, func(c *cell) {
		holder := setUp(c, 3)
		c.workers["morava-brno-w2"].SetFault(messages.WorkerFault{FailAll: true})
		for i := range 8 {
			c.mustExecute(holder, fmt.Sprintf("submit batch job-%d team svacinka tasks 10 cores 3 memory 1Gi run_time 2s retries 2", i))
		}
		time.Sleep(3 * time.Second)
		c.kill(holder)
		next := c.waitForHolder(0, 20*time.Second)
		c.waitFor("the jobs to be done", 3*time.Minute, func() bool {
			return len(c.execute(next, "show jobs where state = done").Table.Rows) == 8
		})
		c.checkWorkerInvariants()
	})
}

// TestGangIsNotStarvedBySmallJobs guards against a gang that never starts because small tasks
// take each part of the capacity that becomes free, and against a gang that starts in parts.
func TestGangIsNotStarvedBySmallJobs(t *testing.T) {
	runInCell(t, brno, 4, 1, func(c *cell) {
		holder := setUp(c, 2)
		c.mustExecute(holder, "quota lakeshore = 40")
		for i := range 30 {
			c.mustExecute(holder, fmt.Sprintf("submit batch small-%d team svacinka tasks 20 cores 2 memory 1Gi run_time 10s", i))
		}
		c.mustExecute(holder, "submit gang logs team lakeshore tasks 4 cores 14 memory 2Gi run_time 5s")
		c.waitFor("the gang to end", 4*time.Minute, func() bool {
			return len(c.execute(holder, "show jobs where job = logs and state = done").Table.Rows) == 1
		})
		began := make(map[time.Time]bool)
		for _, w := range c.workers {
			for _, run := range w.Runs().Runs {
				if run.Task.Job == "logs" {
					began[run.Began] = true
				}
			}
		}
		require.Len(t, began, 1, "all tasks of the gang begin at the same time")
		c.checkWorkerInvariants()
	})
}
