// Package tasker holds the jobs that have not ended, with their steps, tasks and runs, and
// turns them into the progress that must last and back.
//
// # Usage
//
//	job := tasker.NewJob(entry)
//	for _, step := range job.Steps {
//		if step.IsReady(now) && step.WaitingTasks(now) > 0 {
//			...
//		}
//	}
//	record, err := journaler.NewProgress(job.Spec.ID, job.Progress(epoch, isSilent))
package tasker

import (
	"slices"
	"time"

	"lentilrock.example/internal/fleet/adviser"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/ranker"
)

const (
	// FullPercent is the share of its speed at which a run begins.
	FullPercent = 100
	// UnknownPercent is that of a run which a former holder may have paced.
	UnknownPercent = -1
)

// RunsPerEpoch separates the numbers of runs of successive holders.
const RunsPerEpoch = 256

// Job is a job that was accepted and has not ended.
type Job struct {
	Spec  *describer.Job
	Queue describer.Queue
	// Offset is where the submission stands in the log.
	Offset int64
	// Steps are those of the first occurrence, then of the second, and so on.
	Steps []*Step
	// Runs are all that may be at work, those that are being stopped included.
	Runs      map[*Run]bool
	Cancelled bool
	Begun     bool
	Outcome   journaler.Outcome
	Reason    string
	// Objective is when the job should have ended.
	Objective time.Time
	// OpenBatch is the batch that must be kept before a task of the job starts; 0 where the log
	// had progress of the job already.
	OpenBatch int64
	// MayRunElsewhere reports that a former holder may have started tasks of the job.
	MayRunElsewhere bool
	// Batch is the newest one that has the job's progress.
	Batch int64
}

// Step is a step of an occurrence.
type Step struct {
	Job        *Job
	Occurrence int
	Index      int
	Spec       *describer.Step
	Tasks      []*Task
	// Left counts the tasks that are not done.
	Left   int
	Advice adviser.Book
	Rank   ranker.Rank
	// checkpoint is the newest of any member of a gang.
	checkpoint string
	// typical is how long runs that ended as done took, smoothed; 0 before the first.
	typical time.Duration
	// gangFailures are the runs of the gang that failed.
	gangFailures map[int64]bool
}

// Task is a task of a step.
type Task struct {
	Step  *Step
	Index int
	Done  bool
	// Run is the one that counts; nil where there is none.
	Run *Run
	// LastRun is the highest number that a run of the task had.
	LastRun int64
	// FailedAt are the workers where the task failed.
	FailedAt map[string]bool
	// NotBefore is when the task may be started again.
	NotBefore time.Time
	// FreeSince is when a task without a run was first found to have no place.
	FreeSince  time.Time
	failures   map[int64]bool
	checkpoint string
}

// Run is a start of a task that may be at work.
type Run struct {
	Ref describer.TaskRef
	// Job and Task are nil where a worker runs what is not known here.
	Job    *Job
	Task   *Task
	Number int64
	// Worker is the id of the run's worker.
	Worker string
	Charge describer.Resources
	SentAt time.Time
	// AnsweredAt is when the worker said that the run is there; zero while that is open.
	AnsweredAt time.Time
	// Done is the share of the work that is done, in percent; a lasting task is at work at 100.
	Done int
	// Usage is the last reading of the run: see orderer.Running.
	Usage int64
	// Percent is the share of its speed at which the run works, as far as the worker has said
	// so; PaceSent is the one that was ordered last.
	Percent    int
	PaceSent   int
	PaceSentAt time.Time
	Stopping   bool
	StopSentAt time.Time
	// StopAckedAt is when the worker took the stop; the next look tells whether it is gone.
	StopAckedAt time.Time
}

// NewJob returns a job as the log has it.
func NewJob(entry *journaler.Entry) *Job {
	j := &Job{
		Spec: entry.Job, Queue: entry.Job.Queue, Offset: entry.JobOffset,
		Runs: make(map[*Run]bool), Cancelled: entry.Cancelled, Begun: entry.Progress.Begun,
	}
	for k := range entry.Job.Occurrences() {
		for i := range entry.Job.Steps {
			j.Steps = append(j.Steps, newStep(j, k, i))
		}
	}
	for _, p := range entry.Progress.Steps {
		if s := j.Step(p.Occurrence, p.Step); s != nil {
			s.restore(p)
		}
	}
	j.Objective = entry.Job.Received.Add(time.Duration(max(j.Queue.Stretch, 1)*float64(j.Chain())) + j.Queue.Latency)
	return j
}

func newStep(j *Job, occurrence, index int) *Step {
	s := &Step{Job: j, Occurrence: occurrence, Index: index, Spec: &j.Spec.Steps[index]}
	s.Tasks = make([]*Task, s.Spec.Count)
	for i := range s.Tasks {
		s.Tasks[i] = &Task{Step: s, Index: i}
	}
	s.Left = len(s.Tasks)
	return s
}

// Chain returns the longest chain of estimated work that is left.
func (j *Job) Chain() time.Duration {
	ends := make([]time.Duration, len(j.Spec.Steps))
	longest := time.Duration(0)
	for i := range j.Spec.Steps {
		begin := time.Duration(0)
		for _, before := range j.Spec.Steps[i].After {
			begin = max(begin, ends[before])
		}
		ends[i] = begin
		if s := j.Step(0, i); s != nil && s.Left > 0 {
			ends[i] += j.Spec.Steps[i].Estimate + j.Queue.Advice.Decide
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// Work returns the estimated processor time that is left, in core seconds.
func (j *Job) Work() float64 {
	sum := 0.0
	for _, s := range j.Steps {
		sum += float64(s.Left) * s.Spec.Estimate.Seconds() * float64(s.Spec.Need.MilliCPU) / 1000
	}
	return sum
}

// Step returns a step of an occurrence, or nil where there is none.
func (j *Job) Step(occurrence, index int) *Step {
	at := occurrence*len(j.Spec.Steps) + index
	if index < 0 || index >= len(j.Spec.Steps) || at >= len(j.Steps) {
		return nil
	}
	return j.Steps[at]
}

// Task returns a task by its name, or nil where there is none.
func (j *Job) Task(ref describer.TaskRef) *Task {
	s := j.Step(ref.Occurrence, ref.Step)
	if s == nil || ref.Index >= len(s.Tasks) {
		return nil
	}
	return s.Tasks[ref.Index]
}

// IsOver reports whether nothing more is to be started.
func (j *Job) IsOver() bool { return j.Cancelled || j.Outcome != journaler.OutcomeNone }

// IsDone reports whether all tasks are done.
func (j *Job) IsDone() bool {
	for _, s := range j.Steps {
		if s.Left > 0 {
			return false
		}
	}
	return true
}

// IsReady reports whether a step's turn has come.
func (s *Step) IsReady(now time.Time) bool {
	if s.Left == 0 || s.Job.IsOver() || s.Job.Spec.Due(s.Occurrence).After(now) {
		return false
	}
	return s.isUnblocked()
}

// isUnblocked reports whether all tasks of the steps before are done.
func (s *Step) isUnblocked() bool {
	for _, before := range s.Spec.After {
		if b := s.Job.Step(s.Occurrence, before); b == nil || b.Left > 0 {
			return false
		}
	}
	return true
}

// WaitingTasks counts the tasks that may be started.
func (s *Step) WaitingTasks(now time.Time) int {
	count := 0
	for _, t := range s.Tasks {
		if t.IsWaiting(now) {
			count++
		}
	}
	return count
}

// RunsAt counts the runs of the step that may be at work on a worker.
func (s *Step) RunsAt(worker string) int {
	count := 0
	for r := range s.Job.Runs {
		if r.Worker == worker && r.Task != nil && r.Task.Step == s {
			count++
		}
	}
	return count
}

// Ref returns the step's name.
func (s *Step) Ref() describer.StepRef {
	return describer.StepRef{Job: s.Job.Spec.ID, Occurrence: s.Occurrence, Step: s.Index}
}

// Ref returns the task's name.
func (t *Task) Ref() describer.TaskRef {
	return describer.TaskRef{Job: t.Step.Job.Spec.ID, Occurrence: t.Step.Occurrence, Step: t.Step.Index, Index: t.Index}
}

// NextRun returns the number of a task's next run, above those of former holders.
func (t *Task) NextRun(epoch int64) int64 { return max(t.LastRun+1, (epoch-1)*RunsPerEpoch+1) }

// IsWaiting reports whether a task may be started.
func (t *Task) IsWaiting(now time.Time) bool {
	return !t.Done && t.Run == nil && !t.NotBefore.After(now)
}

// Finish marks a task, or all tasks of its gang, as done; it reports whether that is new.
func (t *Task) Finish() bool {
	if !t.Step.Spec.Gang {
		return t.finish()
	}
	isNew := false
	for _, member := range t.Step.Tasks {
		isNew = member.finish() || isNew
	}
	return isNew
}

func (t *Task) finish() bool {
	if t.Done {
		return false
	}
	t.Done = true
	t.Step.Left--
	return true
}

// SaveCheckpoint keeps the newest checkpoint of a task, or of its gang.
func (t *Task) SaveCheckpoint(value string) {
	if value == "" {
		return
	}
	t.checkpoint = value
	if t.Step.Spec.Gang {
		t.Step.checkpoint = value
	}
}

// Checkpoint returns where the next run goes on; empty means at the beginning.
func (t *Task) Checkpoint() string {
	if t.Step.Spec.Gang {
		return t.Step.checkpoint
	}
	return t.checkpoint
}

// Fail counts a run that failed at a worker, once, and returns how many failed so far, of
// the task or of its gang.
func (t *Task) Fail(number int64, worker string) int {
	if t.FailedAt == nil {
		t.FailedAt = make(map[string]bool)
	}
	t.FailedAt[worker] = true
	return t.countFailure(number)
}

func (t *Task) countFailure(number int64) int {
	failures := &t.failures
	if t.Step.Spec.Gang {
		failures = &t.Step.gangFailures
	}
	if *failures == nil {
		*failures = make(map[int64]bool)
	}
	(*failures)[number] = true
	return len(*failures)
}

// Waiting returns the steps whose turn has come and that have tasks to start, best first.
func Waiting(jobs map[describer.JobID]*Job, now time.Time) []*Step {
	var steps []*Step
	for _, j := range jobs {
		for _, s := range j.Steps {
			if s.IsReady(now) && s.WaitingTasks(now) > 0 {
				s.Rank = ranker.Of(ranker.Candidate{
					Priority: j.Queue.Priority, LongRunning: s.Spec.LongRunning,
					Objective: j.Objective, Remaining: j.Chain(), Work: j.Work(), Offset: j.Offset,
				}, now)
				steps = append(steps, s)
			}
		}
	}
	slices.SortFunc(steps, func(a, b *Step) int { return a.Rank.Compare(b.Rank) })
	return steps
}

// Speculative returns the steps under way that allow copies, in the order of their ranks.
func Speculative(jobs map[describer.JobID]*Job, now time.Time) []*Step {
	var steps []*Step
	for _, j := range jobs {
		for _, s := range j.Steps {
			if s.Spec.Speculative && !s.Spec.Gang && s.IsReady(now) {
				steps = append(steps, s)
			}
		}
	}
	slices.SortFunc(steps, func(a, b *Step) int { return a.Rank.Compare(b.Rank) })
	return steps
}
