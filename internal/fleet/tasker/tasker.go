// Package tasker holds the jobs that have not ended, with their steps, tasks and runs, and
// converts them to and from the progress that is persisted.
//
// A job may have many tasks and occurrences, most of which wait or are done. Steps and tasks are kept only
// while they have a state of their own; the others are made when they are asked for.
//
// # Usage
//
//	job := tasker.NewJob(entry)
//	for _, step := range tasker.ReadySteps(jobs, now) {
//		for task := range step.Waiting(now) {
//			...
//		}
//	}
//	record, err := journaler.NewProgress(job.Spec.ID, job.Progress(epoch, isSilent))
package tasker

import (
	"iter"
	"slices"
	"time"

	"lentilrock.example/internal/container/clamper"
	"lentilrock.example/internal/container/rotator"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/estimator"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/ranker"
	"lentilrock.example/internal/fleet/tallier"
)

// RunsPerEpoch is the size of the range of run numbers that each epoch has for a task, so that
// numbers of successive holders do not collide.
const RunsPerEpoch = 256

// MaxRuns is the maximum number of concurrent runs of a task.
const MaxRuns = 2

// maxIdleSteps bounds the steps of a job that are kept although none of their tasks has a state of its own: for
// their advice and the mean duration of their runs, and as it is cheaper than to make them anew.
const maxIdleSteps = 256

// Job is a job that was accepted and has not ended. Its steps are numbered from those of the first occurrence
// on, and so are its tasks.
type Job struct {
	Spec  *describer.Job
	Queue describer.Queue
	// Offset is the log offset of the submission.
	Offset int64
	// Runs are all runs that may be active, including those that are being stopped. AddRun and
	// RemoveRun change them.
	Runs    map[*Run]bool
	Begun   bool
	Outcome journaler.Outcome
	Reason  string
	// Objective is the time by which the job should end.
	Objective time.Time
	// Estimator has the learned durations; nil if there are none.
	Estimator *estimator.Estimator
	// FirstProgressBatch is the batch that must be durable before a task of the job starts; 0 if the
	// log already had progress of the job.
	FirstProgressBatch int64
	// MayHaveUnknownRuns reports that a former holder may have started tasks of the job, and
	// MayHaveUnlistedRuns that its progress does not list those on closed workers.
	MayHaveUnknownRuns  bool
	MayHaveUnlistedRuns bool
	// HasNoRuns reports that the job has ended and all its runs are resolved, those of former holders, too.
	HasNoRuns bool
	// Batch is the newest batch with progress of the job.
	Batch int64
	// steps are the steps with a state of their own, by number.
	steps map[int]*Step
	// idle are the numbers of steps that have been kept without a task that has a state, the oldest first.
	idle []int
	// tally has the steps and tasks that are done, and numbers them.
	tally *tallier.Tally
	// firstOpen is a number before which all steps are done.
	firstOpen int
	// search finds the steps that are ready.
	search rotator.Search
}

// NewJob returns a job with the state that the log has of it.
func NewJob(entry *journaler.Entry) *Job {
	j := &Job{
		Spec: entry.Job, Queue: entry.Job.Queue, Offset: entry.JobOffset,
		Runs: make(map[*Run]bool), Begun: entry.Progress.Begun,
		steps: make(map[int]*Step), tally: tallier.New(entry.Job),
	}
	j.restore(entry.Progress)
	j.setObjective()
	return j
}

// setObjective computes the objective from the durations by which the remaining path is measured, too. With others, all
// jobs of a queue would seem late, or none, when its declared estimates are off.
func (j *Job) setObjective() {
	whole := j.tally.WholePath(j.Queue.Advice.Decide)
	j.Objective = j.Spec.Received.Add(clamper.Add(clamper.Scale(whole, max(j.Queue.Stretch, 1)), j.Queue.Latency))
}

// CriticalPath returns the length of the critical path of the remaining steps of the first occurrence:
// the longest chain of expected durations and advice decision times.
func (j *Job) CriticalPath() time.Duration {
	j.updateLengths()
	return j.tally.CriticalPath(j.Queue.Advice.Decide)
}

// updateLengths computes the expected durations of the steps anew if enough was learned since.
func (j *Job) updateLengths() {
	if j.Estimator == nil {
		return
	}
	isNew := j.tally.SetLengths(j.Estimator.Revision(), func(s *describer.Step) time.Duration {
		mean, _ := j.Estimator.Expected(j.Queue.Name, s.Image, s.Estimate)
		return mean
	})
	if isNew {
		j.setObjective()
	}
}

// Work returns the estimated processor time of the remaining tasks of the occurrences that are due, or of the next one if these are
// done, in core seconds.
func (j *Job) Work(now time.Time) float64 { return j.tally.Work(j.Spec.DueOccurrences(now)) }

// Step returns a step of an occurrence, or nil if there is none. Unless it is kept, it is a new one at each
// call; see Step.Keep.
func (j *Job) Step(occurrence, index int) *Step {
	if index < 0 || index >= len(j.Spec.Steps) || occurrence < 0 || occurrence >= j.Spec.Occurrences() {
		return nil
	}
	return j.step(occurrence*len(j.Spec.Steps) + index)
}

// step returns the step with a number.
func (j *Job) step(number int) *Step {
	if s, found := j.steps[number]; found {
		return s
	}
	s := &Step{Job: j, Occurrence: number / len(j.Spec.Steps), Index: number % len(j.Spec.Steps)}
	s.Spec = &j.Spec.Steps[s.Index]
	s.RemainingTasks = j.tally.RemainingTasks(number)
	if s.RemainingTasks > 0 && j.tally.StepCount() <= maxIdleSteps {
		j.steps[number] = s
	}
	return s
}

// Task returns the task that ref identifies, or nil if there is none. It is kept, unless it is done.
func (j *Job) Task(ref describer.TaskRef) *Task {
	s := j.Step(ref.Occurrence, ref.Step)
	if s == nil || ref.Index < 0 || ref.Index >= s.Spec.Count {
		return nil
	}
	t := s.Task(ref.Index)
	if !t.Done {
		t.Keep()
	}
	return t
}

// IsOver reports whether no more tasks of the job are to be started.
func (j *Job) IsOver() bool { return j.Outcome != journaler.OutcomeNone }

// IsDone reports whether all tasks are done.
func (j *Job) IsDone() bool { return j.tally.IsDone() }

// AddRun records a run of the job that may be active.
func (j *Job) AddRun(r *Run) {
	j.Runs[r] = true
	if r.Task == nil {
		return
	}
	r.Task.Keep()
	r.Task.runs = append(r.Task.runs, r)
	s := r.Task.Step
	if s.runsAt == nil {
		s.runsAt = make(map[string][]*Run)
	}
	runs := s.runsAt[r.Worker]
	at := len(runs)
	for at > 0 && runs[at-1].SentAt.After(r.SentAt) {
		at--
	}
	s.runsAt[r.Worker] = slices.Insert(runs, at, r)
}

// Flows returns the capacity that the runs of jobs free, by service.
func Flows(jobs map[describer.JobID]*Job, now time.Time) map[string]*ranker.Flow {
	flows := make(map[string]*ranker.Flow)
	for _, j := range jobs {
		if len(j.Runs) == 0 {
			continue
		}
		f, found := flows[j.Queue.Service]
		if !found {
			f = &ranker.Flow{}
			flows[j.Queue.Service] = f
		}
		j.updateLengths()
		for r := range j.Runs {
			r.AddTo(f, now)
		}
	}
	return flows
}

// RemoveRun removes a run that is not active and never will be.
func (j *Job) RemoveRun(r *Run) {
	if !j.Runs[r] {
		return
	}
	delete(j.Runs, r)
	if r.Task == nil {
		return
	}
	r.Task.runs = slices.DeleteFunc(r.Task.runs, func(o *Run) bool { return o == r })
	s := r.Task.Step
	left := slices.DeleteFunc(s.runsAt[r.Worker], func(o *Run) bool { return o == r })
	if s.runsAt[r.Worker] = left; len(left) == 0 {
		delete(s.runsAt, r.Worker)
	}
	r.Task.release()
}

// dropIdle drops the oldest of the idle steps if there are too many. A step that has tasks again is idle no
// longer.
func (j *Job) dropIdle() {
	for len(j.idle) > maxIdleSteps {
		if s, found := j.steps[j.idle[0]]; found {
			s.isIdle = false
			if len(s.tasks) == 0 {
				delete(j.steps, j.idle[0])
			}
		}
		j.idle = j.idle[1:]
	}
}

// Open returns the steps that are not done, in the order of their numbers.
func (j *Job) Open() iter.Seq[*Step] {
	return func(yield func(*Step) bool) {
		for number := j.tally.NextOpenStep(0); number < j.tally.StepCount(); number = j.tally.NextOpenStep(number + 1) {
			if !yield(j.step(number)) {
				return
			}
		}
	}
}
