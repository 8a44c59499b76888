package dispatcher_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/standin/fencer"
)

// TestWorkerThatRefusesConnectionsKeepsItsTasks guards against tasks that start again while their draining worker, whose
// entry is missing and whose address refuses connections, still runs them.
func TestWorkerThatRefusesConnectionsKeepsItsTasks(t *testing.T) {
	requireTasksStay(t, func(w *fencer.Worker, isOut bool) { w.HasExited = isOut })
}

// TestWorkerWhoseAddressAnotherOneHasKeepsItsTasks guards against tasks that start again while their draining worker still
// runs them, as another worker replies at its address.
func TestWorkerWhoseAddressAnotherOneHasKeepsItsTasks(t *testing.T) {
	requireTasksStay(t, func(w *fencer.Worker, isOut bool) { w.IsReplaced = isOut })
}

// requireTasksStay requires that no task starts again while its draining worker can't be reached for 2.5 s and has no entry.
func requireTasksStay(t *testing.T, setOut func(w *fencer.Worker, isOut bool)) {
	c := newCell(t, 2)
	c.run(4 * tickInterval)
	c.fleet.Update("w-0", func(w *fencer.Worker) { w.Slowness = 4 })
	c.submit("a", describer.Queue{}, tasks(4))
	c.run(2 * tickInterval)
	require.Len(t, c.fleet.Running("w-0"), 4)
	c.fleet.Update("w-0", func(w *fencer.Worker) { w.Info.Draining = true })
	c.run(2 * tickInterval)
	c.listed = c.fleet.Workers()[1:]
	c.fleet.Update("w-0", func(w *fencer.Worker) { setOut(w, true) })
	c.run(5 * runTime)
	c.fleet.Update("w-0", func(w *fencer.Worker) { setOut(w, false) })
	c.run(2 * runTime)
	require.Equal(t, describer.JobCompleted, c.stateOf("a"))
	c.requireStartedOnce()
	c.requireInvariants()
}

// TestWorkerLeavesInSteps guards against tasks that start again while a draining worker still runs them, whatever of its
// entry, its listener and its runs goes first.
func TestWorkerLeavesInSteps(t *testing.T) {
	for _, order := range []string{
		"entry listener runs", "entry runs listener", "listener entry runs", "listener runs entry", "runs entry listener", "runs listener entry",
	} {
		t.Run(order, func(t *testing.T) {
			c := newCell(t, 2)
			c.run(4 * tickInterval)
			c.submit("a", describer.Queue{}, longRunning(6))
			c.run(4 * tickInterval)
			require.NotEmpty(t, c.fleet.Running("w-0"))
			c.fleet.Update("w-0", func(w *fencer.Worker) { w.Info.Draining = true })
			c.run(4 * tickInterval)
			for part := range strings.FieldsSeq(order) {
				switch part {
				case "entry":
					c.listed = c.fleet.Workers()[1:]
				case "listener":
					c.fleet.Update("w-0", func(w *fencer.Worker) { w.HasExited = true })
				case "runs":
					c.fleet.Restart("w-0", 1)
				}
				c.run(800 * time.Millisecond)
			}
			c.fleet.Add(describer.Worker{ID: "w-2", Service: "kitchen", Capacity: describer.Resources{MilliCPU: 4000, MemoryMB: 8000}, Incarnation: 1})
			c.listed = c.fleet.Workers()[1:]
			c.run(5 * time.Second)
			require.Equal(t, 6, c.countRunning(), "all tasks must run again")
			c.requireInvariants()
		})
	}
}

// longRunning returns a step with a number of long-running tasks.
func longRunning(count int) describer.Step {
	step := tasks(count)
	step.LongRunning = true
	return step
}
