package dispatcher

import (
	"slices"
	"strings"
	"time"

	"lentilrock.example/internal/fleet/acknowledger"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/leaser"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/fleet/tasker"
	"lentilrock.example/internal/fleet/truster"
)

// runKey names a run at a worker.
type runKey struct {
	ref    describer.TaskRef
	number int64
}

func keyOf(r *tasker.Run) runKey { return runKey{r.Ref, r.Number} }

// worker is a worker as the holder sees it.
type worker struct {
	info describer.Worker
	// isListed reports that the host list has the worker.
	isListed bool
	// isEnrolled reports that the newest kept roster has the worker as one that answers;
	// rosterBatch is the batch of the roster that is to say so, 0 where none is under way.
	isEnrolled  bool
	rosterBatch int64
	// isSilent reports that the worker has not answered for a while.
	isSilent bool
	// isDoubted reports that a start was not answered, and nothing was heard since.
	isDoubted bool
	// roundTrip is the smoothed time of a start.
	roundTrip time.Duration
	// heardClock is the worker's clock in the newest answer that was taken in.
	heardClock time.Duration
	runs       map[runKey]*tasker.Run
	used       describer.Resources
	reserved   reservation
	// isSynced reports that the worker answered under the present token.
	isSynced bool
	// incarnation is the life that answered last; 0 before the first answer.
	incarnation int64
	answeredAt  time.Time
	isFailing   bool
	lease       leaser.Lease
	ends        acknowledger.Ends
	trust       truster.Trust
}

// room returns what is free on a worker.
func (w *worker) room() describer.Resources { return w.info.Capacity.Minus(w.used) }

// mayHoldOld reports whether runs of a former holder could be at the worker that are not
// known. Those at a silent worker are.
func (w *worker) mayHoldOld(now time.Time) bool {
	return !w.isSynced && !w.isSilent && !w.lease.HasLapsed(now)
}

// takesWork reports whether tasks may be started on a worker. The entry and the answers
// must be of one life, since another may have another capacity.
func (d *Dispatcher) takesWork(w *worker) bool {
	return w.isListed && w.isEnrolled && w.isSynced && !w.isFailing && !w.isDoubted && !w.info.Draining && w.lease.IsKnown() &&
		(w.info.Incarnation == 0 || w.info.Incarnation == w.incarnation) && d.now.Sub(w.answeredAt) < silence && w.trust.TakesWork(d.now)
}

// WorkerIDs returns the workers to look after, in order.
func (d *Dispatcher) WorkerIDs() []string {
	ids := make([]string, 0, len(d.ordered))
	for _, w := range d.ordered {
		ids = append(ids, w.info.ID)
	}
	return ids
}

// SetWorkers takes in the host list. A worker that is missing is kept until it can run
// nothing any more.
func (d *Dispatcher) SetWorkers(now time.Time, listed []describer.Worker) {
	d.now = now
	for _, w := range d.ordered {
		w.isListed = false
	}
	for _, info := range listed {
		w, found := d.workers[info.ID]
		if !found {
			w = d.addWorker(info)
			d.isRosterOld = true
		}
		if found && info.Draining && !w.info.Draining {
			d.options.Report("A worker drains.", "worker", info.ID, "remaining", info.Remaining, "runs", len(w.runs))
		}
		w.info, w.isListed = info, true
	}
	slices.SortFunc(d.ordered, func(a, b *worker) int { return strings.Compare(a.info.ID, b.info.ID) })
}

// addWorker adds a worker at which a former holder may have runs.
func (d *Dispatcher) addWorker(info describer.Worker) *worker {
	w := &worker{info: info, runs: make(map[runKey]*tasker.Run)}
	w.lease.LapseAt = d.claimedAt.Add(leaser.LapseOf(d.options.HoldMax) + renewalSlack)
	d.workers[info.ID] = w
	d.ordered = append(d.ordered, w)
	return w
}

// forgetWorkers drops workers that are not listed and can run nothing.
func (d *Dispatcher) forgetWorkers() {
	d.ordered = slices.DeleteFunc(d.ordered, func(w *worker) bool {
		if w.isListed || len(w.runs) > 0 || !w.lease.HasLapsed(d.now) || d.now.Sub(w.answeredAt) < silence {
			return false
		}
		d.options.Report("A worker is gone.", "worker", w.info.ID)
		delete(d.workers, w.info.ID)
		d.isRosterOld = true
		return true
	})
}

// tickWorker settles what a silent worker can't run any more and repeats orders.
func (d *Dispatcher) tickWorker(w *worker) {
	isLapsed := w.lease.HasLapsed(d.now) && d.now.Sub(w.answeredAt) > silence
	d.watchSilence(w)
	isLeft := w.info.Draining && !w.isListed && w.isFailing
	for _, r := range w.runs {
		switch {
		case isLapsed || isLeft:
			d.options.Report("A run is lost with its worker.", "task", r.Ref.String(), "run", r.Number, "worker", w.info.ID)
			d.settle(r)
		case r.Stopping && r.StopAckedAt.IsZero() && d.now.Sub(r.StopSentAt) >= retryPause && !w.isFailing:
			d.sendStop(r)
		}
	}
}

// watchSilence keeps the runs at a worker that does not answer, so that a later holder need
// not suspect it of any other, and takes the worker back when it answers.
func (d *Dispatcher) watchSilence(w *worker) {
	isSilent := w.isSynced && w.isFailing && d.now.Sub(w.answeredAt) > silentAfter
	if w.isSilent == isSilent || !w.isSynced {
		return
	}
	w.isSilent, w.isEnrolled, w.rosterBatch = isSilent, false, 0
	d.isRosterOld = true
	for _, r := range w.runs {
		if r.Job != nil {
			d.dirty[r.Job] = true
		}
	}
}

func (d *Dispatcher) isSilent(id string) bool {
	w, found := d.workers[id]
	return found && w.isSilent
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
// that has not answered under the present token is promised nothing.
func (d *Dispatcher) NextLook(now time.Time, id string) (orderer.Look, bool) {
	w, found := d.workers[id]
	if !found {
		return orderer.Look{}, false
	}
	d.now = now
	return d.look(w), true
}

func (d *Dispatcher) look(w *worker) orderer.Look {
	now := d.now
	look := orderer.Look{Worker: w.info, Token: d.options.Epoch, Acknowledged: w.ends.Acknowledged(), SentAt: now}
	if w.isSynced {
		look.Wait = d.options.LookWait
		look.Deadline = w.lease.Extend(now, d.options.Lease)
	}
	return look
}

// lookNow looks at a worker beside its usual looks, without a wait.
func (d *Dispatcher) lookNow(w *worker) {
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
		if w.incarnation == inventory.Incarnation && inventory.Clock < w.heardClock {
			// A later answer overtook this one.
			return
		}
		d.takeInventory(w, look, inventory)
	case orderer.Fenced:
		d.isFenced = true
	default:
		if !w.isFailing {
			d.options.Report("A worker does not answer.", "worker", w.info.ID, "verdict", verdict.String())
		}
		w.isFailing = true
	}
}

func (d *Dispatcher) takeInventory(w *worker, look orderer.Look, inventory orderer.Inventory) {
	if w.incarnation != inventory.Incarnation {
		d.newLife(w, inventory.Incarnation)
	}
	if w.isFailing {
		d.options.Report("A worker answers again.", "worker", w.info.ID)
	}
	w.isFailing, w.isSynced, w.isDoubted, w.answeredAt = false, true, false, d.now
	w.heardClock = inventory.Clock
	w.lease.Sample(d.now, inventory.Clock)
	d.takeEnds(w, inventory.Ended)
	present := make(map[runKey]bool, len(inventory.Running))
	for _, running := range inventory.Running {
		present[runKey{running.Task, running.Run}] = true
		d.takeRunning(w, running)
	}
	for key, r := range w.runs {
		if !present[key] {
			d.takeAbsent(r, look.SentAt)
		}
	}
}

// newLife settles what ran in a former life of a worker. A start without an answer may
// still be carried out by the new one, so it stays until a stop has been taken.
func (d *Dispatcher) newLife(w *worker, incarnation int64) {
	if w.incarnation != 0 {
		d.options.Report("A worker began a new life.", "worker", w.info.ID, "runs_lost", len(w.runs))
	}
	for _, r := range w.runs {
		if r.AnsweredAt.IsZero() {
			r.Stopping, r.StopAckedAt = true, time.Time{}
			d.sendStop(r)
			continue
		}
		d.settle(r)
	}
	w.incarnation = incarnation
	w.ends = acknowledger.Ends{}
	w.trust = truster.Trust{}
}

// takeEnds takes in the new ends of a worker. The worker may forget them once what they
// changed is kept.
func (d *Dispatcher) takeEnds(w *worker, ends []orderer.Ended) {
	for _, end := range ends {
		if !w.ends.Take(end.Number) {
			continue
		}
		d.takeEnd(w, end)
		batch := d.batch
		if !d.HasProgress() {
			batch--
		}
		w.ends.Mark(end.Number, batch)
	}
	w.ends.Saved(d.savedBatch)
}
