package tasker_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/tasker"
)

// model is a job in which each task is kept: whether it is done, and its run.
type model struct {
	job  *describer.Job
	done map[describer.TaskRef]bool
	runs map[describer.TaskRef]*tasker.Run
}

func (m *model) isDone(occurrence, step int) bool {
	for i := range m.job.Steps[step].Count {
		if !m.done[describer.TaskRef{Job: m.job.ID, Occurrence: occurrence, Step: step, Index: i}] {
			return false
		}
	}
	return true
}

// waiting returns the tasks that may be started at a time.
func (m *model) waiting(now time.Time) map[describer.TaskRef]bool {
	waiting := make(map[describer.TaskRef]bool)
	for k := range m.job.Occurrences() {
		for i, s := range m.job.Steps {
			isReady := !m.job.Due(k).After(now)
			for _, d := range s.After {
				isReady = isReady && m.isDone(k, d)
			}
			for index := range s.Count {
				ref := describer.TaskRef{Job: m.job.ID, Occurrence: k, Step: i, Index: index}
				if isReady && !m.done[ref] && m.runs[ref] == nil {
					waiting[ref] = true
				}
			}
		}
	}
	return waiting
}

// TestTasksAgreeWithModel guards against a task that starts before its time, twice or never, as steps and tasks without a
// state of their own are not kept, and against one that is done and is not after a takeover, or the reverse.
func TestTasksAgreeWithModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		job := &describer.Job{ID: "a", StartAt: start, Repeat: rapid.IntRange(0, 4).Draw(t, "repeat"), Interval: time.Duration(rapid.IntRange(0, 2).Draw(t, "interval")) * time.Second}
		for i := range rapid.IntRange(1, 4).Draw(t, "steps") {
			s := describer.Step{Count: rapid.IntRange(1, 5).Draw(t, "count")}
			for d := range i {
				if rapid.Bool().Draw(t, "depends") {
					s.After = append(s.After, d)
				}
			}
			job.Steps = append(job.Steps, s)
		}
		require.NoError(t, job.Validate())
		m := &model{job: job, done: make(map[describer.TaskRef]bool), runs: make(map[describer.TaskRef]*tasker.Run)}
		j := tasker.NewJob(&journaler.Entry{ID: "a", Job: job})
		now := start.Add(-time.Second)
		for range 40 {
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				now = now.Add(500 * time.Millisecond)
			case 1, 2:
				startSome(t, m, j, now)
			case 3:
				endSome(t, m, j)
			case 4:
				if len(m.runs) == 0 {
					j = restored(t, j)
				}
			}
			offered := make(map[describer.TaskRef]bool)
			for _, s := range tasker.ReadySteps(map[describer.JobID]*tasker.Job{"a": j}, now) {
				for task := range s.Waiting(now) {
					require.False(t, offered[task.Ref()])
					offered[task.Ref()] = true
				}
				require.Equal(t, s.WaitingTasks(now) > 0, true)
			}
			require.Equal(t, m.waiting(now), offered)
			require.Equal(t, len(m.done) == job.Occurrences()*countTasks(job), j.IsDone())
		}
	})
}

func countTasks(job *describer.Job) int {
	count := 0
	for _, s := range job.Steps {
		count += s.Count
	}
	return count
}

// startSome starts up to three of the waiting tasks.
func startSome(t *rapid.T, m *model, j *tasker.Job, now time.Time) {
	for _, s := range tasker.ReadySteps(map[describer.JobID]*tasker.Job{"a": j}, now) {
		left := rapid.IntRange(0, 3).Draw(t, "starts")
		for task := range s.Waiting(now) {
			if left--; left < 0 {
				break
			}
			r := &tasker.Run{Task: task, Job: j, Ref: task.Ref(), Number: task.NextRun(1), Worker: "w-1"}
			task.Run, task.LastRun = r, r.Number
			j.AddRun(r)
			m.runs[task.Ref()] = r
		}
	}
}

// endSome ends the runs of some tasks, as done, as failed or as lost.
func endSome(t *rapid.T, m *model, j *tasker.Job) {
	for k := range m.job.Occurrences() {
		for i, s := range m.job.Steps {
			for index := range s.Count {
				ref := describer.TaskRef{Job: "a", Occurrence: k, Step: i, Index: index}
				r := m.runs[ref]
				if r == nil || rapid.Bool().Draw(t, "goes on") {
					continue
				}
				task := j.Task(ref)
				require.Same(t, r.Task, task)
				switch rapid.IntRange(0, 2).Draw(t, "end") {
				case 0:
					require.True(t, task.Finish())
					m.done[ref] = true
				case 1:
					task.Fail(r.Number, "w-1")
				}
				j.RemoveRun(r)
				task.Run = nil
				delete(m.runs, ref)
			}
		}
	}
}

// restored returns the job as a later holder reads it.
func restored(t *rapid.T, j *tasker.Job) *tasker.Job {
	record, err := journaler.NewProgress("a", j.Progress(1, func(string) bool { return false }))
	require.NoError(t, err)
	entry, err := journaler.New().Apply(record, 0)
	require.NoError(t, err)
	return tasker.NewJob(&journaler.Entry{ID: "a", Job: j.Spec, Progress: entry.Progress})
}
