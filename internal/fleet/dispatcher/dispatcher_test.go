package dispatcher_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/confirmer"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/dispatcher"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/leaser"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/standin/fencer"
)

// TestJobs guards against tasks that start in the wrong order, before their time, after the end
// of their job or as part of an incomplete gang, and against jobs that end in the wrong state.
func TestJobs(t *testing.T) {
	t.Run("a step starts after the step that it depends on is done", func(t *testing.T) {
		c := newCell(t, 2)
		second := tasks(2)
		second.After = []int{0}
		c.submit("a", describer.Queue{}, tasks(3), second)
		c.run(runTime)
		require.Zero(t, c.fleet.Starts("a.0.1.0"), "the second step started before the first was done")
		c.run(2 * runTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		require.Equal(t, 5, c.fleet.Done())
		c.requireInvariants()
	})
	t.Run("a cancelled job is stopped and gets no more starts", func(t *testing.T) {
		c := newCell(t, 1)
		c.submit("a", describer.Queue{}, tasks(8))
		c.run(4 * tickInterval)
		require.Len(t, c.fleet.Running("w-0"), 4)
		c.cancel("a")
		c.run(4 * tickInterval)
		require.Empty(t, c.fleet.Running("w-0"))
		c.run(2 * runTime)
		require.Zero(t, c.fleet.Done())
		require.Equal(t, describer.JobCancelled, c.stateOf("a"))
	})
	t.Run("a cancellation that comes before the end of a job is persisted, and one that comes after it changes nothing", func(t *testing.T) {
		c := newCell(t, 1)
		c.submit("ended", describer.Queue{}, tasks(2))
		c.submit("running", describer.Queue{}, tasks(2))
		c.run(4 * tickInterval)
		c.isStoreDown = true
		c.cancel("running")
		c.run(2 * runTime)
		c.cancel("ended")
		c.run(2 * tickInterval)
		for _, id := range []describer.JobID{"ended", "running"} {
			require.Equal(t, describer.JobRunning, c.stateOf(id), "%s: the holder's decision is not persisted yet", id)
		}
		c.isStoreDown = false
		c.run(2 * tickInterval)
		require.Equal(t, describer.JobCompleted, c.stateOf("ended"))
		require.Equal(t, describer.JobCancelled, c.stateOf("running"))
		c.claim()
		c.run(2 * tickInterval)
		require.Equal(t, describer.JobCompleted, c.stateOf("ended"))
		require.Equal(t, describer.JobCancelled, c.stateOf("running"))
		require.Empty(t, c.fleet.Running("w-0"))
	})
	t.Run("a job fails once a task has used all attempts of its queue", func(t *testing.T) {
		c := newCell(t, 2)
		for _, id := range []string{"w-0", "w-1"} {
			c.fleet.Update(id, func(w *fencer.Worker) { w.Fails = true })
		}
		c.submit("a", describer.Queue{MaxAttempts: 2}, tasks(1))
		c.run(4 * runTime)
		require.Equal(t, describer.JobFailed, c.stateOf("a"))
		require.Equal(t, 2, c.fleet.Starts("a.0.0.0"))
	})
	t.Run("a gang starts only if all of its tasks fit", func(t *testing.T) {
		c := newCell(t, 2)
		gang := tasks(9)
		gang.Gang = true
		c.submit("a", describer.Queue{}, gang)
		c.run(runTime)
		require.Empty(t, c.starts, "nine tasks started on two workers with four cores each")
		c.submit("b", describer.Queue{}, func() describer.Step { s := tasks(6); s.Gang = true; return s }())
		c.run(2 * runTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("b"))
		require.Len(t, c.starts, 6)
		for _, s := range c.starts {
			require.Equal(t, c.starts[0].Run, s.Run, "tasks of a gang must have the same run number")
		}
	})
	t.Run("a repeated job starts at its scheduled times", func(t *testing.T) {
		c := newCell(t, 1)
		record, err := journaler.NewJob(&describer.Job{
			ID: "a", Queue: describer.Queue{Service: "kitchen", MaxAttempts: 1}, Steps: []describer.Step{tasks(1)},
			Repeat: 2, StartAt: c.clock.Now().Add(time.Second), Interval: 2 * time.Second,
		})
		require.NoError(t, err)
		c.d.JobChanged(c.clock.Now(), c.append(record)[0])
		c.run(900 * time.Millisecond)
		require.Zero(t, c.fleet.Starts("a.0.0.0"))
		c.run(time.Second)
		require.Equal(t, 1, c.fleet.Starts("a.0.0.0"))
		require.Zero(t, c.fleet.Starts("a.1.0.0"))
		c.run(2 * time.Second)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
	})
	t.Run("a job whose outcome is not persisted yet is not restarted by an older record", func(t *testing.T) {
		c := newCell(t, 1)
		c.submit("a", describer.Queue{}, tasks(1))
		c.run(runTime)
		older := *c.state.Jobs["a"]
		c.isStoreDown = true
		c.run(runTime)
		records, batch := c.d.TakeProgress()
		c.d.JobChanged(c.clock.Now(), &older)
		c.run(runTime)
		c.append(records...)
		c.d.MarkDurable(batch)
		c.isStoreDown = false
		c.run(runTime)
		require.Equal(t, 1, c.fleet.Starts("a.0.0.0"))
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
	})
}

// TestTakeover guards against tasks that run twice, results that are lost and tasks that never
// start when a new holder takes the claim over, with unresponsive workers or with progress of
// the former holder that was not persisted.
func TestTakeover(t *testing.T) {
	t.Run("a new holder adopts running tasks and does not repeat ended ones", func(t *testing.T) {
		c := newCell(t, 2)
		c.submit("a", describer.Queue{}, tasks(12))
		c.run(runTime / 2)
		c.isStoreDown = true
		c.run(runTime)
		c.isStoreDown = false
		c.claim()
		c.run(3 * runTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		c.requireStartedOnce()
		c.requireInvariants()
	})
	t.Run("the result of a run is acknowledged only once it is persisted", func(t *testing.T) {
		c := newCell(t, 1)
		c.submit("a", describer.Queue{}, tasks(1))
		c.run(4 * tickInterval)
		c.isStoreDown = true
		c.run(2 * runTime)
		poll, isKnown := c.d.NextPoll(c.clock.Now(), "w-0")
		require.True(t, isKnown)
		require.Zero(t, poll.Acknowledged)
		inventory, _ := c.inventory(poll)
		require.Len(t, inventory.Results, 1)
		c.isStoreDown = false
		c.runUntilUnconfirmed(1)
		poll, _ = c.d.NextPoll(c.clock.Now(), "w-0")
		require.Equal(t, int64(1), poll.Acknowledged)
		inventory, verdict := c.inventory(poll)
		require.Empty(t, inventory.Results)
		c.d.PollAnswered(c.clock.Now(), poll, inventory, verdict)
		poll, _ = c.d.NextPoll(c.clock.Now(), "w-0")
		require.Zero(t, poll.Acknowledged, "a confirmed result is acknowledged again")
	})
	t.Run("a result is not acknowledged if the store does not take the progress, and the job fails instead", func(t *testing.T) {
		c := newCell(t, 1)
		c.submit("a", describer.Queue{}, tasks(8))
		c.submit("b", describer.Queue{}, tasks(1))
		c.run(4 * tickInterval)
		c.isStoreDown = true
		c.run(2 * runTime)
		records, batch := c.d.TakeProgress()
		records = slices.DeleteFunc(records, func(r journaler.Record) bool { return r.Key == "p/a" })
		c.append(records...)
		require.True(t, c.d.FailRejected(c.clock.Now(), map[string]bool{"p/a": true, "j/b": true}))
		poll, _ := c.d.NextPoll(c.clock.Now(), "w-0")
		require.Zero(t, poll.Acknowledged, "batch %d", batch)
		c.claim()
		c.isStoreDown = false
		c.run(3 * runTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"), "the results are still there for a later holder")
		require.Equal(t, describer.JobCompleted, c.stateOf("b"))
		c.requireInvariants()
	})
	t.Run("a job whose progress the store does not take has failed once that is persisted", func(t *testing.T) {
		c := newCell(t, 1)
		c.submit("a", describer.Queue{}, tasks(8))
		c.run(4 * tickInterval)
		require.True(t, c.d.FailRejected(c.clock.Now(), map[string]bool{"p/a": true}))
		require.False(t, c.d.FailRejected(c.clock.Now(), map[string]bool{"p/a": true}), "it has failed already")
		c.run(2 * runTime)
		require.Equal(t, describer.JobFailed, c.stateOf("a"))
		require.Zero(t, c.countRunning())
		c.claim()
		c.run(2 * runTime)
		require.Equal(t, describer.JobFailed, c.stateOf("a"))
	})
	t.Run("a task that may run on an unresponsive worker is not restarted before the authority of the former holder ends", func(t *testing.T) {
		c := newCell(t, 2)
		c.submit("a", describer.Queue{}, tasks(8))
		c.run(4 * tickInterval)
		c.fleet.Update("w-1", func(w *fencer.Worker) { w.IsUnresponsive = true })
		c.claim()
		c.run(confirmer.Authority)
		for _, s := range c.starts {
			require.Equal(t, int64(1), s.Run, "task %v was started again", s.Task)
		}
		c.run(2 * time.Second)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		c.requireInvariants()
	})
	t.Run("a worker that restarted just before the takeover may have a longer lease than the former holder granted", func(t *testing.T) {
		c, start := newCellWithLongestLease(t)
		c.fleet.Update(start.Worker.ID, func(w *fencer.Worker) { w.IsUnresponsive = true })
		c.options.FormerSeenAt = c.clock.Now().Add(-7 * time.Second)
		c.claim()
		c.run(confirmer.Authority + 7*time.Second)
		require.NotEmpty(t, c.starts)
		c.requireInvariants()
	})
	t.Run("a worker that restarted unnoticed keeps its longest lease when it replies for the first time", func(t *testing.T) {
		c, start := newCellWithLongestLease(t)
		c.claim()
		c.run(2 * tickInterval)
		c.fleet.Update(start.Worker.ID, func(w *fencer.Worker) { w.IsUnresponsive = true })
		c.run(7 * time.Second)
		require.Equal(t, 2, c.fleet.Starts("a.0.0.0"))
		c.requireInvariants()
	})
	t.Run("a new holder expects only the persisted runs on a worker that was unresponsive before", func(t *testing.T) {
		c := newCell(t, 2)
		c.submit("a", describer.Queue{}, tasks(16))
		c.run(4 * tickInterval)
		c.fleet.Update("w-1", func(w *fencer.Worker) { w.IsUnresponsive = true })
		c.run(time.Second)
		c.claim()
		c.run(2 * time.Second)
		require.Len(t, c.starts, 16, "the eight tasks that were never started must start, the four on the unresponsive worker must not")
		c.requireStartedOnce()
		c.run(confirmer.Authority)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		c.requireInvariants()
	})
	t.Run("a new holder waits for a worker that was unresponsive before if its runs did not fit into the progress", func(t *testing.T) {
		c := newCell(t, 2)
		c.fleet.Update("w-1", func(w *fencer.Worker) { w.Slowness = 20 })
		c.submit("a", describer.Queue{}, tasks(8))
		c.run(4 * tickInterval)
		require.Len(t, c.fleet.Running("w-1"), 4)
		c.fleet.Update("w-1", func(w *fencer.Worker) { w.IsUnresponsive = true })
		c.run(2 * time.Second)
		progress := c.state.Jobs["a"].Progress
		progress.HasUnlistedRuns = true
		for i := range progress.Steps {
			progress.Steps[i].Closed = nil
		}
		record, err := journaler.NewProgress("a", progress)
		require.NoError(t, err)
		c.append(record)
		c.claim()
		c.submit("b", describer.Queue{}, tasks(2))
		c.run(2 * runTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("b"))
		c.requireStartedOnce()
		c.run(confirmer.Authority + time.Second)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		c.requireInvariants()
	})
	t.Run("a new holder polls a worker of the roster that the host list omits", func(t *testing.T) {
		c := newCell(t, 2)
		c.submit("a", describer.Queue{}, tasks(8))
		c.run(4 * tickInterval)
		c.listed = c.fleet.Workers()[:1]
		c.claim()
		c.run(4 * runTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		c.requireStartedOnce()
		c.requireInvariants()
	})
	t.Run("a failure that is persisted and reported again counts once after a takeover", func(t *testing.T) {
		c := newCell(t, 1)
		c.fleet.Update("w-0", func(w *fencer.Worker) { w.Fails = true })
		c.submit("a", describer.Queue{MaxAttempts: 3}, tasks(1))
		c.run(runTime + 2*tickInterval)
		c.fleet.Update("w-0", func(w *fencer.Worker) { w.Fails = false })
		record, err := journaler.NewProgress("a", journaler.Progress{Epoch: 1, Begun: true,
			Steps: []journaler.StepProgress{{Failed: map[int][]int64{0: {1}}}}})
		require.NoError(t, err)
		c.append(record)
		c.claim()
		c.run(3 * runTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
	})
	t.Run("runs of an ended job use capacity until they have stopped", func(t *testing.T) {
		c := newCell(t, 1)
		c.submit("a", describer.Queue{}, tasks(4))
		c.run(4 * tickInterval)
		c.fleet.Update("w-0", func(w *fencer.Worker) { w.LosesStops = true })
		c.cancel("a")
		c.claim()
		c.submit("b", describer.Queue{}, tasks(4))
		c.run(8 * tickInterval)
		c.fleet.Update("w-0", func(w *fencer.Worker) { w.LosesStops = false })
		c.run(4 * runTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("b"))
		c.requireInvariants()
	})
	t.Run("a job without persisted progress starts although a worker is unresponsive", func(t *testing.T) {
		c := newCell(t, 3)
		c.submit("a", describer.Queue{}, tasks(8))
		c.run(4 * tickInterval)
		c.fleet.Update("w-1", func(w *fencer.Worker) { w.IsUnresponsive = true })
		c.isStoreDown = true
		c.submit("b", describer.Queue{}, tasks(2))
		c.run(4 * tickInterval)
		require.Zero(t, c.fleet.Starts("b.0.0.0"), "a task started before the progress of its job was persisted")
		c.isStoreDown = false
		c.claim()
		c.run(2 * runTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("b"))
		require.NotEqual(t, describer.JobCompleted, c.stateOf("a"), "the unresponsive worker may still run some of its tasks")
		c.run(confirmer.Authority + time.Second)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		c.requireInvariants()
	})
	t.Run("a new holder does not repeat tasks whose results are missing from a full list", func(t *testing.T) {
		c := newCell(t, 1)
		c.maxResults = 4
		c.submit("a", describer.Queue{}, tasks(12))
		c.run(4 * tickInterval)
		c.isStoreDown = true
		c.run(4 * runTime)
		c.isStoreDown = false
		c.claim()
		c.run(6 * runTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		c.requireStartedOnce()
		c.requireInvariants()
	})
	t.Run("a worker that drained and left delays tasks until the authority of former holders has ended", func(t *testing.T) {
		c := newCell(t, 2)
		c.submit("a", describer.Queue{}, tasks(8))
		c.run(4 * tickInterval)
		c.fleet.Update("w-1", func(w *fencer.Worker) { w.HasExited, w.Info.Draining = true, true })
		claimed := c.clock.Now()
		c.claim()
		c.run(4 * tickInterval)
		c.listed = c.fleet.Workers()[:1]
		c.run(4 * runTime)
		require.NotEqual(t, describer.JobCompleted, c.stateOf("a"), "a former holder may still have renewed the lease of the worker")
		c.run(leaser.ExpiryOf(confirmer.Authority) - c.clock.Since(claimed))
		c.run(2*runTime + 4*tickInterval)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		c.requireInvariants()
	})
	t.Run("a new holder waits for the longest lease of former holders, not for the longest that workers accept", func(t *testing.T) {
		for former, isDone := range map[time.Duration]bool{3500 * time.Millisecond: true, 0: false} {
			c := newCell(t, 2)
			c.submit("a", describer.Queue{}, tasks(8))
			c.run(4 * tickInterval)
			c.options = dispatcher.Options{FormerLease: former, MaxLease: 10 * time.Second}
			c.claim()
			// The worker has seen the fencing token, so that only the lease counts that it has.
			c.run(tickInterval)
			c.fleet.Update("w-1", func(w *fencer.Worker) { w.IsUnresponsive = true })
			c.run(7500 * time.Millisecond)
			require.Equal(t, isDone, c.stateOf("a") == describer.JobCompleted, "former lease %v", former)
			c.requireInvariants()
		}
	})
	t.Run("the authority of former holders is counted from their last record, not from the claim", func(t *testing.T) {
		for age, isDone := range map[time.Duration]bool{3 * time.Second: true, 0: false} {
			c := newCell(t, 2)
			c.submit("a", describer.Queue{}, tasks(8))
			c.run(4 * tickInterval)
			c.fleet.Update("w-1", func(w *fencer.Worker) { w.IsUnresponsive = true })
			c.options = dispatcher.Options{FormerSeenAt: c.clock.Now().Add(-age)}
			c.claim()
			c.run(confirmer.Authority - time.Second)
			require.Equal(t, isDone, c.stateOf("a") == describer.JobCompleted, "last record %v before the claim", age)
		}
	})
	t.Run("a poll by a former holder is fenced", func(t *testing.T) {
		c := newCell(t, 1)
		c.run(2 * tickInterval)
		former := c.d
		c.claim()
		c.run(2 * tickInterval)
		poll, isKnown := former.NextPoll(c.clock.Now(), "w-0")
		require.True(t, isKnown)
		poll.Wait = 0
		inventory, verdict := c.fleet.Poll(t.Context(), poll)
		former.PollAnswered(c.clock.Now(), poll, inventory, verdict)
		require.True(t, former.IsFenced())
	})
}

// newCellWithLongestLease returns a cell in which a long-running task started on a worker that had just restarted without
// the holder's knowledge, and that start. Its deadline is far ahead of the worker's new clock.
func newCellWithLongestLease(t *testing.T) (*cell, orderer.Start) {
	c := newCell(t, 2)
	c.fleet.MaxLease = chaosMaxLease
	c.options = dispatcher.Options{MaxLease: chaosMaxLease, FormerLease: 3500 * time.Millisecond}
	c.claim()
	c.run(20 * time.Second)
	step := tasks(1)
	step.LongRunning = true
	c.submit("a", describer.Queue{}, step)
	c.save()
	c.d.Tick(c.clock.Now())
	orders := c.d.TakeOrders()
	require.Len(t, orders, 1)
	start, isStart := orders[0].(orderer.Start)
	require.True(t, isStart)
	c.fleet.Restart(start.Worker.ID, 2)
	require.Equal(t, orderer.Restarted, c.fleet.Start(t.Context(), start))
	return c, start
}

// TestOddProgress guards against a record of another writer that ends the process of each holder.
func TestOddProgress(t *testing.T) {
	c := newCell(t, 2)
	c.submit("a", describer.Queue{}, tasks(2))
	c.run(2 * tickInterval)
	record, err := journaler.NewProgress("a", journaler.Progress{Epoch: c.epoch, Begun: true, Done: []byte{1, 255, 255, 255, 255, 255, 255, 255}, Steps: []journaler.StepProgress{
		{Occurrence: -1}, {Occurrence: 1 << 62, Step: 1}, {Step: -1, Done: []int{0, 1}}, {Done: []int{-5, -1}}, {Done: []int{1 << 62, 1 << 62, 3}},
		{Failed: map[int][]int64{-1: {1}, 1 << 62: {1}}},
		{Closed: []journaler.ClosedRun{{Worker: "w-0", Index: -1, Run: 1}, {Worker: "w-0", Index: 1 << 62, Run: 1}, {Worker: "none"}}},
	}})
	require.NoError(t, err)
	c.append(record)
	require.NotPanics(t, c.claim)
	c.run(10 * time.Second)
	require.Equal(t, describer.JobCompleted, c.stateOf("a"))
}

// TestMalformedJobs guards against a job in the log that ends the process of each holder which reads it, as a
// host accepted it (review/5).
func TestMalformedJobs(t *testing.T) {
	for name, job := range map[string]describer.Job{
		"a sum of tasks that overflows":       {Steps: []describer.Step{{Count: 1 << 62}, {Count: 1 << 62}}},
		"a product of tasks that overflows":   {Steps: []describer.Step{{Count: 1 << 32}}, Repeat: 1 << 32},
		"a dependency on a step far behind":   {Steps: []describer.Step{{Count: 1, After: []int{7}}}},
		"a dependency on a step before all":   {Steps: []describer.Step{{Count: 1, After: []int{-1}}}},
		"a negative number of tasks":          {Steps: []describer.Step{{Count: -1}}},
		"no steps at all":                     {},
		"times beyond the range of durations": {Steps: []describer.Step{{Count: 1}}, Repeat: 10, StartAt: time.Unix(1, 0), Interval: 1 << 62},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCell(t, 1)
			c.submit("other", describer.Queue{}, tasks(2))
			job.ID, job.Queue = "a", describer.Queue{Service: "kitchen"}
			record, err := journaler.NewJob(&job)
			require.NoError(t, err)
			c.d.JobChanged(c.clock.Now(), c.append(record)[0])
			c.run(runTime)
			require.Equal(t, describer.JobFailed, c.stateOf("a"))
			c.claim()
			c.run(2 * runTime)
			require.Equal(t, describer.JobCompleted, c.stateOf("other"))
			require.Equal(t, describer.JobFailed, c.stateOf("a"))
		})
	}
}

// TestWorkers guards against tasks that run twice or start on the wrong worker when replies are
// lost or late, and when workers fail, restart, drain or are new.
func TestWorkers(t *testing.T) {
	t.Run("a start without a reply is stopped before the task starts elsewhere", func(t *testing.T) {
		c := newCell(t, 2)
		c.run(2 * tickInterval)
		for _, id := range []string{"w-0", "w-1"} {
			c.fleet.Update(id, func(w *fencer.Worker) { w.LosesReplies = true })
		}
		c.submit("a", describer.Queue{}, tasks(1))
		c.d.Tick(c.clock.Now())
		require.Empty(t, c.d.TakeOrders(), "a task started before the progress of its job was persisted")
		c.save()
		c.d.Tick(c.clock.Now())
		orders := c.d.TakeOrders()
		require.Len(t, orders, 1)
		c.execute(orders[0])
		c.d.Tick(c.clock.Now())
		for _, order := range c.d.TakeOrders() {
			c.execute(order)
		}
		for _, id := range []string{"w-0", "w-1"} {
			c.fleet.Update(id, func(w *fencer.Worker) { w.LosesReplies = false })
		}
		c.run(3 * runTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		c.requireInvariants()
	})
	t.Run("a task whose run was lost without a result starts again only after a confirmation", func(t *testing.T) {
		for name, lose := range map[string]func(c *cell){
			"restarted": func(c *cell) { c.fleet.Restart("w-0", 2) },
			"replaced": func(c *cell) {
				c.fleet.Update("w-0", func(w *fencer.Worker) { w.IsReplaced = true })
				c.run(leaser.ExpiryOf(usualLease))
			},
			"left": func(c *cell) {
				// A stop that arrives would move the task off the draining worker.
				c.fleet.Update("w-0", func(w *fencer.Worker) { w.Info.Draining, w.LosesStops = true, true })
				c.run(2 * tickInterval)
				c.fleet.Update("w-0", func(w *fencer.Worker) { w.HasExited = true })
				c.listed = c.fleet.Workers()[1:]
				c.run(leaser.ExpiryOf(usualLease))
			},
		} {
			t.Run(name, func(t *testing.T) {
				c := newCell(t, 1)
				c.run(leaseOfFormerHolder)
				step := tasks(1)
				step.LongRunning = true
				c.submit("a", describer.Queue{}, step)
				c.run(4 * tickInterval)
				require.Equal(t, 1, c.fleet.Starts("a.0.0.0"))
				c.fleet.Add(describer.Worker{ID: "w-1", Service: "kitchen", Capacity: describer.Resources{MilliCPU: 4000, MemoryMB: 8000}, Incarnation: 1})
				c.run(4 * tickInterval)
				c.isStoreDown = true
				lose(c)
				c.run(time.Second)
				require.Equal(t, 1, c.fleet.Starts("a.0.0.0"), "a later holder may have acknowledged a result")
				require.True(t, c.d.NeedsConfirmation())
				c.isStoreDown = false
				c.run(time.Second)
				require.Equal(t, 2, c.fleet.Starts("a.0.0.0"))
			})
		}
	})
	t.Run("a restarted worker, which may have replied to a later holder before, gets tasks only after an append", func(t *testing.T) {
		c := newCell(t, 1)
		c.run(4 * tickInterval)
		c.submit("a", describer.Queue{}, tasks(1))
		c.save()
		c.isStoreDown = true
		c.fleet.Restart("w-0", 2)
		c.run(time.Second)
		require.Zero(t, c.fleet.Starts("a.0.0.0"))
		c.isStoreDown = false
		c.run(time.Second)
		require.Equal(t, 1, c.fleet.Starts("a.0.0.0"))
	})
	t.Run("a stop that is refused does not show that the start without a reply will be refused, too", func(t *testing.T) {
		c := newCell(t, 2)
		c.run(4 * tickInterval)
		start := c.loseStart()
		orders := c.d.TakeOrders()
		require.Len(t, orders, 1)
		c.d.StopAnswered(c.clock.Now(), orders[0].(orderer.Stop), orderer.Invalid)
		c.clock.Advance(tickInterval)
		c.run(4 * tickInterval)
		require.Zero(t, c.fleet.Starts("a.0.0.0"))
		c.fleet.Start(t.Context(), start)
		c.run(4 * runTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		c.requireInvariants()
	})
	t.Run("a worker is not forgotten while a start without a reply may reach its next incarnation", func(t *testing.T) {
		c := newCell(t, 1)
		c.run(2 * tickInterval)
		c.fleet.Update("w-0", func(w *fencer.Worker) { w.LosesReplies = true })
		c.submit("a", describer.Queue{}, tasks(1))
		c.save()
		c.decide()
		c.fleet.Update("w-0", func(w *fencer.Worker) { w.HasExited = true })
		c.listed = []describer.Worker{}
		c.run(11 * time.Second)
		require.Contains(t, c.d.Registrar().Workers, "w-0")
		c.run(2 * time.Second)
		require.NotContains(t, c.d.Registrar().Workers, "w-0")
	})
	t.Run("tasks of an unresponsive worker start elsewhere once its lease has expired", func(t *testing.T) {
		c := newCell(t, 2)
		c.run(6 * time.Second)
		c.submit("a", describer.Queue{}, tasks(8))
		c.run(4 * tickInterval)
		c.fleet.Update("w-1", func(w *fencer.Worker) { w.IsUnresponsive = true })
		c.run(3 * time.Second)
		require.Equal(t, 4, c.fleet.Done(), "the tasks restarted within the lease of 3.5 s")
		c.run(2 * time.Second)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		c.requireInvariants()
	})
	t.Run("tasks of a replaced worker start elsewhere as soon as its lease has expired", func(t *testing.T) {
		c := newCell(t, 2)
		c.run(leaseOfFormerHolder)
		c.submit("a", describer.Queue{}, tasks(8))
		c.run(4 * tickInterval)
		c.fleet.Restart("w-1", 1)
		c.fleet.Update("w-1", func(w *fencer.Worker) { w.IsReplaced = true })
		c.run(leaser.ExpiryOf(usualLease))
		c.run(runTime + 4*tickInterval)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		c.requireInvariants()
	})
	t.Run("a restarted worker gets no tasks until the host list has its new incarnation", func(t *testing.T) {
		c := newCell(t, 1)
		c.run(4 * tickInterval)
		c.listed = c.fleet.Workers()
		c.fleet.Restart("w-0", 2)
		c.fleet.Update("w-0", func(w *fencer.Worker) { w.Info.Capacity = describer.Resources{MilliCPU: 1000, MemoryMB: 1000} })
		c.submit("a", describer.Queue{}, tasks(4))
		c.run(4 * tickInterval)
		require.Empty(t, c.starts)
		c.listed = nil
		c.run(6 * runTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		c.requireInvariants()
	})
	t.Run("a reply that arrives after a later one is ignored", func(t *testing.T) {
		c := newCell(t, 1)
		c.submit("a", describer.Queue{}, tasks(1))
		c.run(4 * tickInterval)
		poll, _ := c.d.NextPoll(c.clock.Now(), "w-0")
		poll.Wait = 0
		late, verdict := c.fleet.Poll(t.Context(), poll)
		require.Len(t, late.Running, 1)
		c.run(2 * runTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		c.d.PollAnswered(c.clock.Now(), poll, late, verdict)
		require.Empty(t, c.d.TakeOrders(), "the dispatcher took an ended run for a running one")
	})
	t.Run("a reply of a former incarnation that arrives late ends no runs", func(t *testing.T) {
		for name, reply := range map[string]orderer.Verdict{"inventory": orderer.Accepted, "another worker": orderer.OtherIncarnation} {
			c := newCell(t, 2)
			c.run(4 * tickInterval)
			poll, _ := c.d.NextPoll(c.clock.Now(), "w-0")
			poll.Wait = 0
			late, verdict := c.fleet.Poll(t.Context(), poll)
			require.Equal(t, orderer.Accepted, verdict)
			c.clock.Advance(tickInterval)
			c.fleet.Restart("w-0", 2)
			// The worker gets tasks once the poll was given up.
			c.d.PollAnswered(c.clock.Now(), poll, orderer.Inventory{}, orderer.Unknown)
			c.run(4 * tickInterval)
			c.submit("a", describer.Queue{}, tasks(6))
			c.run(4 * tickInterval)
			require.NotEmpty(t, c.fleet.Running("w-0"))
			c.d.PollAnswered(c.clock.Now(), poll, late, reply)
			require.EqualValues(t, 2, c.d.Registrar().Workers["w-0"].Incarnation, name)
			c.decide()
			c.run(3 * runTime)
			require.Equal(t, describer.JobCompleted, c.stateOf("a"))
			require.Len(t, c.starts, 6, name)
			c.requireInvariants()
		}
	})
	t.Run("a stop that only a former incarnation has acknowledged does not end a start in flight", func(t *testing.T) {
		c := newCell(t, 2)
		c.run(2 * tickInterval)
		start := c.loseStart()
		orders := c.d.TakeOrders()
		require.Len(t, orders, 1)
		stop := orders[0].(orderer.Stop)
		acknowledged := c.fleet.Stop(t.Context(), stop)
		require.Equal(t, orderer.Accepted, acknowledged)
		c.clock.Advance(tickInterval)
		c.fleet.Restart(start.Worker.ID, 2)
		c.fleet.Update(start.Worker.ID, func(w *fencer.Worker) { w.Info.Draining = true })
		c.poll(start.Worker.ID)
		stops := c.d.TakeOrders()
		c.clock.Advance(tickInterval)
		c.d.StopAnswered(c.clock.Now(), stop, acknowledged)
		c.clock.Advance(tickInterval)
		c.tick()
		require.Equal(t, orderer.Accepted, c.fleet.Start(t.Context(), start))
		c.run(2 * tickInterval)
		for _, order := range stops {
			c.execute(order)
		}
		c.run(3 * runTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		c.requireInvariants()
	})
	t.Run("a run whose result is missing from a full list of results is not lost", func(t *testing.T) {
		c := newCell(t, 1)
		c.maxResults = 4
		c.submit("a", describer.Queue{}, tasks(12))
		c.run(4 * tickInterval)
		c.isStoreDown = true
		c.run(6 * runTime)
		c.isStoreDown = false
		c.run(6 * runTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		c.requireStartedOnce()
		c.requireInvariants()
	})
	t.Run("a draining worker that replies after its entry expired has not left when a poll fails", func(t *testing.T) {
		c := newCell(t, 2)
		c.run(4 * tickInterval)
		c.submit("a", describer.Queue{}, tasks(6))
		c.run(2 * tickInterval)
		require.NotEmpty(t, c.fleet.Running("w-0"))
		c.fleet.Update("w-0", func(w *fencer.Worker) { w.Info.Draining = true })
		c.run(2 * tickInterval)
		c.listed = c.fleet.Workers()[1:]
		c.run(2 * tickInterval)
		c.fleet.Update("w-0", func(w *fencer.Worker) { w.LosesReplies = true })
		c.tick()
		c.fleet.Update("w-0", func(w *fencer.Worker) { w.LosesReplies = false })
		c.run(3 * runTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		c.requireStartedOnce()
		c.requireInvariants()
	})
	t.Run("a draining worker has not left either if the reply to an earlier poll arrives last", func(t *testing.T) {
		c := newCell(t, 2)
		c.run(4 * tickInterval)
		c.submit("a", describer.Queue{}, tasks(6))
		c.run(2 * tickInterval)
		require.NotEmpty(t, c.fleet.Running("w-0"))
		c.fleet.Update("w-0", func(w *fencer.Worker) { w.Info.Draining = true })
		c.run(2 * tickInterval)
		// The worker delays its reply to this poll until its entry has disappeared.
		early, _ := c.d.NextPoll(c.clock.Now(), "w-0")
		early.Wait = 0
		c.listed = c.fleet.Workers()[1:]
		c.run(2 * tickInterval)
		inventory, verdict := c.inventory(early)
		require.Equal(t, orderer.Accepted, verdict)
		c.d.PollAnswered(c.clock.Now(), early, inventory, verdict)
		c.fleet.Update("w-0", func(w *fencer.Worker) { w.LosesReplies = true })
		c.tick()
		c.fleet.Update("w-0", func(w *fencer.Worker) { w.LosesReplies = false })
		c.run(3 * runTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		c.requireStartedOnce()
		c.requireInvariants()
	})
	t.Run("tasks of a draining worker that leaves start elsewhere as soon as its lease has expired", func(t *testing.T) {
		c := newCell(t, 2)
		c.run(leaseOfFormerHolder)
		c.submit("a", describer.Queue{}, tasks(6))
		c.run(2 * tickInterval)
		c.fleet.Update("w-0", func(w *fencer.Worker) { w.Info.Draining = true })
		c.run(2 * tickInterval)
		c.listed = c.fleet.Workers()[1:]
		c.fleet.Update("w-0", func(w *fencer.Worker) { w.HasExited = true })
		c.run(leaser.ExpiryOf(usualLease))
		c.run(runTime + 4*tickInterval)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		c.requireInvariants()
	})
	t.Run("a draining worker that does not reply while its entry is missing keeps its tasks until its lease expires", func(t *testing.T) {
		// The entries expired in an outage of the store, and a connection is reset before the worker
		// writes its entry again (review/2).
		for _, failure := range []orderer.Verdict{orderer.Unknown, orderer.NotSent, orderer.Unhealthy} {
			c := newCell(t, 2)
			c.run(4 * tickInterval)
			c.fleet.Update("w-0", func(w *fencer.Worker) { w.Slowness = 4 })
			c.submit("a", describer.Queue{}, tasks(4))
			c.run(2 * tickInterval)
			require.Len(t, c.fleet.Running("w-0"), 4)
			c.fleet.Update("w-0", func(w *fencer.Worker) { w.Info.Draining = true })
			c.run(2 * tickInterval)
			c.listed = c.fleet.Workers()[1:]
			c.d.SetWorkers(c.clock.Now(), c.listed)
			c.clock.Advance(tickInterval)
			poll, _ := c.d.NextPoll(c.clock.Now(), "w-0")
			c.d.PollAnswered(c.clock.Now(), poll, orderer.Inventory{}, failure)
			c.clock.Advance(tickInterval)
			c.save()
			c.decide()
			c.run(6 * runTime)
			require.Equal(t, describer.JobCompleted, c.stateOf("a"), failure)
			c.requireStartedOnce()
			c.requireInvariants()
		}
	})
	t.Run("a draining worker whose address refuses connections while it is listed has not left", func(t *testing.T) {
		c := newCell(t, 2)
		c.run(4 * tickInterval)
		c.fleet.Update("w-0", func(w *fencer.Worker) { w.Slowness = 4 })
		c.submit("a", describer.Queue{}, tasks(4))
		c.run(2 * tickInterval)
		c.fleet.Update("w-0", func(w *fencer.Worker) { w.Info.Draining, w.HasExited = true, true })
		c.run(4 * tickInterval)
		c.fleet.Update("w-0", func(w *fencer.Worker) { w.HasExited = false })
		c.listed = c.fleet.Workers()[1:]
		c.run(6 * runTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		c.requireStartedOnce()
		c.requireInvariants()
	})
	t.Run("a poll for a former incarnation does not discard results of the next", func(t *testing.T) {
		c := newCell(t, 1)
		c.submit("a", describer.Queue{}, tasks(4))
		c.runUntilUnconfirmed(4)
		poll, _ := c.d.NextPoll(c.clock.Now(), "w-0")
		require.Zero(t, poll.Wait)
		require.EqualValues(t, 4, poll.Acknowledged)
		c.fleet.Restart("w-0", 2)
		c.run(4 * tickInterval)
		c.submit("b", describer.Queue{}, tasks(4))
		c.run(runTime - tickInterval)
		c.clock.Advance(2 * tickInterval)
		late, verdict := c.fleet.Poll(t.Context(), poll)
		c.d.PollAnswered(c.clock.Now(), poll, late, verdict)
		c.run(3 * runTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("b"))
		c.requireInvariants()
	})
	t.Run("a poll after one that failed acknowledges nothing, as the worker may have restarted", func(t *testing.T) {
		c := newCell(t, 1)
		c.submit("a", describer.Queue{}, tasks(4))
		c.runUntilUnconfirmed(4)
		poll, _ := c.d.NextPoll(c.clock.Now(), "w-0")
		require.EqualValues(t, 4, poll.Acknowledged)
		c.d.PollAnswered(c.clock.Now(), poll, orderer.Inventory{}, orderer.Unknown)
		poll, _ = c.d.NextPoll(c.clock.Now(), "w-0")
		require.Zero(t, poll.Acknowledged)
	})
	t.Run("a poll that got no reply and arrives in the next life discards no results", func(t *testing.T) {
		c := newCell(t, 1)
		c.submit("a", describer.Queue{}, tasks(4))
		c.runUntilUnconfirmed(4)
		poll, _ := c.d.NextPoll(c.clock.Now(), "w-0")
		c.d.PollAnswered(c.clock.Now(), poll, orderer.Inventory{}, orderer.Unknown)
		c.fleet.Restart("w-0", 2)
		c.run(4 * tickInterval)
		c.submit("b", describer.Queue{}, tasks(4))
		c.run(11 * time.Second)
		require.Zero(t, c.fleet.Starts("b.0.0.0"), "the poll may arrive for 12 s")
		c.run(2 * time.Second)
		require.Equal(t, describer.JobCompleted, c.stateOf("b"))
	})
	t.Run("a start that got no reply and arrives in the next life is refused there", func(t *testing.T) {
		c := newCell(t, 1)
		c.run(4 * tickInterval)
		c.submit("a", describer.Queue{}, tasks(1))
		c.save()
		c.d.Tick(c.clock.Now())
		orders := c.d.TakeOrders()
		late := orders[slices.IndexFunc(orders, func(o dispatcher.Order) bool { _, isStart := o.(orderer.Start); return isStart })].(orderer.Start)
		c.d.StartAnswered(c.clock.Now(), late, orderer.Unknown)
		c.run(3 * runTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"), "after its stop the task runs again")
		c.fleet.Restart("w-0", 2)
		c.run(4 * tickInterval)
		require.Equal(t, orderer.Superseded, c.fleet.Start(t.Context(), late))
		c.submit("b", describer.Queue{}, tasks(4))
		c.run(3 * runTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("b"), "the stopped run occupies nothing")
		c.requireInvariants()
	})
	t.Run("polls that wait acknowledge nothing, so that a crash leaves none in flight that could", func(t *testing.T) {
		c := newCell(t, 1)
		c.submit("a", describer.Queue{}, tasks(4))
		c.run(3 * runTime)
		poll, _ := c.d.NextPoll(c.clock.Now(), "w-0")
		require.Positive(t, poll.Wait)
		require.Zero(t, poll.Acknowledged)
		c.fleet.Restart("w-0", 2)
		c.d.PollAnswered(c.clock.Now(), poll, orderer.Inventory{}, orderer.Unknown)
		c.submit("b", describer.Queue{}, tasks(4))
		c.run(2 * runTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("b"))
	})
	t.Run("a run that a restarted worker confirms before the reply to an earlier poll arrives is not lost", func(t *testing.T) {
		// The worker replied to the poll in its new incarnation and before the start arrived.
		c := newCell(t, 2)
		c.run(4 * tickInterval)
		poll, _ := c.d.NextPoll(c.clock.Now(), "w-0")
		poll.Wait = 0
		c.clock.Advance(tickInterval)
		c.fleet.Restart("w-0", 2)
		inventory, verdict := c.inventory(poll)
		c.submit("a", describer.Queue{}, tasks(4))
		c.save()
		c.decide()
		require.Len(t, c.fleet.Running("w-0"), 4)
		c.clock.Advance(tickInterval)
		c.d.PollAnswered(c.clock.Now(), poll, inventory, verdict)
		c.clock.Advance(tickInterval)
		c.save()
		c.decide()
		c.run(3 * runTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		c.requireStartedOnce()
		c.requireInvariants()
	})
	t.Run("a poll after a stop does not discard results of a restarted worker", func(t *testing.T) {
		// The usual poll has no reply yet, so the holder does not know of the restart.
		c := newCell(t, 1)
		c.submit("a", describer.Queue{}, tasks(4))
		c.runUntilUnconfirmed(4)
		usual, _ := c.d.NextPoll(c.clock.Now(), "w-0")
		require.EqualValues(t, 4, usual.Acknowledged)
		c.fleet.Restart("w-0", 2)
		c.submit("b", describer.Queue{}, tasks(1))
		c.save()
		c.fleet.Update("w-0", func(w *fencer.Worker) { w.LosesReplies = true })
		c.decide()
		c.fleet.Update("w-0", func(w *fencer.Worker) { w.LosesReplies = false })
		c.clock.Advance(runTime)
		c.decide() // The stop is acknowledged,
		c.decide() // and another poll follows.
		c.d.PollAnswered(c.clock.Now(), usual, orderer.Inventory{}, orderer.Unknown)
		c.run(3 * runTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("b"))
		c.requireStartedOnce()
		c.requireInvariants()
	})
	t.Run("a task does not start beside an older run of it that is being stopped", func(t *testing.T) {
		// A new holder finds two runs of a task and stops the older one; then the newer one fails.
		c := newCell(t, 2)
		c.submit("a", describer.Queue{MaxAttempts: 5}, tasks(1))
		c.run(2 * tickInterval)
		require.Equal(t, []string{"a.0.0.0"}, c.fleet.Running("w-0"))
		c.fleet.Update("w-0", func(w *fencer.Worker) { w.Slowness, w.LosesStops = 10, true })
		c.fleet.Update("w-1", func(w *fencer.Worker) { w.Fails = true })
		c.fleet.Restart("w-0", 1)
		for i, run := range []int64{300, 301} {
			worker := c.fleet.Workers()[i]
			require.Equal(t, orderer.Accepted, c.fleet.Start(t.Context(), orderer.Start{
				Worker: worker, Task: describer.TaskRef{Job: "a"}, Run: run, Token: c.epoch, Deadline: time.Hour,
			}))
		}
		c.claim()
		c.starts = nil
		c.run(4 * runTime)
		require.Equal(t, []string{"a.0.0.0"}, c.fleet.Running("w-0"))
		require.Empty(t, c.starts, "the task started beside its older run")
		c.fleet.Update("w-0", func(w *fencer.Worker) { w.LosesStops, w.Slowness = false, 0 })
		c.fleet.Update("w-1", func(w *fencer.Worker) { w.Fails = false })
		c.run(4 * runTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
	})
	t.Run("a deadline on the clock of a former incarnation may give the next one its longest lease", func(t *testing.T) {
		c := newCell(t, 2)
		c.fleet.MaxLease = 6 * time.Second
		c.run(time.Minute)
		poll, _ := c.d.NextPoll(c.clock.Now(), "w-0")
		poll.Wait = 0
		require.Greater(t, poll.Deadline, time.Minute)
		c.fleet.Restart("w-0", 2)
		inventory, verdict := c.inventory(poll)
		c.d.PollAnswered(c.clock.Now(), poll, inventory, verdict)
		c.fleet.Update("w-0", func(w *fencer.Worker) { w.Slowness = 20 })
		c.submit("a", describer.Queue{}, tasks(4))
		c.run(4 * tickInterval)
		require.Len(t, c.fleet.Running("w-0"), 4)
		c.fleet.Update("w-0", func(w *fencer.Worker) { w.IsUnresponsive = true })
		c.run(10 * time.Second)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		c.requireInvariants()
	})
	t.Run("a worker that lists runs of impossible tasks ends no process and stops nothing", func(t *testing.T) {
		c := newCell(t, 2)
		second := tasks(1)
		second.After = []int{0}
		c.submit("a", describer.Queue{}, tasks(2), second)
		c.run(2 * tickInterval)
		poll, _ := c.d.NextPoll(c.clock.Now(), "w-1")
		inventory := orderer.Inventory{Incarnation: 1, Clock: c.fleet.Uptime("w-1")}
		for _, ref := range []describer.TaskRef{
			{Job: "a", Occurrence: 1 << 62}, {Job: "a", Occurrence: 1}, {Job: "a", Step: 1 << 62}, {Job: "a", Index: 1 << 62},
			{Job: "a", Occurrence: -1}, {Job: "a", Step: -1}, {Job: "a", Index: -1}, {Job: "b", Step: -1},
		} {
			inventory.Running = append(inventory.Running, orderer.Running{Task: ref, Run: 7})
			inventory.Results = append(inventory.Results, orderer.RunResult{Number: int64(len(inventory.Results) + 1), Task: ref, Run: 8, Kind: orderer.EndDone})
		}
		require.NotPanics(t, func() { c.d.PollAnswered(c.clock.Now(), poll, inventory, orderer.Accepted) })
		c.run(4 * runTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		c.requireStartedOnce()
	})
	t.Run("an entry that names the address of another worker does not make runs count as lost", func(t *testing.T) {
		c := newCell(t, 2)
		c.fleet.Update("w-0", func(w *fencer.Worker) { w.Slowness = 4 })
		c.submit("a", describer.Queue{}, tasks(4))
		c.run(4 * tickInterval)
		require.Len(t, c.fleet.Running("w-0"), 4)
		for _, id := range []string{"w-0", "w-1"} {
			c.fleet.Update(id, func(w *fencer.Worker) { w.Info.Address = netip.MustParseAddrPort("10.0.0.1:80") })
		}
		c.run(2 * tickInterval)
		odd := c.fleet.Workers()
		odd[0].Address = netip.MustParseAddrPort("10.0.0.2:80")
		c.d.SetWorkers(c.clock.Now(), odd)
		poll, _ := c.d.NextPoll(c.clock.Now(), "w-0")
		c.d.PollAnswered(c.clock.Now(), poll, orderer.Inventory{}, orderer.OtherIncarnation)
		c.decide()
		c.run(5 * runTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		c.requireStartedOnce()
		c.requireInvariants()
	})
	t.Run("a draining worker gets no new tasks", func(t *testing.T) {
		c := newCell(t, 1)
		c.fleet.Update("w-0", func(w *fencer.Worker) { w.Info.Draining = true })
		c.submit("a", describer.Queue{}, tasks(1))
		c.run(runTime)
		require.Empty(t, c.starts)
	})
	t.Run("a worker gets its first task only once a roster that contains it is persisted", func(t *testing.T) {
		c := newCell(t, 1)
		c.submit("a", describer.Queue{}, tasks(12))
		c.run(4 * tickInterval)
		require.Len(t, c.starts, 4)
		c.isStoreDown = true
		c.fleet.Add(describer.Worker{
			ID: "w-new", Service: "kitchen", Capacity: describer.Resources{MilliCPU: 4000, MemoryMB: 8000}, Incarnation: 1,
		})
		c.run(runTime + 4*tickInterval)
		require.Len(t, c.starts, 8, "the known worker must continue to get tasks")
		for _, s := range c.starts {
			require.Equal(t, "w-0", s.Worker.ID)
		}
		c.isStoreDown = false
		c.run(4 * tickInterval)
		require.Equal(t, "w-new", c.starts[8].Worker.ID)
	})
}

// TestAdvice guards against starts on workers that the advice does not allow, long-running
// tasks that are starved by short ones, and more requests for advice than the hosts can send.
func TestAdvice(t *testing.T) {
	terms := describer.AdviceTerms{Decide: 20 * time.Millisecond, Valid: 2500 * time.Millisecond}
	t.Run("tasks start only on allowed workers, with the ticket of the advice", func(t *testing.T) {
		c := newCell(t, 3)
		c.advise = func(orderer.AdviceRequest) orderer.Advice {
			return orderer.Advice{Tickets: map[string]string{"w-2": "t-2"}}
		}
		c.submit("a", describer.Queue{Advice: terms}, tasks(6))
		c.run(6 * runTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		for _, s := range c.starts {
			require.Equal(t, "w-2", s.Worker.ID)
			require.Equal(t, "t-2", s.Ticket)
		}
		c.requireInvariants()
	})
	t.Run("capacity is reserved for a long-running task on the only allowed worker", func(t *testing.T) {
		// Short tasks keep using all capacity that becomes free on the worker, as in a busy
		// cell.
		c := newCell(t, 2)
		c.isStaggered = true
		standing := describer.Queue{Name: "standing", Priority: 1, Advice: terms}
		longRunning := describer.Step{Count: 1, LongRunning: true, Need: describer.Resources{MilliCPU: 3000, MemoryMB: 3000}}
		c.advise = func(orderer.AdviceRequest) orderer.Advice {
			return orderer.Advice{Tickets: map[string]string{"w-1": "t-1"}}
		}
		c.submit("batch", describer.Queue{Name: "batch", Priority: 2, MaxAttempts: 9}, tasks(400))
		c.run(runTime)
		c.submit("long", standing, longRunning)
		c.run(4 * time.Second)
		require.Contains(t, c.fleet.Running("w-1"), "long.0.0.0")
		c.requireInvariants()
	})
	t.Run("concurrent requests for advice are limited by the number of hosts", func(t *testing.T) {
		c := newCell(t, 2)
		c.run(4 * tickInterval)
		c.d.SetAdviceHosts(3)
		for _, id := range []describer.JobID{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
			c.submit(id, describer.Queue{Advice: terms}, tasks(1))
		}
		c.d.Tick(c.clock.Now())
		require.Len(t, c.d.TakeOrders(), 3*orderer.MaxPipelined, "each of three hosts may have a few short requests in flight")
	})
}
