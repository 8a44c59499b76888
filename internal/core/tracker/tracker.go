// Package tracker starts, stops and reconciles the tasks of the held shards on their workers, and renews their leases.
// A shard's claim is the record in the log that makes one host its holder. The claim's epoch is the fencing token.
//
// The workers' inventories are the only source of truth for what runs. After this host takes over a shard, it starts
// nothing until, for each worker of the shard, it has the inventory or every lease has expired. A worker that does not
// reply is closed to new tasks. The capacity of an attempt stays allocated until the attempt certainly does not run:
// the start was not sent, a reply of the worker shows it, or every lease that any host may have granted has expired.
//
// # Usage
//
//	t := tracker.New(pacer.Options{}, plan, authority, jobs, sizes)
//	t.SetWorkers(now, sentAt, hosts, shardOf)
//	t.Acquire(now, shard)
//	t.WorkerAnswered(now, event, &out)
//	t.Tick(now, &out)
package tracker

import (
	"slices"
	"time"

	"lentilrock.example/internal/cell/applier"
	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/cell/recorder"
	"lentilrock.example/internal/container/prioritizer"
	"lentilrock.example/internal/container/sorter"
	"lentilrock.example/internal/core/authorizer"
	"lentilrock.example/internal/core/breaker"
	"lentilrock.example/internal/core/collector"
	"lentilrock.example/internal/core/drainer"
	"lentilrock.example/internal/core/pacer"
	"lentilrock.example/internal/core/planner"
	"lentilrock.example/internal/core/signaller"
	"lentilrock.example/internal/core/tasker"
	"lentilrock.example/internal/platform/messages"
)

// heartbeatAfterStart is the time from a start to the worker's next heartbeat, unless one is due earlier. The heartbeat
// renews the first lease, which may be short, and confirms the start.
const heartbeatAfterStart = 200 * time.Millisecond

// Tracker tracks the tasks and workers of the held shards.
type Tracker struct {
	options   pacer.Options
	planner   *planner.Planner
	authority authorizer.Authority
	jobs      authorizer.Jobs
	health    breaker.Breaker // The circuit breaker of each worker.
	workers   map[string]*worker
	shards    map[descriptor.ShardID]*shard
	tasks     map[descriptor.TaskID]*tasker.Task
	byJob     map[descriptor.JobID][]*tasker.Task
	delayed   *prioritizer.Queue[delayed] // The tasks that wait for their backoff, the earliest due first.
	ended     collector.Collector         // The results that are not yet in the log.
	drains    drainer.Drains
	sizes     authorizer.Sizes
}

type delayed struct {
	due  time.Time
	task *tasker.Task
}

// shard is the tracker's state of a shard that this host holds or renews leases for.
type shard struct {
	// acquiredAt is when this host took the shard over; since then, no other host can act for it. It is zero while this
	// host only renews the shard's leases.
	acquiredAt     time.Time
	hasHostList    bool // A host list requested at or after acquiredAt was received.
	hasInventories bool // The inventory of each worker is known, or its leases have expired.
}

// New returns a tracker without shards.
func New(options pacer.Options, p *planner.Planner, authority authorizer.Authority, jobs authorizer.Jobs, sizes authorizer.Sizes) *Tracker {
	return &Tracker{
		options: options.WithDefaults(), planner: p, authority: authority, jobs: jobs, sizes: sizes,
		workers: make(map[string]*worker), shards: make(map[descriptor.ShardID]*shard),
		tasks: make(map[descriptor.TaskID]*tasker.Task), byJob: make(map[descriptor.JobID][]*tasker.Task),
		delayed: prioritizer.New(func(a, b delayed) bool {
			if !a.due.Equal(b.due) {
				return a.due.Before(b.due)
			}
			return a.task.ID.String() < b.task.ID.String()
		}),
	}
}

// SetWorkers sets the workers of the data centre from a host list that was requested at sentAt; shardOf returns the
// shard of a worker. A worker that is no longer listed gets no new tasks; its tasks are tracked until they end.
func (t *Tracker) SetWorkers(now, sentAt time.Time, hosts map[string]descriptor.Host, shardOf func(descriptor.Host) descriptor.ShardID) {
	for _, s := range t.shards {
		s.hasHostList = s.hasHostList || (!s.acquiredAt.IsZero() && !sentAt.Before(s.acquiredAt))
	}
	for _, n := range sorter.Keys(hosts) {
		host := hosts[n]
		id := shardOf(host)
		if _, isHeld := t.shards[id]; isHeld {
			t.putWorker(now, id, host)
		}
	}
	for _, w := range t.workers {
		host, isListed := hosts[w.host.Name]
		w.isLeaving = !isListed || host.State == descriptor.HostLeaving
		t.updateSchedulable(now, w)
	}
}

func (t *Tracker) putWorker(now time.Time, id descriptor.ShardID, host descriptor.Host) {
	if w, found := t.workers[host.Name]; found {
		w.host = host
		t.planner.PutWorker(host)
		return
	}
	w := &worker{host: host, shard: id, tasks: make(map[descriptor.TaskID]*tasker.Task)}
	// A former holder of the shard may have granted leases until this host acquired it.
	w.lastLeaseEnd = now.Add(t.options.Lease)
	w.lastAnswer = now
	t.workers[host.Name] = w
	t.planner.PutWorker(host)
	t.updateSchedulable(now, w)
}

// RenewLeases starts to renew a shard's leases, for example for an unresponsive holder. No tasks are started.
func (t *Tracker) RenewLeases(id descriptor.ShardID) {
	if _, found := t.shards[id]; !found {
		t.shards[id] = &shard{}
	}
}

// Acquire takes over a shard. The caller must ensure that no other host can act for it. Inventories and host lists that
// were requested earlier do not count, and nothing is started before HasInventories returns true.
func (t *Tracker) Acquire(now time.Time, id descriptor.ShardID) {
	t.RenewLeases(id)
	s := t.shards[id]
	if !s.acquiredAt.IsZero() {
		return
	}
	s.acquiredAt = now
	s.hasHostList = false
	for _, w := range t.workers {
		if w.shard != id {
			continue
		}
		w.hasInventory = false
		w.nextHeartbeat = now
		w.recordLease(now.Add(t.options.Lease))
	}
}

// IsAcquired reports whether this host has taken over a shard.
func (t *Tracker) IsAcquired(id descriptor.ShardID) bool {
	s, found := t.shards[id]
	return found && !s.acquiredAt.IsZero()
}

// IsRenewed reports whether the leases of a shard are renewed: after RenewLeases or Acquire, until Drop.
func (t *Tracker) IsRenewed(id descriptor.ShardID) bool {
	_, found := t.shards[id]
	return found
}

// Drop deletes a shard that this host no longer holds, with its tasks and workers.
func (t *Tracker) Drop(id descriptor.ShardID) {
	if _, found := t.shards[id]; !found {
		return
	}
	delete(t.shards, id)
	for taskID, k := range t.tasks {
		if k.Shard == id {
			t.planner.Release(taskID)
			t.planner.RemoveJob(k.Job.ID)
			t.forget(k)
		}
	}
	for n, w := range t.workers {
		if w.shard == id {
			t.planner.RemoveWorker(n)
			delete(t.workers, n)
		}
	}
}

// HasInventories reports whether a shard was acquired, the host list was read since, and for each worker either its
// inventory is known or its leases have expired.
func (t *Tracker) HasInventories(now time.Time, id descriptor.ShardID) bool {
	s, found := t.shards[id]
	if !found || !s.hasHostList || s.acquiredAt.IsZero() {
		return false
	}
	if s.hasInventories {
		return true
	}
	for _, w := range t.workers {
		if w.shard == id && !w.hasInventory && !t.haveLeasesExpired(now, w) {
			return false
		}
	}
	s.hasInventories = true
	return true
}

// Adopt queues the tasks of an open job that are not known to run. HasInventories must have returned true for the job's
// shard. A one-shot task that a former holder may have started is failed.
func (t *Tracker) Adopt(now time.Time, id descriptor.ShardID, record *applier.JobState, out *signaller.Outbox) {
	var queued []*tasker.Task
	for i := range record.Job.Tasks {
		taskID := descriptor.TaskID{Job: record.Job.ID, Index: i}
		if _, isKnown := t.tasks[taskID]; isKnown || record.IsTaskDone(i) {
			continue
		}
		k := t.newTask(taskID, record, id)
		if worker, hasBegun := record.Begun[i]; hasBegun {
			t.endUnknownOneShot(k, worker, out)
			continue
		}
		queued = append(queued, k)
	}
	t.enqueue(now, record.Job, queued)
}

// endUnknownOneShot fails a one-shot task that no worker lists and a former holder may have started: it must not rerun.
func (t *Tracker) endUnknownOneShot(k *tasker.Task, worker string, out *signaller.Outbox) {
	k.Worker = worker
	out.Report("A one-shot task may have run under a former holder; it is failed and not repeated.", "task", k.ID.String(), "worker", worker)
	t.recordEnd(k, recorder.EndedTask{
		Index: k.ID.Index, Attempt: k.Attempt + 1, End: recorder.TaskFailed, Worker: worker,
	})
}

func (t *Tracker) newTask(id descriptor.TaskID, record *applier.JobState, shardID descriptor.ShardID) *tasker.Task {
	k := tasker.New(id, record.Job, shardID)
	k.Attempt = record.Ended[id.Index].Attempt
	k.ShouldRestore = record.Ended[id.Index].Checkpointed
	t.tasks[id] = k
	t.byJob[id.Job] = append(t.byJob[id.Job], k)
	return k
}

func (t *Tracker) enqueue(now time.Time, job descriptor.Job, tasks []*tasker.Task) {
	indexes := make([]int, 0, len(tasks))
	for _, k := range slices.Backward(tasks) {
		indexes = append(indexes, k.ID.Index)
	}
	t.planner.Submit(now, job, indexes, t.sizes.SizeFor(job.ClassName(), job.Size))
}

func (t *Tracker) forget(k *tasker.Task) {
	delete(t.tasks, k.ID)
	if w, found := t.workers[k.Worker]; found && w.tasks[k.ID] == k {
		delete(w.tasks, k.ID)
	}
	list := slices.DeleteFunc(t.byJob[k.ID.Job], func(o *tasker.Task) bool { return o == k })
	if len(list) == 0 {
		delete(t.byJob, k.ID.Job)
		return
	}
	t.byJob[k.ID.Job] = list
}

// recordEnd frees the capacity of an attempt that can no longer run, and collects the attempt's result for the log.
func (t *Tracker) recordEnd(k *tasker.Task, ended recorder.EndedTask) {
	if !k.Fire(tasker.EventEnded) {
		return
	}
	k.Attempt = ended.Attempt
	t.planner.Release(k.ID)
	if w, found := t.workers[k.Worker]; found {
		delete(w.tasks, k.ID)
	}
	t.ended.Add(k.ID.Job, ended)
}

// TakeResults returns the results to append to the log, one record body per job, and clears them.
func (t *Tracker) TakeResults() []recorder.TasksEnded { return t.ended.Take() }

// ResultsRecorded handles results of tasks of a job that are now in the log. They are acknowledged to the workers,
// which may then forget the attempts. Tasks that need another attempt are retried after their backoff.
func (t *Tracker) ResultsRecorded(now time.Time, record *applier.JobState, ended []recorder.EndedTask) {
	for _, e := range ended {
		id := descriptor.TaskID{Job: record.Job.ID, Index: e.Index}
		if w, found := t.workers[e.Worker]; found {
			w.acks = append(w.acks, messages.AttemptID{Task: id, Attempt: e.Attempt})
		}
		k, found := t.tasks[id]
		if !found || k.Machine.State() != tasker.StateEnded || k.Attempt > e.Attempt {
			continue
		}
		if record.IsTaskDone(e.Index) || !record.IsOpen() || record.Job.OneShot {
			t.forget(k)
			continue
		}
		k.ShouldRestore = e.Checkpointed
		k.Fire(tasker.EventEndRecorded)
		failures := max(record.Failures[e.Index], k.UncountedFailures)
		t.scheduleRetry(now, k, failures)
	}
}

// scheduleRetry queues a task again after its backoff, at once if it has no failures.
func (t *Tracker) scheduleRetry(now time.Time, k *tasker.Task, failures int) {
	wait := time.Duration(0)
	if failures > 0 {
		wait = k.Backoff(failures)
	}
	t.delayed.Push(delayed{due: now.Add(wait), task: k})
}

// Close stops all tasks of a job that was cancelled or has ended.
func (t *Tracker) Close(now time.Time, id descriptor.JobID, out *signaller.Outbox) {
	t.planner.RemoveJob(id)
	for _, k := range slices.Clone(t.byJob[id]) {
		switch k.Machine.State() {
		case tasker.StateRunning, tasker.StateStarting, tasker.StateUnsettled:
			t.stop(k, false, out)
		case tasker.StateDelayed, tasker.StateQueued, tasker.StateRecording:
			t.forget(k)
		}
	}
}
