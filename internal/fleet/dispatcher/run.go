package dispatcher

import (
	"time"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/minder"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/fleet/tasker"
)

// takeRunning takes in a run that a worker lists. It is stopped where it is not wanted.
func (d *Dispatcher) takeRunning(w *minder.Worker, running orderer.Running) {
	r, found := w.Runs[minder.RunKey{Ref: running.Task, Number: running.Run}]
	if !found {
		r = d.adopt(w, running)
	}
	if r.AnsweredAt.IsZero() {
		r.AnsweredAt = d.now
	}
	r.Usage = running.Usage
	if r.Task != nil {
		r.Task.SaveCheckpoint(running.Checkpoint)
	}
	if r.Task == nil && d.now.Sub(r.SentAt) < unknownGrace && !d.state.IsKnown(running.Task.Job) {
		d.link(r)
		return
	}
	if r.Task == nil || r.Job.IsOver() || r.Task.Done || r.Task.Run != r && !r.Task.Step.Spec.Speculative {
		d.stop(r)
	}
}

// adopt takes in a run that this holder did not start. The newest run of a task stays.
func (d *Dispatcher) adopt(w *minder.Worker, running orderer.Running) *tasker.Run {
	r := &tasker.Run{
		Ref: running.Task, Number: running.Run, Worker: w.Info.ID, SentAt: d.now, AnsweredAt: d.now,
		Charge: d.chargeOf(w, running.Task), Percent: unknownPercent,
	}
	w.Add(r)
	d.link(r)
	return r
}

// link finds the job of a run that this holder did not start.
func (d *Dispatcher) link(r *tasker.Run) {
	j, found := d.jobs[r.Ref.Job]
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
		d.saver.Changed(j)
	}
	d.prefer(t, r)
}

// chargeOf returns the room that a task takes; one that is not known takes all of it.
func (d *Dispatcher) chargeOf(w *minder.Worker, ref describer.TaskRef) describer.Resources {
	if !d.state.IsKnown(ref.Job) || ref.Step >= len(d.state.Jobs[ref.Job].Job.Steps) {
		d.options.Report("A worker runs what is not known.", "worker", w.Info.ID, "task", ref.String())
		return w.Info.Capacity
	}
	return d.state.Jobs[ref.Job].Job.Steps[ref.Step].Charge()
}

// prefer keeps the newer of two runs of a task and stops the other.
func (d *Dispatcher) prefer(t *tasker.Task, r *tasker.Run) {
	if t.Run != nil && t.Run.Number >= r.Number {
		return
	}
	if t.Run != nil && !t.Step.Spec.Speculative {
		d.stop(t.Run)
	}
	t.Run = r
}

// takeAbsent handles a run that a look did not list.
func (d *Dispatcher) takeAbsent(r *tasker.Run, lookedAt time.Time) {
	switch {
	case !r.StopAckedAt.IsZero() && lookedAt.After(r.StopAckedAt):
		d.settle(r)
	case !r.AnsweredAt.IsZero() && !r.Stopping && lookedAt.After(r.AnsweredAt):
		d.options.Report("A run has vanished.", "task", r.Ref.String(), "run", r.Number, "worker", r.Worker)
		d.settle(r)
	}
}

// settle takes a run away: it is certain that it is not at work and never will be.
func (d *Dispatcher) settle(r *tasker.Run) {
	if w, found := d.workers[r.Worker]; found {
		w.Remove(r)
	}
	if r.Job != nil {
		delete(r.Job.Runs, r)
	}
	if r.Task == nil || r.Task.Run != r {
		return
	}
	r.Task.Run = r.Task.Copy()
	d.breakGang(r)
}

// breakGang stops the other members of a gang's run, which can't end any more.
func (d *Dispatcher) breakGang(lost *tasker.Run) {
	s := lost.Task.Step
	if !s.Spec.Gang || s.Left == 0 {
		return
	}
	for _, member := range s.Tasks {
		if member.Run != nil && member.Run.Number == lost.Number {
			d.stop(member.Run)
		}
	}
}

// takeEnd takes in the end of a run.
func (d *Dispatcher) takeEnd(w *minder.Worker, end orderer.Ended) {
	if j, found := d.jobs[end.Task.Job]; found {
		if t := j.Task(end.Task); t != nil {
			t.LastRun = max(t.LastRun, end.Run)
			t.SaveCheckpoint(end.Checkpoint)
			d.countEnd(w, t, end)
		}
	}
	if r, found := w.Runs[minder.RunKey{Ref: end.Task, Number: end.Run}]; found {
		d.settle(r)
	}
}

func (d *Dispatcher) countEnd(w *minder.Worker, t *tasker.Task, end orderer.Ended) {
	switch end.Kind {
	case orderer.EndDone:
		w.Trust.Succeeded()
		d.learnDuration(w, t, end)
		d.taskDone(t, end.Run)
	case orderer.EndFailed:
		d.taskFailed(w, t, end.Run)
	}
}

// learnDuration takes in how long a run took.
func (d *Dispatcher) learnDuration(w *minder.Worker, t *tasker.Task, end orderer.Ended) {
	if r, found := w.Runs[minder.RunKey{Ref: end.Task, Number: end.Run}]; found {
		t.Step.LearnDuration(d.now.Sub(r.SentAt))
	}
}

// taskDone marks a task, or all tasks of its gang, as done by a run, and stops other runs of
// the task.
func (d *Dispatcher) taskDone(t *tasker.Task, number int64) {
	if !t.Finish() {
		return
	}
	j := t.Step.Job
	for r := range j.Runs {
		if r.Task == t && r.Number != number {
			d.stop(r)
		}
	}
	if !j.IsOver() && j.IsDone() {
		j.Outcome = journaler.OutcomeCompleted
		d.options.Report("A job is completed.", "job", j.Spec.ID)
	}
	d.saver.Changed(j)
}

// taskFailed counts a failure against the task and its worker.
func (d *Dispatcher) taskFailed(w *minder.Worker, t *tasker.Task, number int64) {
	j := t.Step.Job
	failures := t.Fail(number, w.Info.ID)
	d.saver.Changed(j)
	d.options.Report("A task failed.", "task", t.Ref().String(), "run", number, "worker", w.Info.ID, "failures", failures)
	if w.Trust.Failed(d.now, j.Spec.ID) {
		d.options.Report("A worker is distrusted.", "worker", w.Info.ID)
	}
	if t.Step.Spec.LongRunning || failures < max(j.Queue.MaxAttempts, 1) || j.IsOver() {
		return
	}
	j.Outcome, j.Reason = journaler.OutcomeFailed, "a task failed as often as its queue allows"
	d.options.Report("A job failed.", "job", j.Spec.ID, "task", t.Ref().String(), "failures", failures)
	d.endJob(j)
}

// stop ends a run at its worker, unless that is under way.
func (d *Dispatcher) stop(r *tasker.Run) {
	if r.Stopping {
		return
	}
	r.Stopping = true
	d.sendStop(r)
}

func (d *Dispatcher) sendStop(r *tasker.Run) {
	w, found := d.workers[r.Worker]
	if !found {
		return
	}
	r.StopSentAt = d.now
	d.order(orderer.Stop{Worker: w.Info, Task: r.Ref, Run: r.Number, Token: d.options.Epoch})
}

// runAt returns a run at a worker, or nil where it was settled.
func (d *Dispatcher) runAt(id string, ref describer.TaskRef, number int64) (*minder.Worker, *tasker.Run) {
	w, found := d.workers[id]
	if !found {
		return nil, nil
	}
	return w, w.Runs[minder.RunKey{Ref: ref, Number: number}]
}

// StartAnswered takes in what became of a start.
func (d *Dispatcher) StartAnswered(now time.Time, start orderer.Start, verdict orderer.Verdict) {
	d.now = now
	w, r := d.runAt(start.Worker.ID, start.Task, start.Run)
	if r == nil {
		return
	}
	if verdict != orderer.Accepted {
		d.options.Report("A start was not taken.", "task", start.Task.String(), "run", start.Run,
			"worker", w.Info.ID, "verdict", verdict.String())
	}
	switch verdict {
	case orderer.Accepted:
		r.AnsweredAt = now
		w.Measure(now.Sub(r.SentAt))
	case orderer.Unknown:
		if r.AnsweredAt.IsZero() {
			w.IsDoubted = true
			d.stop(r)
		}
	case orderer.Fenced:
		d.isFenced = true
	default:
		d.startRefused(w, r, verdict)
	}
}

// startRefused takes back a start that the worker did not and will not carry out.
func (d *Dispatcher) startRefused(w *minder.Worker, r *tasker.Run, verdict orderer.Verdict) {
	if t := r.Task; t != nil {
		switch verdict {
		case orderer.BadTicket:
			t.Step.Advice.Drop(w.Info.ID)
		case orderer.Superseded:
			t.LastRun += tasker.RunsPerEpoch
		case orderer.Unhealthy, orderer.NotSent:
			w.Trust.Refused(d.now)
		}
		t.NotBefore = d.now.Add(refusedPause)
	}
	d.settle(r)
}

// StopAnswered takes in what became of a stop.
func (d *Dispatcher) StopAnswered(now time.Time, stop orderer.Stop, verdict orderer.Verdict) {
	d.now = now
	w, r := d.runAt(stop.Worker.ID, stop.Task, stop.Run)
	if r == nil {
		return
	}
	switch verdict {
	case orderer.Fenced:
		d.isFenced = true
	case orderer.Unknown, orderer.NotSent, orderer.OtherIncarnation, orderer.Unhealthy:
		// The stop is sent again.
	default:
		r.StopAckedAt = now
		d.lookNow(w)
	}
}
