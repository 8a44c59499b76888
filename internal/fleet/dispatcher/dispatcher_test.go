package dispatcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/dispatcher"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/standin/fencer"
)

func TestJobs(t *testing.T) {
	t.Run("steps run one after the other", func(t *testing.T) {
		c := newCell(t, 2)
		second := tasks(2)
		second.After = []int{0}
		c.submit("a", describer.Queue{}, tasks(3), second)
		c.run(workTime)
		require.Zero(t, c.fleet.Starts("a.0.1.0"), "the second step began before the first was done")
		c.run(2 * workTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		require.Equal(t, 5, c.fleet.Done())
		c.requireSound()
	})
	t.Run("a cancelled job is stopped and gets no more starts", func(t *testing.T) {
		c := newCell(t, 1)
		c.submit("a", describer.Queue{}, tasks(8))
		c.run(4 * step)
		require.Len(t, c.fleet.Running("w-0"), 4)
		c.cancel("a")
		c.run(4 * step)
		require.Empty(t, c.fleet.Running("w-0"))
		c.run(2 * workTime)
		require.Zero(t, c.fleet.Done())
		require.Equal(t, describer.JobCancelled, c.stateOf("a"))
	})
	t.Run("a task that fails as often as its queue allows fails the job", func(t *testing.T) {
		c := newCell(t, 2)
		for _, id := range []string{"w-0", "w-1"} {
			c.fleet.Set(id, func(w *fencer.Worker) { w.Fails = true })
		}
		c.submit("a", describer.Queue{MaxAttempts: 2}, tasks(1))
		c.run(4 * workTime)
		require.Equal(t, describer.JobFailed, c.stateOf("a"))
		require.Equal(t, 2, c.fleet.Starts("a.0.0.0"))
	})
	t.Run("a gang starts whole or not at all", func(t *testing.T) {
		c := newCell(t, 2)
		gang := tasks(9)
		gang.Gang = true
		c.submit("a", describer.Queue{}, gang)
		c.run(workTime)
		require.Empty(t, c.starts, "nine tasks have no room on two workers of four")
		c.submit("b", describer.Queue{}, func() describer.Step { s := tasks(6); s.Gang = true; return s }())
		c.run(2 * workTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("b"))
		require.Len(t, c.starts, 6)
		for _, s := range c.starts {
			require.Equal(t, c.starts[0].Run, s.Run, "members share a run")
		}
	})
	t.Run("a job on a timetable waits for its time", func(t *testing.T) {
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
	t.Run("a job whose end is not kept yet is not begun anew by an older record", func(t *testing.T) {
		c := newCell(t, 1)
		c.submit("a", describer.Queue{}, tasks(1))
		c.run(workTime)
		older := *c.state.Jobs["a"]
		c.isStoreDown = true
		c.run(workTime)
		records, batch := c.d.TakeProgress()
		c.d.JobChanged(c.clock.Now(), &older)
		c.run(workTime)
		c.append(records...)
		c.d.Saved(batch)
		c.isStoreDown = false
		c.run(workTime)
		require.Equal(t, 1, c.fleet.Starts("a.0.0.0"))
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
	})
}

func TestTakeover(t *testing.T) {
	t.Run("what runs is taken over and what ended is not run again", func(t *testing.T) {
		c := newCell(t, 2)
		c.submit("a", describer.Queue{}, tasks(12))
		c.run(workTime / 2)
		c.isStoreDown = true
		c.run(workTime)
		c.isStoreDown = false
		c.claim()
		c.run(3 * workTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		c.requireStartedOnce()
		c.requireSound()
	})
	t.Run("an end is acknowledged only once it is kept", func(t *testing.T) {
		c := newCell(t, 1)
		c.submit("a", describer.Queue{}, tasks(1))
		c.run(4 * step)
		c.isStoreDown = true
		c.run(2 * workTime)
		look, isKnown := c.d.NextLook(c.clock.Now(), "w-0")
		require.True(t, isKnown)
		require.Zero(t, look.Acknowledged)
		c.isStoreDown = false
		c.run(2 * step)
		look, _ = c.d.NextLook(c.clock.Now(), "w-0")
		require.Equal(t, int64(1), look.Acknowledged)
	})
	t.Run("tasks that may be at a worker that does not answer wait for its lease to lapse", func(t *testing.T) {
		c := newCell(t, 2)
		c.submit("a", describer.Queue{}, tasks(8))
		c.run(4 * step)
		c.fleet.Set("w-1", func(w *fencer.Worker) { w.IsSilent = true })
		c.claim()
		c.run(2 * time.Second)
		for _, s := range c.starts {
			require.Equal(t, int64(1), s.Run, "started again: %v", s.Task)
		}
		c.run(9 * time.Second)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		c.requireSound()
	})
	t.Run("a successor suspects a worker that was silent of the runs that were kept alone", func(t *testing.T) {
		c := newCell(t, 2)
		c.submit("a", describer.Queue{}, tasks(16))
		c.run(4 * step)
		c.fleet.Set("w-1", func(w *fencer.Worker) { w.IsSilent = true })
		c.run(time.Second)
		c.claim()
		c.run(2 * time.Second)
		require.Len(t, c.starts, 16, "eight tasks were never started, and only four are at the silent worker")
		c.requireStartedOnce()
		c.run(9 * time.Second)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		c.requireSound()
	})
	t.Run("a worker that the list has lost for a moment is asked all the same", func(t *testing.T) {
		c := newCell(t, 2)
		c.submit("a", describer.Queue{}, tasks(8))
		c.run(4 * step)
		c.listed = c.fleet.Infos()[:1]
		c.claim()
		c.run(4 * workTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		c.requireStartedOnce()
		c.requireSound()
	})
	t.Run("a failure is counted once, before and after", func(t *testing.T) {
		c := newCell(t, 1)
		c.fleet.Set("w-0", func(w *fencer.Worker) { w.Fails = true })
		c.submit("a", describer.Queue{MaxAttempts: 3}, tasks(1))
		c.run(workTime + 2*step)
		c.fleet.Set("w-0", func(w *fencer.Worker) { w.Fails = false })
		record, err := journaler.NewProgress("a", journaler.Progress{Epoch: 1, Begun: true,
			Steps: []journaler.StepProgress{{Failed: map[int][]int64{0: {1}}}}})
		require.NoError(t, err)
		c.append(record)
		c.claim()
		c.run(3 * workTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
	})
	t.Run("what is left of a job that ended takes its room until it is gone", func(t *testing.T) {
		c := newCell(t, 1)
		c.submit("a", describer.Queue{}, tasks(4))
		c.run(4 * step)
		c.fleet.Set("w-0", func(w *fencer.Worker) { w.LosesStops = true })
		c.cancel("a")
		c.claim()
		c.submit("b", describer.Queue{}, tasks(4))
		c.run(8 * step)
		c.fleet.Set("w-0", func(w *fencer.Worker) { w.LosesStops = false })
		c.run(4 * workTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("b"))
		c.requireSound()
	})
	t.Run("a job that no holder began starts though a worker does not answer", func(t *testing.T) {
		c := newCell(t, 3)
		c.submit("a", describer.Queue{}, tasks(8))
		c.run(4 * step)
		c.fleet.Set("w-1", func(w *fencer.Worker) { w.IsSilent = true })
		c.isStoreDown = true
		c.submit("b", describer.Queue{}, tasks(2))
		c.run(4 * step)
		require.Zero(t, c.fleet.Starts("b.0.0.0"), "a successor would not know that it runs")
		c.isStoreDown = false
		c.claim()
		c.run(2 * workTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("b"))
		require.NotEqual(t, describer.JobCompleted, c.stateOf("a"), "the silent worker may run some of its tasks")
		c.run(9 * time.Second)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		c.requireSound()
	})
	t.Run("workers that had drained and left hold nothing up", func(t *testing.T) {
		c := newCell(t, 2)
		c.submit("a", describer.Queue{}, tasks(8))
		c.run(4 * step)
		c.fleet.Set("w-1", func(w *fencer.Worker) { w.IsSilent, w.Info.Draining = true, true })
		c.claim()
		c.run(4 * step)
		c.listed = c.fleet.Infos()[:1]
		c.run(4 * workTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
	})
	t.Run("the longest lease of former holders is waited out, not the longest that a worker grants", func(t *testing.T) {
		for former, isDone := range map[time.Duration]bool{3500 * time.Millisecond: true, 0: false} {
			c := newCell(t, 2)
			c.submit("a", describer.Queue{}, tasks(8))
			c.run(4 * step)
			c.fleet.Set("w-1", func(w *fencer.Worker) { w.IsSilent = true })
			c.options = dispatcher.Options{FormerLease: former, HoldMax: 10 * time.Second}
			c.claim()
			c.run(7500 * time.Millisecond)
			require.Equal(t, isDone, c.stateOf("a") == describer.JobCompleted, "former lease %v", former)
			c.requireSound()
		}
	})
	t.Run("a later token fences the holder", func(t *testing.T) {
		c := newCell(t, 1)
		c.run(2 * step)
		former := c.d
		c.claim()
		c.run(2 * step)
		look, isKnown := former.NextLook(c.clock.Now(), "w-0")
		require.True(t, isKnown)
		look.Wait = 0
		inventory, verdict := c.fleet.Look(t.Context(), look)
		former.Looked(c.clock.Now(), look, inventory, verdict)
		require.True(t, former.IsFenced())
	})
}

func TestWorkers(t *testing.T) {
	t.Run("a start without an answer is settled by a stop before the task starts elsewhere", func(t *testing.T) {
		c := newCell(t, 2)
		c.run(2 * step)
		for _, id := range []string{"w-0", "w-1"} {
			c.fleet.Set(id, func(w *fencer.Worker) { w.LosesAnswers = true })
		}
		c.submit("a", describer.Queue{}, tasks(1))
		c.d.Tick(c.clock.Now())
		require.Empty(t, c.d.TakeOrders(), "nothing starts before the job's progress is kept")
		c.save()
		c.d.Tick(c.clock.Now())
		orders := c.d.TakeOrders()
		require.Len(t, orders, 1)
		c.carryOut(orders[0])
		c.d.Tick(c.clock.Now())
		for _, order := range c.d.TakeOrders() {
			c.carryOut(order)
		}
		for _, id := range []string{"w-0", "w-1"} {
			c.fleet.Set(id, func(w *fencer.Worker) { w.LosesAnswers = false })
		}
		c.run(3 * workTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		c.requireSound()
	})
	t.Run("the runs of a dead worker start elsewhere once its lease has lapsed", func(t *testing.T) {
		c := newCell(t, 2)
		c.run(6 * time.Second)
		c.submit("a", describer.Queue{}, tasks(8))
		c.run(4 * step)
		c.fleet.Set("w-1", func(w *fencer.Worker) { w.IsSilent = true })
		c.run(3 * time.Second)
		require.Equal(t, 4, c.fleet.Done(), "a lease of 3.5 s is not over")
		c.run(2 * time.Second)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		c.requireSound()
	})
	t.Run("the runs of a replaced worker start elsewhere at once", func(t *testing.T) {
		c := newCell(t, 2)
		c.submit("a", describer.Queue{}, tasks(8))
		c.run(4 * step)
		c.fleet.Restart("w-1", 1)
		c.fleet.Set("w-1", func(w *fencer.Worker) { w.IsReplaced = true })
		c.run(3 * workTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
	})
	t.Run("a new life gets nothing until its own entry is listed", func(t *testing.T) {
		c := newCell(t, 1)
		c.run(4 * step)
		c.listed = c.fleet.Infos()
		c.fleet.Restart("w-0", 2)
		c.fleet.Set("w-0", func(w *fencer.Worker) { w.Info.Capacity = describer.Resources{MilliCPU: 1000, MemoryMB: 1000} })
		c.submit("a", describer.Queue{}, tasks(4))
		c.run(4 * step)
		require.Empty(t, c.starts)
		c.listed = nil
		c.run(6 * workTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		c.requireSound()
	})
	t.Run("an answer that was overtaken changes nothing", func(t *testing.T) {
		c := newCell(t, 1)
		c.submit("a", describer.Queue{}, tasks(1))
		c.run(4 * step)
		look, _ := c.d.NextLook(c.clock.Now(), "w-0")
		look.Wait = 0
		late, verdict := c.fleet.Look(t.Context(), look)
		require.Len(t, late.Running, 1)
		c.run(2 * workTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		c.d.Looked(c.clock.Now(), look, late, verdict)
		require.Empty(t, c.d.TakeOrders(), "a run that has ended was taken for one that is there")
	})
	t.Run("a worker that drains gets nothing new", func(t *testing.T) {
		c := newCell(t, 1)
		c.fleet.Set("w-0", func(w *fencer.Worker) { w.Info.Draining = true })
		c.submit("a", describer.Queue{}, tasks(1))
		c.run(workTime)
		require.Empty(t, c.starts)
	})
	t.Run("a worker gets its first start only once a roster with it is kept", func(t *testing.T) {
		c := newCell(t, 1)
		c.submit("a", describer.Queue{}, tasks(12))
		c.run(4 * step)
		require.Len(t, c.starts, 4)
		c.isStoreDown = true
		c.fleet.Add(describer.Worker{
			ID: "w-new", Service: "kitchen", Capacity: describer.Resources{MilliCPU: 4000, MemoryMB: 8000}, Incarnation: 1,
		})
		c.run(workTime + 4*step)
		require.Len(t, c.starts, 8, "what had begun goes on")
		for _, s := range c.starts {
			require.Equal(t, "w-0", s.Worker.ID)
		}
		c.isStoreDown = false
		c.run(4 * step)
		require.Equal(t, "w-new", c.starts[8].Worker.ID)
	})
}

func TestAdvice(t *testing.T) {
	terms := describer.AdviceTerms{Decide: 20 * time.Millisecond, Valid: 2500 * time.Millisecond}
	t.Run("tasks start on allowed workers with their ticket", func(t *testing.T) {
		c := newCell(t, 3)
		c.advise = func(orderer.Advise) orderer.Advice {
			return orderer.Advice{Tickets: map[string]string{"w-2": "t-2"}}
		}
		c.submit("a", describer.Queue{Advice: terms}, tasks(6))
		c.run(6 * workTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		for _, s := range c.starts {
			require.Equal(t, "w-2", s.Worker.ID)
			require.Equal(t, "t-2", s.Ticket)
		}
		c.requireSound()
	})
	t.Run("room is made for a lasting task on the only worker that is allowed", func(t *testing.T) {
		// Quick tasks keep taking what becomes free on the worker, as on a busy cell.
		c := newCell(t, 2)
		c.isStaggered = true
		long := describer.Queue{Name: "standing", Priority: 1, Advice: terms}
		lasting := describer.Step{Count: 1, LongRunning: true, Need: describer.Resources{MilliCPU: 3000, MemoryMB: 3000}}
		c.advise = func(orderer.Advise) orderer.Advice {
			return orderer.Advice{Tickets: map[string]string{"w-1": "t-1"}}
		}
		c.submit("batch", describer.Queue{Name: "batch", Priority: 2, MaxAttempts: 9}, tasks(400))
		c.run(workTime)
		c.submit("lasting", long, lasting)
		c.run(4 * time.Second)
		require.Contains(t, c.fleet.Running("w-1"), "lasting.0.0.0")
		c.requireSound()
	})
	t.Run("questions are bounded by the hosts that can ask", func(t *testing.T) {
		c := newCell(t, 2)
		c.run(4 * step)
		c.d.SetAskers(3)
		for _, id := range []describer.JobID{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
			c.submit(id, describer.Queue{Advice: terms}, tasks(1))
		}
		c.d.Tick(c.clock.Now())
		require.Len(t, c.d.TakeOrders(), 5, "three hosts, and two questions that wait")
	})
}
