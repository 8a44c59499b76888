package reconciler

import (
	"time"

	"lentilrock.example/internal/container/clamper"
	"lentilrock.example/internal/fleet/monitor"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/fleet/tasker"
)

// minLearnSpeed is the speed of a worker below which the durations of its runs are not learned: they tell of the worker.
const minLearnSpeed = 0.6

// recordDuration learns from the duration of a run that is done.
func (s *Reconciler) recordDuration(w *monitor.Worker, t *tasker.Task, result orderer.RunResult) {
	r, found := w.Runs[monitor.RunKey{Ref: result.Task, Number: result.Run}]
	if !found || r.IsPartial {
		return
	}
	measured, spec := s.Now.Sub(r.SentAt), t.Step.Spec
	t.Step.Durations.Add(measured)
	if !isTypical(t) {
		return
	}
	if s.Estimator.IsLearned(t.Step.Job.Queue.Name) {
		s.Estimator.RecordEnd(w.Info.ID, s.Now, &r.Progress, measured, s.expected(w, t))
	}
	if s.Estimator.Speed(w.Info.ID) >= minLearnSpeed {
		s.Estimator.RecordDuration(t.Step.Job.Queue.Name, spec.Image, spec.Estimate, clamper.Scale(measured, 1/s.remoteFactor(w, t)))
	}
}

// recordProgress learns from the progress of an active run.
func (s *Reconciler) recordProgress(w *monitor.Worker, r *tasker.Run) {
	if !isTypical(r.Task) || r.Stopping || !s.Estimator.IsLearned(r.Job.Queue.Name) {
		return
	}
	s.Estimator.RecordProgress(w.Info.ID, s.Now, &r.Progress, r.Done, s.expected(w, r.Task))
}

// expected returns how long a run of a task takes on a worker of usual speed in the same rack.
func (s *Reconciler) expected(w *monitor.Worker, t *tasker.Task) time.Duration {
	typical := s.Estimator.Typical(t.Step.Job.Queue.Name, t.Step.Spec.Image, t.Step.Spec.Estimate)
	return clamper.Scale(typical, s.remoteFactor(w, t))
}

// remoteFactor returns how many times longer a task takes on a worker than near its data.
func (s *Reconciler) remoteFactor(w *monitor.Worker, t *tasker.Task) float64 {
	if rack := t.Step.Spec.DataRack; rack != "" && rack != w.Info.Rack {
		return s.Options.RemoteFactor
	}
	return 1
}

// isTypical reports whether the time that a run of a task takes tells of its duration and its worker alone: members of a gang
// wait for each other, and filler tasks are throttled.
func isTypical(t *tasker.Task) bool {
	spec := t.Step.Spec
	return !spec.LongRunning && !spec.Gang && !spec.IsFiller
}
