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

type worker struct {
	host           descriptor.Host
	shard          descriptor.ShardID
	incarnation    string    // That of the last inventory; empty before the first.
	hasInventory   bool      // An inventory requested since the shard was acquired was received.
	lastAnswer     time.Time // When the last heartbeat that got a reply was sent.
	nextHeartbeat  time.Time
	lastLeaseEnd   time.Time // The latest expiry of any lease that any host may have granted.
	isUnresponsive bool
	isLost         bool // The worker's tasks were declared lost and it has not replied since.
	isLeaving      bool // The host list marks the worker as leaving or no longer has it.
	tasks          map[descriptor.TaskID]*tasker.Task
	acks           []messages.AttemptID // The ended attempts to acknowledge in the next heartbeat.
}

// updateSchedulable updates whether a worker is unresponsive and whether the planner may place tasks there.
func (t *Tracker) updateSchedulable(now time.Time, w *worker) {
	w.isUnresponsive = now.Sub(w.lastAnswer) > t.options.UnresponsiveAfter
	isQuarantined := t.health.IsQuarantined(w.host.Name)
	isClosed := !w.hasInventory || w.isUnresponsive || w.isLeaving || isQuarantined || t.drains.Covers(w.host)
	t.planner.SetWorkerClosed(w.host.Name, isClosed)
}

// haveLeasesExpired reports whether every lease on a worker has expired and no other host can renew one.
func (t *Tracker) haveLeasesExpired(now time.Time, w *worker) bool {
	return now.After(w.lastLeaseEnd.Add(t.options.Skew)) &&
		t.authority.MayDeclareLost(now, w.shard, w.host.Name)
}

// Unresponsive returns the sorted names of a shard's unresponsive workers that are not yet declared lost.
func (t *Tracker) Unresponsive(id descriptor.ShardID) []string {
	var names []string
	for _, n := range sorter.Keys(t.workers) {
		if w := t.workers[n]; w.shard == id && w.isUnresponsive && !w.isLost {
			names = append(names, n)
		}
	}
	return names
}

// Tick sends the heartbeats that are due, declares lost the unresponsive workers whose leases have expired, queues the
// tasks whose backoff is over, and reopens, for a probe, workers whose quarantine period is over.
func (t *Tracker) Tick(now time.Time, out *signaller.Outbox) {
	for _, n := range sorter.Keys(t.workers) {
		w := t.workers[n]
		t.updateSchedulable(now, w)
		if !now.Before(w.nextHeartbeat) {
			t.sendHeartbeat(now, w, out)
		}
		if w.isUnresponsive && !w.isLost && t.haveLeasesExpired(now, w) {
			t.declareLost(w, out)
		}
	}
	t.queueDue(now)
	for _, n := range t.health.DueForProbe(now) {
		t.planner.SetWorkerClosed(n, false)
	}
}

func (t *Tracker) sendHeartbeat(now time.Time, w *worker, out *signaller.Outbox) {
	w.nextHeartbeat = now.Add(t.options.Heartbeat)
	heartbeat := messages.Heartbeat{Acknowledged: w.acks}
	w.acks = nil
	// An unresponsive worker's leases are not renewed, so that the time of their expiry is known.
	if !w.isUnresponsive && t.authority.MayRenew(now, w.shard, w.host.Name) {
		heartbeat.ExpiresAt = now.Add(t.options.Lease)
		w.recordLease(heartbeat.ExpiresAt)
	}
	out.Add(signaller.SendHeartbeat{Worker: w.host, Heartbeat: heartbeat})
}

func (w *worker) recordLease(until time.Time) {
	if until.After(w.lastLeaseEnd) {
		w.lastLeaseEnd = until
	}
}

// declareLost ends the tasks of a worker that did not reply until all its leases expired.
func (t *Tracker) declareLost(w *worker, out *signaller.Outbox) {
	w.isLost = true
	out.Report("A worker is unresponsive and its leases have expired; its tasks are lost.", "worker", w.host.Name)
	for _, id := range tasker.SortedIDs(w.tasks) {
		t.endLost(w.tasks[id], false)
	}
	if w.isLeaving {
		t.planner.RemoveWorker(w.host.Name)
		delete(t.workers, w.host.Name)
	}
}

// endLost ends an unfinished attempt that no longer runs. A one-shot task fails, since a lost one is started again.
func (t *Tracker) endLost(k *tasker.Task, hasCheckpoint bool) {
	end := recorder.TaskLost
	if k.Job.OneShot {
		end = recorder.TaskFailed
	}
	t.recordEnd(k, recorder.EndedTask{
		Index: k.ID.Index, Attempt: k.Attempt, End: end, Worker: k.Worker, Checkpointed: hasCheckpoint,
	})
}

// queueDue queues the tasks whose backoff is over and keeps them off workers on which they failed.
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
		t.enqueue(now, k.Job, []*tasker.Task{k})
		t.planner.ExcludeWorkers(k.Job.ID, k.FailedOn)
	}
}

// WorkerFailed handles a heartbeat to a worker that got no reply.
func (t *Tracker) WorkerFailed(now time.Time, name string) {
	if w, found := t.workers[name]; found {
		t.updateSchedulable(now, w)
	}
}

// WorkerAnswered reconciles the tasks assigned to a worker with the inventory in its heartbeat reply. A reply to a
// heartbeat sent before the last answered one is ignored.
func (t *Tracker) WorkerAnswered(now time.Time, e signaller.WorkerAnswered, out *signaller.Outbox) {
	w, found := t.workers[e.Worker]
	if !found || e.SentAt.Before(w.lastAnswer) {
		return
	}
	w.lastAnswer = e.SentAt
	w.isLost = false
	if w.incarnation != e.Inventory.Incarnation && w.incarnation != "" {
		out.Report("A worker was restarted; its failure record is cleared.", "worker", e.Worker)
		t.health.Forget(e.Worker)
	}
	isSameIncarnation := w.incarnation == e.Inventory.Incarnation
	w.incarnation = e.Inventory.Incarnation
	s := t.shards[w.shard]
	if !s.acquiredAt.IsZero() && !e.SentAt.Before(s.acquiredAt) {
		w.hasInventory = true
	}
	highestAttempt := make(map[descriptor.TaskID]int, len(e.Inventory.Tasks))
	for _, r := range e.Inventory.Tasks {
		highestAttempt[r.Task] = max(highestAttempt[r.Task], r.Attempt)
		t.reconcile(now, w, r, out)
	}
	for _, id := range tasker.SortedIDs(w.tasks) {
		k := w.tasks[id]
		if highestAttempt[id] < k.Attempt && w.hasInventory {
			t.reconcileAbsent(now, k, e.SentAt, isSameIncarnation)
		}
	}
	t.updateSchedulable(now, w)
}

func (t *Tracker) reconcile(now time.Time, w *worker, reported messages.AttemptStatus, out *signaller.Outbox) {
	if !t.IsAcquired(w.shard) {
		return
	}
	record := t.jobs.Job(reported.Task.Job)
	k, isKnown := t.tasks[reported.Task]
	isCurrent := isKnown && k.Worker == w.host.Name && k.Attempt == reported.Attempt
	switch {
	case reported.State.IsEnded():
		t.reconcileEnded(now, w, reported, record, k, isCurrent)
	case record == nil || !record.IsOpen() || record.IsTaskDone(reported.Task.Index):
		t.stopOrphan(w, reported, out)
	case isCurrent:
		t.reconcileRunning(k, reported, out)
	case !isKnown || t.canAdoptRunning(k, reported):
		t.adoptRunning(w, reported, record, k)
	default:
		t.stopOrphan(w, reported, out)
	}
}

// canAdoptRunning reports whether a running attempt that this host did not start may become the task's current one: the
// task is not started elsewhere and the attempt is newer than its last one.
func (t *Tracker) canAdoptRunning(k *tasker.Task, reported messages.AttemptStatus) bool {
	switch k.Machine.State() {
	case tasker.StateDelayed, tasker.StateQueued:
		return reported.Attempt > k.Attempt
	}
	return false
}

// adoptRunning makes a reported attempt its task's current one and allocates its capacity. If k is nil, it is created.
func (t *Tracker) adoptRunning(w *worker, reported messages.AttemptStatus, record *applier.JobState, k *tasker.Task) {
	if k == nil {
		k = t.newTask(reported.Task, record, w.shard)
	}
	if !k.Fire(tasker.EventFound) {
		return
	}
	k.Attempt = reported.Attempt
	k.Worker = w.host.Name
	k.Size = reported.Size
	w.tasks[k.ID] = k
	w.recordLease(reported.ExpiresAt)
	t.planner.AddRunning(k.ID, k.Job, w.host.Name, reported.Size)
}

// stopOrphan stops an attempt if its job is closed or unknown, its task is done, or it is not the task's current one.
func (t *Tracker) stopOrphan(w *worker, reported messages.AttemptStatus, out *signaller.Outbox) {
	out.Report("A worker runs an attempt that should not run; the attempt is stopped.", "worker", w.host.Name, "task", reported.Task.String())
	out.Add(signaller.SendStop{Worker: w.host, Stop: messages.Stop{AttemptID: reported.AttemptID}})
	if _, isKnown := t.tasks[reported.Task]; !isKnown {
		t.trackOrphan(w, reported)
	}
}

// trackOrphan keeps allocated the capacity of an orphaned attempt until it has ended.
func (t *Tracker) trackOrphan(w *worker, reported messages.AttemptStatus) {
	record := t.jobs.Job(reported.Task.Job)
	if record == nil {
		record = &applier.JobState{Job: descriptor.Job{ID: reported.Task.Job, Tasks: reported.Task.Index + 1}}
	}
	k := t.newTask(reported.Task, record, w.shard)
	k.Fire(tasker.EventFound)
	k.Fire(tasker.EventStopSent)
	k.Attempt = reported.Attempt
	k.Worker = w.host.Name
	k.Size = reported.Size
	w.tasks[k.ID] = k
	t.planner.AddRunning(k.ID, k.Job, w.host.Name, reported.Size)
}

// reconcileRunning handles a task's current attempt that runs. It repeats the stop of a task that is being stopped.
func (t *Tracker) reconcileRunning(k *tasker.Task, reported messages.AttemptStatus, out *signaller.Outbox) {
	k.Fire(tasker.EventFound)
	if k.Machine.State() == tasker.StateStopping {
		out.Add(signaller.SendStop{Worker: t.workers[k.Worker].host, Stop: messages.Stop{AttemptID: reported.AttemptID}})
		return
	}
	t.observeUsage(k, reported, out)
}

// observeUsage records a task's usage for its class and throttles it while it exceeds its size.
func (t *Tracker) observeUsage(k *tasker.Task, reported messages.AttemptStatus, out *signaller.Outbox) {
	k.Usage = reported.Usage
	t.sizes.Observe(k.Job.ClassName(), reported.Usage)
	isOverSize := !reported.Usage.Fits(k.Size)
	if isOverSize == k.IsThrottled {
		return
	}
	k.IsThrottled = isOverSize
	out.Add(signaller.SendThrottle{
		Worker:   t.workers[k.Worker].host,
		Throttle: messages.Throttle{AttemptID: reported.AttemptID, On: isOverSize},
	})
}

// reconcileEnded collects the result of an ended attempt for the log. The attempt is acknowledged in the worker's first
// heartbeat after the result is in the log, or in the next heartbeat if no record is needed.
func (t *Tracker) reconcileEnded(now time.Time, w *worker, reported messages.AttemptStatus, record *applier.JobState, k *tasker.Task, isCurrent bool) {
	isRecorded := record == nil || record.Ended[reported.Task.Index].Attempt >= reported.Attempt
	if isRecorded && !isCurrent {
		w.acks = append(w.acks, reported.AttemptID)
		return
	}
	if k == nil {
		k = t.newTask(reported.Task, record, w.shard)
		k.Worker = w.host.Name
		k.Attempt = reported.Attempt
	}
	if k.Worker == "" {
		k.Worker = w.host.Name
	}
	if reported.Attempt < k.Attempt || k.Machine.State() == tasker.StateEnded {
		return
	}
	if record == nil || !record.IsOpen() {
		t.planner.Release(k.ID)
		t.forget(k)
		w.acks = append(w.acks, reported.AttemptID)
		return
	}
	t.recordEnd(k, recorder.EndedTask{
		Index: reported.Task.Index, Attempt: reported.Attempt, Worker: w.host.Name,
		End: t.health.RecordEnd(now, w.host.Name, k, reported.State), Checkpointed: reported.Checkpointed,
	})
}

// reconcileAbsent handles a task that is assigned to a worker and missing from the inventory that was requested at
// sentAt. An unconfirmed start has failed once the worker can no longer accept it because the first lease has expired;
// the skew is added unless the worker was restarted. A running attempt that started before the request is lost.
func (t *Tracker) reconcileAbsent(now time.Time, k *tasker.Task, sentAt time.Time, isSameIncarnation bool) {
	switch k.Machine.State() {
	case tasker.StateStarting, tasker.StateUnsettled:
		isStartExpired := sentAt.After(k.FirstLeaseEnd.Add(t.options.Skew)) || (!isSameIncarnation && sentAt.After(k.FirstLeaseEnd))
		if isStartExpired {
			t.startFailed(now, k, tasker.EventAbsent)
		}
	case tasker.StateRunning, tasker.StateStopping:
		if sentAt.After(k.SentAt) {
			t.endLost(k, false)
		}
	}
}
