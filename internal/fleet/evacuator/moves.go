package evacuator

import (
	"time"

	"lentilrock.example/internal/fleet/monitor"
	"lentilrock.example/internal/fleet/pacer"
	"lentilrock.example/internal/fleet/selector"
	"lentilrock.example/internal/fleet/tasker"
)

// leaveNotice is how long before a draining worker may leave its tasks are stopped that would be lost with it: long
// enough for the stop, its reply and the poll that shows the checkpoint.
const leaveNotice = 1500 * time.Millisecond

// moveOff stops tasks on drained workers, and on draining ones, so that they start elsewhere. The end of a run that was
// stopped is certain at once, while a worker that has left leaves its tasks waiting until its lease has expired.
func (e *Evacuator) moveOff() {
	for _, w := range e.Ordered {
		if !w.IsDrained && !w.Info.Draining {
			continue
		}
		for _, r := range w.Runs {
			if r.Stopping || r.Task == nil || r.ConfirmedAt.IsZero() {
				continue
			}
			if e.mustMove(w, r) {
				e.Report("A run is stopped, so that its task moves off a drained or draining worker.", "task", r.Ref.String(), "run", r.Number,
					"worker", w.Info.ID, "is_draining", w.Info.Draining, "leaves_at", w.LeavesAt, "done", r.Done)
				e.reconciler.Stop(r)
			}
		}
	}
}

// mustMove reports whether a run on a drained or draining worker is to be stopped now. Of each long-running step as many
// tasks at a time are moved as the step allows to be down, or one if the step sets no limit; off a draining worker only
// if there is room for them elsewhere. A task that may start on its worker only stays as long as it can. Tasks that save
// checkpoints go on until their worker may leave, others until it leaves.
func (e *Evacuator) mustMove(w *monitor.Worker, r *tasker.Run) bool {
	step := r.Task.Step
	isAboutToLeave := w.IsAboutToLeave(leaveNotice, e.Now)
	if !step.Spec.LongRunning {
		return isAboutToLeave && step.Spec.Checkpoints && !step.Spec.Gang && !endsBefore(r, w.LeavesAt, e.Now)
	}
	if isAboutToLeave {
		return true
	}
	mayMove := !r.Task.Confiner.IsPending(e.Now) && e.unavailableTasks(step, "") < max(step.Spec.MaxUnavailable, 1)
	return mayMove && (w.IsDrained || selector.HasRoomForOne(step, e.Ordered, e.Now))
}

// endsBefore reports whether a run ends before a time if it goes on as fast as it has.
func endsBefore(r *tasker.Run, end, now time.Time) bool {
	return r.Done > 0 && now.Sub(r.SentAt)*time.Duration(pacer.FullPercent-r.Done)/time.Duration(r.Done) < end.Sub(now)
}

// unavailableTasks returns the number of tasks of a long-running step that are unavailable. A task
// on a worker whose machine was ordered down is unavailable; the tasks on the named worker are not
// counted.
func (e *Evacuator) unavailableTasks(s *tasker.Step, worker string) int {
	count := s.Spec.Count
	for _, t := range s.KeptTasks() {
		isUp := t.Run != nil && t.Run.Done >= pacer.FullPercent && !t.Run.Stopping && !e.isGoingDown(t.Run.Worker)
		isOnWorker := t.Run != nil && t.Run.Worker == worker
		if isOnWorker || isUp {
			count--
		}
	}
	return count
}
