package planner

import (
	"fmt"
	"slices"
	"time"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/core/placer"
)

// round is the state of one call of Plan.
type round struct {
	now time.Time
	// budget is the number of placements that the round may still make.
	budget       int
	unplacedJobs int
	// unsatisfied lists requirements for which this round found no worker.
	unsatisfied []placer.Requirements
	// requeue lists the jobs to queue again after the round.
	requeue []*pendingJob
	plan    Plan
}

func (r *round) isOver() bool {
	return r.budget <= 0 || r.unplacedJobs >= maxUnplacedJobs
}

// isKnownUnsatisfiable reports whether this round already found no unreserved worker for a size of at most
// req.Size, with no limit on racks or workers. Workers reserved for req.Job are not considered.
func (r *round) isKnownUnsatisfiable(req placer.Requirements) bool {
	return slices.ContainsFunc(r.unsatisfied, func(f placer.Requirements) bool {
		return f.Size.Fits(req.Size) && len(f.Racks) == 0 && len(f.ExcludedWorkers) == 0 && f.Job == ""
	})
}

// Plan makes at most budget placements and allocates their capacity.
func (p *Planner) Plan(now time.Time, budget int) Plan {
	r := &round{now: now, budget: budget}
	p.planUrgent(r)
	p.planTeams(r)
	for _, j := range r.requeue {
		p.enqueue(j)
	}
	return r.plan
}

func (p *Planner) planUrgent(r *round) {
	for !r.isOver() {
		j, found := p.urgent.Pop()
		if !found {
			return
		}
		p.placeJob(r, j)
	}
}

// planTeams repeatedly places tasks of the first job of the team that uses the smallest part of its quota.
func (p *Planner) planTeams(r *round) {
	for !r.isOver() {
		teams := p.sortedTeams()
		if len(teams) == 0 {
			return
		}
		j, _ := teams[0].queue.Pop()
		p.placeJob(r, j)
	}
}

// placeJob places tasks of a job that was popped from its queue, and queues the job again
// if tasks remain.
func (p *Planner) placeJob(r *round, j *pendingJob) {
	j.isQueued = false
	if j.isRemoved {
		return
	}
	pendingBefore := len(j.pendingTasks)
	if j.job.Kind == descriptor.KindGang {
		p.placeGang(r, j)
	} else {
		p.placeChunk(r, j)
	}
	if len(j.pendingTasks) == 0 {
		p.removeJob(j)
		return
	}
	if len(j.pendingTasks) < pendingBefore && r.budget > 0 {
		// The job continues after teams that now use a smaller part of their quota.
		p.enqueue(j)
		return
	}
	r.requeue = append(r.requeue, j)
	if len(j.pendingTasks) == pendingBefore {
		r.unplacedJobs++
		p.preemptOrReserve(r, j)
	}
}

// removeJob removes a job without pending tasks.
func (p *Planner) removeJob(j *pendingJob) {
	delete(p.jobs, j.job.ID)
	j.isRemoved = true
	p.releaseReservations(j)
}

// chunkSize is the number of tasks of one job that are placed before the teams are compared
// again.
const chunkSize = 8

func (p *Planner) placeChunk(r *round, j *pendingJob) {
	for range chunkSize {
		if len(j.pendingTasks) == 0 || r.budget <= 0 {
			return
		}
		last := len(j.pendingTasks) - 1
		if !p.placeTask(r, j, j.pendingTasks[last]) {
			return
		}
		j.pendingTasks = j.pendingTasks[:last]
	}
}

func (p *Planner) placeTask(r *round, j *pendingJob, index int) bool {
	worker, found := p.pickWorker(r, j)
	if !found {
		return false
	}
	task := descriptor.TaskID{Job: j.job.ID, Index: index}
	p.addRunning(&runningTask{task: task, worker: worker, size: j.size, job: j.job})
	r.plan.Placements = append(r.plan.Placements, Placement{Task: task, Worker: worker, Size: j.size})
	r.budget--
	return true
}

// placeGang places all pending tasks of a gang. If one of them does not fit, it releases
// those that it placed.
func (p *Planner) placeGang(r *round, j *pendingJob) {
	firstPlacement := len(r.plan.Placements)
	for _, index := range j.pendingTasks {
		if p.placeTask(r, j, index) {
			continue
		}
		for _, placement := range r.plan.Placements[firstPlacement:] {
			p.Release(placement.Task)
			r.budget++
		}
		r.plan.Placements = r.plan.Placements[:firstPlacement]
		return
	}
	j.pendingTasks = nil
}

func (p *Planner) requirements(j *pendingJob) placer.Requirements {
	req := placer.Requirements{Size: j.size, Racks: j.job.Racks, ExcludedWorkers: j.excludedWorkers}
	if len(j.reservedWorkers) > 0 {
		req.Job = j.job.ID
	}
	if j.isUrgent() {
		req.IgnoreReserved = true
	}
	if j.job.Kind == descriptor.KindService {
		req.SpreadCount = func(host descriptor.Host) int {
			return p.rackCounts[rackKey{job: j.job.ID, rack: host.Rack}]
		}
	}
	return req
}

func (p *Planner) pickWorker(r *round, j *pendingJob) (string, bool) {
	req := p.requirements(j)
	if r.isKnownUnsatisfiable(req) {
		j.reason = fmt.Sprintf("no worker has %s free", j.size)
		return "", false
	}
	worker, found := p.pool.Pick(req)
	if !found {
		r.unsatisfied = append(r.unsatisfied, req)
		j.reason = fmt.Sprintf("no worker has %s free", j.size)
	}
	return worker, found
}
