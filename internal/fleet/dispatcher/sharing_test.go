package dispatcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/standin/fencer"
)

func TestCopies(t *testing.T) {
	speculative := func(count int) describer.Step {
		s := tasks(count)
		s.Speculative = true
		s.Estimate = workTime
		return s
	}
	t.Run("a copy ends before a task on a slow worker", func(t *testing.T) {
		c := newCell(t, 2)
		c.fleet.MayCopy = func(describer.TaskRef) bool { return true }
		c.fleet.Set("w-0", func(w *fencer.Worker) { w.Slowness = 30 })
		c.submit("a", describer.Queue{}, speculative(6))
		c.run(6 * workTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		c.run(4 * step)
		require.Empty(t, c.fleet.Running("w-0"), "runs of tasks that are done are stopped")
		c.requireSound()
	})
	t.Run("a copy runs while a worker does not answer", func(t *testing.T) {
		c := newCell(t, 2)
		c.fleet.MayCopy = func(describer.TaskRef) bool { return true }
		c.submit("a", describer.Queue{}, speculative(6))
		c.run(4 * step)
		c.fleet.Set("w-0", func(w *fencer.Worker) { w.IsSilent = true })
		c.run(2500 * time.Millisecond)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"), "a lease of 3.5 s is not over")
		c.requireSound()
	})
	t.Run("a task that allows no copies gets none", func(t *testing.T) {
		c := newCell(t, 2)
		c.fleet.Set("w-0", func(w *fencer.Worker) { w.Slowness = 30 })
		c.submit("a", describer.Queue{}, tasks(6))
		c.run(6 * workTime)
		require.Len(t, c.starts, 6)
	})
	t.Run("a former holder's copies are taken over", func(t *testing.T) {
		c := newCell(t, 2)
		c.fleet.MayCopy = func(describer.TaskRef) bool { return true }
		c.fleet.Set("w-0", func(w *fencer.Worker) { w.Slowness = 8 })
		c.submit("a", describer.Queue{}, speculative(4))
		c.run(1800 * time.Millisecond)
		require.Len(t, c.starts, 8, "copies are under way")
		c.claim()
		c.run(workTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		c.requireSound()
	})
}

func TestPacing(t *testing.T) {
	const target = 100 * time.Millisecond
	serving := describer.Step{Count: 1, LongRunning: true, TailTarget: target, Need: describer.Resources{MilliCPU: 1000, MemoryMB: 100}}
	filling := describer.Step{Count: 1, LongRunning: true, Fills: true, Need: describer.Resources{MilliCPU: 3000, MemoryMB: 100}}
	newShared := func(t *testing.T, ownTail int64) *cell {
		c := newCell(t, 1)
		c.fleet.Usage = func(ref describer.TaskRef, beside int) int64 {
			if ref.Job == "serves" {
				return ownTail + int64(beside)
			}
			return 0
		}
		c.submit("fills", describer.Queue{}, filling)
		c.submit("serves", describer.Queue{}, serving)
		return c
	}
	t.Run("a task that fills is stopped before the objective is missed for long", func(t *testing.T) {
		c := newShared(t, 60)
		c.run(2 * time.Second)
		require.Less(t, c.fleet.Percent("w-0", "fills.0.0.0"), 40, "at 40 percent the objective is met")
		for range 50 {
			c.run(100 * time.Millisecond)
			require.LessOrEqual(t, c.fleet.Percent("w-0", "fills.0.0.0"), 40)
		}
	})
	t.Run("it works at full speed beside tasks that have room to spare", func(t *testing.T) {
		c := newShared(t, -60)
		c.run(5 * time.Second)
		require.Equal(t, 100, c.fleet.Percent("w-0", "fills.0.0.0"))
	})
	t.Run("it works at full speed again once nothing serves beside it", func(t *testing.T) {
		c := newShared(t, 120)
		c.run(3 * time.Second)
		require.Zero(t, c.fleet.Percent("w-0", "fills.0.0.0"))
		c.cancel("serves")
		c.run(time.Second)
		require.Equal(t, 100, c.fleet.Percent("w-0", "fills.0.0.0"))
	})
	t.Run("a later holder gives back what a former one took", func(t *testing.T) {
		c := newShared(t, 120)
		c.run(3 * time.Second)
		c.cancel("serves")
		c.claim()
		c.run(time.Second)
		require.Equal(t, 100, c.fleet.Percent("w-0", "fills.0.0.0"))
	})
}
