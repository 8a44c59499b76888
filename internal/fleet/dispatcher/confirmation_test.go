package dispatcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/standin/fencer"
)

// TestUnknownRunsOfRestartedWorkerNeedConfirmation guards against a holder that is cut off from the store and takes a
// restart or a replacement of a worker for proof that a former holder's run there needs to run again: its successor may have
// acknowledged the result before.
func TestUnknownRunsOfRestartedWorkerNeedConfirmation(t *testing.T) {
	for name, change := range map[string]func(c *cell, id string){
		"restarted": func(c *cell, id string) { c.fleet.Restart(id, 2) },
		"replaced":  func(c *cell, id string) { c.fleet.Update(id, func(w *fencer.Worker) { w.IsReplaced = true }) },
	} {
		t.Run(name, func(t *testing.T) {
			c := newCell(t, 2)
			c.submit("a", describer.Queue{}, tasks(1))
			c.run(4 * tickInterval)
			require.Len(t, c.starts, 1)
			x := c.starts[0].Worker.ID
			y := map[string]string{"w-0": "w-1", "w-1": "w-0"}[x]
			// The second holder reaches y only, and loses the store.
			c.claim()
			second := c.d
			c.d.SetWorkers(c.clock.Now(), c.fleet.Workers())
			c.poll(y)
			c.decide()
			require.Len(t, c.starts, 1)
			c.clock.Advance(tickInterval)
			// The third one reaches x only. It persists and acknowledges the result there.
			c.claim()
			c.d.SetWorkers(c.clock.Now(), c.fleet.Workers())
			for end := c.clock.Now().Add(2 * runTime); c.clock.Now().Before(end); c.clock.Advance(tickInterval) {
				c.poll(x)
				c.decide()
				c.save()
			}
			require.Equal(t, describer.JobCompleted, c.stateOf("a"))
			change(c, x)
			c.d = second
			for range 5 {
				c.d.SetWorkers(c.clock.Now(), c.fleet.Workers())
				c.poll(x)
				c.poll(y)
				c.decide()
				c.clock.Advance(tickInterval)
			}
			require.Len(t, c.starts, 1, "the task was started again after its result was acknowledged")
			c.requireInvariants()
		})
	}
}

// TestSyncKeepsLongestLease guards against a successor that forgets, with the first reply of a worker that has restarted just
// before, that it may have the longest lease that workers accept.
func TestSyncKeepsLongestLease(t *testing.T) {
	c := newLongHeldCell(t)
	poll, _ := c.d.NextPoll(c.clock.Now(), "w-0")
	poll.Wait = 0
	c.fleet.Restart("w-0", 2)
	inventory, verdict := c.inventory(poll)
	c.d.PollAnswered(c.clock.Now(), poll, inventory, verdict)
	c.fleet.Update("w-0", func(w *fencer.Worker) { w.Slowness = 20 })
	c.submit("a", describer.Queue{}, tasks(4))
	c.run(4 * tickInterval)
	require.Len(t, c.fleet.Running("w-0"), 4)
	c.claim()
	c.run(2 * tickInterval)
	c.fleet.Update("w-0", func(w *fencer.Worker) { w.IsUnresponsive = true })
	c.run(10 * time.Second)
	c.requireInvariants()
}

// TestLatePollGrantsLongestLease guards against a holder that forgets a poll without a reply that may reach the worker's next
// life seconds later: its deadline on the former clock gives that life the longest lease.
func TestLatePollGrantsLongestLease(t *testing.T) {
	c := newLongHeldCell(t)
	poll, _ := c.d.NextPoll(c.clock.Now(), "w-0")
	poll.Wait = 0
	require.Zero(t, poll.Acknowledged)
	c.fleet.Restart("w-0", 2)
	c.d.PollAnswered(c.clock.Now(), poll, orderer.Inventory{}, orderer.Unknown)
	c.run(7 * time.Second)
	c.fleet.Update("w-0", func(w *fencer.Worker) { w.Slowness = 20 })
	c.submit("a", describer.Queue{}, tasks(4))
	c.run(4 * tickInterval)
	require.Len(t, c.fleet.Running("w-0"), 4)
	_, verdict := c.inventory(poll)
	require.Equal(t, orderer.Accepted, verdict)
	c.fleet.Update("w-0", func(w *fencer.Worker) { w.IsUnresponsive = true })
	c.run(10 * time.Second)
	c.requireInvariants()
}

// TestRunsOnDepartedMachineNeedConfirmation guards against a holder without the store that starts a task again as its machine
// was taken down: a successor may have acknowledged a result of it.
func TestRunsOnDepartedMachineNeedConfirmation(t *testing.T) {
	c, wave := newWave(t, 2, 1)
	longRunning := describer.Step{Count: 1, LongRunning: true, MaxUnavailable: 1, Need: describer.Resources{MilliCPU: 1000, MemoryMB: 10}}
	c.submit("serves", describer.Queue{}, longRunning)
	c.run(4 * time.Second)
	require.Len(t, c.starts, 1)
	wave.Machines = []string{"m-" + c.starts[0].Worker.ID}
	c.d.SetWave(c.clock.Now(), wave)
	for range 2000 {
		c.run(tickInterval)
		if c.countRunning() == 0 {
			break
		}
	}
	require.Zero(t, c.countRunning(), "no upkeep took the task down")
	c.isStoreDown = true
	starts := len(c.starts)
	c.run(2 * time.Second)
	require.Len(t, c.starts, starts, "the task was started again without a confirmation")
}

// TestReplacedWorkerBlocksNothingAtSlowStore guards against a new holder that waits for ever for a worker whose address
// belongs to another one, as each poll there makes it wait for an append that is sent later.
func TestReplacedWorkerBlocksNothingAtSlowStore(t *testing.T) {
	const latency, pollPause = 260 * time.Millisecond, 200 * time.Millisecond
	c := newCell(t, 2)
	c.submit("a", describer.Queue{}, tasks(16))
	c.run(4 * tickInterval)
	c.claim()
	c.fleet.Update("w-0", func(w *fencer.Worker) { w.IsReplaced = true })
	began, confirmations := c.clock.Now(), 0
	var sentAt time.Time
	for tick := 0; c.clock.Since(began) < 20*time.Second; tick++ {
		c.d.SetWorkers(c.clock.Now(), c.fleet.Workers())
		c.poll("w-1")
		if tick%int(pollPause/tickInterval) == 0 {
			c.poll("w-0")
		}
		c.decide()
		if !sentAt.IsZero() && c.clock.Since(sentAt) >= latency {
			c.d.Confirm(sentAt)
			records, batch := c.d.TakeProgress()
			c.append(records...)
			c.d.MarkDurable(batch)
			confirmations, sentAt = confirmations+1, time.Time{}
		}
		if sentAt.IsZero() {
			sentAt = c.clock.Now()
		}
		c.clock.Advance(tickInterval)
	}
	require.Equal(t, describer.JobCompleted, c.stateOf("a"), "after %d appends", confirmations)
	require.False(t, c.d.NeedsConfirmation())
}
