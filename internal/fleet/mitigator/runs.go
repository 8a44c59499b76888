package mitigator

import (
	"cmp"
	"slices"

	"lentilrock.example/internal/fleet/monitor"
	"lentilrock.example/internal/fleet/tasker"
)

// maxMoves is how many times a task is stopped to start elsewhere, so that it ends even if speeds are measured wrongly.
const maxMoves = 2

// ActiveRuns returns the number of runs of a task that are not being stopped.
func ActiveRuns(t *tasker.Task) int {
	count := 0
	for _, r := range t.Runs() {
		if !r.Stopping {
			count++
		}
	}
	return count
}

// Movable returns the runs at a worker whose tasks end sooner elsewhere, those with the least work done first.
func Movable(w *monitor.Worker, caseOf func(r *tasker.Run, w *monitor.Worker) Case) []*tasker.Run {
	var runs []*tasker.Run
	for _, r := range w.Runs {
		if r.Task == nil || r.Task.Run != r || r.Stopping || r.ConfirmedAt.IsZero() || r.Task.Done || r.Task.Moves >= maxMoves || r.Job.IsOver() {
			continue
		}
		if spec := r.Task.Step.Spec; spec.LongRunning || spec.Gang || spec.IsFiller || spec.Speculative {
			continue
		}
		c := caseOf(r, w)
		c.MayMove = true
		if Decide(c) == Move {
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, func(a, b *tasker.Run) int {
		return cmp.Or(cmp.Compare(a.Done, b.Done), cmp.Compare(a.Ref.String(), b.Ref.String()))
	})
	return runs
}
