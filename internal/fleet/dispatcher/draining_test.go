package dispatcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/confirmer"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/standin/fencer"
)

// lateCalls is the time after which no call of a former holder arrives any more.
const lateCalls = 12 * time.Second

// TestDrainedWorkerDelaysOnlyItsTasks guards against a new holder that starts no task of any job that had begun while a
// drained worker, which has left, may still have a lease.
func TestDrainedWorkerDelaysOnlyItsTasks(t *testing.T) {
	c := newCell(t, 2)
	c.run(lateCalls)
	c.fleet.Update("w-1", func(w *fencer.Worker) { w.Slowness = 40 })
	c.listed = c.fleet.Workers()[1:]
	c.submit("there", describer.Queue{}, tasks(4))
	c.run(4 * tickInterval)
	require.Len(t, c.fleet.Running("w-1"), 4)
	c.fleet.Update("w-1", func(w *fencer.Worker) { w.Info.Draining = true })
	c.listed = c.fleet.Workers()
	c.submit("elsewhere", describer.Queue{}, tasks(20))
	c.run(2 * runTime)
	c.listed = c.fleet.Workers()[:1]
	c.fleet.Update("w-1", func(w *fencer.Worker) { w.HasExited = true })
	c.claim()
	c.run(5 * runTime)
	require.Equal(t, describer.JobCompleted, c.stateOf("elsewhere"), "tasks that were never on the drained worker must not wait for it")
	c.run(confirmer.Authority - 5*runTime)
	require.Len(t, c.starts, 24, "tasks of the drained worker must wait until its lease has expired")
	c.run(2 * time.Second)
	require.Equal(t, describer.JobCompleted, c.stateOf("there"))
	c.requireInvariants()
}

// TestStartWithoutReplyAtDrainingWorker guards against a new holder that starts a task again whose start had no reply
// when its worker began to drain.
func TestStartWithoutReplyAtDrainingWorker(t *testing.T) {
	for name, tc := range map[string]struct {
		isLost bool
		pause  time.Duration
	}{
		"in flight":           {false, 4 * tickInterval},
		"lost":                {true, 4 * tickInterval},
		"lost, a while after": {true, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCell(t, 2)
			c.run(lateCalls)
			c.fleet.Update("w-1", func(w *fencer.Worker) { w.LosesStops, w.Slowness = true, 30 })
			c.submit("a", describer.Queue{}, tasks(8))
			c.save()
			c.d.Tick(c.clock.Now())
			for _, order := range c.d.TakeOrders() {
				start, isStart := order.(orderer.Start)
				require.True(t, isStart)
				c.starts = append(c.starts, start)
				verdict := c.fleet.Start(t.Context(), start)
				switch {
				case start.Worker.ID != "w-1":
					c.d.StartAnswered(c.clock.Now(), start, verdict)
				case tc.isLost:
					c.d.StartAnswered(c.clock.Now(), start, orderer.Unknown)
				}
			}
			require.Len(t, c.fleet.Running("w-1"), 4)
			c.fleet.Update("w-1", func(w *fencer.Worker) { w.Info.Draining = true })
			c.run(tc.pause)
			c.listed = c.fleet.Workers()[:1]
			c.fleet.Update("w-1", func(w *fencer.Worker) { w.HasExited = true })
			c.claim()
			c.run(confirmer.Authority + 4*time.Second)
			require.Equal(t, describer.JobCompleted, c.stateOf("a"))
			c.requireInvariants()
		})
	}
}

// TestLateStartAtWorkerThatDrained guards against a task that a new holder starts although a late start, of which a former
// holder had no run any more, has reached the next incarnation of a worker that was draining.
func TestLateStartAtWorkerThatDrained(t *testing.T) {
	for name, isOfFormerHolder := range map[string]bool{"of the holder that saw the drain": false, "of the holder before it": true} {
		t.Run(name, func(t *testing.T) {
			c := newCell(t, 2)
			c.fleet.MaxLease = 6 * time.Second
			c.run(lateCalls)
			c.listed = c.fleet.Workers()[:1]
			c.submit("x", describer.Queue{}, longRunning(4))
			c.run(4 * tickInterval)
			c.listed = nil
			c.run(4 * tickInterval)
			c.submit("a", describer.Queue{}, tasks(2))
			c.save()
			c.d.Tick(c.clock.Now())
			orders := c.d.TakeOrders()
			require.Len(t, orders, 2)
			start := orders[0].(orderer.Start)
			c.execute(orders[1])
			c.fleet.Update("w-1", func(w *fencer.Worker) { w.Info.Draining = true })
			c.d.SetWorkers(c.clock.Now(), c.fleet.Workers())
			c.save()
			if isOfFormerHolder {
				// The holder was killed before the record of its start was stored.
				c.state.LateStarts = nil
				c.claim()
			} else {
				c.d.StartAnswered(c.clock.Now(), start, orderer.Unknown)
			}
			c.run(time.Second)
			require.Empty(t, c.d.Registrar().Workers["w-1"].Runs)
			c.fleet.Restart("w-1", 2)
			c.fleet.Update("w-1", func(w *fencer.Worker) { w.Slowness = 30 })
			c.fleet.Start(t.Context(), start)
			require.Len(t, c.fleet.Running("w-1"), 1)
			c.listed = c.fleet.Workers()[:1]
			c.fleet.Update("w-1", func(w *fencer.Worker) { w.HasExited = true })
			// The record of very many late starts leaves some out.
			c.state.LateStarts = nil
			c.claim()
			c.cancel("x")
			c.run(confirmer.Authority + 2*time.Second)
			require.Equal(t, describer.JobCompleted, c.stateOf("a"))
			c.requireInvariants()
		})
	}
}

// TestWithdrawnDrain guards against tasks on a worker that a new holder takes for one without unknown runs, as the
// worker drained before it was given the tasks.
func TestWithdrawnDrain(t *testing.T) {
	c := newCell(t, 2)
	c.run(lateCalls)
	c.submit("a", describer.Queue{}, longRunning(6))
	c.submit("b", describer.Queue{}, tasks(60))
	c.run(4 * tickInterval)
	c.fleet.Update("w-1", func(w *fencer.Worker) { w.Info.Draining = true })
	c.run(2 * runTime)
	before := len(c.fleet.Running("w-1"))
	require.Less(t, before, 4)
	c.isStoreDown = true
	c.fleet.Update("w-1", func(w *fencer.Worker) { w.Info.Draining = false })
	c.run(runTime / 2)
	require.Len(t, c.fleet.Running("w-1"), before, "a worker whose drain was withdrawn got tasks before a roster was durable")
	c.isStoreDown = false
	c.run(4 * tickInterval)
	require.Greater(t, len(c.fleet.Running("w-1")), before, "a worker whose drain was withdrawn must get tasks again")
	c.listed = c.fleet.Workers()[:1]
	c.fleet.Update("w-1", func(w *fencer.Worker) { w.IsUnresponsive = true })
	c.claim()
	c.run(confirmer.Authority - time.Second)
	c.requireStartedOnce()
	c.requireInvariants()
}

// TestDrainStartsNoCopies guards against speculative copies of tasks only because their worker drains.
func TestDrainStartsNoCopies(t *testing.T) {
	c := newCell(t, 3)
	c.run(lateCalls)
	c.fleet.MaySpeculate = func(describer.TaskRef) bool { return true }
	step := tasks(8)
	step.Speculative = true
	c.submit("a", describer.Queue{}, step)
	c.run(4 * tickInterval)
	require.NotEmpty(t, c.fleet.Running("w-1"))
	c.fleet.Update("w-1", func(w *fencer.Worker) { w.Info.Draining = true })
	c.run(2 * runTime)
	require.Equal(t, describer.JobCompleted, c.stateOf("a"))
	c.requireStartedOnce()
}

// TestDrainingWorkerIsEmptied guards against long-running tasks, and ones that save checkpoints, that are lost with a draining
// worker although it says how long it remains.
func TestDrainingWorkerIsEmptied(t *testing.T) {
	c := newCell(t, 3)
	c.run(lateCalls)
	c.listed = c.fleet.Workers()[:1]
	saving := tasks(1)
	saving.Checkpoints = true
	c.submit("saves_and_ends_in_time", describer.Queue{}, saving)
	c.run(4 * tickInterval)
	c.fleet.Update("w-0", func(w *fencer.Worker) { w.Slowness = 40 })
	c.submit("lasts", describer.Queue{}, longRunning(1))
	c.submit("saves", describer.Queue{}, saving)
	c.submit("ends", describer.Queue{}, tasks(1))
	c.run(4 * tickInterval)
	require.Len(t, c.fleet.Running("w-0"), 4)
	c.fleet.Update("w-0", func(w *fencer.Worker) { w.Info.Draining, w.Info.Remaining = true, 1400*time.Millisecond })
	c.listed = c.fleet.Workers()
	c.run(2 * tickInterval)
	require.Equal(t, []string{"ends.0.0.0", "saves_and_ends_in_time.0.0.0"}, c.fleet.Running("w-0"))
	c.run(2 * tickInterval)
	require.Equal(t, 4, c.countRunning(), "the stopped tasks must run elsewhere")
	c.requireInvariants()
}

// TestMovedTaskIsNotExpected guards against a new holder that waits for the run of a task on a drained worker, although the
// former holder had seen the end of this run.
func TestMovedTaskIsNotExpected(t *testing.T) {
	c := newCell(t, 2)
	c.run(lateCalls)
	c.listed = c.fleet.Workers()[:1]
	c.submit("a", describer.Queue{}, longRunning(1))
	c.run(4 * tickInterval)
	require.Len(t, c.fleet.Running("w-0"), 1)
	c.fleet.Update("w-0", func(w *fencer.Worker) { w.Info.Draining = true })
	c.listed = c.fleet.Workers()
	c.run(time.Second)
	require.Len(t, c.fleet.Running("w-1"), 1)
	c.fleet.Update("w-0", func(w *fencer.Worker) { w.HasExited = true })
	c.fleet.Restart("w-1", 2)
	c.listed = c.fleet.Workers()[1:]
	c.claim()
	c.run(time.Second)
	require.Len(t, c.fleet.Running("w-1"), 1)
	c.requireInvariants()
}

// TestDrainingWorkerKeepsTasks guards against tasks that are stopped on a draining worker while they could go on.
func TestDrainingWorkerKeepsTasks(t *testing.T) {
	for name, remaining := range map[string]time.Duration{"the worker remains long enough": 5 * time.Second, "the worker does not say how long it remains": 0} {
		t.Run(name, func(t *testing.T) {
			c := newCell(t, 1)
			c.run(lateCalls)
			c.fleet.Update("w-0", func(w *fencer.Worker) { w.Slowness = 40 })
			saving := tasks(1)
			saving.Checkpoints = true
			c.submit("lasts", describer.Queue{}, longRunning(1))
			c.submit("saves", describer.Queue{}, saving)
			c.run(4 * tickInterval)
			c.fleet.Update("w-0", func(w *fencer.Worker) { w.Info.Draining, w.Info.Remaining = true, remaining })
			c.run(3 * time.Second)
			require.Len(t, c.fleet.Running("w-0"), 2, "no other worker has room for the long-running task, and the other one need not stop yet")
			c.fleet.Add(describer.Worker{ID: "w-1", Service: "kitchen", Capacity: describer.Resources{MilliCPU: 4000, MemoryMB: 8000}, Incarnation: 1})
			c.run(4 * tickInterval)
			require.Equal(t, []string{"saves.0.0.0"}, c.fleet.Running("w-0"))
			require.Equal(t, 2, c.countRunning())
			c.requireInvariants()
		})
	}
}
