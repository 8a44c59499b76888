package tracker

import (
	"time"

	"lentilrock.example/internal/cell/applier"
	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/cell/recorder"
	"lentilrock.example/internal/container/sorter"
	"lentilrock.example/internal/core/signaller"
	"lentilrock.example/internal/core/tasker"
	"lentilrock.example/internal/platform/messages"
)

// worker is a worker of a held shard.
type worker struct {
	host        descriptor.Host
	shard       descriptor.ShardID
	incarnation string
	// read reports that the inventory was read since the shard was acquired.
	read bool
	// lastAnswer is when the last heartbeat that was answered was sent.
	lastAnswer time.Time
	nextBeat   time.Time
	// promised is the latest end of a lease that anybody may have promised.
	promised time.Time
	silent   bool
	lost     bool
	leaving  bool
	tasks    map[descriptor.TaskID]*tasker.Task
	acks     []messages.AttemptID
}

// setOpen lets the planner use a worker, or not.
func (t *Tracker) setOpen(now time.Time, w *worker) {
	w.silent = now.Sub(w.lastAnswer) > t.options.Silence
	isHeldBack := t.blame.IsHeld(w.host.Name)
	closed := !w.read || w.silent || w.leaving || isHeldBack || t.drains.Covers(w.host)
	t.planner.CloseWorker(w.host.Name, closed)
}

// hasLapsed reports whether no lease on a worker can still run.
func (t *Tracker) hasLapsed(now time.Time, w *worker) bool {
	return now.After(w.promised.Add(t.options.Skew)) &&
		t.authority.MayDeclareLost(now, w.shard, w.host.Name)
}

// Silent lists the workers of a shard that don't answer, by name.
func (t *Tracker) Silent(id descriptor.ShardID) []string {
	var names []string
	for _, name := range sorter.Keys(t.workers) {
		if w := t.workers[name]; w.shard == id && w.silent && !w.lost {
			names = append(names, name)
		}
	}
	return names
}

// Tick sends the heartbeats that are due, gives up workers whose leases have lapsed, and
// queues the tasks whose backoff is over.
func (t *Tracker) Tick(now time.Time, out *signaller.Outbox) {
	for _, name := range sorter.Keys(t.workers) {
		w := t.workers[name]
		t.setOpen(now, w)
		if !now.Before(w.nextBeat) {
			t.beat(now, w, out)
		}
		if w.silent && !w.lost && t.hasLapsed(now, w) {
			t.lose(w, out)
		}
	}
	t.queueDue(now)
	for _, name := range t.blame.Due(now) {
		t.planner.CloseWorker(name, false)
	}
}

func (t *Tracker) beat(now time.Time, w *worker, out *signaller.Outbox) {
	w.nextBeat = now.Add(t.options.Heartbeat)
	beat := messages.Heartbeat{Acknowledged: w.acks}
	w.acks = nil
	// A silent worker gets no renewal, so that its leases have an end that is known.
	if !w.silent && t.authority.MayRenew(now, w.shard, w.host.Name) {
		beat.ExpiresAt = now.Add(t.options.Lease)
		w.promise(beat.ExpiresAt)
	}
	out.Add(signaller.SendHeartbeat{Worker: w.host, Heartbeat: beat})
}

func (w *worker) promise(until time.Time) {
	if until.After(w.promised) {
		w.promised = until
	}
}

// lose gives up the tasks of a worker that did not answer until all its leases lapsed.
func (t *Tracker) lose(w *worker, out *signaller.Outbox) {
	w.lost = true
	out.Report("A worker is lost and its leases have lapsed.", "worker", w.host.Name)
	for _, id := range tasker.SortedIDs(w.tasks) {
		t.endLost(w.tasks[id], false)
	}
	if w.leaving {
		t.planner.RemoveWorker(w.host.Name)
		delete(t.workers, w.host.Name)
	}
}

// endLost ends an attempt that runs no more and did not finish.
func (t *Tracker) endLost(k *tasker.Task, checkpointed bool) {
	end := recorder.TaskLost
	if k.Job.OneShot {
		end = recorder.TaskFailed
	}
	t.end(k, recorder.EndedTask{
		Index: k.ID.Index, Attempt: k.Attempt, End: end, Worker: k.Worker, Checkpointed: checkpointed,
	})
}

func (t *Tracker) queueDue(now time.Time) {
	for {
		next, found := t.delayed.Peek()
		if !found || next.due.After(now) {
			return
		}
		t.delayed.Pop()
		k := next.task
		if t.tasks[k.ID] != k || !k.Fire(tasker.EventDue) {
			continue
		}
		t.queue(now, k.Job, []*tasker.Task{k})
		t.planner.Avoid(k.Job.ID, k.FailedOn)
	}
}

// WorkerFailed takes in that a heartbeat was not answered.
func (t *Tracker) WorkerFailed(now time.Time, name string) {
	if w, found := t.workers[name]; found {
		t.setOpen(now, w)
	}
}

// WorkerAnswered reconciles what a worker runs with what this host knows of it.
func (t *Tracker) WorkerAnswered(now time.Time, e signaller.WorkerAnswered, out *signaller.Outbox) {
	w, found := t.workers[e.Worker]
	if !found || e.SentAt.Before(w.lastAnswer) {
		return
	}
	w.lastAnswer = e.SentAt
	w.lost = false
	if w.incarnation != e.Inventory.Incarnation && w.incarnation != "" {
		out.Report("A worker was restarted.", "worker", e.Worker)
		t.blame.Forget(e.Worker)
	}
	isSameLife := w.incarnation == e.Inventory.Incarnation
	w.incarnation = e.Inventory.Incarnation
	s := t.shards[w.shard]
	if !s.acquiredAt.IsZero() && !e.SentAt.Before(s.acquiredAt) {
		w.read = true
	}
	seen := make(map[descriptor.TaskID]int, len(e.Inventory.Tasks))
	for _, held := range e.Inventory.Tasks {
		seen[held.Task] = max(seen[held.Task], held.Attempt)
		t.reconcile(now, w, held, out)
	}
	for _, id := range tasker.SortedIDs(w.tasks) {
		k := w.tasks[id]
		if seen[id] < k.Attempt && w.read {
			t.settleAbsent(now, k, e.SentAt, isSameLife)
		}
	}
	t.setOpen(now, w)
}

// reconcile takes in one attempt that a worker knows.
func (t *Tracker) reconcile(now time.Time, w *worker, held messages.Held, out *signaller.Outbox) {
	if !t.IsAcquired(w.shard) {
		return
	}
	record := t.jobs.Job(held.Task.Job)
	k, known := t.tasks[held.Task]
	isOurs := known && k.Worker == w.host.Name && k.Attempt == held.Attempt
	switch {
	case held.State.IsEnded():
		t.reconcileEnded(now, w, held, record, k, isOurs)
	case record == nil || !record.IsOpen() || record.IsTaskDone(held.Task.Index):
		t.stopStray(w, held, out)
	case isOurs:
		t.reconcileRunning(k, held, out)
	case !known || t.canTakeFound(k, held):
		t.takeFound(w, held, record, k)
	default:
		t.stopStray(w, held, out)
	}
}

// canTakeFound reports whether a task that is found to run was not started elsewhere.
func (t *Tracker) canTakeFound(k *tasker.Task, held messages.Held) bool {
	switch k.Machine.State() {
	case tasker.StateDelayed, tasker.StateQueued:
		return held.Attempt > k.Attempt
	}
	return false
}

func (t *Tracker) takeFound(w *worker, held messages.Held, record *applier.JobRecord, k *tasker.Task) {
	if k == nil {
		k = t.newTask(held.Task, record, w.shard)
	}
	if !k.Fire(tasker.EventFound) {
		return
	}
	k.Attempt = held.Attempt
	k.Worker = w.host.Name
	k.Size = held.Size
	w.tasks[k.ID] = k
	w.promise(held.ExpiresAt)
	t.planner.Occupy(k.ID, k.Job, w.host.Name, held.Size)
}

func (t *Tracker) stopStray(w *worker, held messages.Held, out *signaller.Outbox) {
	out.Report("A worker runs an attempt that is not wanted.", "worker", w.host.Name, "task", held.Task.String())
	out.Add(signaller.SendStop{Worker: w.host, Stop: messages.Stop{AttemptID: held.AttemptID}})
	if _, known := t.tasks[held.Task]; !known {
		t.followStray(w, held)
	}
}

// followStray keeps the room of an unwanted attempt taken until it has ended.
func (t *Tracker) followStray(w *worker, held messages.Held) {
	record := t.jobs.Job(held.Task.Job)
	if record == nil {
		record = &applier.JobRecord{Job: descriptor.Job{ID: held.Task.Job, Tasks: held.Task.Index + 1}}
	}
	k := t.newTask(held.Task, record, w.shard)
	k.Fire(tasker.EventFound)
	k.Fire(tasker.EventStopSent)
	k.Attempt = held.Attempt
	k.Worker = w.host.Name
	k.Size = held.Size
	w.tasks[k.ID] = k
	t.planner.Occupy(k.ID, k.Job, w.host.Name, held.Size)
}

func (t *Tracker) reconcileRunning(k *tasker.Task, held messages.Held, out *signaller.Outbox) {
	k.Fire(tasker.EventFound)
	if k.Machine.State() == tasker.StateStopping {
		out.Add(signaller.SendStop{Worker: t.workers[k.Worker].host, Stop: messages.Stop{AttemptID: held.AttemptID}})
		return
	}
	t.watchUsage(k, held, out)
}

// watchUsage learns from a task's use, and holds a task to its size that is over it.
func (t *Tracker) watchUsage(k *tasker.Task, held messages.Held, out *signaller.Outbox) {
	k.Usage = held.Usage
	t.sizes.Observe(k.Job.ClassName(), held.Usage)
	isOver := !held.Usage.Fits(k.Size)
	if isOver == k.Throttled {
		return
	}
	k.Throttled = isOver
	out.Add(signaller.SendThrottle{
		Worker:   t.workers[k.Worker].host,
		Throttle: messages.Throttle{AttemptID: held.AttemptID, On: isOver},
	})
}

// reconcileEnded takes in an attempt that a worker says has ended.
func (t *Tracker) reconcileEnded(now time.Time, w *worker, held messages.Held, record *applier.JobRecord, k *tasker.Task, isOurs bool) {
	isRecorded := record == nil || record.Ended[held.Task.Index].Attempt >= held.Attempt
	if isRecorded && !isOurs {
		w.acks = append(w.acks, held.AttemptID)
		return
	}
	if k == nil {
		k = t.newTask(held.Task, record, w.shard)
		k.Worker = w.host.Name
		k.Attempt = held.Attempt
	}
	if k.Worker == "" {
		k.Worker = w.host.Name
	}
	if held.Attempt < k.Attempt || k.Machine.State() == tasker.StateEnded {
		return
	}
	if record == nil || !record.IsOpen() {
		t.planner.Release(k.ID)
		t.forget(k)
		w.acks = append(w.acks, held.AttemptID)
		return
	}
	t.end(k, recorder.EndedTask{
		Index: held.Task.Index, Attempt: held.Attempt, Worker: w.host.Name,
		End: t.blame.Judge(now, w.host.Name, k, held.State), Checkpointed: held.Checkpointed,
	})
}

// settleAbsent settles a task that this host thinks is on a worker, and that the worker
// does not list.
func (t *Tracker) settleAbsent(now time.Time, k *tasker.Task, sentAt time.Time, isSameLife bool) {
	switch k.Machine.State() {
	case tasker.StateStarting, tasker.StateUnsettled:
		isLateImpossible := sentAt.After(k.LeaseEnd.Add(t.options.Skew)) || (!isSameLife && sentAt.After(k.LeaseEnd))
		if isLateImpossible {
			t.startFailed(now, k, tasker.EventAbsent)
		}
	case tasker.StateRunning, tasker.StateStopping:
		if sentAt.After(k.SentAt) {
			t.endLost(k, false)
		}
	}
}
