// Package planner schedules pending tasks onto workers and selects the running tasks to
// evict for them.
//
// Urgent jobs are scheduled first. The other jobs are scheduled by team, the team that uses the smallest part
// of its quota first, and within a team by priority and age: each Options.AgeStep of waiting counts as one
// step of priority, which prevents starvation. A job that has waited long because smaller jobs keep taking
// the free capacity gets workers reserved. Gangs are placed as a whole or not at all. Urgent jobs preempt
// tasks of lower priority. Jobs of teams within their quota preempt non-urgent tasks, except gangs, of teams
// over their quota. Evicted tasks are checkpointed and stopped. One-shot tasks, which must not be repeated,
// and services are never evicted.
//
// # Usage
//
//	p := planner.New(planner.Options{})
//	p.PutWorker(host)
//	p.Submit(now, job, []int{0, 1, 2}, job.Size)
//	plan := p.Plan(now, 64)
//	for _, placement := range plan.Placements {
//		// send the start
//	}
//	p.Release(task)
package planner

import (
	"cmp"
	"slices"
	"time"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/container/prioritizer"
	"lentilrock.example/internal/core/placer"
)

// Options are the settings of the scheduling policy. A zero field takes its default.
type Options struct {
	// AgeStep is the waiting time that counts as much as one step of priority.
	AgeStep time.Duration
	// ReserveAfter is the waiting time after which a job gets workers reserved.
	ReserveAfter time.Duration
}

// Defaults of Options.
const (
	DefaultAgeStep      = 6 * time.Second
	DefaultReserveAfter = 30 * time.Second
)

const (
	// maxUnplacedJobs limits the jobs that one plan fails to place before it stops.
	maxUnplacedJobs = 32
	// defaultQuotaPercent is the quota of a team for which none is set.
	defaultQuotaPercent = 1.0
)

// Placement is a decision to start a task on a worker.
type Placement struct {
	Task   descriptor.TaskID
	Worker string
	Size   descriptor.Size
}

// Eviction is a decision to checkpoint and stop a running task.
type Eviction struct {
	Task   descriptor.TaskID
	Worker string
	// Preemptor is the job that gets the freed capacity.
	Preemptor descriptor.JobID
}

// Plan is the result of one scheduling round.
type Plan struct {
	Placements []Placement
	Evictions  []Eviction
}

// pendingJob is a job with tasks that are not placed yet.
type pendingJob struct {
	job             descriptor.Job
	size            descriptor.Size
	waitingSince    time.Time
	pendingTasks    []int
	excludedWorkers []string
	reason          string
	// isQueued reports whether the job is in the urgent queue or in the queue of its team.
	isQueued bool
	// isRemoved reports that the job was removed or fully placed. Its queue may still hold it.
	isRemoved bool
	// pendingEvictions counts the tasks evicted for the job that have not ended yet.
	pendingEvictions int
	// reservedWorkers lists the workers that are reserved for the job.
	reservedWorkers []string
	// nextReservationAt is the earliest time of the next search for workers to reserve.
	nextReservationAt time.Time
}

// effectiveQueueTime returns the time by which the jobs of a queue are ordered, earliest
// first. Each step of priority counts as one step of waiting time.
func (j *pendingJob) effectiveQueueTime(step time.Duration) time.Time {
	return j.waitingSince.Add(-time.Duration(j.job.Priority) * step)
}

func (j *pendingJob) isUrgent() bool {
	return j.job.Priority >= descriptor.PriorityUrgent
}

// runningTask is a task whose capacity on a worker is allocated.
type runningTask struct {
	task           descriptor.TaskID
	worker         string
	size           descriptor.Size
	job            descriptor.Job
	isBeingEvicted bool
	preemptor      *pendingJob
}

type team struct {
	name         string
	quotaPercent float64
	used         descriptor.Size
	queue        *prioritizer.Queue[*pendingJob]
}

// Planner holds the pending jobs and the running tasks of the shards that a host holds.
type Planner struct {
	options       Options
	pool          placer.Pool
	jobs          map[descriptor.JobID]*pendingJob
	urgent        *prioritizer.Queue[*pendingJob]
	teams         map[string]*team
	teamNames     []string
	tasks         map[descriptor.TaskID]*runningTask
	tasksByWorker map[string][]*runningTask
	// rackCounts counts the running tasks of each service by rack.
	rackCounts map[rackKey]int
	// reservations maps a reserved worker to the job for which it is reserved.
	reservations map[string]descriptor.JobID
}

type rackKey struct {
	job  descriptor.JobID
	rack string
}

// New returns a planner without workers or jobs.
func New(options Options) *Planner {
	if options.AgeStep == 0 {
		options.AgeStep = DefaultAgeStep
	}
	if options.ReserveAfter == 0 {
		options.ReserveAfter = DefaultReserveAfter
	}
	p := &Planner{
		options:       options,
		jobs:          make(map[descriptor.JobID]*pendingJob),
		teams:         make(map[string]*team),
		tasks:         make(map[descriptor.TaskID]*runningTask),
		tasksByWorker: make(map[string][]*runningTask),
		rackCounts:    make(map[rackKey]int),
		reservations:  make(map[string]descriptor.JobID),
	}
	p.urgent = prioritizer.New(p.isBefore)
	return p
}

func (p *Planner) isBefore(a, b *pendingJob) bool {
	left, right := a.effectiveQueueTime(p.options.AgeStep), b.effectiveQueueTime(p.options.AgeStep)
	if !left.Equal(right) {
		return left.Before(right)
	}
	return a.job.ID < b.job.ID
}

// PutWorker adds a worker or updates the host list's data of a known one.
func (p *Planner) PutWorker(host descriptor.Host) { p.pool.Put(host) }

// RemoveWorker removes a worker. Its tasks stay known, and count as used by their teams,
// until they are released.
func (p *Planner) RemoveWorker(name string) {
	p.pool.Remove(name)
	delete(p.reservations, name)
}

// SetWorkerClosed stops placements on a worker, or resumes them.
func (p *Planner) SetWorkerClosed(name string, isClosed bool) { p.pool.SetClosed(name, isClosed) }

// Pool returns the workers with their free capacity. Callers must not change it.
func (p *Planner) Pool() *placer.Pool { return &p.pool }

// SetQuota sets the quota of a team in percent of the capacity of all workers. A negative
// value counts as 0.
func (p *Planner) SetQuota(name string, percent float64) {
	p.team(name).quotaPercent = max(percent, 0)
}

func (p *Planner) team(name string) *team {
	t, found := p.teams[name]
	if !found {
		t = &team{name: name, quotaPercent: defaultQuotaPercent, queue: prioritizer.New(p.isBefore)}
		p.teams[name] = t
		p.teamNames = append(p.teamNames, name)
		slices.Sort(p.teamNames)
	}
	return t
}

// quotaUse returns the fraction of its quota that a team uses; 1 is the whole quota. A
// quota of 0 counts as 0.01 percent.
func (p *Planner) quotaUse(t *team) float64 {
	if t.quotaPercent <= 0 {
		return t.used.Share(p.pool.Capacity()) * percentScale * percentScale
	}
	return t.used.Share(p.pool.Capacity()) * percentScale / t.quotaPercent
}

const percentScale = 100.0

// Submit queues tasks of a job. Size is the expected size of each task. If the job is
// pending already, the tasks are added to it.
func (p *Planner) Submit(now time.Time, job descriptor.Job, tasks []int, size descriptor.Size) {
	if len(tasks) == 0 {
		return
	}
	j, found := p.jobs[job.ID]
	if !found {
		j = &pendingJob{job: job, waitingSince: now}
		p.jobs[job.ID] = j
	}
	j.size = size
	j.pendingTasks = append(j.pendingTasks, tasks...)
	p.enqueue(j)
}

func (p *Planner) enqueue(j *pendingJob) {
	if j.isQueued || j.isRemoved {
		return
	}
	j.isQueued = true
	if j.isUrgent() {
		p.urgent.Push(j)
		return
	}
	p.team(j.job.Team).queue.Push(j)
}

// ExcludeWorkers excludes workers from the placement of a pending job. The list replaces the former
// one.
func (p *Planner) ExcludeWorkers(id descriptor.JobID, workers []string) {
	if j, found := p.jobs[id]; found {
		j.excludedWorkers = workers
	}
}

// RemoveJob removes a pending job. Its cost does not depend on the count of pending tasks:
// the entry of the job stays in its queue and is skipped later.
func (p *Planner) RemoveJob(id descriptor.JobID) {
	j, found := p.jobs[id]
	if !found {
		return
	}
	j.isRemoved = true
	j.pendingTasks = nil
	delete(p.jobs, id)
	p.releaseReservations(j)
}

// AddRunning allocates the capacity of a task that a worker already runs.
func (p *Planner) AddRunning(task descriptor.TaskID, job descriptor.Job, worker string, size descriptor.Size) {
	if _, found := p.tasks[task]; found {
		return
	}
	p.addRunning(&runningTask{task: task, worker: worker, size: size, job: job})
}

func (p *Planner) addRunning(r *runningTask) {
	p.tasks[r.task] = r
	p.tasksByWorker[r.worker] = append(p.tasksByWorker[r.worker], r)
	p.pool.Allocate(r.worker, r.size)
	t := p.team(r.job.Team)
	t.used = t.used.Add(r.size)
	if r.job.Kind == descriptor.KindService {
		p.rackCounts[p.rackKey(r)]++
	}
}

func (p *Planner) rackKey(r *runningTask) rackKey {
	host, _ := p.pool.Host(r.worker)
	return rackKey{job: r.job.ID, rack: host.Rack}
}

// Release frees the capacity of a task. Callers must know for certain that the task has
// ended.
func (p *Planner) Release(task descriptor.TaskID) {
	r, found := p.tasks[task]
	if !found {
		return
	}
	delete(p.tasks, task)
	p.removeFromWorker(r)
	p.pool.Release(r.worker, r.size)
	t := p.team(r.job.Team)
	t.used = t.used.Sub(r.size)
	if r.job.Kind == descriptor.KindService {
		p.decrementRack(p.rackKey(r))
	}
	if r.preemptor != nil {
		r.preemptor.pendingEvictions--
	}
}

func (p *Planner) removeFromWorker(r *runningTask) {
	list := p.tasksByWorker[r.worker]
	i := slices.Index(list, r)
	list[i] = list[len(list)-1]
	list[len(list)-1] = nil
	list = list[:len(list)-1]
	if len(list) == 0 {
		delete(p.tasksByWorker, r.worker)
		return
	}
	p.tasksByWorker[r.worker] = list
}

func (p *Planner) decrementRack(key rackKey) {
	p.rackCounts[key]--
	if p.rackCounts[key] <= 0 {
		delete(p.rackCounts, key)
	}
}

// PendingTasks returns the count of pending tasks of a job, the time since which the job waits
// and the reason why its last placement failed. For a job that is not pending it returns
// zero values.
func (p *Planner) PendingTasks(id descriptor.JobID) (count int, since time.Time, reason string) {
	j, found := p.jobs[id]
	if !found {
		return 0, time.Time{}, ""
	}
	return len(j.pendingTasks), j.waitingSince, j.reason
}

// TeamUse is the quota of a team, in percent, and the capacity that its tasks use.
type TeamUse struct {
	Team    string
	Percent float64
	Used    descriptor.Size
}

// Teams returns the teams, sorted by name.
func (p *Planner) Teams() []TeamUse {
	uses := make([]TeamUse, 0, len(p.teamNames))
	for _, name := range p.teamNames {
		t := p.teams[name]
		uses = append(uses, TeamUse{Team: name, Percent: t.quotaPercent, Used: t.used})
	}
	return uses
}

// sortedTeams returns the teams with queued jobs, the one that uses the smallest part of its
// quota first.
func (p *Planner) sortedTeams() []*team {
	var list []*team
	for _, name := range p.teamNames {
		if t := p.teams[name]; t.queue.Len() > 0 {
			list = append(list, t)
		}
	}
	slices.SortStableFunc(list, func(a, b *team) int {
		return cmp.Compare(p.quotaUse(a), p.quotaUse(b))
	})
	return list
}
