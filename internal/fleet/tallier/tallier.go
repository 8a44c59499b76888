// Package tallier numbers the steps and tasks of a job and tracks which of them are done, with a bit for each.
// The steps of the first occurrence come first, then those of the second, and so on; so do their tasks.
//
// # Usage
//
//	tally := tallier.New(job)
//	isNew := tally.FinishTask(step, index)
//	for step := tally.NextOpenStep(0); step < tally.StepCount(); step = tally.NextOpenStep(step + 1) {
//		isUnblocked, _ := tally.IsUnblocked(step)
//		...
//	}
package tallier

import (
	"sort"
	"time"

	"lentilrock.example/internal/container/clamper"
	"lentilrock.example/internal/container/marker"
	"lentilrock.example/internal/fleet/describer"
)

// Tally has the steps and tasks of a job that are done.
type Tally struct {
	job       *describer.Job
	doneTasks marker.Set
	doneSteps marker.Set
	// firstTasks has the number of the first task of each step of the first occurrence, and at the end the
	// number of tasks of an occurrence.
	firstTasks []int
	// remaining has the number of tasks that are not done, by index of the step, over all occurrences.
	remaining []int
	openSteps int
	path      cachedPath
	// lengths are the durations of the tasks of each step of an occurrence, and revision what they were computed for.
	lengths  []time.Duration
	revision int
}

// cachedPath is the length of a critical path, with what it was computed from.
type cachedPath struct {
	length    time.Duration
	decide    time.Duration
	openSteps int
	isKnown   bool
}

// New returns the tally of a job of which nothing is done.
func New(job *describer.Job) *Tally {
	t := &Tally{job: job, firstTasks: []int{0}, openSteps: len(job.Steps) * job.Occurrences()}
	tasks := 0
	for i := range job.Steps {
		tasks += job.Steps[i].Count
		t.firstTasks = append(t.firstTasks, tasks)
		t.lengths = append(t.lengths, job.Steps[i].Estimate)
		t.remaining = append(t.remaining, job.Steps[i].Count*job.Occurrences())
	}
	return t
}

// StepCount returns the number of steps of all occurrences.
func (t *Tally) StepCount() int { return len(t.job.Steps) * t.job.Occurrences() }

// TaskCount returns the number of tasks of all occurrences.
func (t *Tally) TaskCount() int { return t.firstTasks[len(t.job.Steps)] * t.job.Occurrences() }

// firstTask returns the number of the first task of a step.
func (t *Tally) firstTask(step int) int {
	steps := len(t.job.Steps)
	return step/steps*t.firstTasks[steps] + t.firstTasks[step%steps]
}

// IsTaskDone reports whether the task with an index of a step is done.
func (t *Tally) IsTaskDone(step, index int) bool { return t.doneTasks.Has(t.firstTask(step) + index) }

// IsStepDone reports whether all tasks of a step are done.
func (t *Tally) IsStepDone(step int) bool { return t.doneSteps.Has(step) }

// IsDone reports whether all tasks are done.
func (t *Tally) IsDone() bool { return t.openSteps == 0 }

// NextOpenTask returns the index of the first task of a step from index on that is not done, or the number of
// tasks of the step if there is none.
func (t *Tally) NextOpenTask(step, index int) int {
	first := t.firstTask(step)
	return min(t.doneTasks.NextMissing(first+index)-first, t.job.Steps[step%len(t.job.Steps)].Count)
}

// NextOpenStep returns the first step from the given one on that is not done, or a number from StepCount on if
// there is none.
func (t *Tally) NextOpenStep(step int) int { return t.doneSteps.NextMissing(step) }

// RemainingTasks returns the number of tasks of a step that are not done.
func (t *Tally) RemainingTasks(step int) int {
	if t.doneSteps.Has(step) {
		return 0
	}
	first, count := t.firstTask(step), t.job.Steps[step%len(t.job.Steps)].Count
	return count - t.doneTasks.Count(first, first+count)
}

// FinishTask records that a task is done. It returns false if it was done before, or if it is long-running and never is.
func (t *Tally) FinishTask(step, index int) bool {
	number := t.firstTask(step) + index
	if t.doneTasks.Has(number) || t.job.Steps[step%len(t.job.Steps)].LongRunning {
		return false
	}
	t.doneTasks.Add(number)
	t.remaining[step%len(t.job.Steps)]--
	return true
}

// FinishStep records that all tasks of a step are done.
func (t *Tally) FinishStep(step int) {
	t.doneSteps.Add(step)
	t.openSteps--
}

// IsUnblocked reports whether all steps are done that a step depends on, and how many of these it looked at.
func (t *Tally) IsUnblocked(step int) (isUnblocked bool, scanned int) {
	index := step % len(t.job.Steps)
	after := t.job.Steps[index].After
	for i, d := range after {
		if !t.doneSteps.Has(step - index + d) {
			return false, i + 1
		}
	}
	return true, len(after)
}

// SetLengths replaces the durations of the tasks of each step, which are the estimates at first, unless they were
// computed for the same revision. Revision 0 stands for the estimates. It reports whether it has replaced them.
func (t *Tally) SetLengths(revision int, length func(s *describer.Step) time.Duration) bool {
	if revision == t.revision {
		return false
	}
	t.revision, t.path.isKnown = revision, false
	for i := range t.job.Steps {
		t.lengths[i] = length(&t.job.Steps[i])
	}
	return true
}

// Length returns the duration of a task of the step with an index.
func (t *Tally) Length(index int) time.Duration { return t.lengths[index] }

// WholePath is like CriticalPath for all steps, those that are done included.
func (t *Tally) WholePath(decide time.Duration) time.Duration {
	return t.job.CriticalPath(func(index int) time.Duration { return clamper.Add(t.lengths[index], decide) })
}

// CriticalPath returns the length of the critical path of the remaining steps of the first occurrence: the
// longest chain of durations, each with the time that advice about a step takes.
func (t *Tally) CriticalPath(decide time.Duration) time.Duration {
	if t.path.isKnown && t.path.openSteps == t.openSteps && t.path.decide == decide {
		return t.path.length
	}
	length := t.job.CriticalPath(func(index int) time.Duration {
		if t.doneSteps.Has(index) {
			return 0
		}
		return clamper.Add(t.lengths[index], decide)
	})
	t.path = cachedPath{length: length, decide: decide, openSteps: t.openSteps, isKnown: true}
	return length
}

// Work returns the estimated processor time of the remaining tasks of the first occurrences, in core seconds, or of one
// occurrence more if none remains of these. No task of a later occurrence is done.
func (t *Tally) Work(occurrences int) float64 {
	sum, hasTasks := 0.0, false
	later := t.job.Occurrences() - occurrences
	for i, remaining := range t.remaining {
		spec := &t.job.Steps[i]
		count := max(remaining-later*spec.Count, 0)
		hasTasks = hasTasks || count > 0
		sum += float64(count) * t.lengths[i].Seconds() * float64(spec.Need.MilliCPU) / 1000
	}
	if !hasTasks && later > 0 {
		return t.Work(occurrences + 1)
	}
	return sum
}

// DoneTasks returns the tasks of a step, of count ones, that are done, as ranges in ascending order: pairs of first and
// last index.
func (t *Tally) DoneTasks(step, count int) []int {
	var ranges []int
	for index := range count {
		n := len(ranges)
		switch {
		case !t.IsTaskDone(step, index):
		case n > 0 && ranges[n-1] == index-1:
			ranges[n-1] = index
		default:
			ranges = append(ranges, index, index)
		}
	}
	return ranges
}

// Encode returns the tasks that are done in the encoding of package marker.
func (t *Tally) Encode() []byte { return t.doneTasks.Encode(t.TaskCount()) }

// Restore adds the tasks of an encoding to those that are done, but for the long-running ones, which former versions list if a
// run of them ended as done. No step must be done yet.
func (t *Tally) Restore(data []byte) {
	tasks := t.firstTasks[len(t.job.Steps)]
	for task := range marker.Decode(data, t.TaskCount()) {
		if step := sort.SearchInts(t.firstTasks, task%tasks+1) - 1; !t.job.Steps[step].LongRunning {
			t.doneTasks.Add(task)
		}
	}
	for step := range t.StepCount() {
		index := step % len(t.job.Steps)
		remaining := t.RemainingTasks(step)
		t.remaining[index] -= t.job.Steps[index].Count - remaining
		if remaining == 0 {
			t.FinishStep(step)
		}
	}
}
