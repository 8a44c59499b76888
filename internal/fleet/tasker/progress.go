package tasker

import (
	"lentilrock.example/internal/container/sorter"
	"lentilrock.example/internal/fleet/journaler"
)

const (
	// maxListedSteps and maxListedTasks bound the jobs whose done tasks are listed by step, which hosts of
	// older versions read, too.
	maxListedSteps = 64
	maxListedTasks = 2048
)

// Progress returns the progress of a job to persist under an epoch. It includes the job's runs on
// closed workers, unless it is over.
func (j *Job) Progress(epoch int64, isClosed func(worker string) bool) journaler.Progress {
	p := journaler.Progress{Epoch: epoch, Begun: j.Begun, Outcome: j.Outcome, Reason: j.Reason}
	if j.IsOver() {
		p.HasNoRuns = j.HasNoRuns && len(j.Runs) == 0
		return p
	}
	if j.tally.StepCount() > maxListedSteps || j.tally.TaskCount() > maxListedTasks {
		p.Done = j.tally.Encode()
		for _, number := range sorter.Keys(j.steps) {
			if stored := j.steps[number].progress(isClosed); stored.HasContent() {
				p.Steps = append(p.Steps, stored)
			}
		}
		return p
	}
	for number := range j.tally.StepCount() {
		s := j.step(number)
		stored := s.progress(isClosed)
		stored.Done = j.tally.DoneTasks(number, s.Spec.Count)
		if stored.HasContent() {
			p.Steps = append(p.Steps, stored)
		}
	}
	return p
}

// restore applies the persisted progress of a job.
func (j *Job) restore(p journaler.Progress) {
	if len(p.Done) > 0 {
		j.tally.Restore(p.Done)
	}
	for _, stored := range p.Steps {
		if s := j.Step(stored.Occurrence, stored.Step); s != nil {
			s.restore(stored)
		}
	}
}

// progress returns the progress of a step, without the tasks that are done.
func (s *Step) progress(isClosed func(worker string) bool) journaler.StepProgress {
	p := journaler.StepProgress{Occurrence: s.Occurrence, Step: s.Index}
	p.SetFailures(0, s.gangHistory.Failures())
	for _, t := range s.KeptTasks() {
		if t.Done {
			continue
		}
		p.SetFailures(t.Index, t.history.Failures())
		for _, r := range t.runs {
			if isClosed(r.Worker) {
				p.Closed = append(p.Closed, journaler.ClosedRun{Worker: r.Worker, Index: t.Index, Run: r.Number})
			}
		}
	}
	return p
}

// restore applies the persisted progress of a step.
func (s *Step) restore(p journaler.StepProgress) {
	for index := range p.DoneTasks(s.Spec.Count) {
		s.Task(index).finish()
	}
	for index, runs := range p.Failed {
		if index < 0 || index >= s.Spec.Count || s.RemainingTasks == 0 {
			continue
		}
		t := s.Task(index)
		for _, number := range runs {
			t.countFailure(number)
		}
		if !t.Done {
			t.Keep()
		}
	}
}
