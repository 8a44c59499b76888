// Package settler follows the runs at the workers of a cell from the order that starts them
// until it is certain that they are not at work and never will be.
//
// # Usage
//
//	s := settler.New(r)
//	s.StartAnswered(now, start, verdict)
//	s.TakeRunning(worker, running)
//	s.TakeEnd(worker, end)
//	s.Stop(run)
package settler

import (
	"time"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/minder"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/fleet/registrar"
	"lentilrock.example/internal/fleet/tasker"
)

const (
	// refusedPause is the pause before a task is placed again that a worker refused.
	refusedPause = 50 * time.Millisecond
	// unknownGrace is how long a run of a job that is not known is left alone.
	unknownGrace = 2 * time.Second
)

// Settler follows runs.
type Settler struct {
	*registrar.Registrar
}

// New returns a settler of what a registrar holds.
func New(r *registrar.Registrar) *Settler { return &Settler{Registrar: r} }

// TakeRunning takes in a run that a worker lists. It is stopped where it is not wanted.
func (s *Settler) TakeRunning(w *minder.Worker, running orderer.Running) {
	r, found := w.Runs[minder.RunKey{Ref: running.Task, Number: running.Run}]
	if !found {
		r = s.Adopt(w, running)
	}
	if r.AnsweredAt.IsZero() {
		r.AnsweredAt = s.Now
	}
	r.Usage, r.Done = running.Usage, running.Percent
	if r.Task != nil {
		r.Task.SaveCheckpoint(running.Checkpoint)
	}
	if r.Task == nil && s.isNew(r) {
		s.link(r)
		return
	}
	if r.Task == nil || r.Job.IsOver() || r.Task.Done || r.Task.Run != r && !r.Task.Step.Spec.Speculative {
		s.Stop(r)
	}
}

// isNew reports whether the log may still tell of a run's job.
func (s *Settler) isNew(r *tasker.Run) bool {
	_, isKnown := s.State.Find(r.Ref.Job)
	return !isKnown && s.Now.Sub(r.SentAt) < unknownGrace
}

// Adopt takes in a run that this holder did not start. The newest run of a task stays.
func (s *Settler) Adopt(w *minder.Worker, running orderer.Running) *tasker.Run {
	r := &tasker.Run{
		Ref: running.Task, Number: running.Run, Worker: w.Info.ID, SentAt: s.Now, AnsweredAt: s.Now,
		Charge: s.chargeOf(w, running.Task), Percent: tasker.UnknownPercent,
	}
	w.Add(r)
	s.link(r)
	return r
}

// link finds the job of a run that this holder did not start.
func (s *Settler) link(r *tasker.Run) {
	j, found := s.Jobs[r.Ref.Job]
	if !found {
		return
	}
	r.Job = j
	j.Runs[r] = true
	t := j.Task(r.Ref)
	if t == nil {
		return
	}
	r.Task = t
	t.LastRun = max(t.LastRun, r.Number)
	if !j.Begun {
		j.Begun = true
		s.Saver.Changed(j)
	}
	s.prefer(t, r)
}

// chargeOf returns the room that a task takes; one that is not known takes all of it.
func (s *Settler) chargeOf(w *minder.Worker, ref describer.TaskRef) describer.Resources {
	entry, found := s.State.Find(ref.Job)
	if !found || ref.Step >= len(entry.Job.Steps) {
		s.Report("A worker runs what is not known.", "worker", w.Info.ID, "task", ref.String())
		return w.Info.Capacity
	}
	return entry.Job.Steps[ref.Step].Charge()
}

// prefer keeps the newer of two runs of a task and stops the other.
func (s *Settler) prefer(t *tasker.Task, r *tasker.Run) {
	if t.Run != nil && t.Run.Number >= r.Number {
		return
	}
	if t.Run != nil && !t.Step.Spec.Speculative {
		s.Stop(t.Run)
	}
	t.Run = r
}

// TakeAbsent handles a run that a look did not list.
func (s *Settler) TakeAbsent(r *tasker.Run, lookedAt time.Time) {
	switch {
	case !r.StopAckedAt.IsZero() && lookedAt.After(r.StopAckedAt):
		s.Settle(r)
	case !r.AnsweredAt.IsZero() && !r.Stopping && lookedAt.After(r.AnsweredAt):
		s.Report("A run has vanished.", "task", r.Ref.String(), "run", r.Number, "worker", r.Worker)
		s.Settle(r)
	}
}

// Settle takes a run away: it is certain that it is not at work and never will be.
func (s *Settler) Settle(r *tasker.Run) {
	if w, found := s.Workers[r.Worker]; found {
		w.Remove(r)
	}
	if r.Job != nil {
		delete(r.Job.Runs, r)
	}
	if r.Task == nil || r.Task.Run != r {
		return
	}
	r.Task.Run = r.Task.Copy()
	s.breakGang(r)
}

// breakGang stops the other members of a gang's run, which can't end any more.
func (s *Settler) breakGang(lost *tasker.Run) {
	step := lost.Task.Step
	if !step.Spec.Gang || step.Left == 0 {
		return
	}
	for _, member := range step.Tasks {
		if member.Run != nil && member.Run.Number == lost.Number {
			s.Stop(member.Run)
		}
	}
}

// TakeEnd takes in the end of a run.
func (s *Settler) TakeEnd(w *minder.Worker, end orderer.Ended) {
	if j, found := s.Jobs[end.Task.Job]; found {
		if t := j.Task(end.Task); t != nil {
			t.LastRun = max(t.LastRun, end.Run)
			t.SaveCheckpoint(end.Checkpoint)
			s.countEnd(w, t, end)
		}
	}
	if r, found := w.Runs[minder.RunKey{Ref: end.Task, Number: end.Run}]; found {
		s.Settle(r)
	}
}

func (s *Settler) countEnd(w *minder.Worker, t *tasker.Task, end orderer.Ended) {
	switch end.Kind {
	case orderer.EndDone:
		w.Trust.Succeeded()
		s.learnDuration(w, t, end)
		s.taskDone(t, end.Run)
	case orderer.EndFailed:
		s.taskFailed(w, t, end.Run)
	}
}

// learnDuration takes in how long a run took.
func (s *Settler) learnDuration(w *minder.Worker, t *tasker.Task, end orderer.Ended) {
	if r, found := w.Runs[minder.RunKey{Ref: end.Task, Number: end.Run}]; found {
		t.Step.LearnDuration(s.Now.Sub(r.SentAt))
	}
}

// taskDone marks a task, or all tasks of its gang, as done by a run, and stops other runs of
// the task.
func (s *Settler) taskDone(t *tasker.Task, number int64) {
	if !t.Finish() {
		return
	}
	j := t.Step.Job
	for r := range j.Runs {
		if r.Task == t && r.Number != number {
			s.Stop(r)
		}
	}
	if !j.IsOver() && j.IsDone() {
		j.Outcome = journaler.OutcomeCompleted
		s.Options.Observe("completion_seconds", s.Now.Sub(j.Spec.Received))
		s.Report("A job is completed.", "job", j.Spec.ID)
	}
	s.Saver.Changed(j)
}

// taskFailed counts a failure against the task and its worker.
func (s *Settler) taskFailed(w *minder.Worker, t *tasker.Task, number int64) {
	j := t.Step.Job
	failures := t.Fail(number, w.Info.ID)
	s.Options.Count("runs_failed")
	s.Saver.Changed(j)
	s.Report("A task failed.", "task", t.Ref().String(), "run", number, "worker", w.Info.ID, "failures", failures)
	if w.Trust.Failed(s.Now, j.Spec.ID) {
		s.Report("A worker is distrusted.", "worker", w.Info.ID)
	}
	if t.Step.Spec.LongRunning || failures < max(j.Queue.MaxAttempts, 1) || j.IsOver() {
		return
	}
	j.Outcome, j.Reason = journaler.OutcomeFailed, "a task failed as often as its queue allows"
	s.Report("A job failed.", "job", j.Spec.ID, "task", t.Ref().String(), "failures", failures)
	s.StopAll(j)
}
