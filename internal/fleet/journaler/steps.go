package journaler

import (
	"cmp"
	"iter"
	"slices"

	"lentilrock.example/internal/container/sorter"
)

// ClosedSteps returns the progress of steps that has only runs on closed workers, which are given by the numbers of the
// steps. An occurrence has a number of steps.
func ClosedSteps(byStep map[int][]ClosedRun, stepsPerOccurrence int) []StepProgress {
	var steps []StepProgress
	for _, number := range sorter.Keys(byStep) {
		runs := byStep[number]
		slices.SortFunc(runs, func(a, b ClosedRun) int {
			return cmp.Or(cmp.Compare(a.Index, b.Index), cmp.Compare(a.Run, b.Run))
		})
		steps = append(steps, StepProgress{Occurrence: number / stepsPerOccurrence, Step: number % stepsPerOccurrence, Closed: runs})
	}
	return steps
}

// SetFailures sets the numbers of the failed runs of a task, if there are any.
func (s *StepProgress) SetFailures(index int, numbers []int64) {
	if len(numbers) == 0 {
		return
	}
	if s.Failed == nil {
		s.Failed = make(map[int][]int64)
	}
	s.Failed[index] = numbers
}

// DoneTasks returns the indexes below count of the tasks that are done. Ranges are in ascending order; one that is not,
// which no host has written, is passed over from the former one's end on.
func (s StepProgress) DoneTasks(count int) iter.Seq[int] {
	return func(yield func(int) bool) {
		next := 0
		for i := 0; i+1 < len(s.Done); i += 2 {
			for next = max(s.Done[i], next); next <= s.Done[i+1] && next < count; next++ {
				if !yield(next) {
					return
				}
			}
		}
	}
}
