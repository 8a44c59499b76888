package tracker

import (
	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/container/sorter"
	"lentilrock.example/internal/core/breaker"
	"lentilrock.example/internal/core/tasker"
)

// Tasks returns the tasks of the held shards, ordered by job and index.
func (t *Tracker) Tasks() []tasker.View {
	views := make([]tasker.View, 0, len(t.tasks))
	for _, id := range tasker.SortedIDs(t.tasks) {
		k := t.tasks[id]
		view := k.View()
		if k.Machine.State() == tasker.StateQueued {
			_, view.Since, view.Reason = t.planner.PendingTasks(id.Job)
		}
		views = append(views, view)
	}
	return views
}

// CountStates returns the number of tasks of a job in each state.
func (t *Tracker) CountStates(id descriptor.JobID) map[string]int {
	counts := make(map[string]int)
	for _, k := range t.byJob[id] {
		counts[string(k.Machine.State())]++
	}
	return counts
}

// WorkerView is the operator's view of a worker.
type WorkerView struct {
	Host  descriptor.Host
	State string          // The first that applies: lost, silent, reading, leaving, drained, probing, held_back, open.
	Tasks int             // The number of tasks that are assigned to the worker.
	Free  descriptor.Size // The capacity not assigned to tasks; negative if more is assigned than the worker has.
}

// Workers returns the workers of the held shards, sorted by name.
func (t *Tracker) Workers() []WorkerView {
	views := make([]WorkerView, 0, len(t.workers))
	for _, n := range sorter.Keys(t.workers) {
		w := t.workers[n]
		views = append(views, WorkerView{
			Host: w.host, State: t.workerState(w), Tasks: len(w.tasks), Free: t.planner.Pool().Free(n),
		})
	}
	return views
}

func (t *Tracker) workerState(w *worker) string {
	switch {
	case w.isLost:
		return "lost"
	case w.isUnresponsive:
		return "silent"
	case !w.hasInventory:
		return "reading"
	case w.isLeaving:
		return "leaving"
	case t.drains.Covers(w.host):
		return "drained"
	case t.health.IsProbing(w.host.Name):
		return "probing"
	case t.health.IsQuarantined(w.host.Name):
		return "held_back"
	}
	return "open"
}

// Quarantines returns the quarantined workers, sorted by name.
func (t *Tracker) Quarantines() []breaker.Quarantine { return t.health.Quarantines() }
