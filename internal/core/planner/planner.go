// Package planner decides which waiting task goes to which worker next, and which running
// task makes room for it.
//
// Urgent jobs go first. The others go by team, the one furthest below its quota first,
// and within a team by priority and age: an hour of waiting outweighs some steps of
// priority, so that no job waits for ever. A job that has waited long for room that
// smaller ones keep taking gets workers reserved. Gangs are placed whole or not at all.
// Urgent jobs, and teams below their quota, take room from jobs of lower rank by
// checkpoint, never from tasks that may not be repeated.
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

// Options are the settings of the policy. A zero field takes its default.
type Options struct {
	// AgeStep is the waiting time that is worth one step of priority.
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
	// maxMisses bounds the jobs that one plan tries without finding room.
	maxMisses = 32
	// defaultWeight is the quota, in percent, of a team that has none.
	defaultWeight = 1.0
)

// Placement is a decision to start a task on a worker.
type Placement struct {
	Task   descriptor.TaskID
	Worker string
	Size   descriptor.Size
}

// Eviction is a decision to checkpoint and stop a task.
type Eviction struct {
	Task   descriptor.TaskID
	Worker string
	// For is the job that gets the room.
	For descriptor.JobID
}

// Plan is the result of a round of decisions.
type Plan struct {
	Placements []Placement
	Evictions  []Eviction
}

// waiting is a job with tasks that wait.
type waiting struct {
	job     descriptor.Job
	size    descriptor.Size
	since   time.Time
	pending []int
	avoid   []string
	reason  string
	// queued reports whether the job is in its queue.
	queued bool
	gone   bool
	// evicting counts the tasks that were asked to make room and have not ended.
	evicting int
	// reserved lists the workers that are kept for the job.
	reserved []string
	// nextReserve is when the search for workers to reserve is worth another try.
	nextReserve time.Time
}

// rankTime orders the jobs of a team: earlier goes first. Each step of priority counts
// like AgeStep of waiting.
func (w *waiting) rankTime(step time.Duration) time.Time {
	return w.since.Add(-time.Duration(w.job.Priority) * step)
}

func (w *waiting) isUrgent() bool {
	return w.job.Priority >= descriptor.PriorityUrgent
}

type running struct {
	task     descriptor.TaskID
	worker   string
	size     descriptor.Size
	job      descriptor.Job
	evicted  bool
	evictFor *waiting
}

type team struct {
	name   string
	weight float64
	used   descriptor.Size
	queue  *prioritizer.Queue[*waiting]
}

// Planner holds the waiting jobs and the running tasks of the shards of a host.
type Planner struct {
	options  Options
	pool     placer.Pool
	jobs     map[descriptor.JobID]*waiting
	urgent   *prioritizer.Queue[*waiting]
	teams    map[string]*team
	names    []string
	tasks    map[descriptor.TaskID]*running
	onWorker map[string][]*running
	// racks counts the running tasks of each service by rack.
	racks    map[rackKey]int
	reserved map[string]descriptor.JobID
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
		options:  options,
		jobs:     make(map[descriptor.JobID]*waiting),
		teams:    make(map[string]*team),
		tasks:    make(map[descriptor.TaskID]*running),
		onWorker: make(map[string][]*running),
		racks:    make(map[rackKey]int),
		reserved: make(map[string]descriptor.JobID),
	}
	p.urgent = prioritizer.New(p.goesBefore)
	return p
}

func (p *Planner) goesBefore(a, b *waiting) bool {
	left, right := a.rankTime(p.options.AgeStep), b.rankTime(p.options.AgeStep)
	if !left.Equal(right) {
		return left.Before(right)
	}
	return a.job.ID < b.job.ID
}

// PutWorker adds a worker or changes its capacity.
func (p *Planner) PutWorker(host descriptor.Host) { p.pool.Put(host) }

// RemoveWorker forgets a worker. The tasks on it stay known until they are released.
func (p *Planner) RemoveWorker(name string) {
	p.pool.Remove(name)
	delete(p.reserved, name)
}

// CloseWorker stops or resumes placing on a worker.
func (p *Planner) CloseWorker(name string, closed bool) { p.pool.Close(name, closed) }

// Pool returns the workers' room, for reading.
func (p *Planner) Pool() *placer.Pool { return &p.pool }

// SetQuota sets the part of the cell, in percent, that a team may count on.
func (p *Planner) SetQuota(name string, percent float64) {
	p.team(name).weight = max(percent, 0)
}

func (p *Planner) team(name string) *team {
	t, found := p.teams[name]
	if !found {
		t = &team{name: name, weight: defaultWeight, queue: prioritizer.New(p.goesBefore)}
		p.teams[name] = t
		p.names = append(p.names, name)
		slices.Sort(p.names)
	}
	return t
}

// share returns how much of its quota a team uses; 1 is all of it.
func (p *Planner) share(t *team) float64 {
	if t.weight <= 0 {
		return t.used.Share(p.pool.Capacity()) * percentScale * percentScale
	}
	return t.used.Share(p.pool.Capacity()) * percentScale / t.weight
}

const percentScale = 100.0

// Submit queues tasks of a job. Size is what each of them is taken to need. Tasks of a
// job that waits already are added to it.
func (p *Planner) Submit(now time.Time, job descriptor.Job, tasks []int, size descriptor.Size) {
	if len(tasks) == 0 {
		return
	}
	w, found := p.jobs[job.ID]
	if !found {
		w = &waiting{job: job, since: now}
		p.jobs[job.ID] = w
	}
	w.size = size
	w.pending = append(w.pending, tasks...)
	p.enqueue(w)
}

func (p *Planner) enqueue(w *waiting) {
	if w.queued || w.gone {
		return
	}
	w.queued = true
	if w.isUrgent() {
		p.urgent.Push(w)
		return
	}
	p.team(w.job.Team).queue.Push(w)
}

// Avoid keeps the tasks of a job off some workers.
func (p *Planner) Avoid(id descriptor.JobID, workers []string) {
	if w, found := p.jobs[id]; found {
		w.avoid = workers
	}
}

// Withdraw forgets the waiting tasks of a job, at a cost that does not grow with them.
func (p *Planner) Withdraw(id descriptor.JobID) {
	w, found := p.jobs[id]
	if !found {
		return
	}
	w.gone = true
	w.pending = nil
	delete(p.jobs, id)
	p.unreserve(w)
}

// Occupy accounts a task that is found on a worker.
func (p *Planner) Occupy(task descriptor.TaskID, job descriptor.Job, worker string, size descriptor.Size) {
	if _, found := p.tasks[task]; found {
		return
	}
	p.place(&running{task: task, worker: worker, size: size, job: job})
}

func (p *Planner) place(r *running) {
	p.tasks[r.task] = r
	p.onWorker[r.worker] = append(p.onWorker[r.worker], r)
	p.pool.Take(r.worker, r.size)
	t := p.team(r.job.Team)
	t.used = t.used.Add(r.size)
	if r.job.Kind == descriptor.KindService {
		p.racks[p.rackKey(r)]++
	}
}

func (p *Planner) rackKey(r *running) rackKey {
	host, _ := p.pool.Host(r.worker)
	return rackKey{job: r.job.ID, rack: host.Rack}
}

// Release gives back the room of a task that has ended for certain.
func (p *Planner) Release(task descriptor.TaskID) {
	r, found := p.tasks[task]
	if !found {
		return
	}
	delete(p.tasks, task)
	p.forgetOnWorker(r)
	p.pool.Give(r.worker, r.size)
	t := p.team(r.job.Team)
	t.used = t.used.Sub(r.size)
	if r.job.Kind == descriptor.KindService {
		p.forgetRack(p.rackKey(r))
	}
	if r.evictFor != nil {
		r.evictFor.evicting--
	}
}

func (p *Planner) forgetOnWorker(r *running) {
	list := p.onWorker[r.worker]
	i := slices.Index(list, r)
	list[i] = list[len(list)-1]
	list[len(list)-1] = nil
	list = list[:len(list)-1]
	if len(list) == 0 {
		delete(p.onWorker, r.worker)
		return
	}
	p.onWorker[r.worker] = list
}

func (p *Planner) forgetRack(key rackKey) {
	p.racks[key]--
	if p.racks[key] <= 0 {
		delete(p.racks, key)
	}
}

// Waiting returns how many tasks of a job wait, since when, and why.
func (p *Planner) Waiting(id descriptor.JobID) (count int, since time.Time, reason string) {
	w, found := p.jobs[id]
	if !found {
		return 0, time.Time{}, ""
	}
	return len(w.pending), w.since, w.reason
}

// TeamUse is what a team uses of its quota.
type TeamUse struct {
	Team    string
	Percent float64
	Used    descriptor.Size
}

// Teams lists the teams by name.
func (p *Planner) Teams() []TeamUse {
	uses := make([]TeamUse, 0, len(p.names))
	for _, name := range p.names {
		t := p.teams[name]
		uses = append(uses, TeamUse{Team: name, Percent: t.weight, Used: t.used})
	}
	return uses
}

// sortedTeams lists the teams with waiting jobs, the one furthest below its quota first.
func (p *Planner) sortedTeams() []*team {
	var list []*team
	for _, name := range p.names {
		if t := p.teams[name]; t.queue.Len() > 0 {
			list = append(list, t)
		}
	}
	slices.SortStableFunc(list, func(a, b *team) int {
		return cmp.Compare(p.share(a), p.share(b))
	})
	return list
}
