package tracker

import (
	"time"

	"lentilrock.example/internal/cell/recorder"
	"lentilrock.example/internal/chart/interpreter"
	"lentilrock.example/internal/container/sorter"
	"lentilrock.example/internal/core/drainer"
	"lentilrock.example/internal/core/planner"
	"lentilrock.example/internal/core/signaller"
	"lentilrock.example/internal/core/tasker"
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
	if !found || k.Machine.State() != tasker.StateQueued {
		t.planner.Release(placement.Task)
		return
	}
	k.Worker = placement.Worker
	k.Size = placement.Size
	k.Attempt++
	w := t.workers[k.Worker]
	w.tasks[k.ID] = k
	k.SentAt = now
	if t.blame.IsHeld(k.Worker) {
		t.blame.Probe(k.Worker)
		t.planner.CloseWorker(k.Worker, true)
	}
	if k.Job.OneShot {
		k.Fire(tasker.EventBeginSent)
		out.Add(signaller.Append{
			Stream:  recorder.DataCentreStream(k.Shard.DataCentre),
			Records: []recorder.Record{t.beginRecord(now, k)},
		})
		return
	}
	k.Fire(tasker.EventPlaced)
	t.send(now, k, out)
}

func (t *Tracker) beginRecord(now time.Time, k *tasker.Task) recorder.Record {
	epoch := t.authority.Epoch(k.Shard)
	return recorder.New("begin."+k.ID.String()+"."+k.Shard.String(), now, recorder.Author{}, recorder.TaskBegun{
		Shard: k.Shard, Epoch: epoch, Task: k.ID, Worker: k.Worker,
	})
}

// BeginRecorded takes in what became of the record that a one-shot task is to begin.
func (t *Tracker) BeginRecorded(now time.Time, b recorder.TaskBegun, applied bool, out *signaller.Outbox) {
	k, found := t.tasks[b.Task]
	if !found || k.Machine.State() != tasker.StateRecording || k.Worker != b.Worker {
		return
	}
	if !applied {
		t.withdrawStart(k)
		k.Fire(tasker.EventBeginVoid)
		t.queue(now, k.Job, []*tasker.Task{k})
		return
	}
	k.Fire(tasker.EventBeginRecorded)
	until := t.authority.StartUntil(now, k.Shard)
	if until.Sub(now) < t.options.Skew {
		t.endLost(k, false)
		return
	}
	t.send(now, k, out)
}

// send sends the start of a task under a first lease that ends within the window.
func (t *Tracker) send(now time.Time, k *tasker.Task, out *signaller.Outbox) {
	w := t.workers[k.Worker]
	k.SentAt = now
	k.LeaseEnd = t.authority.StartUntil(now, k.Shard).Add(-t.options.Skew)
	w.promise(k.LeaseEnd)
	if soon := now.Add(settleDelay); soon.Before(w.nextBeat) {
		w.nextBeat = soon
	}
	out.Add(signaller.SendStart{Worker: w.host, Start: messages.Start{
		Task: k.ID, Attempt: k.Attempt, Size: k.Size, ExpiresAt: k.LeaseEnd,
		RunTime: k.Job.RunTime, Class: k.Job.ClassName(), Restore: k.Restore,
	}})
}

// StartAnswered takes in what became of a start.
func (t *Tracker) StartAnswered(now time.Time, e signaller.StartAnswered, out *signaller.Outbox) {
	k, found := t.tasks[e.Attempt.Task]
	if !found || k.Attempt != e.Attempt.Attempt || k.Worker != e.Worker {
		return
	}
	switch e.Result {
	case signaller.StartRefused:
		if k.Machine.Can(tasker.EventStartRefused) {
			out.Report("A worker refused a start.", "task", k.ID.String(), "reason", e.Reason)
			t.startFailed(now, k, tasker.EventStartRefused)
		}
	case signaller.StartTaken:
		k.Fire(tasker.EventStartTaken)
	case signaller.StartUnknown:
		k.Fire(tasker.EventReplyLost)
	}
}

// startFailed queues a task again whose attempt never ran.
func (t *Tracker) startFailed(now time.Time, k *tasker.Task, event interpreter.Event) {
	t.withdrawStart(k)
	k.Fire(event)
	if k.Job.OneShot {
		// The log says that it may have begun, so it is settled as failed.
		t.end(k, recorder.EndedTask{Index: k.ID.Index, Attempt: k.Attempt, End: recorder.TaskFailed, Worker: k.Worker})
		return
	}
	t.delay(now, k, 1)
}

func (t *Tracker) withdrawStart(k *tasker.Task) {
	t.planner.Release(k.ID)
	if w, found := t.workers[k.Worker]; found {
		delete(w.tasks, k.ID)
	}
}

func (t *Tracker) stop(k *tasker.Task, checkpoint bool, out *signaller.Outbox) {
	w, found := t.workers[k.Worker]
	if !found || !k.Fire(tasker.EventStopSent) {
		return
	}
	out.Add(signaller.SendStop{Worker: w.host, Stop: messages.Stop{
		AttemptID: k.AttemptID(), Checkpoint: checkpoint,
	}})
}

// SetDrains takes in which workers and racks are being drained.
func (t *Tracker) SetDrains(now time.Time, drains drainer.Drains) {
	t.drains = drains
	for _, w := range t.workers {
		t.setOpen(now, w)
	}
}

// Drain moves tasks off the workers that are drained or leave.
func (t *Tracker) Drain(out *signaller.Outbox) {
	for _, name := range sorter.Keys(t.workers) {
		w := t.workers[name]
		if !t.drains.Covers(w.host) && !w.leaving {
			continue
		}
		for _, id := range tasker.SortedIDs(w.tasks) {
			if k := w.tasks[id]; drainer.MayMove(k, t.byJob[id.Job]) {
				t.stop(k, true, out)
			}
		}
	}
}
