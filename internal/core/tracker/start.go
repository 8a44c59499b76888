package tracker

import (
	"cmp"
	"slices"
	"time"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/cell/recorder"
	"lentilrock.example/internal/chart/interpreter"
	"lentilrock.example/internal/container/sorter"
	"lentilrock.example/internal/core/planner"
	"lentilrock.example/internal/core/signaller"
	"lentilrock.example/internal/platform/messages"
)

// planBudget bounds the placements of one call, so that other events get their turn.
const planBudget = 64

// CanStart reports whether the window of every held shard leaves time for a first lease.
func (t *Tracker) canStart(now time.Time) bool {
	if len(t.shards) == 0 {
		return false
	}
	for id, s := range t.shards {
		until := t.authority.StartUntil(now, id)
		if !s.read || until.Sub(now) < t.options.MinFirstLease+t.options.Skew {
			return false
		}
	}
	return true
}

// Place decides what starts next and sends it.
func (t *Tracker) Place(now time.Time, out *signaller.Outbox) {
	if !t.canStart(now) {
		return
	}
	plan := t.planner.Plan(now, planBudget)
	for _, placement := range plan.Placements {
		t.begin(now, placement, out)
	}
	for _, eviction := range plan.Evictions {
		if k, found := t.tasks[eviction.Task]; found {
			out.Report("A task makes room.", "task", eviction.Task.String(), "for", string(eviction.For))
			t.stop(k, true, out)
		}
	}
}

func (t *Tracker) begin(now time.Time, placement planner.Placement, out *signaller.Outbox) {
	k, found := t.tasks[placement.Task]
	if !found || k.machine.State() != StateQueued {
		t.planner.Release(placement.Task)
		return
	}
	k.worker = placement.Worker
	k.size = placement.Size
	k.attempt++
	w := t.workers[k.worker]
	w.tasks[k.id] = k
	k.sentAt = now
	if t.blame.IsHeld(k.worker) {
		t.blame.Probe(k.worker)
		t.planner.CloseWorker(k.worker, true)
	}
	if k.job.OneShot {
		k.fire(eventBeginSent)
		out.Add(signaller.Append{
			Stream:  recorder.DataCentreStream(k.shard.DataCentre),
			Records: []recorder.Record{t.beginRecord(now, k)},
		})
		return
	}
	k.fire(eventPlaced)
	t.send(now, k, out)
}

func (t *Tracker) beginRecord(now time.Time, k *task) recorder.Record {
	epoch := t.authority.Epoch(k.shard)
	return recorder.New("begin."+k.id.String()+"."+k.shard.String(), now, recorder.Author{}, recorder.TaskBegun{
		Shard: k.shard, Epoch: epoch, Task: k.id, Worker: k.worker,
	})
}

// BeginRecorded takes in what became of the record that a one-shot task is to begin.
func (t *Tracker) BeginRecorded(now time.Time, b recorder.TaskBegun, applied bool, out *signaller.Outbox) {
	k, found := t.tasks[b.Task]
	if !found || k.machine.State() != StateRecording || k.worker != b.Worker {
		return
	}
	if !applied {
		t.withdrawStart(k)
		k.fire(eventBeginVoid)
		t.queue(now, k.job, []*task{k})
		return
	}
	k.fire(eventBeginRecorded)
	until := t.authority.StartUntil(now, k.shard)
	if until.Sub(now) < t.options.Skew {
		t.endLost(k, false)
		return
	}
	t.send(now, k, out)
}

// send sends the start of a task under a first lease that ends within the window.
func (t *Tracker) send(now time.Time, k *task, out *signaller.Outbox) {
	w := t.workers[k.worker]
	k.sentAt = now
	k.leaseEnd = t.authority.StartUntil(now, k.shard).Add(-t.options.Skew)
	w.promise(k.leaseEnd)
	if soon := now.Add(settleDelay); soon.Before(w.nextBeat) {
		w.nextBeat = soon
	}
	out.Add(signaller.SendStart{Worker: w.host, Start: messages.Start{
		Task: k.id, Attempt: k.attempt, Size: k.size, ExpiresAt: k.leaseEnd,
		RunTime: k.job.RunTime, Class: k.job.ClassName(), Restore: k.restore,
	}})
}

// StartAnswered takes in what became of a start.
func (t *Tracker) StartAnswered(now time.Time, e signaller.StartAnswered, out *signaller.Outbox) {
	k, found := t.tasks[e.Attempt.Task]
	if !found || k.attempt != e.Attempt.Attempt || k.worker != e.Worker {
		return
	}
	switch e.Result {
	case signaller.StartRefused:
		if k.machine.Can(eventStartRefused) {
			out.Report("A worker refused a start.", "task", k.id.String(), "reason", e.Reason)
			t.startFailed(now, k, eventStartRefused)
		}
	case signaller.StartTaken:
		k.fire(eventStartTaken)
	case signaller.StartUnknown:
		k.fire(eventReplyLost)
	}
}

// startFailed queues a task again whose attempt never ran.
func (t *Tracker) startFailed(now time.Time, k *task, event interpreter.Event) {
	t.withdrawStart(k)
	k.fire(event)
	if k.job.OneShot {
		// The log says that it may have begun, so it is settled as failed.
		t.end(k, recorder.EndedTask{Index: k.id.Index, Attempt: k.attempt, End: recorder.TaskFailed, Worker: k.worker})
		return
	}
	t.delay(now, k, 1)
}

func (t *Tracker) withdrawStart(k *task) {
	t.planner.Release(k.id)
	if w, found := t.workers[k.worker]; found {
		delete(w.tasks, k.id)
	}
}

func (t *Tracker) stop(k *task, checkpoint bool, out *signaller.Outbox) {
	w, found := t.workers[k.worker]
	if !found || !k.fire(eventStopSent) {
		return
	}
	out.Add(signaller.SendStop{Worker: w.host, Stop: messages.Stop{
		AttemptID: k.attemptID(), Checkpoint: checkpoint,
	}})
}

// SetDrains takes in which workers and racks are being drained, as "worker.NAME" and
// "rack.NAME".
func (t *Tracker) SetDrains(now time.Time, drains map[string]bool) {
	t.drain = drains
	for _, w := range t.workers {
		t.setOpen(now, w)
	}
}

// Drain moves tasks off drained workers: all but services at once, services one task of
// a job at a time and never below the count that must run.
func (t *Tracker) Drain(out *signaller.Outbox) {
	for _, name := range sorter.Keys(t.workers) {
		w := t.workers[name]
		if !t.isDrained(w.host) && !w.leaving {
			continue
		}
		for _, id := range sortedTaskIDs(w.tasks) {
			k := w.tasks[id]
			if k.machine.State() == StateRunning && t.mayMove(k) {
				t.stop(k, true, out)
			}
		}
	}
}

func (t *Tracker) mayMove(k *task) bool {
	if k.job.OneShot {
		return false
	}
	if k.job.Kind != descriptor.KindService {
		return true
	}
	running, moving := 0, 0
	for _, o := range t.byJob[k.id.Job] {
		switch o.machine.State() {
		case StateRunning:
			running++
		default:
			moving++
		}
	}
	return moving == 0 && running > k.job.MinRunning
}

func sortedTaskIDs(m map[descriptor.TaskID]*task) []descriptor.TaskID {
	ids := make([]descriptor.TaskID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b descriptor.TaskID) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
	})
	return ids
}
