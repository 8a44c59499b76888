package dispatcher_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/dispatcher"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/standin/fencer"
)

// TestStartOfResolvedRunIsNotForgotten guards against a task that runs twice, as a worker restarts twice while a start is in
// flight: its run is resolved in the second life, before the start is known to have no reply, and the start reaches the third.
func TestStartOfResolvedRunIsNotForgotten(t *testing.T) {
	c := newCell(t, 2)
	c.run(4 * tickInterval)
	for _, id := range []string{"w-0", "w-1"} {
		c.fleet.Update(id, func(w *fencer.Worker) { w.Slowness = 100 })
	}
	c.submit("a", describer.Queue{}, tasks(1))
	c.save()
	c.d.Tick(c.clock.Now())
	orders := c.d.TakeOrders()
	at := slices.IndexFunc(orders, func(o dispatcher.Order) bool { _, isStart := o.(orderer.Start); return isStart })
	require.GreaterOrEqual(t, at, 0)
	lost, _ := orders[at].(orderer.Start)
	c.fleet.Restart(lost.Worker.ID, 2)
	c.fleet.Update(lost.Worker.ID, func(w *fencer.Worker) { w.Info.Draining = true })
	c.run(10 * tickInterval)
	c.d.StartAnswered(c.clock.Now(), lost, orderer.Unknown)
	c.fleet.Restart(lost.Worker.ID, 3)
	c.run(10 * tickInterval)
	require.NotEqual(t, orderer.Accepted, c.fleet.Start(t.Context(), lost), "the third life carries out the start")
	require.Empty(t, c.starts, "the task runs elsewhere while the start may reach another life")
	c.run(maxLateness)
	require.Len(t, c.starts, 1, "the task starts elsewhere once the start can't be carried out any more")
	require.NotEqual(t, lost.Worker.ID, c.starts[0].Worker.ID)
	c.requireInvariants()
}

// newCellWithLostStart returns a cell in which the start of the first task of a job's last step got no reply. In a job of one
// step it was sent to w-0, which was the fuller worker. By the time at which the task can start again w-1 is. The tasks of the
// step run for a quarter of a minute.
func newCellWithLostStart(t *testing.T, steps ...describer.Step) (*cell, orderer.Start) {
	c := newCell(t, 2)
	c.runTimes = func(ref describer.TaskRef) time.Duration {
		if ref.Job == "a" && ref.Step < len(steps)-1 {
			return runTime
		}
		return map[describer.JobID]time.Duration{"a": 15 * time.Second, "short": runTime, "long": time.Minute}[ref.Job]
	}
	wide := tasks(1)
	wide.Need.MilliCPU = 2000
	c.submit("short", describer.Queue{}, tasks(3))
	c.run(2 * tickInterval)
	c.submit("long", describer.Queue{}, wide)
	c.run(runTime - 2*tickInterval)
	c.submit("a", describer.Queue{}, steps...)
	lost := c.holdStart(func(start orderer.Start) bool { return start.Task.Step == len(steps)-1 && start.Task.Index == 0 })
	c.d.StartAnswered(c.clock.Now(), lost, orderer.Unknown)
	if len(steps) == 1 {
		require.Equal(t, "w-0", lost.Worker.ID)
	}
	return c, lost
}

// holdStart ticks the cell until a start is ordered that isHeld accepts, which it returns and does not send.
func (c *cell) holdStart(isHeld func(start orderer.Start) bool) orderer.Start {
	for range 1000 {
		var held orderer.Start
		c.save()
		c.d.Tick(c.clock.Now())
		for _, order := range c.d.TakeOrders() {
			if start, isStart := order.(orderer.Start); isStart && isHeld(start) {
				held = start
				continue
			}
			c.execute(order)
		}
		if held.Run > 0 {
			return held
		}
		c.clock.Advance(tickInterval)
		for id := range c.d.WorkerIDs() {
			c.poll(id)
		}
	}
	require.Fail(c.t, "no such start was ordered")
	return orderer.Start{}
}

// anyStart accepts all starts.
func anyStart(orderer.Start) bool { return true }

// lastStart returns the newest start of the task whose first start was lost.
func (c *cell) lastStart() orderer.Start {
	for _, start := range slices.Backward(c.starts) {
		if start.Task.Job == "a" {
			return start
		}
	}
	require.Fail(c.t, "the task has not started again")
	return orderer.Start{}
}

// requireHarmless checks that a lost start which the next incarnation of its worker carries out does no harm, after its task has
// started again.
func (c *cell) requireHarmless(lost orderer.Start) {
	c.run(time.Second)
	require.Greater(c.t, c.lastStart().Run, lost.Run, "the task has started again")
	c.fleet.Restart(lost.Worker.ID, 2)
	c.fleet.Start(c.t.Context(), lost)
	c.run(40 * time.Second)
	c.requireInvariants()
	require.Equal(c.t, describer.JobCompleted, c.stateOf("a"))
}

// TestTaskWithLostStartRunsNowhereElse guards against a task that runs twice: its start gets no reply, the worker
// restarts under its id, and the new incarnation, which has seen no fencing token, carries the start out.
func TestTaskWithLostStartRunsNowhereElse(t *testing.T) {
	c, lost := newCellWithLostStart(t, tasks(1))
	c.requireHarmless(lost)
}

// TestTaskOfSilentWorkerRunsNowhereElse guards against a task that runs twice: its worker replies to nothing from just before
// the start on, is given up with its lease, restarts under its id, and carries the start out before the first poll.
func TestTaskOfSilentWorkerRunsNowhereElse(t *testing.T) {
	gang, lasting, after := tasks(2), tasks(1), tasks(1)
	gang.Gang, lasting.LongRunning, after.After = true, true, []int{0}
	for name, tc := range map[string]struct {
		steps     []describer.Step
		takesOver bool
		// isOther gives the next incarnation another address and service.
		isOther bool
	}{
		"task":               {steps: []describer.Step{tasks(1)}},
		"gang":               {steps: []describer.Step{gang}},
		"long-running task":  {steps: []describer.Step{lasting}},
		"step after another": {steps: []describer.Step{tasks(1), after}},
		"takeover":           {steps: []describer.Step{tasks(1)}, takesOver: true},
		"other address":      {steps: []describer.Step{tasks(1)}, isOther: true},
	} {
		t.Run(name, func(t *testing.T) {
			c, lost := newCellWithLostStart(t, tc.steps...)
			c.fleet.Update(lost.Worker.ID, func(w *fencer.Worker) { w.IsUnresponsive = true })
			if tc.takesOver {
				c.save()
				c.options.FormerSeenAt = c.clock.Now()
				c.claim()
			}
			c.run(leaseOfFormerHolder + time.Second)
			c.fleet.Update(lost.Worker.ID, func(w *fencer.Worker) {
				if w.IsUnresponsive = false; tc.isOther {
					w.Info.Address, w.Info.Service = netip.MustParseAddrPort("127.0.0.9:1"), "bakery"
				}
			})
			c.fleet.Restart(lost.Worker.ID, 2)
			c.fleet.Start(t.Context(), lost)
			c.run(maxLateness)
			require.Greater(t, c.lastStart().Run, lost.Run, "the task has started again")
			c.requireInvariants()
		})
	}
}

// TestTaskWithLostStartWaitsNoLongerThanNeeded guards against a task that waits for the worker of its lost start although that
// can't carry it out any more, whether it was lost with the start or later.
func TestTaskWithLostStartWaitsNoLongerThanNeeded(t *testing.T) {
	for name, tc := range map[string]struct{ repliesFor, least, most time.Duration }{
		"worker lost with the start": {least: maxLateness, most: maxLateness},
		"worker lost later":          {repliesFor: time.Second, least: maxLateness, most: maxLateness},
	} {
		t.Run(name, func(t *testing.T) {
			c, lost := newCellWithLostStart(t, tasks(1))
			sentAt := c.clock.Now()
			c.run(tc.repliesFor)
			c.fleet.Update(lost.Worker.ID, func(w *fencer.Worker) { w.IsUnresponsive = true })
			c.run(maxLateness)
			c.run(4 * tickInterval)
			start := c.lastStart()
			require.NotEqual(t, lost.Worker.ID, start.Worker.ID)
			require.GreaterOrEqual(t, start.SentAt.Sub(sentAt), tc.least)
			require.LessOrEqual(t, start.SentAt.Sub(sentAt), tc.most+2*tickInterval)
			c.requireInvariants()
		})
	}
}

// TestTaskWhoseStartCannotArriveIsNotConfined guards against a task that waits for a late start which no incarnation of the
// silent worker carries out or which may run beside another: at once where it was not sent, for the lease otherwise.
func TestTaskWhoseStartCannotArriveIsNotConfined(t *testing.T) {
	copies := tasks(1)
	copies.Speculative = true
	advice := describer.AdviceTerms{Decide: tickInterval, Valid: 2500 * time.Millisecond}
	for name, tc := range map[string]struct {
		queue   describer.Queue
		step    describer.Step
		verdict orderer.Verdict
		most    time.Duration
	}{
		"not sent":    {step: tasks(1), verdict: orderer.NotSent, most: 100 * time.Millisecond},
		"no listener": {step: tasks(1), verdict: orderer.NoListener, most: 100 * time.Millisecond},
		"ticket":      {queue: describer.Queue{Advice: advice}, step: tasks(1), verdict: orderer.Unknown, most: leaseOfFormerHolder},
		"copies":      {step: copies, verdict: orderer.Unknown, most: leaseOfFormerHolder},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCell(t, 2)
			c.run(4 * tickInterval)
			c.submit("a", tc.queue, tc.step)
			first := c.holdStart(anyStart)
			c.fleet.Update(first.Worker.ID, func(w *fencer.Worker) { w.IsUnresponsive = true })
			c.d.StartAnswered(c.clock.Now(), first, tc.verdict)
			c.run(maxLateness)
			require.NotEmpty(t, c.starts)
			require.NotEqual(t, first.Worker.ID, c.starts[0].Worker.ID)
			require.LessOrEqual(t, c.starts[0].SentAt.Sub(first.SentAt), tc.most+2*tickInterval)
			c.requireInvariants()
		})
	}
}

// TestLongRunningTaskStartsOnWorkerThatHasJustReplied guards against a long-running task that waits for a late start, which was
// sent to a worker that had been lost between two polls.
func TestLongRunningTaskStartsOnWorkerThatHasJustReplied(t *testing.T) {
	gang := longRunning(2)
	gang.Gang = true
	for name, step := range map[string]describer.Step{"tasks": longRunning(2), "gang": gang} {
		t.Run(name, func(t *testing.T) {
			c := newCell(t, 2)
			c.run(4 * tickInterval)
			c.fleet.Update("w-0", func(w *fencer.Worker) { w.IsUnresponsive = true })
			c.clock.Advance(400 * time.Millisecond)
			c.submit("a", describer.Queue{}, step)
			c.save()
			c.decide()
			require.Empty(t, c.starts, "no worker has replied for longer than starts may rely on")
			c.run(4 * tickInterval)
			require.Len(t, c.starts, 2)
			for _, start := range c.starts {
				require.Equal(t, "w-1", start.Worker.ID)
			}
		})
	}
}

// TestOmittedLateStartHoldsTasks guards against a task that runs twice, as so many starts of the former holder may still be
// carried out that the record does not list all of them.
func TestOmittedLateStartHoldsTasks(t *testing.T) {
	c := newCell(t, 2)
	c.run(4 * tickInterval)
	lost := c.loseStart()
	c.save()
	late := journaler.LateStarts{Epoch: c.epoch, Starts: []journaler.LateStart{
		{Worker: lost.Worker.ID, Job: lost.Task.Job, Run: lost.Run, Remaining: maxLateness - time.Second},
	}}
	for i := range 1024 {
		late.Starts = append(late.Starts, journaler.LateStart{Worker: "w-0", Job: "other", Index: i, Run: 1, Remaining: maxLateness})
	}
	record, err := journaler.NewLateStarts(late)
	require.NoError(t, err)
	c.append(record)
	c.options.FormerSeenAt = c.clock.Now()
	c.claim()
	c.run(maxLateness - 2*time.Second)
	require.Empty(t, c.starts, "the task starts elsewhere while a start that is not listed may be carried out")
	c.submit("new", describer.Queue{}, tasks(1))
	c.run(4 * tickInterval)
	require.Len(t, c.starts, 1, "a job that has not begun waits for nothing")
	c.run(2 * time.Second)
	require.Equal(t, lost.Task, c.lastStart().Task)
	c.requireInvariants()
}

// TestUpkeepEndsTheWaitForLostStart guards against a task that waits for the worker of its lost start although the machine was
// taken down, so that the worker never runs again.
func TestUpkeepEndsTheWaitForLostStart(t *testing.T) {
	c, wave := newWave(t, 2, 1)
	c.run(4 * tickInterval)
	lost := c.loseStart()
	c.fleet.Update(lost.Worker.ID, func(w *fencer.Worker) { w.IsUnresponsive = true })
	wave.Machines = []string{"m-" + lost.Worker.ID}
	c.d.SetWave(c.clock.Now(), wave)
	c.run(maxLateness)
	require.Len(t, c.starts, 1)
	require.NotEqual(t, lost.Worker.ID, c.starts[0].Worker.ID)
	require.Less(t, c.starts[0].SentAt.Sub(lost.SentAt), maxLateness-time.Second)
	c.requireInvariants()
}

// TestGangWithLostStartIsPlacedAroundIt guards against a member of a gang that runs twice: its start gets no reply, and with
// the other members it would start on another worker.
func TestGangWithLostStartIsPlacedAroundIt(t *testing.T) {
	gang := tasks(2)
	gang.Gang = true
	c, lost := newCellWithLostStart(t, gang)
	c.requireHarmless(lost)
}

// TestSuccessorConfinesTaskWithLostStart guards against a task that runs twice, as a successor starts it anywhere that knows
// nothing of a start without a reply, and the start is carried out in the worker's next incarnation.
func TestSuccessorConfinesTaskWithLostStart(t *testing.T) {
	c, lost := newCellWithLostStart(t, tasks(1))
	c.save()
	c.clock.Advance(5 * tickInterval)
	c.options.FormerSeenAt = c.clock.Now()
	c.claim()
	c.requireHarmless(lost)
	require.Empty(t, c.state.LateStarts, "the record lists a start that can't be carried out any more")
}

// TestSuccessorConfinesTaskWithStartInFlight guards against a task that runs twice, as its start is in flight when the holder
// ends, in order or killed after its next append, and is carried out in the worker's next incarnation.
func TestSuccessorConfinesTaskWithStartInFlight(t *testing.T) {
	for name, end := range map[string]func(c *cell){
		"in order": func(c *cell) { c.append(c.d.TakeLastRecords(c.clock.Now())...) },
		"killed":   (*cell).save,
	} {
		t.Run(name, func(t *testing.T) {
			c := newCell(t, 2)
			c.runTimes = func(describer.TaskRef) time.Duration { return 15 * time.Second }
			c.run(4 * tickInterval)
			c.submit("a", describer.Queue{}, tasks(1))
			lost := c.holdStart(anyStart)
			end(c)
			c.options.FormerSeenAt = c.clock.Now()
			c.claim()
			c.fleet.Update(lost.Worker.ID, func(w *fencer.Worker) { w.Info.Draining = true })
			c.run(time.Second)
			c.fleet.Restart(lost.Worker.ID, 2)
			c.fleet.Start(t.Context(), lost)
			c.run(30 * time.Second)
			require.Greater(t, c.lastStart().Run, lost.Run, "the task has started again")
			require.Equal(t, describer.JobCompleted, c.stateOf("a"))
			require.Empty(t, c.state.LateStarts, "the record lists a start that can't be carried out any more")
			c.requireInvariants()
		})
	}
}

// TestEndOfTaskWithLostStartIsAcknowledgedLater guards against a task that starts again after the holder has taken note that
// it is done: its lost start is carried out in the worker's next incarnation, before a takeover or after it.
func TestEndOfTaskWithLostStartIsAcknowledgedLater(t *testing.T) {
	for name, takesOver := range map[string]bool{"same holder": false, "takeover": true} {
		t.Run(name, func(t *testing.T) {
			c, lost := newCellWithLostStart(t, tasks(1))
			c.runTimes = func(describer.TaskRef) time.Duration { return runTime }
			c.run(time.Second)
			if takesOver {
				c.options.FormerSeenAt = c.clock.Now()
				c.claim()
			}
			c.run(time.Second)
			require.True(t, c.fleet.IsDone(lost.Task.String()))
			c.fleet.Restart(lost.Worker.ID, 2)
			c.fleet.Start(t.Context(), lost)
			c.run(10 * time.Second)
			c.requireInvariants()
		})
	}
}

// TestStartInUnknownIncarnationIsNoticed guards against two runs of a task whose start was the first that the holder heard of
// its worker since a restart: the worker falls silent, and its new incarnation has a longer lease than the holder granted.
func TestStartInUnknownIncarnationIsNoticed(t *testing.T) {
	c, start := newCellWithLongestLease(t)
	c.d.StartAnswered(c.clock.Now(), start, orderer.Restarted)
	c.fleet.Update(start.Worker.ID, func(w *fencer.Worker) { w.IsUnresponsive = true })
	c.run(10 * time.Second)
	require.Equal(t, 2, c.fleet.Starts(start.Task.String()), "the task starts again once the lease has ended")
	c.requireInvariants()
}

// TestLatePollDiscardsNoResultOfUnknownIncarnation guards against a task that runs twice: it was started in an incarnation of
// the worker that the holder does not know, and a poll to the former one arrives late and discards its result.
func TestLatePollDiscardsNoResultOfUnknownIncarnation(t *testing.T) {
	c := newCell(t, 1)
	c.submit("a", describer.Queue{}, tasks(4))
	c.runUntilUnconfirmed(4)
	late, _ := c.d.NextPoll(c.clock.Now(), "w-0")
	require.Equal(t, int64(4), late.Acknowledged)
	c.fleet.Restart("w-0", 2)
	c.submit("b", describer.Queue{}, tasks(4))
	c.save()
	c.decide()
	require.Len(t, c.fleet.Running("w-0"), 4)
	c.decide()
	c.clock.Advance(2 * runTime)
	c.inventory(late)
	c.d.PollAnswered(c.clock.Now(), late, orderer.Inventory{}, orderer.Unknown)
	c.run(15 * time.Second)
	require.Equal(t, describer.JobCompleted, c.stateOf("b"))
	c.requireInvariants()
}

// TestLateUpkeepOfBusyMachine guards against more machines down than a wave allows: an order without a reply is carried out
// after its repetition was refused, as the machine was busy.
func TestLateUpkeepOfBusyMachine(t *testing.T) {
	c, wave := newWave(t, 2, 1)
	slices.Reverse(wave.Machines)
	c.runTimes = func(ref describer.TaskRef) time.Duration {
		return map[describer.JobID]time.Duration{"short": runTime, "long": 5 * time.Second}[ref.Job]
	}
	c.submit("short", describer.Queue{}, tasks(4))
	c.run(2 * tickInterval)
	c.submit("long", describer.Queue{}, tasks(1))
	c.run(2 * tickInterval)
	c.d.SetWave(c.clock.Now(), wave)
	var late []orderer.Upkeep
	c.upkeep = func(order orderer.Upkeep) orderer.UpkeepVerdict {
		late = append(late, order)
		return orderer.UpkeepUnknown
	}
	for len(late) == 0 {
		c.run(tickInterval)
	}
	require.Equal(t, "m-w-0", late[0].Machine, "the machine that runs nothing comes first")
	c.upkeep = nil
	c.machines.Upkeep(t.Context(), orderer.Upkeep{Machine: late[0].Machine, Wave: 9, Token: late[0].Token})
	for c.machines.Upkeeps(1) == 0 {
		c.run(tickInterval)
	}
	c.machines.Upkeep(t.Context(), late[0])
	c.run(30 * time.Second)
	require.Equal(t, 2, c.machines.Upkeeps(1))
	require.Equal(t, 1, c.machines.MaxDown())
	c.requireInvariants()
}
