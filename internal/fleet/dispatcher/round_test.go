package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/dispatcher"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/orderer"
)

// maxRoundTime is the target for a round of the dispatcher, during which the host does nothing else.
const maxRoundTime = 100 * time.Millisecond

// submitJob submits a job as it is.
func (c *cell) submitJob(job describer.Job) {
	job.Queue, job.Received = describer.Queue{Name: "q", Service: "kitchen", MaxAttempts: 2}, c.clock.Now()
	require.NoError(c.t, job.Validate())
	record, err := journaler.NewJob(&job)
	require.NoError(c.t, err)
	for _, entry := range c.append(record) {
		c.d.JobChanged(c.clock.Now(), entry)
	}
}

// fullDependencies returns steps that each come after all steps before.
func fullDependencies(count int) []describer.Step {
	steps := make([]describer.Step, count)
	for i := range steps {
		steps[i] = describer.Step{Count: 1, Need: resources(1000, 1000), Estimate: time.Second}
		for d := range i {
			steps[i].After = append(steps[i].After, d)
		}
	}
	return steps
}

// TestRoundsAreShort guards against a few valid requests after which each round of the dispatcher takes so long that
// the jobs of all callers stand still.
func TestRoundsAreShort(t *testing.T) {
	const workers = 350
	for _, test := range []struct {
		name   string
		submit func(c *cell)
	}{
		{"many jobs that no worker can run", func(c *cell) {
			for i := range 2000 {
				c.submitJob(describer.Job{ID: describer.JobID(fmt.Sprintf("%016x", i)), Steps: []describer.Step{
					{Count: 100_000, Need: describer.Resources{MilliCPU: 4001, MemoryMB: int64(i)}},
				}})
			}
		}},
		{"gangs for which little room is missing", func(c *cell) {
			for i := range 20 {
				c.submitJob(describer.Job{ID: describer.JobID(fmt.Sprintf("%016x", i)), Steps: []describer.Step{
					{Count: 4*workers + 1, Gang: true, Need: resources(1000, 1000)},
				}})
			}
		}},
		{"gangs that start", func(c *cell) {
			for i := range 20 {
				c.submitJob(describer.Job{ID: describer.JobID(fmt.Sprintf("%016x", i)), Steps: []describer.Step{
					{Count: describer.MaxGang, Gang: true, Need: resources(10, 10)},
				}})
			}
		}},
		{"occurrences of steps with many dependencies", func(c *cell) {
			c.submitJob(describer.Job{
				ID: "00000000000000aa", Steps: fullDependencies(300), Repeat: 300, StartAt: c.clock.Now().Add(-time.Hour), Interval: time.Second,
			})
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			// The least of several plays, as other processes may hold one up.
			longest := time.Hour
			for range 3 {
				longest = min(longest, longestRound(t, workers, test.submit))
			}
			t.Logf("the longest round takes %v", longest)
			require.Less(t, longest, maxRoundTime)
		})
	}
}

// longestRound returns the time of the longest round of a cell after jobs were submitted.
func longestRound(t *testing.T, workers int, submit func(c *cell)) time.Duration {
	c := newCell(t, workers)
	c.run(4 * tickInterval)
	submit(c)
	c.save()
	longest := time.Duration(0)
	for range 5 {
		c.clock.Advance(tickInterval)
		before := time.Now()
		c.d.Tick(c.clock.Now())
		longest = max(longest, time.Since(before))
		for _, order := range c.d.TakeOrders() {
			// The workers of the test take too long for thousands of runs.
			if start, isStart := order.(orderer.Start); isStart {
				c.d.StartAnswered(c.clock.Now(), start, orderer.Accepted)
			}
		}
		c.save()
	}
	return longest
}

// TestRunsAreBounded guards against a holder whose memory is filled by tasks that need next to nothing, so that any
// number of them may run at once, and against a job or a queue that leaves no runs for the others.
func TestRunsAreBounded(t *testing.T) {
	const maxRuns = 12_000
	c := newCell(t, 0)
	c.options = dispatcher.Options{MaxRuns: maxRuns}
	for i := range 8 {
		c.fleet.Add(describer.Worker{ID: fmt.Sprintf("w-%d", i), Service: "kitchen", Capacity: resources(4000, 8000), Incarnation: 1})
	}
	c.claim()
	c.run(4 * tickInterval)
	// A long-running task goes on until the end of the test.
	tiny := describer.Step{Count: 100_000, LongRunning: true}
	for i := range 6 {
		c.submitJob(describer.Job{ID: describer.JobID(fmt.Sprintf("%016x", i)), Steps: []describer.Step{tiny}})
	}
	c.run(800 * time.Millisecond)
	require.LessOrEqual(t, c.countRunning(), maxRuns/2)
	require.Greater(t, c.countRunning(), maxRuns/4)
	bound := max(maxRuns/4, describer.MaxGang)
	for _, j := range c.d.Registrar().Jobs {
		require.LessOrEqual(t, len(j.Runs), bound)
	}
	for _, w := range c.d.Registrar().Ordered {
		require.LessOrEqual(t, len(w.Runs), 1024)
	}
	c.submit("0000000000000bbb", describer.Queue{Name: "other"}, tasks(4))
	c.run(2 * runTime)
	require.Equal(t, describer.JobCompleted, c.stateOf("0000000000000bbb"))
	c.requireInvariants()
}
