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

const planBudget = 64 // Limits the placements of one Place call, so that other events are not delayed.

// canStart reports whether tasks may be started: for every shard that it tracks, including those whose leases this host
// only renews, the inventories are known and the window of the claim leaves time for a first lease.
func (t *Tracker) canStart(now time.Time) bool {
	if len(t.shards) == 0 {
		return false
	}
	for id, s := range t.shards {
		until := t.authority.StartUntil(now, id)
		if !s.hasInventories || until.Sub(now) < t.options.MinFirstLease+t.options.Skew {
			return false
		}
	}
	return true
}

// Place plans which tasks start and which are preempted, and sends the starts and stops.
func (t *Tracker) Place(now time.Time, out *signaller.Outbox) {
	if !t.canStart(now) {
		return
	}
	plan := t.planner.Plan(now, planBudget)
	for _, p := range plan.Placements {
		t.startTask(now, p, out)
	}
	for _, e := range plan.Evictions {
		if k, found := t.tasks[e.Task]; found {
			out.Report("A task is preempted to free capacity for another job.", "task", e.Task.String(), "for", string(e.Preemptor))
			t.stop(k, true, out)
		}
	}
}

// startTask assigns a task to its worker and sends the start or, for a one-shot task, first appends its begin record.
func (t *Tracker) startTask(now time.Time, placement planner.Placement, out *signaller.Outbox) {
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
	if t.health.IsQuarantined(k.Worker) {
		t.health.StartProbe(k.Worker)
		t.planner.SetWorkerClosed(k.Worker, true)
	}
	if k.Job.OneShot {
		k.Fire(tasker.EventBeginSent)
		out.Add(signaller.Append{
			Stream: recorder.DataCentreStream(k.Shard.DataCentre), Records: []recorder.Record{t.beginRecord(now, k)},
		})
		return
	}
	k.Fire(tasker.EventPlaced)
	t.sendStart(now, k, out)
}

func (t *Tracker) beginRecord(now time.Time, k *tasker.Task) recorder.Record {
	epoch := t.authority.Epoch(k.Shard)
	return recorder.New("begin."+k.ID.String()+"."+k.Shard.String(), now, recorder.Author{}, recorder.TaskBegun{
		Shard: k.Shard, Epoch: epoch, Task: k.ID, Worker: k.Worker,
	})
}

// BeginRecorded handles the begin record of a one-shot task that was read from the log. If the record took effect
// (isApplied), it sends the start, or ends the attempt if the window is about to close. Otherwise the task is requeued.
func (t *Tracker) BeginRecorded(now time.Time, b recorder.TaskBegun, isApplied bool, out *signaller.Outbox) {
	k, found := t.tasks[b.Task]
	if !found || k.Machine.State() != tasker.StateRecording || k.Worker != b.Worker {
		return
	}
	if !isApplied {
		t.releasePlacement(k)
		k.Fire(tasker.EventBeginVoid)
		t.enqueue(now, k.Job, []*tasker.Task{k})
		return
	}
	k.Fire(tasker.EventBeginRecorded)
	until := t.authority.StartUntil(now, k.Shard)
	if until.Sub(now) < t.options.Skew {
		t.endLost(k, false)
		return
	}
	t.sendStart(now, k, out)
}

// sendStart sends the start of a task with a first lease that expires within the window.
func (t *Tracker) sendStart(now time.Time, k *tasker.Task, out *signaller.Outbox) {
	w := t.workers[k.Worker]
	k.SentAt = now
	k.FirstLeaseEnd = t.authority.StartUntil(now, k.Shard).Add(-t.options.Skew)
	w.recordLease(k.FirstLeaseEnd)
	if soon := now.Add(heartbeatAfterStart); soon.Before(w.nextHeartbeat) {
		w.nextHeartbeat = soon
	}
	out.Add(signaller.SendStart{Worker: w.host, Start: messages.Start{
		Task: k.ID, Attempt: k.Attempt, Size: k.Size, ExpiresAt: k.FirstLeaseEnd,
		RunTime: k.Job.RunTime, Class: k.Job.ClassName(), Restore: k.ShouldRestore,
	}})
}

// StartAnswered handles the result of a start: accepted, refused, or unknown if no reply came.
func (t *Tracker) StartAnswered(now time.Time, e signaller.StartAnswered, out *signaller.Outbox) {
	k, found := t.tasks[e.Attempt.Task]
	if !found || k.Attempt != e.Attempt.Attempt || k.Worker != e.Worker {
		return
	}
	switch e.Result {
	case signaller.StartRefused:
		if k.Machine.Can(tasker.EventStartRefused) {
			out.Report("A worker refused to start a task; the attempt did not run.", "task", k.ID.String(), "reason", e.Reason)
			t.startFailed(now, k, tasker.EventStartRefused)
		}
	case signaller.StartTaken:
		k.Fire(tasker.EventStartTaken)
	case signaller.StartUnknown:
		k.Fire(tasker.EventReplyLost)
	}
}

// startFailed handles an attempt that certainly never ran: its task is retried after a backoff, or failed if one-shot.
func (t *Tracker) startFailed(now time.Time, k *tasker.Task, event interpreter.Event) {
	t.releasePlacement(k)
	k.Fire(event)
	if k.Job.OneShot {
		// By its begin record the task may have run, so it is failed and not started again.
		t.recordEnd(k, recorder.EndedTask{Index: k.ID.Index, Attempt: k.Attempt, End: recorder.TaskFailed, Worker: k.Worker})
		return
	}
	t.scheduleRetry(now, k, 1)
}

func (t *Tracker) releasePlacement(k *tasker.Task) {
	t.planner.Release(k.ID)
	if w, found := t.workers[k.Worker]; found {
		delete(w.tasks, k.ID)
	}
}

func (t *Tracker) stop(k *tasker.Task, shouldCheckpoint bool, out *signaller.Outbox) {
	w, found := t.workers[k.Worker]
	if !found || !k.Fire(tasker.EventStopSent) {
		return
	}
	out.Add(signaller.SendStop{Worker: w.host, Stop: messages.Stop{
		AttemptID: k.AttemptID(), Checkpoint: shouldCheckpoint,
	}})
}

// SetDrains sets which workers and racks are being drained.
func (t *Tracker) SetDrains(now time.Time, drains drainer.Drains) {
	t.drains = drains
	for _, w := range t.workers {
		t.updateSchedulable(now, w)
	}
}

// Drain checkpoints and stops tasks on workers that are drained or leaving, so that they are placed elsewhere.
func (t *Tracker) Drain(out *signaller.Outbox) {
	for _, n := range sorter.Keys(t.workers) {
		w := t.workers[n]
		if !t.drains.Covers(w.host) && !w.isLeaving {
			continue
		}
		for _, id := range tasker.SortedIDs(w.tasks) {
			if k := w.tasks[id]; drainer.MayMove(k, t.byJob[id.Job]) {
				t.stop(k, true, out)
			}
		}
	}
}
