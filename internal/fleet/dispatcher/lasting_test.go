package dispatcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
)

// endRuns lets the runs of long-running tasks end as done: lasts returns how long a run takes, by its number among those of its
// task, from 1 on; 0 lets it go on.
func (c *cell) endRuns(lasts func(ref describer.TaskRef, start int) time.Duration) {
	starts := make(map[describer.TaskRef]int)
	c.runTimes = func(ref describer.TaskRef) time.Duration {
		starts[ref]++
		if lasted := lasts(ref, starts[ref]); lasted > 0 {
			return lasted
		}
		return time.Hour
	}
}

// TestLongRunningTaskThatEndsDoneStartsAgain guards against a task that lasts and never runs again, and a job that nobody has
// cancelled and that is shown as completed, since a run of the task ended as done.
func TestLongRunningTaskThatEndsDoneStartsAgain(t *testing.T) {
	gang := longRunning(4)
	gang.Gang = true
	isSecond := func(ref describer.TaskRef) bool { return ref.Index == 1 }
	isAny := func(describer.TaskRef) bool { return true }
	for name, tc := range map[string]struct {
		step      describer.Step
		ends      func(ref describer.TaskRef) bool
		takesOver bool
	}{
		"one task":    {step: longRunning(4), ends: isSecond},
		"all tasks":   {step: longRunning(4), ends: isAny},
		"gang":        {step: gang, ends: isSecond},
		"all of gang": {step: gang, ends: isAny},
		"takeover":    {step: longRunning(4), ends: isSecond, takesOver: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCell(t, 2)
			c.endRuns(func(ref describer.TaskRef, start int) time.Duration {
				if start == 1 && tc.ends(ref) {
					return 2 * time.Second
				}
				return 0
			})
			// The limit leaves no room beside the tasks, so that they start again only if it counts no ended run.
			c.workspace = "w"
			config := describer.Config{Workspaces: []describer.Workspace{{Name: "w", Weight: 1, Limit: resources(4000, 4000)}}}
			c.d.SetConfig(config)
			c.submit("a", describer.Queue{}, tc.step)
			c.run(2*time.Second + 4*tickInterval)
			if tc.takesOver {
				c.options.FormerSeenAt = c.clock.Now()
				c.claim()
				c.d.SetConfig(config)
			}
			c.run(time.Second)
			require.Equal(t, 4, c.countRunning())
			require.Equal(t, describer.JobRunning, c.stateOf("a"))
			c.requireInvariants()
			c.cancel("a")
			c.run(time.Second)
			require.Zero(t, c.countRunning())
			require.Equal(t, describer.JobCancelled, c.stateOf("a"))
		})
	}
}

// TestStepAfterLongRunningOneWaits guards against a step that starts since the runs of a long-running one before it ended as done.
func TestStepAfterLongRunningOneWaits(t *testing.T) {
	c := newCell(t, 2)
	c.endRuns(func(describer.TaskRef, int) time.Duration { return runTime })
	after := tasks(1)
	after.After = []int{0}
	c.submit("a", describer.Queue{}, longRunning(1), after)
	c.run(5 * time.Second)
	require.Greater(t, c.fleet.Starts("a.0.0.0"), 1)
	require.Zero(t, c.fleet.Starts("a.0.1.0"))
	require.Equal(t, describer.JobRunning, c.stateOf("a"))
}

// TestLongRunningTaskThatEndsAtOnce guards against a task that ends as done at once, again and again, and takes the starts of
// others, or gives its workers a bad name.
func TestLongRunningTaskThatEndsAtOnce(t *testing.T) {
	c := newCell(t, 2)
	c.endRuns(func(ref describer.TaskRef, _ int) time.Duration {
		if ref.Job == "quick" {
			return tickInterval
		}
		return runTime
	})
	c.submit("quick", describer.Queue{MaxAttempts: 1}, longRunning(1))
	submittedAt := c.clock.Now()
	for i, id := range []describer.JobID{"b-0", "b-1", "b-2", "b-3"} {
		c.submit(id, describer.Queue{}, tasks(6))
		c.run(5 * time.Second)
		require.Equal(t, describer.JobCompleted, c.stateOf(id))
		for _, w := range c.d.Registrar().Workers {
			require.True(t, w.Breaker.AllowsStarts(c.clock.Now()))
		}
		require.LessOrEqual(t, c.fleet.Starts("quick.0.0.0"), 6+2*(i+1), "starts within %v", c.clock.Now().Sub(submittedAt))
	}
	var at []time.Time
	for _, start := range c.starts {
		if start.Task.Job == "quick" {
			at = append(at, start.SentAt)
		}
	}
	require.Greater(t, len(at), 6)
	for i := range at[1:] {
		require.LessOrEqual(t, at[i+1].Sub(at[i]), 4*time.Second, "a task that lasts may not be down for longer")
	}
	require.Equal(t, describer.JobRunning, c.stateOf("quick"))
	c.requireInvariants()
}

// TestProgressWithDoneLongRunningTask guards against a task that never runs again since the version before stored it as done,
// and against one that starts again although its callers were told that its job has completed.
func TestProgressWithDoneLongRunningTask(t *testing.T) {
	for outcome, running := range map[journaler.Outcome]int{journaler.OutcomeNone: 4, journaler.OutcomeCompleted: 0} {
		c := newCell(t, 2)
		c.submit("a", describer.Queue{}, longRunning(4))
		progress, err := journaler.NewProgress("a", journaler.Progress{
			Epoch: c.epoch, Begun: true, Outcome: outcome, Steps: []journaler.StepProgress{{Done: []int{1, 2}}},
		})
		require.NoError(t, err)
		c.append(progress)
		c.claim()
		c.run(2 * time.Second)
		require.Equal(t, running, c.countRunning())
	}
}
