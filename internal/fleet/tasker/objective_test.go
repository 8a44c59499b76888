package tasker_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/tasker"
)

// TestObjective guards against an objective before the job was received: a valid job of 20 steps in sequence with
// estimates of ten years each was due in the year 1734, so that it came before all other jobs of its queue.
func TestObjective(t *testing.T) {
	const tenYears = 10 * 365 * 24 * time.Hour
	received := time.Unix(1_800_000_000, 0)
	for _, test := range []struct {
		name  string
		steps int
		queue describer.Queue
		want  time.Duration
	}{
		{"a short job", 2, describer.Queue{Stretch: 1.5, Latency: time.Second}, 0},
		{"durations that add up", 200, describer.Queue{}, math.MaxInt64},
		{"durations that are multiplied", 20, describer.Queue{Stretch: 3}, math.MaxInt64},
		{"an extreme factor", 1, describer.Queue{Stretch: 1e300}, math.MaxInt64},
		{"an extreme latency", 1, describer.Queue{Latency: math.MaxInt64}, math.MaxInt64},
		{"advice that takes for ever", 2, describer.Queue{Advice: describer.AdviceTerms{Decide: math.MaxInt64}}, math.MaxInt64},
	} {
		t.Run(test.name, func(t *testing.T) {
			job := &describer.Job{ID: "a", Queue: test.queue, Received: received}
			for i := range test.steps {
				s := describer.Step{Count: 1, Estimate: tenYears}
				if test.want == 0 {
					s.Estimate = time.Second
				}
				if i > 0 {
					s.After = []int{i - 1}
				}
				job.Steps = append(job.Steps, s)
			}
			require.NoError(t, job.Validate())
			j := tasker.NewJob(&journaler.Entry{ID: "a", Job: job, JobOffset: 1})
			want := test.want
			if want == 0 {
				want = 4 * time.Second
			}
			require.Equal(t, received.Add(want), j.Objective)
			require.GreaterOrEqual(t, j.CriticalPath(), time.Duration(0))
			short := tasker.NewJob(&journaler.Entry{ID: "b", Job: &describer.Job{
				ID: "b", Received: received, Steps: []describer.Step{{Count: 1, Estimate: 10 * time.Second}},
			}})
			steps := tasker.ReadySteps(map[describer.JobID]*tasker.Job{"a": j, "b": short}, received)
			require.Len(t, steps, 2)
			if test.want != 0 {
				require.Equal(t, describer.JobID("b"), steps[0].Job.Spec.ID, "the earlier job goes first unless the later one has less slack")
			}
		})
	}
}
