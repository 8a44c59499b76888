// Package watcher follows the workers of a cell: which are listed, which answer, what they
// say runs and ended, and when one that is silent can run nothing any more.
//
// # Usage
//
//	h := watcher.New(r, settler, governor)
//	h.SetWorkers(now, listed)
//	look, isKnown := h.NextLook(now, id)
//	h.Looked(now, look, inventory, verdict)
//	h.Tick()
package watcher

import (
	"iter"
	"slices"
	"strings"
	"time"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/governor"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/leaser"
	"lentilrock.example/internal/fleet/minder"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/fleet/registrar"
	"lentilrock.example/internal/fleet/settler"
)

// renewalSlack is how long a former holder may go on renewing until a worker refuses it.
const renewalSlack = 2 * time.Second

// Watcher follows workers.
type Watcher struct {
	*registrar.Registrar
	settler  *settler.Settler
	governor *governor.Governor
}

// New returns a watcher of what a registrar holds.
func New(r *registrar.Registrar, s *settler.Settler, g *governor.Governor) *Watcher {
	return &Watcher{Registrar: r, settler: s, governor: g}
}

// WorkerIDs returns the workers to look after, in order. It is read at each tick, so it makes
// no list of them.
func (h *Watcher) WorkerIDs() iter.Seq[string] {
	return func(yield func(string) bool) {
		for _, w := range h.Ordered {
			if !yield(w.Info.ID) {
				return
			}
		}
	}
}

// SetWorkers takes in the host list. A worker that is missing is kept until it can run
// nothing any more.
func (h *Watcher) SetWorkers(now time.Time, listed []describer.Worker) {
	h.Now = now
	for _, w := range h.Ordered {
		w.IsListed = false
	}
	for _, info := range listed {
		w, found := h.Workers[info.ID]
		if !found {
			w = h.add(info)
			h.Saver.RosterChanged()
		}
		if found && info.Draining && !w.Info.Draining {
			h.Report("A worker drains.", "worker", info.ID, "remaining", info.Remaining, "runs", len(w.Runs))
		}
		w.Info, w.IsListed = info, true
	}
	slices.SortFunc(h.Ordered, func(a, b *minder.Worker) int { return strings.Compare(a.Info.ID, b.Info.ID) })
}

// Suspect takes in the workers and runs that a former holder kept.
func (h *Watcher) Suspect(roster journaler.Roster, jobs []*journaler.Entry) {
	for _, member := range roster.Members {
		w := h.add(describer.Worker{ID: member.ID, Address: member.Address})
		w.IsSilent, w.IsEnrolled = member.IsSilent, !member.IsSilent
	}
	for _, entry := range jobs {
		h.adoptSilent(entry)
	}
}

// add adds a worker at which a former holder may have runs.
func (h *Watcher) add(info describer.Worker) *minder.Worker {
	w := minder.New(info, h.ClaimedAt.Add(leaser.LapseOf(h.Options.FormerLease)+renewalSlack))
	h.Workers[info.ID] = w
	h.Ordered = append(h.Ordered, w)
	return w
}

// forget drops workers that are not listed and can run nothing.
func (h *Watcher) forget() {
	h.Ordered = slices.DeleteFunc(h.Ordered, func(w *minder.Worker) bool {
		if w.IsListed || len(w.Runs) > 0 || !w.HasLapsed(h.Now) {
			return false
		}
		h.Report("A worker is gone.", "worker", w.Info.ID)
		delete(h.Workers, w.Info.ID)
		h.Saver.RosterChanged()
		return true
	})
}

// Tick settles what silent workers can't run any more and forgets those that are gone.
func (h *Watcher) Tick() {
	for _, w := range h.Ordered {
		w.IsDrained = h.State.IsDrained(w.Info.ID, w.Info.Rack)
		h.tick(w)
	}
	h.forget()
}

// tick settles what a silent worker can't run any more and repeats orders.
func (h *Watcher) tick(w *minder.Worker) {
	isGone := w.HasLapsed(h.Now) || w.HasLeft()
	h.watchSilence(w)
	for _, r := range w.Runs {
		switch {
		case isGone:
			h.Options.Count("runs_lost")
			h.Report("A run is lost with its worker.", "task", r.Ref.String(), "run", r.Number, "worker", w.Info.ID)
			h.settler.Settle(r)
		case r.Stopping && r.StopAckedAt.IsZero() && h.Now.Sub(r.StopSentAt) >= minder.RetryPause && !w.IsFailing:
			h.settler.SendStop(r)
		}
	}
}

// watchSilence keeps the runs at a worker that does not answer, so that a later holder need
// not suspect it of any other, and takes the worker back when it answers.
func (h *Watcher) watchSilence(w *minder.Worker) {
	isSilent := w.IsSynced && w.IsFailing && h.Now.Sub(w.AnsweredAt) > minder.SilentAfter
	if w.IsSilent == isSilent || !w.IsSynced {
		return
	}
	w.IsSilent, w.IsEnrolled, w.RosterBatch = isSilent, false, 0
	h.Saver.RosterChanged()
	for _, r := range w.Runs {
		if r.Job != nil {
			h.Saver.Changed(r.Job)
		}
	}
}

// adoptSilent takes in the runs that a former holder had at workers that did not answer.
func (h *Watcher) adoptSilent(entry *journaler.Entry) {
	j, found := h.Jobs[entry.ID]
	if !found {
		return
	}
	for _, p := range entry.Progress.Steps {
		for _, silent := range p.Silent {
			w, known := h.Workers[silent.Worker]
			ref := describer.TaskRef{Job: entry.ID, Occurrence: p.Occurrence, Step: p.Step, Index: silent.Index}
			if !known || j.Task(ref) == nil {
				continue
			}
			h.settler.Adopt(w, orderer.Running{Task: ref, Run: silent.Run})
		}
	}
}
