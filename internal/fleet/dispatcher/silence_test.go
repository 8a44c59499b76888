package dispatcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/leaser"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/standin/fencer"
)

// TestTasksWaitForEndOfLease guards against tasks that start elsewhere before the lease of their worker has ended, however
// the worker falls silent, and against tasks that never start again after that.
func TestTasksWaitForEndOfLease(t *testing.T) {
	ways := map[string]func(w *fencer.Worker){
		"refuses":      func(w *fencer.Worker) { w.HasExited = true },
		"another one":  func(w *fencer.Worker) { w.IsReplaced = true },
		"does not say": func(w *fencer.Worker) { w.IsUnresponsive = true },
	}
	for name, silence := range ways {
		for _, isDraining := range []bool{false, true} {
			for _, isListed := range []bool{false, true} {
				t.Run(name, func(t *testing.T) {
					c := newCell(t, 2)
					c.run(leaseOfFormerHolder)
					c.submit("a", describer.Queue{}, longRunning(4))
					c.run(4 * tickInterval)
					count := len(c.fleet.Running("w-0"))
					require.Positive(t, count)
					// A stop that arrives would move the tasks off the draining worker.
					c.fleet.Update("w-0", func(w *fencer.Worker) { w.Info.Draining, w.LosesStops = isDraining, true })
					c.run(4 * tickInterval)
					if !isListed {
						c.listed = c.fleet.Workers()[1:]
					}
					c.fleet.Update("w-0", silence)
					c.run(usualLease - 2*tickInterval)
					require.Len(t, c.starts, 4, "tasks started before the lease of their worker had ended")
					require.Len(t, c.fleet.Running("w-0"), count)
					c.run(leaser.ExpiryOf(usualLease) - usualLease + 6*tickInterval)
					require.Len(t, c.starts, 4+count, "tasks do not start after the lease of their worker has ended")
					c.requireInvariants()
				})
			}
		}
	}
}

// TestLatePollReachesWorkerThatWasForgotten guards against a holder that removes a worker while a poll without a reply may
// reach its next life: its deadline on the former clock gives that life the longest lease.
func TestLatePollReachesWorkerThatWasForgotten(t *testing.T) {
	c := newLongHeldCell(t)
	poll, _ := c.d.NextPoll(c.clock.Now(), "w-0")
	poll.Wait = 0
	require.Zero(t, poll.Acknowledged)
	c.fleet.Update("w-0", func(w *fencer.Worker) { w.HasExited = true })
	c.listed = c.fleet.Workers()[1:]
	c.d.PollAnswered(c.clock.Now(), poll, orderer.Inventory{}, orderer.Unknown)
	c.run(5 * time.Second)
	c.fleet.Restart("w-0", 2)
	c.fleet.Update("w-0", func(w *fencer.Worker) { w.HasExited, w.Slowness = false, 20 })
	c.listed = nil
	c.run(time.Second)
	c.submit("a", describer.Queue{}, tasks(4))
	c.run(4 * tickInterval)
	if len(c.fleet.Running("w-0")) == 0 {
		return // No tasks start on a worker that a late poll may reach.
	}
	_, verdict := c.inventory(poll)
	require.Equal(t, orderer.Accepted, verdict)
	c.fleet.Update("w-0", func(w *fencer.Worker) { w.IsUnresponsive = true })
	c.run(10 * time.Second)
	c.requireInvariants()
}

// TestLostStopsHoldNoTask guards against a task that never starts again, as its start was lost and its worker, which replies
// to polls and does not list the run, loses or refuses all stops.
func TestLostStopsHoldNoTask(t *testing.T) {
	for _, verdict := range []orderer.Verdict{orderer.Unknown, orderer.Invalid} {
		t.Run(verdict.String(), func(t *testing.T) {
			c := newCell(t, 2)
			c.run(leaseOfFormerHolder)
			c.loseStart()
			for range 1000 {
				for _, order := range c.d.TakeOrders() {
					if stop, isStop := order.(orderer.Stop); isStop {
						c.d.StopAnswered(c.clock.Now(), stop, verdict)
						continue
					}
					c.execute(order)
				}
				c.d.SetWorkers(c.clock.Now(), c.fleet.Workers())
				for id := range c.d.WorkerIDs() {
					c.poll(id)
				}
				c.d.Tick(c.clock.Now())
				c.save()
				c.clock.Advance(tickInterval)
			}
			require.Equal(t, 1, c.fleet.Starts("a.0.0.0"), "a start can't arrive any more 20 s after it was sent")
		})
	}
}

// TestLatePollInLongOutageGrantsLongestLease guards against a holder that forgets a late poll, as it learned of the loss and of
// the restart while it decided nothing.
func TestLatePollInLongOutageGrantsLongestLease(t *testing.T) {
	c := newLongHeldCell(t)
	c.isStoreDown = true
	c.run(9 * time.Second)
	poll, _ := c.d.NextPoll(c.clock.Now(), "w-0")
	poll.Wait = 0
	require.Positive(t, poll.Deadline)
	c.fleet.Restart("w-0", 2)
	c.d.PollAnswered(c.clock.Now(), poll, orderer.Inventory{}, orderer.Unknown)
	c.run(11900 * time.Millisecond)
	_, verdict := c.inventory(poll)
	require.Equal(t, orderer.Accepted, verdict)
	c.run(200 * time.Millisecond)
	c.isStoreDown = false
	c.fleet.Update("w-0", func(w *fencer.Worker) { w.Slowness = 20 })
	c.run(8 * tickInterval)
	c.submit("a", describer.Queue{}, tasks(4))
	c.run(8 * tickInterval)
	require.NotEmpty(t, c.fleet.Running("w-0"))
	c.fleet.Update("w-0", func(w *fencer.Worker) { w.IsUnresponsive = true })
	c.run(10 * time.Second)
	c.requireInvariants()
}

// TestStopThatIsNotAcknowledgedHoldsTask guards against a task that starts elsewhere while its lost start may still arrive, as a
// stop of it got another reply than that of a worker which will refuse the start.
func TestStopThatIsNotAcknowledgedHoldsTask(t *testing.T) {
	for _, verdict := range []orderer.Verdict{
		orderer.Unknown, orderer.Lapsed, orderer.NoRoom, orderer.BadTicket, orderer.Invalid, orderer.Unhealthy,
		orderer.OtherIncarnation, orderer.NotSent, orderer.NoListener,
	} {
		t.Run(verdict.String(), func(t *testing.T) {
			c := newCell(t, 2)
			c.run(leaseOfFormerHolder)
			start := c.loseStart()
			for _, order := range c.d.TakeOrders() {
				c.d.StopAnswered(c.clock.Now(), order.(orderer.Stop), verdict)
			}
			c.clock.Advance(tickInterval)
			c.run(4 * tickInterval)
			require.Zero(t, c.fleet.Starts("a.0.0.0"))
			c.fleet.Start(t.Context(), start)
			c.run(4 * runTime)
			require.Equal(t, describer.JobCompleted, c.stateOf("a"))
			c.requireInvariants()
		})
	}
}
