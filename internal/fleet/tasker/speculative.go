package tasker

import "time"

const (
	// copyAfter is how many times its expected duration a run takes before a copy is worth
	// its room: slow workers are up to some six times slower, sound ones differ by half.
	copyAfter = 2.5
	// copyMargin is added for the way of orders and answers.
	copyMargin = 300 * time.Millisecond
	// durationWeight smooths durations: one in four, as steps have few tasks.
	durationWeight = 4
)

// Copy returns the newest run of a task that is not being stopped, or nil.
func (t *Task) Copy() *Run {
	var newest *Run
	for r := range t.Step.Job.Runs {
		if r.Task == t && !r.Stopping && (newest == nil || r.Number > newest.Number) {
			newest = r
		}
	}
	return newest
}

// Copies counts the runs of a task that are not being stopped.
func (t *Task) Copies() int {
	count := 0
	for r := range t.Step.Job.Runs {
		if r.Task == t && !r.Stopping {
			count++
		}
	}
	return count
}

// LearnDuration takes in how long a run of the step took.
func (s *Step) LearnDuration(took time.Duration) {
	if s.typical == 0 {
		s.typical = took
	}
	s.typical += (took - s.typical) / durationWeight
}

// IsSlow reports whether the task's run takes so long that a copy is likely to end first.
func (t *Task) IsSlow(now time.Time) bool {
	expected := t.Step.typical
	if expected == 0 {
		expected = t.Step.Spec.Estimate
	}
	if expected == 0 || t.Run == nil {
		return false
	}
	return now.Sub(t.Run.SentAt) > time.Duration(copyAfter*float64(expected))+copyMargin
}

// Away counts the tasks of a lasting step that are not at work, those on one worker left
// aside. Tasks on workers that are about to go count as away.
func (s *Step) Away(worker string, isGoing func(worker string) bool) int {
	count := 0
	for _, t := range s.Tasks {
		isAtWork := t.Run != nil && t.Run.Done >= FullPercent && !t.Run.Stopping && !isGoing(t.Run.Worker)
		isThere := t.Run != nil && t.Run.Worker == worker
		if !isThere && !isAtWork {
			count++
		}
	}
	return count
}
