package tracker

import (
	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/container/sorter"
	"lentilrock.example/internal/core/blamer"
	"lentilrock.example/internal/core/tasker"
)

// Tasks lists the tasks of the held shards by name.
func (t *Tracker) Tasks() []tasker.View {
	views := make([]tasker.View, 0, len(t.tasks))
	for _, id := range tasker.SortedIDs(t.tasks) {
		k := t.tasks[id]
		view := k.View()
		if k.Machine.State() == tasker.StateQueued {
			_, view.Since, view.Reason = t.planner.Waiting(id.Job)
		}
		views = append(views, view)
	}
	return views
}

// CountStates counts the tasks of a job by state.
func (t *Tracker) CountStates(id descriptor.JobID) map[string]int {
	counts := make(map[string]int)
	for _, k := range t.byJob[id] {
		counts[string(k.Machine.State())]++
	}
	return counts
}

// WorkerView is a worker as operators see it.
type WorkerView struct {
	Host  descriptor.Host
	State string
	Tasks int
	Free  descriptor.Size
}

// Workers lists the workers of the held shards by name.
func (t *Tracker) Workers() []WorkerView {
	views := make([]WorkerView, 0, len(t.workers))
	for _, name := range sorter.Keys(t.workers) {
		w := t.workers[name]
		views = append(views, WorkerView{
			Host: w.host, State: t.stateOf(w), Tasks: len(w.tasks), Free: t.planner.Pool().Free(name),
		})
	}
	return views
}

func (t *Tracker) stateOf(w *worker) string {
	switch {
	case w.lost:
		return "lost"
	case w.silent:
		return "silent"
	case !w.read:
		return "reading"
	case w.leaving:
		return "leaving"
	case t.drains.Covers(w.host):
		return "drained"
	case t.blame.IsProbing(w.host.Name):
		return "probing"
	case t.blame.IsHeld(w.host.Name):
		return "held_back"
	}
	return "open"
}

// Holds lists the workers that are held back.
func (t *Tracker) Holds() []blamer.Hold { return t.blame.Holds() }
