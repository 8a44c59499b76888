package planner

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/core/placer"
)

// maxVictimProbes limits the workers that one search for tasks to evict examines.
const maxVictimProbes = 64

// maxReservedFraction limits the workers reserved for several jobs together. A single job may reserve more
// while no other job has a reservation.
const maxReservedFraction = 0.5

// reserveRetryInterval is the time between two searches for workers to reserve for a job.
const reserveRetryInterval = time.Second

// preemptOrReserve frees capacity for a job that could not be placed: it evicts tasks that isEvictable allows
// if the job may preempt, or reserves workers once the job has waited for ReserveAfter.
func (p *Planner) preemptOrReserve(r *round, j *pendingJob) {
	if j.pendingEvictions > 0 {
		j.reason = fmt.Sprintf("%d tasks are making room", j.pendingEvictions)
		return
	}
	mayEvict := j.isUrgent() || p.isWithinQuota(j)
	hasWaitedLong := r.now.Sub(j.waitingSince) >= p.options.ReserveAfter
	if j.job.Kind == descriptor.KindGang {
		p.preemptOrReserveForGang(r, j, mayEvict, hasWaitedLong)
		return
	}
	if mayEvict {
		p.preemptFor(r, j)
	}
	if j.pendingEvictions == 0 && hasWaitedLong {
		p.reserveIfDue(r, j)
	}
}

// preemptOrReserveForGang reserves workers before it evicts tasks. Without reservations,
// other jobs would take the capacity freed on one worker before the whole gang fits.
func (p *Planner) preemptOrReserveForGang(r *round, j *pendingJob, mayEvict, hasWaitedLong bool) {
	if mayEvict || hasWaitedLong {
		p.reserveIfDue(r, j)
	}
	if !mayEvict {
		return
	}
	for _, worker := range j.reservedWorkers {
		if !j.size.Fits(p.pool.Free(worker)) {
			p.evict(r, j, p.victimsOn(worker, j))
		}
	}
}

// reserveIfDue searches for workers to reserve for a job without reservations, at most once
// per reserveRetryInterval.
func (p *Planner) reserveIfDue(r *round, j *pendingJob) {
	if len(j.reservedWorkers) > 0 || r.now.Before(j.nextReservationAt) {
		return
	}
	j.nextReservationAt = r.now.Add(reserveRetryInterval)
	p.reserve(j)
}

// isWithinQuota reports whether the team of a job stays within its quota with one more task
// of the job or, for a gang, with all of its tasks.
func (p *Planner) isWithinQuota(j *pendingJob) bool {
	t := p.team(j.job.Team)
	next := t.used.Add(j.size)
	if j.job.Kind == descriptor.KindGang {
		next = t.used.Add(j.size.Times(int64(len(j.pendingTasks))))
	}
	return next.Share(p.pool.Capacity())*percentScale <= t.quotaPercent
}

// preemptFor evicts tasks on the worker, among at most maxVictimProbes, where the fewest evictions let one
// task of the job fit.
func (p *Planner) preemptFor(r *round, j *pendingJob) {
	var best []*runningTask
	probes := 0
	for _, worker := range p.victimWorkers(j) {
		victims := p.victimsOn(worker, j)
		if victims != nil && (best == nil || len(victims) < len(best)) {
			best = victims
		}
		probes++
		if probes >= maxVictimProbes || len(best) == 1 {
			break
		}
	}
	p.evict(r, j, best)
}

func (p *Planner) evict(r *round, j *pendingJob, victims []*runningTask) {
	for _, v := range victims {
		v.isBeingEvicted = true
		v.preemptor = j
		j.pendingEvictions++
		r.plan.Evictions = append(r.plan.Evictions, Eviction{Task: v.task, Worker: v.worker, Preemptor: j.job.ID})
	}
}

// victimWorkers returns the open workers with running tasks that the job does not exclude,
// sorted by name.
func (p *Planner) victimWorkers(j *pendingJob) []string {
	var names []string
	for name := range p.tasksByWorker {
		if p.pool.IsOpen(name) && !slices.Contains(j.excludedWorkers, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// victimsOn returns the tasks of a worker that must end for one task of the job to fit. It
// takes tasks by priority, lowest first, until the freed capacity is enough, and returns nil
// if it never is.
func (p *Planner) victimsOn(worker string, j *pendingJob) []*runningTask {
	host, _ := p.pool.Host(worker)
	if len(j.job.Racks) > 0 && !slices.Contains(j.job.Racks, host.Rack) {
		return nil
	}
	var candidates []*runningTask
	for _, r := range p.tasksByWorker[worker] {
		if p.isEvictable(r, j) {
			candidates = append(candidates, r)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *runningTask) int {
		return cmp.Or(cmp.Compare(a.job.Priority, b.job.Priority),
			cmp.Compare(a.task.String(), b.task.String()))
	})
	free := p.pool.Free(worker)
	for i, r := range candidates {
		free = free.Add(r.size)
		if j.size.Fits(free) {
			return candidates[:i+1]
		}
	}
	return nil
}

func (p *Planner) isEvictable(r *runningTask, j *pendingJob) bool {
	if r.isBeingEvicted || r.job.OneShot || r.job.ID == j.job.ID || r.job.Kind == descriptor.KindService {
		return false
	}
	if j.isUrgent() {
		return r.job.Priority < j.job.Priority
	}
	if r.job.Kind == descriptor.KindGang {
		// Evicting one member would stall the whole gang for one task of another team.
		return false
	}
	owner := p.team(r.job.Team)
	isOverQuota := owner.used.Share(p.pool.Capacity())*percentScale > owner.quotaPercent
	return r.job.Team != j.job.Team && isOverQuota && r.job.Priority < descriptor.PriorityUrgent
}

// reserve reserves workers for a job until it is placed. It takes the workers with the most free processor
// time first, as many as the job needs once all their tasks except services have ended, and reserves none if
// that is not enough. The reservations of several jobs together take at most maxReservedFraction of the
// workers; a single job may reserve more while no other job has a reservation.
func (p *Planner) reserve(j *pendingJob) {
	tasksLeft := 1
	if j.job.Kind == descriptor.KindGang {
		tasksLeft = len(j.pendingTasks)
	}
	names := p.reservableWorkers(j)
	maxWorkers := int(float64(p.pool.Len())*maxReservedFraction) - len(p.reservations)
	if len(p.reservations) == 0 {
		// A job that needs more than this fraction gets its workers once no other job has a
		// reservation.
		maxWorkers = p.pool.Len()
	}
	var chosen []string
	for _, name := range names {
		if tasksLeft <= 0 || len(chosen) >= maxWorkers {
			break
		}
		count := placer.CountFitting(j.size, p.capacityWithoutServices(name))
		if count > 0 {
			tasksLeft -= count
			chosen = append(chosen, name)
		}
	}
	if tasksLeft > 0 {
		return
	}
	for _, name := range chosen {
		p.reservations[name] = j.job.ID
		p.pool.Reserve(name, j.job.ID)
	}
	j.reservedWorkers = chosen
	j.reason = fmt.Sprintf("%d workers are reserved and emptying", len(chosen))
}

// reservableWorkers returns the open workers that may be reserved for a job, those with the
// most free processor time first.
func (p *Planner) reservableWorkers(j *pendingJob) []string {
	names := slices.DeleteFunc(p.pool.Names(), func(name string) bool {
		host, _ := p.pool.Host(name)
		isAllowed := len(j.job.Racks) == 0 || slices.Contains(j.job.Racks, host.Rack)
		_, isReserved := p.reservations[name]
		return isReserved || !isAllowed || !p.pool.IsOpen(name)
	})
	slices.SortFunc(names, func(a, b string) int {
		left, right := p.pool.Free(a), p.pool.Free(b)
		return cmp.Or(cmp.Compare(right.MilliCores, left.MilliCores), cmp.Compare(a, b))
	})
	return names
}

// capacityWithoutServices returns the capacity of a worker that its running services do not
// use.
func (p *Planner) capacityWithoutServices(name string) descriptor.Size {
	host, _ := p.pool.Host(name)
	capacity := host.Capacity
	for _, r := range p.tasksByWorker[name] {
		if r.job.Kind == descriptor.KindService {
			capacity = capacity.Sub(r.size)
		}
	}
	return capacity
}

// releaseReservations ends the reservations of a job.
func (p *Planner) releaseReservations(j *pendingJob) {
	for _, name := range j.reservedWorkers {
		p.pool.Reserve(name, "")
		delete(p.reservations, name)
	}
	j.reservedWorkers = nil
}
