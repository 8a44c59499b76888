package dispatcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/standin/fencer"
)

// newWave returns a cell with machines and a wave for all of them.
func newWave(t *testing.T, workers, maxDown int) (*cell, describer.Wave) {
	c := newCell(t, workers)
	c.machines = fencer.NewMachines(c.fleet)
	machines, err := c.machines.List(t.Context())
	require.NoError(t, err)
	wave := describer.Wave{Number: 1, MaxDown: maxDown, Duration: 30 * time.Second}
	for _, m := range machines {
		wave.Machines = append(wave.Machines, m.ID)
	}
	return c, wave
}

func TestUpkeep(t *testing.T) {
	completed := orderer.WaveReport{Wave: 1, IsCompleted: true}
	t.Run("every machine has its upkeep, a few at a time, and what runs may end", func(t *testing.T) {
		c, wave := newWave(t, 4, 2)
		c.submit("a", describer.Queue{}, tasks(64))
		c.run(time.Second)
		c.d.SetWave(c.clock.Now(), wave)
		for range 40 {
			c.run(workTime)
			if c.machines.Done(1) < 4 {
				require.NotContains(t, c.machines.Reports(), completed)
			}
		}
		require.Equal(t, 4, c.machines.Done(1))
		require.LessOrEqual(t, c.machines.MostDown(), 2)
		require.Equal(t, orderer.WaveReport{Wave: 1}, c.machines.Reports()[0])
		require.Contains(t, c.machines.Reports(), completed)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		require.Len(t, c.starts, 64, "no run was thrown away")
		c.requireSound()
	})
	t.Run("a lasting step misses no more than it may", func(t *testing.T) {
		c, wave := newWave(t, 4, 4)
		lasting := describer.Step{Count: 4, LongRunning: true, MayMiss: 1, MaxPerWorker: 1, Need: describer.Resources{MilliCPU: 1000, MemoryMB: 10}}
		c.submit("serves", describer.Queue{}, lasting)
		c.run(time.Second)
		c.d.SetWave(c.clock.Now(), wave)
		for range 1500 {
			c.run(step)
			require.GreaterOrEqual(t, c.atWork(), 3, "at %v", c.clock.Now())
		}
		require.Equal(t, 4, c.machines.Done(1))
		require.Contains(t, c.machines.Reports(), completed)
	})
	t.Run("a later holder goes on", func(t *testing.T) {
		c, wave := newWave(t, 4, 1)
		c.d.SetWave(c.clock.Now(), wave)
		c.run(6 * time.Second)
		before := c.machines.Done(1)
		require.Positive(t, before)
		c.claim()
		c.d.SetWave(c.clock.Now(), wave)
		c.run(2900 * time.Millisecond)
		require.Equal(t, before, c.machines.Done(1), "orders of the former holder may be under way")
		c.run(20 * time.Second)
		require.Equal(t, 4, c.machines.Done(1))
		require.Contains(t, c.machines.Reports(), completed)
	})
	t.Run("a machine whose order is open counts as down", func(t *testing.T) {
		c, wave := newWave(t, 3, 1)
		c.machines.LosesAnswers = true
		c.d.SetWave(c.clock.Now(), wave)
		c.run(10 * time.Second)
		require.Equal(t, 1, c.machines.Done(1))
		c.machines.LosesAnswers = false
		c.run(20 * time.Second)
		require.Equal(t, 3, c.machines.Done(1))
		require.Equal(t, 1, c.machines.MostDown())
	})
	t.Run("a list that was asked for before an upkeep began does not bring its machine back", func(t *testing.T) {
		c, wave := newWave(t, 3, 1)
		asked, err := c.machines.List(t.Context())
		require.NoError(t, err)
		askedAt := c.clock.Now()
		c.d.SetWave(askedAt, wave)
		for range 500 {
			c.run(step)
			c.d.SetMachines(askedAt, asked)
			if c.machines.Done(1) > 0 {
				break
			}
		}
		require.Equal(t, 1, c.machines.Done(1))
		for range 9 {
			c.step()
			c.clock.Advance(step)
			c.d.SetMachines(askedAt, asked)
		}
		require.Equal(t, 1, c.machines.Done(1))
		c.run(20 * time.Second)
		require.Equal(t, 3, c.machines.Done(1))
		require.Equal(t, 1, c.machines.MostDown())
	})
	t.Run("machines that are gone hold no wave up", func(t *testing.T) {
		c, wave := newWave(t, 2, 1)
		wave.Machines = append(wave.Machines, "m-gone")
		c.d.SetWave(c.clock.Now(), wave)
		c.run(20 * time.Second)
		require.Contains(t, c.machines.Reports(), completed)
	})
	t.Run("a run that takes too long is stopped", func(t *testing.T) {
		c, wave := newWave(t, 1, 1)
		wave.Duration = 8 * time.Second
		c.fleet.Set("w-0", func(w *fencer.Worker) { w.Slowness = 100 })
		c.submit("a", describer.Queue{}, tasks(1))
		c.run(4 * step)
		c.d.SetWave(c.clock.Now(), wave)
		c.run(12 * time.Second)
		require.Equal(t, 1, c.machines.Done(1))
		require.Zero(t, c.machines.Lost("a.0.0.0"), "it was stopped before, so that a checkpoint is kept")
	})
}
