package dispatcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/standin/fencer"
)

// TestSpeculativeCopies guards against jobs that wait for one slow or unresponsive worker, and
// against second runs of tasks that must not run twice at a time.
func TestSpeculativeCopies(t *testing.T) {
	speculative := func(count int) describer.Step {
		s := tasks(count)
		s.Speculative = true
		s.Estimate = runTime
		return s
	}
	t.Run("a speculative copy ends before the original on a slow worker", func(t *testing.T) {
		c := newCell(t, 2)
		c.fleet.MaySpeculate = func(describer.TaskRef) bool { return true }
		c.fleet.Update("w-0", func(w *fencer.Worker) { w.Slowness = 30 })
		c.submit("a", describer.Queue{}, speculative(6))
		c.run(6 * runTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		c.run(4 * tickInterval)
		require.Empty(t, c.fleet.Running("w-0"), "the original still runs although its copy is done")
		c.requireInvariants()
	})
	t.Run("a speculative copy starts within the lease of an unresponsive worker", func(t *testing.T) {
		c := newCell(t, 2)
		c.fleet.MaySpeculate = func(describer.TaskRef) bool { return true }
		c.submit("a", describer.Queue{}, speculative(6))
		c.run(4 * tickInterval)
		c.fleet.Update("w-0", func(w *fencer.Worker) { w.IsUnresponsive = true })
		c.run(2500 * time.Millisecond)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"), "the job must complete within the lease of 3.5 s")
		c.requireInvariants()
	})
	t.Run("a task that does not allow speculative copies runs once", func(t *testing.T) {
		c := newCell(t, 2)
		c.fleet.Update("w-0", func(w *fencer.Worker) { w.Slowness = 30 })
		c.submit("a", describer.Queue{}, tasks(6))
		c.run(6 * runTime)
		require.Len(t, c.starts, 6)
	})
	t.Run("a new holder adopts the speculative copies of a former one", func(t *testing.T) {
		c := newCell(t, 2)
		c.fleet.MaySpeculate = func(describer.TaskRef) bool { return true }
		c.fleet.Update("w-0", func(w *fencer.Worker) { w.Slowness = 8 })
		c.submit("a", describer.Queue{}, speculative(4))
		c.run(1800 * time.Millisecond)
		require.Len(t, c.starts, 8, "each of the four tasks must have a copy")
		c.claim()
		c.run(runTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		c.requireInvariants()
	})
}

// TestPacing guards against filler tasks that make serving tasks miss their latency objectives,
// and against filler tasks that stay slow without need.
func TestPacing(t *testing.T) {
	const target = 100 * time.Millisecond
	serving := describer.Step{Count: 1, LongRunning: true, TailTarget: target, Need: describer.Resources{MilliCPU: 1000, MemoryMB: 100}}
	filler := describer.Step{Count: 1, LongRunning: true, IsFiller: true, Need: describer.Resources{MilliCPU: 3000, MemoryMB: 100}}
	newSharedWorker := func(t *testing.T, baseTail int64) *cell {
		c := newCell(t, 1)
		c.fleet.Usage = func(ref describer.TaskRef, othersPercent int) int64 {
			if ref.Job == "serves" {
				return baseTail + int64(othersPercent)
			}
			return 0
		}
		c.submit("fills", describer.Queue{}, filler)
		c.submit("serves", describer.Queue{}, serving)
		return c
	}
	t.Run("a filler task is slowed down until the latency objective is met", func(t *testing.T) {
		c := newSharedWorker(t, 60)
		c.run(2 * time.Second)
		require.Less(t, c.fleet.Percent("w-0", "fills.0.0.0"), 40, "the objective is met at 40 percent and below")
		for range 50 {
			c.run(100 * time.Millisecond)
			require.LessOrEqual(t, c.fleet.Percent("w-0", "fills.0.0.0"), 40)
		}
	})
	t.Run("a filler task runs at full speed while tail latency is far below the objective", func(t *testing.T) {
		c := newSharedWorker(t, -60)
		c.run(5 * time.Second)
		require.Equal(t, 100, c.fleet.Percent("w-0", "fills.0.0.0"))
	})
	t.Run("a filler task runs at full speed again once no serving task is left", func(t *testing.T) {
		c := newSharedWorker(t, 120)
		c.run(3 * time.Second)
		require.Zero(t, c.fleet.Percent("w-0", "fills.0.0.0"))
		c.cancel("serves")
		c.run(time.Second)
		require.Equal(t, 100, c.fleet.Percent("w-0", "fills.0.0.0"))
	})
	t.Run("a new holder lifts the speed limit that a former one set", func(t *testing.T) {
		c := newSharedWorker(t, 120)
		c.run(3 * time.Second)
		c.cancel("serves")
		c.save()
		c.claim()
		c.run(time.Second)
		require.Equal(t, 100, c.fleet.Percent("w-0", "fills.0.0.0"))
	})
}
