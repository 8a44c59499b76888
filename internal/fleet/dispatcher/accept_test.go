package dispatcher_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/confirmer"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/standin/fencer"
)

// accept submits job a through the holder, which persists it in the log that the claim fences.
func (c *cell) accept(steps ...describer.Step) []journaler.Record {
	const id = describer.JobID("a")
	submission, err := journaler.NewJob(&describer.Job{
		ID: id, Queue: describer.Queue{Service: "kitchen", MaxAttempts: 2}, Spec: "spec", Steps: steps, Received: c.clock.Now(),
	})
	require.NoError(c.t, err)
	records, err := c.d.AcceptJob(id, submission)
	require.NoError(c.t, err)
	for _, entry := range c.append(records...) {
		c.d.JobChanged(c.clock.Now(), entry)
	}
	return records
}

// TestJobsAcceptedByHolder answers the pattern of a burst of quick jobs at a slow store: each append in
// sequence between submission and first start delays the job by most of its objective. It guards
// against a start that waits for a second append, and against tasks that run twice because the
// submission and the beginning share one.
func TestJobsAcceptedByHolder(t *testing.T) {
	t.Run("its tasks start without another append", func(t *testing.T) {
		c := newCell(t, 2)
		c.run(4 * tickInterval)
		c.isStoreDown = true
		c.accept(tasks(4))
		c.run(4 * tickInterval)
		require.Equal(t, 4, c.countRunning())
	})
	t.Run("a new holder starts no task of it before all workers have replied", func(t *testing.T) {
		c := newCell(t, 2)
		c.run(4 * tickInterval)
		c.isStoreDown = true
		c.accept(tasks(8))
		c.run(2 * tickInterval)
		require.Equal(t, 8, c.countRunning())
		c.fleet.Update("w-1", func(w *fencer.Worker) { w.IsUnresponsive = true })
		c.isStoreDown = false
		c.claim()
		c.run(4 * runTime)
		require.NotEqual(t, describer.JobCompleted, c.stateOf("a"), "the unresponsive worker may still run some of its tasks")
		c.requireInvariants()
		c.run(confirmer.Authority)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		c.requireInvariants()
	})
	t.Run("a repeated submission leaves its progress as it is", func(t *testing.T) {
		c := newCell(t, 1)
		c.run(4 * tickInterval)
		c.accept(tasks(8))
		c.run(runTime + 4*tickInterval)
		require.Equal(t, 4, c.fleet.Done())
		require.Empty(t, c.accept(tasks(8)))
		c.claim()
		c.run(4 * runTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		require.Equal(t, 8, c.fleet.Done(), "tasks that were done ran again")
	})
	t.Run("a submission that is not read yet leaves the progress of a former holder as it is", func(t *testing.T) {
		c := newCell(t, 1)
		progress, err := journaler.NewProgress("a", journaler.Progress{Epoch: c.epoch, Steps: []journaler.StepProgress{{Done: []int{0, 2}}}})
		require.NoError(t, err)
		c.append(progress)
		c.claim()
		c.run(4 * tickInterval)
		require.Len(t, c.accept(tasks(4)), 1)
		c.run(2 * runTime)
		require.Equal(t, describer.JobCompleted, c.stateOf("a"))
		require.Equal(t, 1, c.fleet.Done(), "tasks that were done ran again")
	})
}
