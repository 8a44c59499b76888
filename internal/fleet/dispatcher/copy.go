package dispatcher

import (
	"lentilrock.example/internal/fleet/chooser"
	"lentilrock.example/internal/fleet/tasker"
)

// maxCopies bounds the runs of a task side by side.
const maxCopies = 2

// placeCopies starts copies of slow tasks, and of tasks at workers that do not answer, where
// the step allows them and room is left over.
func (d *Dispatcher) placeCopies() {
	for _, s := range tasker.Speculative(d.jobs, d.now) {
		for _, t := range s.Tasks {
			if !d.deservesCopy(t) {
				continue
			}
			w, ticket := d.chooser.Best(t, d.ordered, chooser.Plan{}, d.now)
			if w == nil {
				break
			}
			d.options.Report("A copy of a task starts.", "task", t.Ref().String(), "slow", t.Run.Worker, "worker", w.Info.ID)
			d.start(t, w, ticket, t.NextRun(d.options.Epoch))
		}
	}
}

// deservesCopy reports whether a second run of a task is likely to end before the first.
func (d *Dispatcher) deservesCopy(t *tasker.Task) bool {
	if t.Done || t.Run == nil || t.Copies() >= maxCopies {
		return false
	}
	w, found := d.workers[t.Run.Worker]
	isSilent := found && w.IsFailing && d.now.Sub(w.AnsweredAt) > silentAfter
	return isSilent || t.IsSlow(d.now)
}
