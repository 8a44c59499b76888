// Package reconciler tracks the runs at the workers of a cell from the order that starts them
// until they are resolved, that is until it is certain that they are not running and never will
// be. It works for the claim holder, the leader of the cell, and adopts the runs of former
// holders.
//
// # Usage
//
//	s := reconciler.New(r)
//	s.StartAnswered(now, start, verdict)
//	s.ApplyRunning(worker, running)
//	s.ApplyResult(worker, result)
//	s.Stop(run)
package reconciler

import (
	"time"

	"lentilrock.example/internal/fleet/breaker"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/monitor"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/fleet/pacer"
	"lentilrock.example/internal/fleet/ranker"
	"lentilrock.example/internal/fleet/registrar"
	"lentilrock.example/internal/fleet/tasker"
)

const (
	// taskRetryPause is the pause before a task that a worker refused is placed again.
	taskRetryPause = 50 * time.Millisecond
	// outlivedFactor and outlivedMargin are how much longer than a failed run one of the same step lasts on another worker that
	// shows that the step does well there.
	outlivedFactor = 2
	outlivedMargin = 200 * time.Millisecond
	// unknownJobGrace is how long a run of an unknown job may go on before it is stopped.
	unknownJobGrace = 2 * time.Second
)

// Reconciler tracks runs.
type Reconciler struct {
	*registrar.Registrar
	// ledger attributes failures to workers or jobs.
	ledger breaker.Ledger
	// confined are the tasks with starts that may still be carried out although their runs are resolved.
	confined []*tasker.Task
}

// New returns a reconciler for the jobs and workers of a registrar.
func New(r *registrar.Registrar) *Reconciler { return &Reconciler{Registrar: r} }

// ApplyRunning applies the state of a run that a worker lists as running. It stops the run if
// the job has ended, the task is done or another run of the task has replaced it.
func (s *Reconciler) ApplyRunning(w *monitor.Worker, running orderer.Running) {
	r, found := w.Runs[monitor.RunKey{Ref: running.Task, Number: running.Run}]
	if !found {
		r = s.Adopt(w, running)
	}
	if !found || r.ConfirmedAt.IsZero() {
		r.ConfirmedAt = s.Now
		s.startArrived(w, running.Task, running.Run)
	}
	r.Usage, r.Done = running.Usage, running.Percent
	if r.Task != nil {
		r.Task.WasListed = true
		r.Task.SaveCheckpoint(running.Checkpoint)
		s.recordProgress(w, r)
	}
	if r.Task == nil && s.isJobUnread(r) {
		s.link(r)
		return
	}
	if r.Task == nil || r.Job.IsOver() || r.Task.Done || r.Task.Run != r && !r.Task.Step.Spec.Speculative {
		s.Stop(r)
	}
}

// isJobUnread reports whether the job of a run is unknown but may still be read from the log.
func (s *Reconciler) isJobUnread(r *tasker.Run) bool {
	_, isKnown := s.State.Find(r.Ref.Job)
	return !isKnown && s.Now.Sub(r.SentAt) < unknownJobGrace
}

// Adopt adds a run that is not known yet, usually one that a former holder started, and returns
// it. Unless the step allows speculative copies, only the newest run of a task continues.
func (s *Reconciler) Adopt(w *monitor.Worker, running orderer.Running) *tasker.Run {
	r := &tasker.Run{
		Ref: running.Task, Number: running.Run, Worker: w.Info.ID, SentAt: s.Now, ConfirmedAt: s.Now,
		Charge: s.chargeOf(w, running.Task), Owner: s.ownerOf(w, running.Task), Percent: pacer.UnknownPercent, IsPartial: true,
	}
	w.Add(r)
	s.link(r)
	return r
}

// link connects an adopted run to its job and task, if the job is known.
func (s *Reconciler) link(r *tasker.Run) {
	j, found := s.Jobs[r.Ref.Job]
	if !found {
		return
	}
	t := j.Task(r.Ref)
	r.Job, r.Task, r.Owner = j, t, s.ownerOf(s.Workers[r.Worker], r.Ref)
	j.AddRun(r)
	if t == nil {
		return
	}
	t.LastRun = max(t.LastRun, r.Number)
	if !j.Begun {
		j.Begun = true
		s.Persister.MarkChanged(j)
	}
	s.keepNewest(t, r)
}

// chargeOf returns the resources that a task uses. A task of an unknown job is charged with the
// whole capacity of its worker.
func (s *Reconciler) chargeOf(w *monitor.Worker, ref describer.TaskRef) describer.Resources {
	entry, found := s.State.Find(ref.Job)
	if !found || ref.Step < 0 || ref.Step >= len(entry.Job.Steps) {
		s.Report("A worker runs a task of an unknown job. Its whole capacity counts as used.", "worker", w.Info.ID, "task", ref.String())
		return w.Info.Capacity
	}
	return entry.Job.Steps[ref.Step].Charge()
}

// ownerOf returns the workspace for whose limit a run on a worker counts.
func (s *Reconciler) ownerOf(w *monitor.Worker, ref describer.TaskRef) describer.Owner {
	entry, found := s.State.Find(ref.Job)
	switch {
	case !found:
		return describer.Owner{Need: w.Info.Capacity, IsUnknown: true}
	case ref.Step < 0 || ref.Step >= len(entry.Job.Steps):
		return describer.Owner{Workspace: entry.Job.Workspace, Need: w.Info.Capacity}
	}
	return entry.Job.Owner(ref.Step)
}

// keepNewest makes a run the current one of its task if it is newer. The older run is stopped
// unless the step allows speculative copies.
func (s *Reconciler) keepNewest(t *tasker.Task, r *tasker.Run) {
	if t.Run != nil && t.Run.Number >= r.Number {
		return
	}
	if t.Run != nil && !t.Step.Spec.Speculative {
		s.Stop(t.Run)
	}
	t.Run = r
}

// ApplyAbsent resolves a run that is missing in the reply to a poll, if the poll was sent after
// the worker had acknowledged the start or the stop of the run, or when its start could not arrive any more.
func (s *Reconciler) ApplyAbsent(r *tasker.Run, polledAt time.Time) {
	switch {
	case !r.StopAckedAt.IsZero() && polledAt.After(r.StopAckedAt):
		s.Resolve(r)
	case r.Stopping && polledAt.Sub(r.SentAt) >= monitor.MaxLateness:
		s.Report("A worker does not list a run that it did not acknowledge to stop. The run is lost.", "task", r.Ref.String(), "run", r.Number, "worker", r.Worker)
		s.Resolve(r)
	case !r.ConfirmedAt.IsZero() && !r.Stopping && polledAt.After(r.ConfirmedAt):
		s.Report("A worker no longer lists a run and reported no result. The run is lost.", "task", r.Ref.String(), "run", r.Number, "worker", r.Worker)
		s.Resolve(r)
	}
}

// Resolve removes a run that is not running and never will be, unless a later incarnation of its worker carries out its
// start. The caller must be certain of that: the task may start again at once.
func (s *Reconciler) Resolve(r *tasker.Run) {
	s.confine(r)
	s.resolve(r)
}

// resolve removes a run that is not running and never will be in any incarnation of its worker, or that confines its task.
func (s *Reconciler) resolve(r *tasker.Run) {
	w, found := s.Workers[r.Worker]
	if found {
		w.Remove(r)
	}
	if r.Job != nil {
		r.Job.RemoveRun(r)
		if found && w.IsClosed {
			// The persisted progress lists the run, and a later holder would wait for it.
			s.Persister.MarkChanged(r.Job)
		}
	}
	if r.Task == nil || r.Task.Run != r {
		return
	}
	r.Task.Run = newestRun(r.Task)
	s.stopGang(r)
}

// stopGang stops the other tasks of a gang after one was lost, since they can no longer
// complete.
func (s *Reconciler) stopGang(lost *tasker.Run) {
	step := lost.Task.Step
	if !step.Spec.Gang || step.RemainingTasks == 0 {
		return
	}
	for _, member := range step.KeptTasks() {
		if member.Run != nil && member.Run.Number == lost.Number {
			s.Stop(member.Run)
		}
	}
}

// ApplyResult applies the result of a run that has ended.
func (s *Reconciler) ApplyResult(w *monitor.Worker, result orderer.RunResult) {
	if j, found := s.Jobs[result.Task.Job]; found {
		if t := j.Task(result.Task); t != nil {
			t.LastRun = max(t.LastRun, result.Run)
			t.SaveCheckpoint(result.Checkpoint)
			s.countResult(w, t, result)
		}
	}
	s.startArrived(w, result.Task, result.Run)
	if r, found := w.Runs[monitor.RunKey{Ref: result.Task, Number: result.Run}]; found {
		if r.ConfirmedAt.IsZero() {
			r.ConfirmedAt = s.Now
		}
		s.Resolve(r)
	}
}

// countResult counts a success or failure for the task and the health of its worker.
func (s *Reconciler) countResult(w *monitor.Worker, t *tasker.Task, result orderer.RunResult) {
	switch result.Kind {
	case orderer.EndDone:
		if t.Step.Spec.LongRunning {
			s.longRunningEnded(w, t, result.Run)
			return
		}
		w.Breaker.Succeeded()
		t.Step.Successes.Add(w.Info.ID)
		s.recordDuration(w, t, result)
		s.taskDone(t, result.Run)
	case orderer.EndFailed:
		s.taskFailed(w, t, result.Run)
	}
}

// longRunningEnded counts the end as done of a run of a long-running task, which starts again like after any other end: only
// its job's cancellation ends it. The end is no failure of the task or the worker, and no success that would excuse others.
func (s *Reconciler) longRunningEnded(w *monitor.Worker, t *tasker.Task, number int64) {
	r, found := w.Runs[monitor.RunKey{Ref: t.Ref(), Number: number}]
	if !found || t.Step.Job.IsOver() {
		return
	}
	lasted := s.Now.Sub(r.SentAt)
	pause := t.PauseAfter(number, lasted)
	t.NotBefore = s.Now.Add(pause)
	s.Options.Count("long_running_ended")
	s.Report("A run of a long-running task ended as done. The task starts again.", "task", t.Ref().String(), "run", number, "worker", w.Info.ID,
		"lasted", lasted, "pause", pause)
}

// taskDone marks a task, or all tasks of its gang, as done by the run with the given number,
// and stops the other runs of the task.
func (s *Reconciler) taskDone(t *tasker.Task, number int64) {
	if !t.Finish() {
		return
	}
	j := t.Step.Job
	for _, r := range t.Runs() {
		if r.Number != number {
			s.Stop(r)
		}
	}
	if !j.IsOver() && j.IsDone() {
		j.Outcome = journaler.OutcomeCompleted
		s.Options.Observe("completion_seconds", s.Now.Sub(j.Spec.Received))
		isLate := j.Spec.Repeat == 0 && s.Now.After(j.Objective)
		switch {
		case isLate && ranker.IsExpired(j.Spec.Received, j.Objective, s.Now):
			s.Options.Count("jobs_expired")
		case isLate:
			s.Options.Count("jobs_late")
		}
		s.Report("A job completed.", "job", j.Spec.ID, "late", isLate)
	}
	s.Persister.MarkChanged(j)
}

// taskFailed counts a failed run for the task and the circuit breaker of its worker. The job
// fails once the task has used all attempts of its queue; a long-running task is restarted
// without limit.
func (s *Reconciler) taskFailed(w *monitor.Worker, t *tasker.Task, number int64) {
	j := t.Step.Job
	failures := t.Fail(number, w.Info.ID)
	s.Options.Count("runs_failed")
	s.Persister.MarkChanged(j)
	s.Report("A task failed.", "task", t.Ref().String(), "run", number, "worker", w.Info.ID, "failures", failures)
	step := t.Step.Ref()
	s.ledger.RecordFailure(s.Now, step, w.Info.ID, &t.Step.Successes, s.countOutlived(w, t, number))
	if w.Breaker.Failed(breaker.Failure{Step: step, At: s.Now, IsRepeated: len(t.FailedAt) > 1}, w.Info.ID, &s.ledger) {
		s.Report("The circuit breaker of a worker opened. It gets no tasks for a while.", "worker", w.Info.ID)
	}
	if t.Step.Spec.LongRunning || failures < max(j.Queue.MaxAttempts, 1) || j.IsOver() {
		return
	}
	j.Outcome, j.Reason = journaler.OutcomeFailed, "a task failed as often as its queue allows"
	s.Report("A job failed.", "job", j.Spec.ID, "task", t.Ref().String(), "failures", failures)
	s.StopAll(j)
}

// countOutlived returns the number of other workers on which a run of the same step has lasted much longer than a
// failed one, and goes on.
func (s *Reconciler) countOutlived(w *monitor.Worker, t *tasker.Task, number int64) int {
	failed, found := w.Runs[monitor.RunKey{Ref: t.Ref(), Number: number}]
	if !found {
		return 0
	}
	limit := outlivedFactor*s.Now.Sub(failed.SentAt) + outlivedMargin
	return t.Step.WorkersSince(s.Now.Add(-limit), w.Info.ID)
}

// newestRun returns the newest run of a task that is not being stopped, or nil.
func newestRun(t *tasker.Task) *tasker.Run {
	var newest *tasker.Run
	for _, r := range t.Runs() {
		if !r.Stopping && (newest == nil || r.Number > newest.Number) {
			newest = r
		}
	}
	return newest
}
