package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"lentilrock.example/internal/work/describer"
	"lentilrock.example/internal/work/journaler"
	"lentilrock.example/internal/work/ranker"
)

// job is a job that was accepted and has not ended.
type job struct {
	spec   *describer.Job
	queue  describer.Queue
	offset int64
	steps  []*step
	// runs are all that may run of the job, stopping ones included.
	runs      map[*run]bool
	cancelled bool
	begun     bool
	outcome   journaler.Outcome
	reason    string
	objective time.Time
	// batch is the newest one that has the job's progress.
	batch int64
}

// step is a step of an occurrence.
type step struct {
	job        *job
	occurrence int
	index      int
	spec       *describer.Step
	tasks      []*task
	left       int
	// checkpoint is the newest of any member of a gang.
	checkpoint string
	// gangFailures are the runs of the gang that failed.
	gangFailures map[int64]bool
	advice       advice
	rank         ranker.Rank
}

// task is a task of a step.
type task struct {
	step       *step
	index      int
	done       bool
	run        *run
	lastRun    int64
	failures   map[int64]bool
	checkpoint string
	// failedAt are the workers where the task failed.
	failedAt  map[string]bool
	notBefore time.Time
}

// run is a start of a task that may be at work.
type run struct {
	task *task
	// ref is the task's name; task is nil for a run of a job that is not known here.
	ref    describer.TaskRef
	job    *job
	number int64
	worker *worker
	charge describer.Resources
	sentAt time.Time
	// answeredAt is when the worker said that the run is there; zero while that is open.
	answeredAt time.Time
	unknown    bool
	stopping   bool
	stopSentAt time.Time
	// stopAckedAt is when the worker took the stop; the next look tells whether it is gone.
	stopAckedAt time.Time
	percent     int
}

func compareIDs(a, b describer.JobID) int { return cmp.Compare(a, b) }

// newJob returns a job as the log has it.
func newJob(entry *journaler.Entry) *job {
	j := &job{
		spec: entry.Job, queue: entry.Job.Queue, offset: entry.JobOffset,
		runs: make(map[*run]bool), cancelled: entry.Cancelled, begun: entry.Progress.Begun,
	}
	for k := range entry.Job.Occurrences() {
		for i := range entry.Job.Steps {
			j.steps = append(j.steps, newStep(j, k, i))
		}
	}
	for _, p := range entry.Progress.Steps {
		if s := j.step(p.Occurrence, p.Step); s != nil {
			s.restore(p)
		}
	}
	j.objective = entry.Job.Received.Add(time.Duration(j.stretch()*float64(j.chain())) + j.queue.Latency)
	return j
}

func newStep(j *job, occurrence, index int) *step {
	s := &step{job: j, occurrence: occurrence, index: index, spec: &j.spec.Steps[index]}
	s.tasks = make([]*task, s.spec.Count)
	for i := range s.tasks {
		s.tasks[i] = &task{step: s, index: i}
	}
	s.left = len(s.tasks)
	return s
}

func (j *job) stretch() float64 { return max(j.queue.Stretch, 1) }

// chain returns the longest chain of estimated work that is left.
func (j *job) chain() time.Duration {
	ends := make([]time.Duration, len(j.spec.Steps))
	longest := time.Duration(0)
	for i := range j.spec.Steps {
		begin := time.Duration(0)
		for _, before := range j.spec.Steps[i].After {
			begin = max(begin, ends[before])
		}
		ends[i] = begin
		if s := j.step(0, i); s != nil && s.left > 0 {
			ends[i] += j.spec.Steps[i].Estimate + j.queue.Advice.Decide
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// work returns the estimated processor time that is left, in core seconds.
func (j *job) work() float64 {
	sum := 0.0
	for _, s := range j.steps {
		sum += float64(s.left) * s.spec.Estimate.Seconds() * float64(s.spec.Need.MilliCPU) / 1000
	}
	return sum
}

func (j *job) step(occurrence, index int) *step {
	at := occurrence*len(j.spec.Steps) + index
	if index < 0 || index >= len(j.spec.Steps) || at >= len(j.steps) {
		return nil
	}
	return j.steps[at]
}

func (j *job) task(ref describer.TaskRef) *task {
	s := j.step(ref.Occurrence, ref.Step)
	if s == nil || ref.Index >= len(s.tasks) {
		return nil
	}
	return s.tasks[ref.Index]
}

// isOver reports whether nothing more is to be started.
func (j *job) isOver() bool { return j.cancelled || j.outcome != journaler.OutcomeNone }

// isDone reports whether all tasks are done.
func (j *job) isDone() bool {
	for _, s := range j.steps {
		if s.left > 0 {
			return false
		}
	}
	return true
}

// isReady reports whether a step's turn has come.
func (s *step) isReady(now time.Time) bool {
	if s.left == 0 || s.job.isOver() {
		return false
	}
	if due := s.job.spec.Due(s.occurrence); due.After(now) {
		return false
	}
	for _, before := range s.spec.After {
		if b := s.job.step(s.occurrence, before); b == nil || b.left > 0 {
			return false
		}
	}
	return true
}

func (s *step) ref() describer.StepRef {
	return describer.StepRef{Job: s.job.spec.ID, Occurrence: s.occurrence, Step: s.index}
}

func (t *task) ref() describer.TaskRef {
	return describer.TaskRef{Job: t.step.job.spec.ID, Occurrence: t.step.occurrence, Step: t.step.index, Index: t.index}
}

// isWaiting reports whether a task may be started.
func (t *task) isWaiting(now time.Time) bool {
	return !t.done && t.run == nil && !t.notBefore.After(now)
}

// waitingTasks counts the tasks that may be started.
func (s *step) waitingTasks(now time.Time) int {
	count := 0
	for _, t := range s.tasks {
		if t.isWaiting(now) {
			count++
		}
	}
	return count
}

// finish marks a task as done; it reports whether that is new.
func (t *task) finish() bool {
	if t.done {
		return false
	}
	t.done = true
	t.step.left--
	return true
}

// restore takes in what was kept of a step.
func (s *step) restore(p journaler.StepProgress) {
	for i := 0; i+1 < len(p.Done); i += 2 {
		for index := p.Done[i]; index <= p.Done[i+1] && index < len(s.tasks); index++ {
			s.tasks[index].finish()
		}
	}
	for index, runs := range p.Failed {
		if index >= len(s.tasks) {
			continue
		}
		for _, number := range runs {
			s.fail(s.tasks[index], number)
		}
	}
}

// fail counts a run that failed and returns how many did, of the task or of the gang.
func (s *step) fail(t *task, number int64) int {
	failures := &t.failures
	if s.spec.Gang {
		failures = &s.gangFailures
	}
	if *failures == nil {
		*failures = make(map[int64]bool)
	}
	(*failures)[number] = true
	return len(*failures)
}

// progress returns what must be kept of a job.
func (j *job) progress(epoch int64) journaler.Progress {
	p := journaler.Progress{Epoch: epoch, Begun: j.begun, Outcome: j.outcome, Reason: j.reason}
	if j.isOver() {
		return p
	}
	for _, s := range j.steps {
		if sp, worth := s.progress(); worth {
			p.Steps = append(p.Steps, sp)
		}
	}
	return p
}

func (s *step) progress() (journaler.StepProgress, bool) {
	p := journaler.StepProgress{Occurrence: s.occurrence, Step: s.index}
	add := func(index int, failures map[int64]bool) {
		if len(failures) == 0 {
			return
		}
		if p.Failed == nil {
			p.Failed = make(map[int][]int64)
		}
		for number := range failures {
			p.Failed[index] = append(p.Failed[index], number)
		}
		slices.Sort(p.Failed[index])
	}
	add(0, s.gangFailures)
	for i, t := range s.tasks {
		if t.done {
			if n := len(p.Done); n > 0 && p.Done[n-1] == i-1 {
				p.Done[n-1] = i
			} else {
				p.Done = append(p.Done, i, i)
			}
			continue
		}
		add(i, t.failures)
	}
	return p, len(p.Done) > 0 || len(p.Failed) > 0
}
