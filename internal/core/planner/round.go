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
	now    time.Time
	budget int
	misses int
	// failed lists needs for which no room was found in this round.
	failed []placer.Need
	// aside lists the jobs to queue again after the round.
	aside []*waiting
	plan  Plan
}

func (r *round) isOver() bool {
	return r.budget <= 0 || r.misses >= maxMisses
}

// isHopeless reports whether a need asks for no less than one that found no room.
func (r *round) isHopeless(need placer.Need) bool {
	return slices.ContainsFunc(r.failed, func(f placer.Need) bool {
		return f.Size.Fits(need.Size) && len(f.Racks) == 0 && len(f.Avoid) == 0 && f.Job == ""
	})
}

// Plan makes at most budget placements and takes their room.
func (p *Planner) Plan(now time.Time, budget int) Plan {
	r := &round{now: now, budget: budget}
	p.planUrgent(r)
	p.planTeams(r)
	for _, w := range r.aside {
		p.enqueue(w)
	}
	return r.plan
}

func (p *Planner) planUrgent(r *round) {
	for !r.isOver() {
		w, found := p.urgent.Pop()
		if !found {
			return
		}
		p.try(r, w)
	}
}

// planTeams gives one job at a time to the team furthest below its quota.
func (p *Planner) planTeams(r *round) {
	for !r.isOver() {
		teams := p.sortedTeams()
		if len(teams) == 0 {
			return
		}
		w, _ := teams[0].queue.Pop()
		p.try(r, w)
	}
}

// try places what it can of a job that was taken from its queue.
func (p *Planner) try(r *round, w *waiting) {
	w.queued = false
	if w.gone {
		return
	}
	before := len(w.pending)
	if w.job.Kind == descriptor.KindGang {
		p.placeGang(r, w)
	} else {
		p.placeSome(r, w)
	}
	if len(w.pending) == 0 {
		p.finish(w)
		return
	}
	if len(w.pending) < before && r.budget > 0 {
		// The other teams get their turn, then this job goes on.
		p.enqueue(w)
		return
	}
	r.aside = append(r.aside, w)
	if len(w.pending) == before {
		r.misses++
		p.makeRoom(r, w)
	}
}

// finish forgets a job none of whose tasks waits.
func (p *Planner) finish(w *waiting) {
	delete(p.jobs, w.job.ID)
	w.gone = true
	p.unreserve(w)
}

// chunk is how many tasks of one job are placed before the teams are compared again.
const chunk = 8

func (p *Planner) placeSome(r *round, w *waiting) {
	for range chunk {
		if len(w.pending) == 0 || r.budget <= 0 {
			return
		}
		last := len(w.pending) - 1
		if !p.placeOne(r, w, w.pending[last]) {
			return
		}
		w.pending = w.pending[:last]
	}
}

func (p *Planner) placeOne(r *round, w *waiting, index int) bool {
	worker, found := p.pick(r, w)
	if !found {
		return false
	}
	task := descriptor.TaskID{Job: w.job.ID, Index: index}
	p.place(&running{task: task, worker: worker, size: w.size, job: w.job})
	r.plan.Placements = append(r.plan.Placements, Placement{Task: task, Worker: worker, Size: w.size})
	r.budget--
	return true
}

// placeGang places all tasks of a gang, or takes back what it placed.
func (p *Planner) placeGang(r *round, w *waiting) {
	mark := len(r.plan.Placements)
	for _, index := range w.pending {
		if p.placeOne(r, w, index) {
			continue
		}
		for _, placement := range r.plan.Placements[mark:] {
			p.Release(placement.Task)
			r.budget++
		}
		r.plan.Placements = r.plan.Placements[:mark]
		return
	}
	w.pending = nil
}

func (p *Planner) need(w *waiting) placer.Need {
	need := placer.Need{Size: w.size, Racks: w.job.Racks, Avoid: w.avoid}
	if len(w.reserved) > 0 {
		need.Job = w.job.ID
	}
	if w.isUrgent() {
		need.IgnoreReserved = true
	}
	if w.job.Kind == descriptor.KindService {
		need.Spread = func(host descriptor.Host) int {
			return p.racks[rackKey{job: w.job.ID, rack: host.Rack}]
		}
	}
	return need
}

func (p *Planner) pick(r *round, w *waiting) (string, bool) {
	need := p.need(w)
	if r.isHopeless(need) {
		w.reason = fmt.Sprintf("no worker has %s free", w.size)
		return "", false
	}
	worker, found := p.pool.Pick(need)
	if !found {
		r.failed = append(r.failed, need)
		w.reason = fmt.Sprintf("no worker has %s free", w.size)
	}
	return worker, found
}
