package dispatcher

import (
	"slices"
	"strings"
	"time"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/leaser"
	"lentilrock.example/internal/fleet/minder"
	"lentilrock.example/internal/fleet/orderer"
)

// WorkerIDs returns the workers to look after, in order.
func (d *Dispatcher) WorkerIDs() []string {
	ids := make([]string, 0, len(d.ordered))
	for _, w := range d.ordered {
		ids = append(ids, w.Info.ID)
	}
	return ids
}

// SetWorkers takes in the host list. A worker that is missing is kept until it can run
// nothing any more.
func (d *Dispatcher) SetWorkers(now time.Time, listed []describer.Worker) {
	d.now = now
	for _, w := range d.ordered {
		w.IsListed = false
	}
	for _, info := range listed {
		w, found := d.workers[info.ID]
		if !found {
			w = d.addWorker(info)
			d.saver.RosterChanged()
		}
		if found && info.Draining && !w.Info.Draining {
			d.options.Report("A worker drains.", "worker", info.ID, "remaining", info.Remaining, "runs", len(w.Runs))
		}
		w.Info, w.IsListed = info, true
	}
	slices.SortFunc(d.ordered, func(a, b *minder.Worker) int { return strings.Compare(a.Info.ID, b.Info.ID) })
}

// addWorker adds a worker at which a former holder may have runs.
func (d *Dispatcher) addWorker(info describer.Worker) *minder.Worker {
	w := minder.New(info, d.claimedAt.Add(leaser.LapseOf(d.options.HoldMax)+renewalSlack))
	d.workers[info.ID] = w
	d.ordered = append(d.ordered, w)
	return w
}

// forgetWorkers drops workers that are not listed and can run nothing.
func (d *Dispatcher) forgetWorkers() {
	d.ordered = slices.DeleteFunc(d.ordered, func(w *minder.Worker) bool {
		if w.IsListed || len(w.Runs) > 0 || !w.HasLapsed(d.now) {
			return false
		}
		d.options.Report("A worker is gone.", "worker", w.Info.ID)
		delete(d.workers, w.Info.ID)
		d.saver.RosterChanged()
		return true
	})
}

// tickWorker settles what a silent worker can't run any more and repeats orders.
func (d *Dispatcher) tickWorker(w *minder.Worker) {
	isGone := w.HasLapsed(d.now) || w.HasLeft()
	d.watchSilence(w)
	for _, r := range w.Runs {
		switch {
		case isGone:
			d.options.Report("A run is lost with its worker.", "task", r.Ref.String(), "run", r.Number, "worker", w.Info.ID)
			d.settle(r)
		case r.Stopping && r.StopAckedAt.IsZero() && d.now.Sub(r.StopSentAt) >= retryPause && !w.IsFailing:
			d.sendStop(r)
		}
	}
}

// watchSilence keeps the runs at a worker that does not answer, so that a later holder need
// not suspect it of any other, and takes the worker back when it answers.
func (d *Dispatcher) watchSilence(w *minder.Worker) {
	isSilent := w.IsSynced && w.IsFailing && d.now.Sub(w.AnsweredAt) > silentAfter
	if w.IsSilent == isSilent || !w.IsSynced {
		return
	}
	w.IsSilent, w.IsEnrolled, w.RosterBatch = isSilent, false, 0
	d.saver.RosterChanged()
	for _, r := range w.Runs {
		if r.Job != nil {
			d.saver.Changed(r.Job)
		}
	}
}

// adoptSilent takes in the runs that a former holder had at workers that did not answer.
func (d *Dispatcher) adoptSilent(entry *journaler.Entry) {
	j, found := d.jobs[entry.ID]
	if !found {
		return
	}
	for _, p := range entry.Progress.Steps {
		for _, silent := range p.Silent {
			w, known := d.workers[silent.Worker]
			ref := describer.TaskRef{Job: entry.ID, Occurrence: p.Occurrence, Step: p.Step, Index: silent.Index}
			if !known || j.Task(ref) == nil {
				continue
			}
			d.adopt(w, orderer.Running{Task: ref, Run: silent.Run})
		}
	}
}

// NextLook returns the next look at a worker; false means that the worker is gone. A worker
// that does not answer, or has not under the present token, is promised nothing: what it may
// run has to lapse some time.
func (d *Dispatcher) NextLook(now time.Time, id string) (orderer.Look, bool) {
	w, found := d.workers[id]
	if !found {
		return orderer.Look{}, false
	}
	d.now = now
	return d.look(w), true
}

func (d *Dispatcher) look(w *minder.Worker) orderer.Look {
	now := d.now
	look := orderer.Look{Worker: w.Info, Token: d.options.Epoch, Acknowledged: w.Ends.Acknowledged(), SentAt: now}
	if w.IsSynced && !w.IsFailing {
		look.Wait = d.options.LookWait
		look.Deadline = w.Lease.Extend(now, d.options.Lease)
	}
	return look
}

// lookNow looks at a worker beside its usual looks, without a wait.
func (d *Dispatcher) lookNow(w *minder.Worker) {
	look := d.look(w)
	look.Wait = 0
	d.order(look)
}

// Looked takes in the answer to a look.
func (d *Dispatcher) Looked(now time.Time, look orderer.Look, inventory orderer.Inventory, verdict orderer.Verdict) {
	d.now = now
	w, found := d.workers[look.Worker.ID]
	if !found {
		return
	}
	switch verdict {
	case orderer.Accepted:
		if w.Incarnation == inventory.Incarnation && inventory.Clock < w.HeardClock {
			// A later answer overtook this one.
			return
		}
		d.takeInventory(w, look, inventory)
	case orderer.Fenced:
		d.isFenced = true
	case orderer.OtherIncarnation:
		d.workerReplaced(w)
	default:
		if !w.IsFailing {
			d.options.Report("A worker does not answer.", "worker", w.Info.ID, "verdict", verdict.String())
		}
		w.IsFailing = true
	}
}

func (d *Dispatcher) takeInventory(w *minder.Worker, look orderer.Look, inventory orderer.Inventory) {
	if w.Incarnation != inventory.Incarnation {
		d.newLife(w, inventory.Incarnation)
	}
	if w.IsFailing {
		d.options.Report("A worker answers again.", "worker", w.Info.ID)
	}
	if !w.IsSynced {
		// From now on the worker obeys no former holder, which could have renewed until here.
		w.Lease.LapseAt = d.now.Add(leaser.LapseOf(d.options.HoldMax))
	}
	w.IsFailing, w.IsSynced, w.IsDoubted, w.AnsweredAt = false, true, false, d.now
	w.HeardClock = inventory.Clock
	w.Lease.Sample(d.now, inventory.Clock)
	d.takeEnds(w, inventory.Ended)
	present := make(map[minder.RunKey]bool, len(inventory.Running))
	for _, running := range inventory.Running {
		present[minder.RunKey{Ref: running.Task, Number: running.Run}] = true
		d.takeRunning(w, running)
	}
	for key, r := range w.Runs {
		if !present[key] {
			d.takeAbsent(r, look.SentAt)
		}
	}
	d.pace(w)
}

// workerReplaced settles what ran at a worker whose address is another worker's now.
func (d *Dispatcher) workerReplaced(w *minder.Worker) {
	if len(w.Runs) > 0 {
		d.options.Report("A worker was replaced.", "worker", w.Info.ID, "runs_lost", len(w.Runs))
	}
	w.IsFailing, w.Lease.LapseAt = true, time.Time{}
	for _, r := range w.Runs {
		d.settle(r)
	}
}

// newLife settles what ran in a former life of a worker. A start without an answer may
// still be carried out by the new one, so it stays until a stop has been taken.
func (d *Dispatcher) newLife(w *minder.Worker, incarnation int64) {
	if w.Incarnation != 0 {
		d.options.Report("A worker began a new life.", "worker", w.Info.ID, "runs_lost", len(w.Runs))
	}
	for _, r := range w.Runs {
		if r.AnsweredAt.IsZero() {
			r.Stopping, r.StopAckedAt = true, time.Time{}
			d.sendStop(r)
			continue
		}
		d.settle(r)
	}
	w.BeginLife(incarnation)
}

// takeEnds takes in the new ends of a worker. The worker may forget them once what they
// changed is kept.
func (d *Dispatcher) takeEnds(w *minder.Worker, ends []orderer.Ended) {
	for _, end := range ends {
		if !w.Ends.Take(end.Number) {
			continue
		}
		d.takeEnd(w, end)
		w.Ends.Mark(end.Number, d.saver.Batch())
	}
	w.Ends.Saved(d.saver.LastSaved())
}
