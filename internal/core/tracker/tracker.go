// Package tracker follows the tasks of the shards that this host holds, on their workers:
// it starts, renews, stops and reconciles them.
//
// What runs is known from the workers alone. After taking a shard over, the tracker reads
// the inventory of each of its workers before anything is started; a worker that does not
// answer counts as full until the last lease that it could hold has lapsed. Room is given
// back only on a worker's word, or once every lease that anybody promised has lapsed.
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
	"lentilrock.example/internal/core/blamer"
	"lentilrock.example/internal/core/drainer"
	"lentilrock.example/internal/core/ender"
	"lentilrock.example/internal/core/pacer"
	"lentilrock.example/internal/core/planner"
	"lentilrock.example/internal/core/signaller"
	"lentilrock.example/internal/core/tasker"
	"lentilrock.example/internal/platform/messages"
)

// settleDelay is how soon after a start the worker's leases are renewed.
const settleDelay = 200 * time.Millisecond

// Tracker follows the tasks of the held shards.
type Tracker struct {
	options   pacer.Options
	planner   *planner.Planner
	authority authorizer.Authority
	jobs      authorizer.Jobs
	blame     blamer.Blamer

	workers map[string]*worker
	shards  map[descriptor.ShardID]*shard
	tasks   map[descriptor.TaskID]*tasker.Task
	byJob   map[descriptor.JobID][]*tasker.Task
	delayed *prioritizer.Queue[delayed]
	ended   ender.Ender
	drains  drainer.Drains
	sizes   authorizer.Sizes
}

type delayed struct {
	due  time.Time
	task *tasker.Task
}

type shard struct {
	// acquiredAt is when nobody else could act any more; zero for a shard that is only
	// cared for.
	acquiredAt time.Time
	// listed reports that the host list was read since.
	listed bool
	read   bool
}

// New returns a tracker that follows nothing.
func New(options pacer.Options, p *planner.Planner, authority authorizer.Authority, jobs authorizer.Jobs, sizes authorizer.Sizes) *Tracker {
	return &Tracker{
		options: options.WithDefaults(), planner: p, authority: authority, jobs: jobs, sizes: sizes,
		workers: make(map[string]*worker),
		shards:  make(map[descriptor.ShardID]*shard),
		tasks:   make(map[descriptor.TaskID]*tasker.Task),
		byJob:   make(map[descriptor.JobID][]*tasker.Task),
		delayed: prioritizer.New(func(a, b delayed) bool {
			if !a.due.Equal(b.due) {
				return a.due.Before(b.due)
			}
			return a.task.ID.String() < b.task.ID.String()
		}),
	}
}

// SetWorkers takes in the workers of the data centre with the shard of each. A worker
// that is no longer listed gets nothing new; its tasks are followed to their end.
// The list was asked for at sentAt.
func (t *Tracker) SetWorkers(now, sentAt time.Time, hosts map[string]descriptor.Host, shardOf func(descriptor.Host) descriptor.ShardID) {
	for _, s := range t.shards {
		s.listed = s.listed || (!s.acquiredAt.IsZero() && !sentAt.Before(s.acquiredAt))
	}
	for _, name := range sorter.Keys(hosts) {
		host := hosts[name]
		id := shardOf(host)
		if _, held := t.shards[id]; held {
			t.putWorker(now, id, host)
		}
	}
	for _, w := range t.workers {
		host, listed := hosts[w.host.Name]
		w.leaving = !listed || host.State == descriptor.ListLeaving
		t.setOpen(now, w)
	}
}

func (t *Tracker) putWorker(now time.Time, id descriptor.ShardID, host descriptor.Host) {
	if w, found := t.workers[host.Name]; found {
		w.host = host
		t.planner.PutWorker(host)
		return
	}
	w := &worker{host: host, shard: id, tasks: make(map[descriptor.TaskID]*tasker.Task)}
	// Whoever held the shard before may have promised leases until it was acquired.
	w.promised = now.Add(t.options.Lease)
	w.lastAnswer = now
	t.workers[host.Name] = w
	t.planner.PutWorker(host)
	t.setOpen(now, w)
}

// Follow begins to renew the leases of a shard for a holder that is silent. Nothing is
// started.
func (t *Tracker) Follow(id descriptor.ShardID) {
	if _, found := t.shards[id]; !found {
		t.shards[id] = &shard{}
	}
}

// Acquire takes a shard over, now that nobody else can act for it. Nothing is started
// before IsRead: only what the workers and the host list say from now on counts.
func (t *Tracker) Acquire(now time.Time, id descriptor.ShardID) {
	t.Follow(id)
	s := t.shards[id]
	if !s.acquiredAt.IsZero() {
		return
	}
	s.acquiredAt = now
	s.listed = false
	for _, w := range t.workers {
		if w.shard != id {
			continue
		}
		w.read = false
		w.nextBeat = now
		w.promise(now.Add(t.options.Lease))
	}
}

// IsAcquired reports whether a shard was taken over.
func (t *Tracker) IsAcquired(id descriptor.ShardID) bool {
	s, found := t.shards[id]
	return found && !s.acquiredAt.IsZero()
}

// IsFollowed reports whether the leases of a shard are renewed.
func (t *Tracker) IsFollowed(id descriptor.ShardID) bool {
	_, found := t.shards[id]
	return found
}

// Drop forgets a shard that this host holds no more.
func (t *Tracker) Drop(id descriptor.ShardID) {
	if _, found := t.shards[id]; !found {
		return
	}
	delete(t.shards, id)
	for taskID, k := range t.tasks {
		if k.Shard == id {
			t.planner.Release(taskID)
			t.planner.Withdraw(k.Job.ID)
			t.forget(k)
		}
	}
	for name, w := range t.workers {
		if w.shard == id {
			t.planner.RemoveWorker(name)
			delete(t.workers, name)
		}
	}
}

// IsRead reports whether the inventory of each worker of a shard is known, or its leases
// have lapsed.
func (t *Tracker) IsRead(now time.Time, id descriptor.ShardID) bool {
	s, found := t.shards[id]
	if !found || !s.listed || s.acquiredAt.IsZero() {
		return false
	}
	if s.read {
		return true
	}
	for _, w := range t.workers {
		if w.shard == id && !w.read && !t.hasLapsed(now, w) {
			return false
		}
	}
	s.read = true
	return true
}

// Adopt queues the tasks of an open job that are not known to run. The job's shard must
// have been read.
func (t *Tracker) Adopt(now time.Time, id descriptor.ShardID, record *applier.JobRecord, out *signaller.Outbox) {
	var fresh []*tasker.Task
	for index := range record.Job.Tasks {
		taskID := descriptor.TaskID{Job: record.Job.ID, Index: index}
		if _, known := t.tasks[taskID]; known || record.IsTaskDone(index) {
			continue
		}
		k := t.newTask(taskID, record, id)
		if worker, begun := record.Begun[index]; begun {
			t.endUnknownOneShot(k, worker, out)
			continue
		}
		fresh = append(fresh, k)
	}
	t.queue(now, record.Job, fresh)
}

// endUnknownOneShot fails a one-shot task that may have been started by a former holder
// and runs nowhere: it must not be started again.
func (t *Tracker) endUnknownOneShot(k *tasker.Task, worker string, out *signaller.Outbox) {
	k.Worker = worker
	out.Report("A one-shot task may have run and is not repeated.", "task", k.ID.String(), "worker", worker)
	t.end(k, recorder.EndedTask{
		Index: k.ID.Index, Attempt: k.Attempt + 1, End: recorder.TaskFailed, Worker: worker,
	})
}

func (t *Tracker) newTask(id descriptor.TaskID, record *applier.JobRecord, shardID descriptor.ShardID) *tasker.Task {
	k := tasker.New(id, record.Job, shardID)
	k.Attempt = record.Ended[id.Index].Attempt
	k.Restore = record.Ended[id.Index].Checkpointed
	t.tasks[id] = k
	t.byJob[id.Job] = append(t.byJob[id.Job], k)
	return k
}

func (t *Tracker) queue(now time.Time, job descriptor.Job, tasks []*tasker.Task) {
	indexes := make([]int, 0, len(tasks))
	for _, k := range slices.Backward(tasks) {
		indexes = append(indexes, k.ID.Index)
	}
	t.planner.Submit(now, job, indexes, t.sizes.Need(job.ClassName(), job.Size))
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

// end takes in that an attempt ended for certain; the log hears of it next.
func (t *Tracker) end(k *tasker.Task, ended recorder.EndedTask) {
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

// TakeEnded returns the ends that the log must hear of, by job.
func (t *Tracker) TakeEnded() []recorder.TasksEnded { return t.ended.Take() }

// EndsRecorded takes in that the log holds the ends of some tasks of a job: the workers
// may forget them, and what is not done is tried again.
func (t *Tracker) EndsRecorded(now time.Time, record *applier.JobRecord, ended []recorder.EndedTask) {
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
		k.Restore = e.Checkpointed
		k.Fire(tasker.EventEndRecorded)
		failures := max(record.Failures[e.Index], k.Excused)
		t.delay(now, k, failures)
	}
}

func (t *Tracker) delay(now time.Time, k *tasker.Task, failures int) {
	wait := time.Duration(0)
	if failures > 0 {
		wait = k.Backoff(failures)
	}
	t.delayed.Push(delayed{due: now.Add(wait), task: k})
}

// Close stops all tasks of a job that was cancelled or has ended.
func (t *Tracker) Close(now time.Time, id descriptor.JobID, out *signaller.Outbox) {
	t.planner.Withdraw(id)
	for _, k := range slices.Clone(t.byJob[id]) {
		switch k.Machine.State() {
		case tasker.StateRunning, tasker.StateStarting, tasker.StateUnsettled:
			t.stop(k, false, out)
		case tasker.StateDelayed, tasker.StateQueued, tasker.StateRecording:
			t.forget(k)
		}
	}
}
