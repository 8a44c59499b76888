package tasker

import (
	"iter"
	"slices"
	"time"

	"lentilrock.example/internal/container/sorter"
	"lentilrock.example/internal/fleet/adviser"
	"lentilrock.example/internal/fleet/breaker"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/estimator"
	"lentilrock.example/internal/fleet/historian"
	"lentilrock.example/internal/fleet/ranker"
)

// Step is a step of one occurrence of a job.
type Step struct {
	Job        *Job
	Occurrence int
	Index      int
	Spec       *describer.Step
	// RemainingTasks is the number of tasks that are not done.
	RemainingTasks int
	Advice         adviser.Cache
	Rank           ranker.Rank
	// tasks are the tasks with a state of their own, by index, and openTasks the number of those that are not
	// done. All other tasks are done or have never started.
	tasks     map[int]*Task
	openTasks int
	// firstFresh is an index before which all tasks are done or in tasks.
	firstFresh int
	// isIdle reports that the step is among the idle ones of the job.
	isIdle bool
	// Durations is the moving average of the durations of successful runs.
	Durations estimator.Average
	// Successes are the runs of the step that were done.
	Successes breaker.Successes
	// gangHistory is that of a gang, whose members share it.
	gangHistory historian.History
	// runsAt are the runs of the step that may be active, by worker, the oldest first.
	runsAt map[string][]*Run
}

// number returns the number of the step within its job.
func (s *Step) number() int { return s.Occurrence*len(s.Job.Spec.Steps) + s.Index }

// Keep makes the job return this step from now on, with the state that it has.
func (s *Step) Keep() {
	number := s.number()
	if _, found := s.Job.steps[number]; found {
		return
	}
	s.Job.steps[number] = s
	s.release()
}

// release drops the step if all its tasks are done and no run may be active. One that has no task with a state
// of its own is dropped when the job has too many of them; only a gang remembers its failures.
func (s *Step) release() {
	if len(s.tasks) > 0 {
		return
	}
	switch number := s.number(); {
	case s.RemainingTasks == 0:
		delete(s.Job.steps, number)
	case !s.Spec.Gang && !s.isIdle && s.Job.steps[number] == s:
		s.isIdle = true
		s.Job.idle = append(s.Job.idle, number)
		s.Job.dropIdle()
	}
}

// Task returns the task with an index. Unless it is kept, it is a new one at each call; see Task.Keep.
func (s *Step) Task(index int) *Task {
	if t, found := s.tasks[index]; found {
		return t
	}
	return &Task{Step: s, Index: index, Done: s.Job.tally.IsTaskDone(s.number(), index)}
}

// KeptTasks returns the tasks that have a state of their own, such as a run, by index.
func (s *Step) KeptTasks() []*Task {
	tasks := make([]*Task, 0, len(s.tasks))
	for _, index := range sorter.Keys(s.tasks) {
		tasks = append(tasks, s.tasks[index])
	}
	return tasks
}

// IsReady reports whether the step has tasks left, its job is not over, its occurrence is due and
// its dependencies are done.
func (s *Step) IsReady(now time.Time) bool {
	if s.RemainingTasks == 0 || s.Job.IsOver() || s.Job.Spec.Due(s.Occurrence).After(now) {
		return false
	}
	isUnblocked, _ := s.Job.tally.IsUnblocked(s.number())
	return isUnblocked
}

// freshTasks returns the number of tasks that have never started.
func (s *Step) freshTasks() int { return s.RemainingTasks - s.openTasks }

// nextFresh returns the index of the first task from index on that has never started, or the number of tasks
// if there is none.
func (s *Step) nextFresh(index int) int {
	if s.freshTasks() == 0 {
		return s.Spec.Count
	}
	isFromFirst := index <= s.firstFresh
	index = max(index, s.firstFresh)
	for {
		index = s.Job.tally.NextOpenTask(s.number(), index)
		if _, isKept := s.tasks[index]; !isKept || index == s.Spec.Count {
			break
		}
		index++
	}
	if isFromFirst {
		s.firstFresh = index
	}
	return index
}

// hasWaitingTask reports whether a task may be started.
func (s *Step) hasWaitingTask(now time.Time) bool {
	if s.freshTasks() > 0 {
		return true
	}
	for _, t := range s.tasks {
		if t.IsWaiting(now) {
			return true
		}
	}
	return false
}

// WaitingTasks returns the number of tasks that may be started.
func (s *Step) WaitingTasks(now time.Time) int {
	count := s.freshTasks()
	for _, t := range s.tasks {
		if t.IsWaiting(now) {
			count++
		}
	}
	return count
}

// Waiting returns the tasks that may be started, by index. The caller may start them meanwhile.
func (s *Step) Waiting(now time.Time) iter.Seq[*Task] {
	return func(yield func(*Task) bool) {
		var again []int
		for index, t := range s.tasks {
			if t.IsWaiting(now) {
				again = append(again, index)
			}
		}
		slices.Sort(again)
		fresh := s.nextFresh(0)
		for len(again) > 0 || fresh < s.Spec.Count {
			index := fresh
			if len(again) > 0 && again[0] < fresh {
				index, again = again[0], again[1:]
			} else {
				fresh = s.nextFresh(fresh + 1)
			}
			if !yield(s.Task(index)) {
				return
			}
		}
	}
}

// Open returns the tasks that are not done, by index.
func (s *Step) Open() iter.Seq[*Task] {
	return func(yield func(*Task) bool) {
		tally, number := s.Job.tally, s.number()
		for index := tally.NextOpenTask(number, 0); index < s.Spec.Count; index = tally.NextOpenTask(number, index+1) {
			if !yield(s.Task(index)) {
				return
			}
		}
	}
}

// RunsAt returns the number of runs of the step that may be active on a worker.
func (s *Step) RunsAt(worker string) int { return len(s.runsAt[worker]) }

// WorkersSince returns the number of workers, without the given one, with a confirmed run of the step that was sent before a time.
func (s *Step) WorkersSince(before time.Time, without string) int {
	count := 0
	for worker, runs := range s.runsAt {
		if worker == without {
			continue
		}
		for _, r := range runs {
			if !r.SentAt.Before(before) {
				break
			}
			if !r.ConfirmedAt.IsZero() {
				count++
				break
			}
		}
	}
	return count
}

// Ref returns the reference of the step.
func (s *Step) Ref() describer.StepRef {
	return describer.StepRef{Job: s.Job.Spec.ID, Occurrence: s.Occurrence, Step: s.Index}
}
