package tasker

import (
	"time"

	"lentilrock.example/internal/fleet/confiner"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/estimator"
	"lentilrock.example/internal/fleet/historian"
	"lentilrock.example/internal/fleet/ranker"
)

// Task is a task of a step.
type Task struct {
	Step  *Step
	Index int
	Done  bool
	// Run is the current run; nil if there is none.
	Run *Run
	// LastRun is the highest run number that the task has had.
	LastRun int64
	// FailedAt are the workers on which the task failed.
	FailedAt map[string]bool
	// WasListed reports that a worker has listed a run of the task as active to this holder.
	WasListed bool
	// NotBefore is the earliest time of the next start (backoff).
	NotBefore time.Time
	// IsHeld reports that a run of the task was lost without a result, and that the claim was not confirmed since:
	// a later holder may have acknowledged its result.
	IsHeld bool
	// UnplacedSince is when placing a long-running task first failed after its last start; zero if it has not.
	UnplacedSince time.Time
	// Moves counts the runs that were stopped as their worker was slow. The task does not start on MovedFrom, the last of these
	// workers, or another slow one before MovedUntil, as room is reserved elsewhere.
	Moves      int
	MovedFrom  string
	MovedUntil time.Time
	// Confiner has the starts of the task that may still be carried out although their runs are resolved.
	Confiner confiner.Confiner
	// history is that of the task, unless it belongs to a gang.
	history historian.History
	// runs are all runs of the task that may be active.
	runs []*Run
}

// Run is one start of a task that may be active.
type Run struct {
	Ref describer.TaskRef
	// Job and Task are nil if a worker reports a run of an unknown job or task.
	Job    *Job
	Task   *Task
	Number int64
	// Worker is the ID of the run's worker.
	Worker string
	Charge describer.Resources
	Owner  describer.Owner
	SentAt time.Time
	// ConfirmedAt is when the worker confirmed the run; zero while the start is unconfirmed.
	ConfirmedAt time.Time
	// Done is the completed share of the work, in percent. A long-running task is up at 100.
	Done int
	// Progress is how fast Done grows.
	Progress estimator.Progress
	// IsPartial reports that the time since SentAt is not that of a whole run: it resumed from a checkpoint, or a former
	// holder started it.
	IsPartial bool
	// Usage is the last reported resource usage of the run; see orderer.Running.
	Usage int64
	// Percent is the speed of the run that the worker last confirmed, in percent of its full
	// speed; OrderedPercent is the one that was ordered last.
	Percent          int
	OrderedPercent   int
	OrderedPercentAt time.Time
	Stopping         bool
	StopSentAt       time.Time
	// StopAckedAt is when the worker acknowledged the stop. The next poll shows whether the run is gone.
	StopAckedAt time.Time
}

// AddTo adds the run to the capacity that runs free, by the learned duration of its task.
func (r *Run) AddTo(f *ranker.Flow, now time.Time) {
	if r.Task != nil {
		s := r.Task.Step
		f.Add(s.Spec, s.Job.tally.Length(s.Index), now.Sub(r.SentAt))
	}
}

// Ref returns the reference of the task.
func (t *Task) Ref() describer.TaskRef {
	return describer.TaskRef{Job: t.Step.Job.Spec.ID, Occurrence: t.Step.Occurrence, Step: t.Step.Index, Index: t.Index}
}

// NextRun returns the number of the task's next run, which is above those of former holders.
func (t *Task) NextRun(epoch int64) int64 { return max(t.LastRun+1, (epoch-1)*RunsPerEpoch+1) }

// IsWaiting reports whether the task may be started. It does not start beside a run that is being stopped
// unless the step allows speculative copies.
func (t *Task) IsWaiting(now time.Time) bool {
	hasRun := t.Run != nil || len(t.runs) > 0 && !t.Step.Spec.Speculative
	return !t.Done && !hasRun && !t.IsHeld && !t.NotBefore.After(now)
}

// IsMoving reports whether the task may still have to start elsewhere, as its run was stopped.
func (t *Task) IsMoving(now time.Time) bool { return !t.Done && now.Before(t.MovedUntil) }

// Finish marks the task as done, or all tasks of its gang. It reports whether any of them was
// not done before.
func (t *Task) Finish() bool {
	if !t.Step.Spec.Gang {
		return t.finish()
	}
	isNew := false
	for index := range t.Step.Spec.Count {
		isNew = t.Step.Task(index).finish() || isNew
	}
	return isNew
}

func (t *Task) finish() bool {
	s := t.Step
	if !s.Job.tally.FinishTask(s.number(), t.Index) {
		return false
	}
	if _, isKept := s.tasks[t.Index]; isKept {
		s.openTasks--
	}
	t.Done = true
	s.RemainingTasks--
	if s.RemainingTasks == 0 {
		s.Job.tally.FinishStep(s.number())
	}
	t.release()
	return true
}

// Keep makes the step return this task from now on, with the state that it has.
func (t *Task) Keep() {
	s := t.Step
	if _, found := s.tasks[t.Index]; found {
		return
	}
	if s.tasks == nil {
		s.tasks = make(map[int]*Task)
	}
	s.tasks[t.Index] = t
	if !t.Done {
		s.openTasks++
	}
	s.Keep()
}

// release drops the task if it is done and no run of it may be active.
func (t *Task) release() {
	if t.Done && len(t.runs) == 0 {
		delete(t.Step.tasks, t.Index)
		t.Step.release()
	}
}

// Runs returns all runs of the task that may be active.
func (t *Task) Runs() []*Run { return t.runs }

// record returns the history of the task, or of its gang.
func (t *Task) record() *historian.History {
	if t.Step.Spec.Gang {
		return &t.Step.gangHistory
	}
	return &t.history
}

// SaveCheckpoint records the newest checkpoint of the task, or of its gang.
func (t *Task) SaveCheckpoint(value string) { t.record().SaveCheckpoint(value) }

// Checkpoint returns the checkpoint from which the next run resumes; empty means from the beginning.
func (t *Task) Checkpoint() string { return t.record().Checkpoint() }

// PauseAfter returns the pause before the next run of a long-running task; see historian.History.
func (t *Task) PauseAfter(number int64, lasted time.Duration) time.Duration {
	return t.record().PauseAfter(number, lasted)
}

// Fail records that a run failed on a worker and returns the number of failed runs of the task, or
// of its gang. A run that is recorded again counts once.
func (t *Task) Fail(number int64, worker string) int {
	if t.FailedAt == nil {
		t.FailedAt = make(map[string]bool)
	}
	t.FailedAt[worker] = true
	return t.countFailure(number)
}

// countFailure counts a failed run and returns the number of them. A long-running task may fail any number
// of times, so that only its last failure is kept.
func (t *Task) countFailure(number int64) int {
	return t.record().CountFailure(number, t.Step.Spec.LongRunning)
}
