package tasker

import (
	"time"

	"lentilrock.example/internal/container/clamper"
)

const (
	// copyFactor is how many times its expected duration a run takes before a speculative copy
	// is worth the capacity: slow workers are up to about six times slower than others, healthy
	// ones differ by half.
	copyFactor = 2.5
	// copyMargin is added for the transmission of orders and replies.
	copyMargin = 300 * time.Millisecond
	// durationWeight is the divisor of the moving average of durations: a new sample counts one
	// quarter, as steps have few tasks.
	durationWeight = 4
)

// NewestRun returns the newest run of a task that is not being stopped, or nil.
func (t *Task) NewestRun() *Run {
	var newest *Run
	for _, r := range t.runs {
		if !r.Stopping && (newest == nil || r.Number > newest.Number) {
			newest = r
		}
	}
	return newest
}

// ActiveRuns returns the number of runs of a task that are not being stopped.
func (t *Task) ActiveRuns() int {
	count := 0
	for _, r := range t.runs {
		if !r.Stopping {
			count++
		}
	}
	return count
}

// RecordDuration adds the duration of a run to the moving average of the step.
func (s *Step) RecordDuration(sample time.Duration) {
	if s.meanDuration == 0 {
		s.meanDuration = sample
	}
	s.meanDuration += (sample - s.meanDuration) / durationWeight
}

// IsStraggler reports whether the task's run takes so long that a speculative copy is likely to
// end first.
func (t *Task) IsStraggler(now time.Time) bool {
	expected := t.Step.meanDuration
	if expected == 0 {
		expected = t.Step.Spec.Estimate
	}
	if expected == 0 || t.Run == nil {
		return false
	}
	return now.Sub(t.Run.SentAt) > clamper.Add(clamper.Scale(expected, copyFactor), copyMargin)
}

// UnavailableTasks returns the number of tasks of a long-running step that are unavailable. A task
// on a worker whose machine was ordered down is unavailable; the tasks on the named worker are not
// counted.
func (s *Step) UnavailableTasks(worker string, isGoingDown func(worker string) bool) int {
	count := s.Spec.Count
	for _, t := range s.tasks {
		isUp := t.Run != nil && t.Run.Done >= FullPercent && !t.Run.Stopping && !isGoingDown(t.Run.Worker)
		isOnWorker := t.Run != nil && t.Run.Worker == worker
		if isOnWorker || isUp {
			count--
		}
	}
	return count
}
