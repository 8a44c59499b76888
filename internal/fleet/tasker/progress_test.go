package tasker_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/tasker"
)

// maxRecord is the size of the largest record that the store accepts.
const maxRecord = 262_144

// stepsOf returns the steps of all occurrences of a job.
func stepsOf(j *tasker.Job) []*tasker.Step {
	var steps []*tasker.Step
	for k := range j.Spec.Occurrences() {
		for i := range j.Spec.Steps {
			steps = append(steps, j.Step(k, i))
		}
	}
	return steps
}

// persist returns the progress of a job as a later holder reads it, and the size of its record.
func persist(t *testing.T, j *tasker.Job, isSilent bool) (journaler.Progress, int) {
	state := journaler.New()
	record, err := journaler.NewProgress("a", j.Progress(1, func(string) bool { return isSilent }))
	require.NoError(t, err)
	entry, err := state.Apply(record, 0)
	require.NoError(t, err)
	return entry.Progress, len(record.Key) + len(record.Value)
}

// TestProgress guards against progress that the store refuses since its record is too large (review/4), and
// against tasks that are done in the progress and not after it is restored, or the reverse.
func TestProgress(t *testing.T) {
	step := describer.Step{Count: 1}
	for _, test := range []struct {
		name   string
		job    describer.Job
		isDone func(i int) bool
	}{
		{"a small job", describer.Job{Steps: []describer.Step{{Count: 5}, {Count: 3}}}, func(i int) bool { return i%3 == 0 }},
		{"most of 30,000 occurrences", describer.Job{Steps: []describer.Step{step}, Repeat: 30_000}, func(i int) bool { return i < 29_900 }},
		{"every second of 100,000 occurrences", describer.Job{Steps: []describer.Step{step}, Repeat: 100_000}, func(i int) bool { return i%2 == 0 }},
		{"every second of 100,000 tasks", describer.Job{Steps: []describer.Step{{Count: 100_000}}}, func(i int) bool { return i%2 == 0 }},
		{"the first steps of 5,000 occurrences", describer.Job{Steps: []describer.Step{step, {Count: 2, After: []int{0}}}, Repeat: 5000},
			func(i int) bool { return i%3 == 0 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			j := tasker.NewJob(&journaler.Entry{Job: &test.job})
			i := 0
			for _, s := range stepsOf(j) {
				for index := range s.Spec.Count {
					if test.isDone(i) {
						s.Task(index).Finish()
					}
					i++
				}
			}
			progress, size := persist(t, j, false)
			require.LessOrEqual(t, size, maxRecord)
			restored := tasker.NewJob(&journaler.Entry{Job: &test.job, Progress: progress})
			restoredSteps := stepsOf(restored)
			for k, s := range stepsOf(j) {
				require.Equal(t, s.RemainingTasks, restoredSteps[k].RemainingTasks)
				for n := range s.Spec.Count {
					require.Equal(t, s.Task(n).Done, restoredSteps[k].Task(n).Done)
				}
			}
			require.Equal(t, j.IsDone(), restored.IsDone())
			require.InDelta(t, j.Work(start), restored.Work(start), 0)
		})
	}
}

// TestProgressWithoutBound guards against progress that is too large since many runs failed, or since many are on
// unresponsive workers.
func TestProgressWithoutBound(t *testing.T) {
	const count = 50_000
	job := describer.Job{Steps: []describer.Step{{Count: count}}}
	t.Run("runs on unresponsive workers that do not fit are known to be missing", func(t *testing.T) {
		j := tasker.NewJob(&journaler.Entry{Job: &job})
		for i := range count {
			task := j.Task(describer.TaskRef{Index: i})
			task.Run = &tasker.Run{Task: task, Job: j, Number: 300, Worker: "i-0123456789abcdef"}
			j.AddRun(task.Run)
			if i < 100 {
				task.Fail(257, "w-1")
			}
		}
		progress, size := persist(t, j, true)
		require.LessOrEqual(t, size, maxRecord)
		require.True(t, progress.HasUnlistedRuns)
		require.Len(t, progress.Steps[0].Failed, 100)
	})
	t.Run("a run that is being stopped on an unresponsive worker is listed, as its start may arrive late", func(t *testing.T) {
		j := tasker.NewJob(&journaler.Entry{Job: &job})
		j.AddRun(&tasker.Run{Task: j.Task(describer.TaskRef{}), Job: j, Number: 300, Worker: "w-1", Stopping: true})
		progress, _ := persist(t, j, true)
		require.Equal(t, []journaler.ClosedRun{{Worker: "w-1", Run: 300}}, progress.Steps[0].Closed)
	})
	t.Run("failed runs that do not fit are left out, and no task that is done", func(t *testing.T) {
		j := tasker.NewJob(&journaler.Entry{Job: &job})
		for i := range count {
			if task := j.Task(describer.TaskRef{Index: i}); i%2 == 0 {
				task.Finish()
			} else {
				task.Fail(1<<40, "w-1")
				task.Fail(1<<41, "w-1")
			}
		}
		progress, size := persist(t, j, false)
		require.LessOrEqual(t, size, maxRecord)
		restored := tasker.NewJob(&journaler.Entry{Job: &job, Progress: progress})
		require.Equal(t, count/2, restored.Step(0, 0).RemainingTasks)
	})
	t.Run("a long-running task may fail any number of times", func(t *testing.T) {
		j := tasker.NewJob(&journaler.Entry{Job: &describer.Job{Steps: []describer.Step{{Count: 1, LongRunning: true}}}})
		for number := range int64(100_000) {
			j.Task(describer.TaskRef{}).Fail(number+1, "w-1")
		}
		_, size := persist(t, j, false)
		require.Less(t, size, 100)
	})
}

// TestProgressOfOlderHosts guards against tasks that run again after an update of the hosts, as the done tasks of
// large jobs were listed by step.
func TestProgressOfOlderHosts(t *testing.T) {
	job := describer.Job{Steps: []describer.Step{{Count: 1, Estimate: time.Second}}, Repeat: 100}
	progress := journaler.Progress{Begun: true}
	for k := range 60 {
		progress.Steps = append(progress.Steps, journaler.StepProgress{Occurrence: k, Done: []int{0, 0}})
	}
	j := tasker.NewJob(&journaler.Entry{Job: &job, Progress: progress})
	for k, s := range stepsOf(j) {
		require.Equal(t, k < 60, s.RemainingTasks == 0)
	}
}

// TestProgressOfFormerVersionWithLongRunningTasks guards against long-running tasks that never run again, since a former version
// stored them as done, in a list or, for a large job, in an encoding.
func TestProgressOfFormerVersionWithLongRunningTasks(t *testing.T) {
	for _, count := range []int{3, 4000} {
		stored := tasker.NewJob(&journaler.Entry{Job: &describer.Job{Steps: []describer.Step{{Count: count}, {Count: count}}}})
		for i := range 2 {
			stored.Step(0, i).Task(count - 1).Finish()
		}
		progress, _ := persist(t, stored, false)
		j := tasker.NewJob(&journaler.Entry{Progress: progress, Job: &describer.Job{
			Steps: []describer.Step{{Count: count}, {Count: count, LongRunning: true}},
		}})
		require.Equal(t, count-1, j.Step(0, 0).RemainingTasks)
		require.Equal(t, count, j.Step(0, 1).RemainingTasks)
		require.False(t, j.Step(0, 1).Task(count-1).Done)
	}
}
