package tasker_test

import (
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/tasker"
)

// heapGrowth returns by how much the live heap grows with what build returns.
func heapGrowth[T any](build func() T) int64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	built := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(built)
	return int64(after.HeapAlloc) - int64(before.HeapAlloc)
}

// TestWaitingTasksTakeNoMemory guards against a host that a few small requests fill: 60 jobs of 100,000 tasks, of
// 89 bytes each, took 900 MB on a host that has 184 MB.
func TestWaitingTasksTakeNoMemory(t *testing.T) {
	for _, test := range []struct {
		name string
		job  describer.Job
	}{
		{"tasks of one step", describer.Job{Steps: []describer.Step{{Count: 100_000, Estimate: time.Second}}}},
		{"steps of many occurrences", describer.Job{Steps: []describer.Step{{Count: 1}}, Repeat: 100_000, StartAt: start, Interval: time.Millisecond}},
	} {
		t.Run(test.name, func(t *testing.T) {
			const count = 60
			growth := heapGrowth(func() map[describer.JobID]*tasker.Job {
				jobs := make(map[describer.JobID]*tasker.Job)
				for i := range count {
					job := test.job
					job.ID = describer.JobID(rune('a' + i))
					jobs[job.ID] = tasker.NewJob(&journaler.Entry{Job: &job})
				}
				for range 200 {
					tasker.ReadySteps(jobs, start.Add(time.Hour))
				}
				return jobs
			})
			require.Less(t, growth, int64(count*64<<10))
		})
	}
}

// TestDoneTasksTakeLittleMemory guards against a job that fills the holder as it proceeds.
func TestDoneTasksTakeLittleMemory(t *testing.T) {
	for _, job := range []describer.Job{
		{ID: "a", Steps: []describer.Step{{Count: 100_000}}},
		{ID: "a", Steps: []describer.Step{{Count: 1}}, Repeat: 100_000},
	} {
		growth := heapGrowth(func() *tasker.Job {
			j := tasker.NewJob(&journaler.Entry{Job: &job})
			jobs := map[describer.JobID]*tasker.Job{"a": j}
			for started := 0; started < 50_000; {
				for _, s := range tasker.ReadySteps(jobs, start) {
					for task := range s.Waiting(start) {
						r := &tasker.Run{Task: task, Job: j, Number: 1, Worker: "w-1"}
						task.Run = r
						j.AddRun(r)
						require.True(t, task.Finish())
						j.RemoveRun(r)
						started++
					}
				}
			}
			return j
		})
		require.Less(t, growth, int64(256<<10))
	}
}
