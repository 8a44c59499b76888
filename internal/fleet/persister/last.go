package persister

import (
	"cmp"
	"slices"

	"lentilrock.example/internal/container/sorter"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/tasker"
)

// lastRuns returns the runs of a job that is over on closed workers, by step. A later holder counts them for the limit of the
// job's workspace until their workers reply or lose their leases.
func lastRuns(j *tasker.Job, closed map[string]bool) []journaler.StepProgress {
	count := len(j.Spec.Steps)
	byStep := make(map[int][]journaler.ClosedRun)
	for r := range j.Runs {
		if r.Task != nil && closed[r.Worker] {
			number := r.Task.Step.Occurrence*count + r.Task.Step.Index
			byStep[number] = append(byStep[number], journaler.ClosedRun{Worker: r.Worker, Index: r.Task.Index, Run: r.Number})
		}
	}
	var steps []journaler.StepProgress
	for _, number := range sorter.Keys(byStep) {
		runs := byStep[number]
		slices.SortFunc(runs, func(a, b journaler.ClosedRun) int {
			return cmp.Or(cmp.Compare(a.Index, b.Index), cmp.Compare(a.Run, b.Run))
		})
		steps = append(steps, journaler.StepProgress{Occurrence: number / count, Step: number % count, Closed: runs})
	}
	return steps
}
