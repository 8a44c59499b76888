package planner

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/core/placer"
)

// victimProbes bounds the workers that one search for evictions looks at.
const victimProbes = 64

// maxReserved is the part of the workers that several jobs may have reserved together.
const maxReserved = 0.5

// reserveRetry is the time between two searches for workers to reserve for a job.
const reserveRetry = time.Second

// makeRoom does what it may for a job that found no room: evict tasks of lower rank, or
// reserve workers once the job has waited long.
func (p *Planner) makeRoom(r *round, w *waiting) {
	if w.evicting > 0 {
		w.reason = fmt.Sprintf("%d tasks are making room", w.evicting)
		return
	}
	mayEvict := w.isUrgent() || p.isBelowQuota(w)
	isLate := r.now.Sub(w.since) >= p.options.ReserveAfter
	if w.job.Kind == descriptor.KindGang {
		p.makeRoomForGang(r, w, mayEvict, isLate)
		return
	}
	if mayEvict {
		p.evictFor(r, w)
	}
	if w.evicting == 0 && isLate {
		p.tryReserve(r, w)
	}
}

// makeRoomForGang reserves workers before anything is evicted: room on one worker is of no
// use to a gang while others take it again.
func (p *Planner) makeRoomForGang(r *round, w *waiting, mayEvict, isLate bool) {
	if mayEvict || isLate {
		p.tryReserve(r, w)
	}
	if !mayEvict {
		return
	}
	for _, worker := range w.reserved {
		if !w.size.Fits(p.pool.Free(worker)) {
			p.evict(r, w, p.victimsOn(worker, w))
		}
	}
}

// tryReserve reserves workers for a job that has none, now and then.
func (p *Planner) tryReserve(r *round, w *waiting) {
	if len(w.reserved) > 0 || r.now.Before(w.nextReserve) {
		return
	}
	w.nextReserve = r.now.Add(reserveRetry)
	p.reserve(w)
}

// isBelowQuota reports whether the job's team stays within its quota with one more task, or
// with the whole of a gang.
func (p *Planner) isBelowQuota(w *waiting) bool {
	t := p.team(w.job.Team)
	next := t.used.Add(w.size)
	if w.job.Kind == descriptor.KindGang {
		next = t.used.Add(w.size.Times(int64(len(w.pending))))
	}
	return next.Share(p.pool.Capacity())*percentScale <= t.weight
}

// evictFor asks the tasks of the worker where the least is lost to make room.
func (p *Planner) evictFor(r *round, w *waiting) {
	var best []*running
	probes := 0
	for _, worker := range p.victimWorkers(w) {
		victims := p.victimsOn(worker, w)
		if victims != nil && (best == nil || len(victims) < len(best)) {
			best = victims
		}
		probes++
		if probes >= victimProbes || len(best) == 1 {
			break
		}
	}
	p.evict(r, w, best)
}

func (p *Planner) evict(r *round, w *waiting, victims []*running) {
	for _, v := range victims {
		v.evicted = true
		v.evictFor = w
		w.evicting++
		r.plan.Evictions = append(r.plan.Evictions, Eviction{Task: v.task, Worker: v.worker, For: w.job.ID})
	}
}

// victimWorkers lists some open workers with running tasks, in a fixed order.
func (p *Planner) victimWorkers(w *waiting) []string {
	var names []string
	for name := range p.onWorker {
		if p.pool.IsOpen(name) && !slices.Contains(w.avoid, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// victimsOn returns the fewest tasks of a worker that must end for one task of w to fit,
// lowest rank first, or nil where that is not enough.
func (p *Planner) victimsOn(worker string, w *waiting) []*running {
	host, _ := p.pool.Host(worker)
	if len(w.job.Racks) > 0 && !slices.Contains(w.job.Racks, host.Rack) {
		return nil
	}
	var candidates []*running
	for _, r := range p.onWorker[worker] {
		if p.isEvictable(r, w) {
			candidates = append(candidates, r)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *running) int {
		return cmp.Or(cmp.Compare(a.job.Priority, b.job.Priority),
			cmp.Compare(a.task.String(), b.task.String()))
	})
	free := p.pool.Free(worker)
	for i, r := range candidates {
		free = free.Add(r.size)
		if w.size.Fits(free) {
			return candidates[:i+1]
		}
	}
	return nil
}

func (p *Planner) isEvictable(r *running, w *waiting) bool {
	if r.evicted || r.job.OneShot || r.job.ID == w.job.ID || r.job.Kind == descriptor.KindService {
		return false
	}
	if w.isUrgent() {
		return r.job.Priority < w.job.Priority
	}
	if r.job.Kind == descriptor.KindGang {
		// One member less would hold up the whole gang for one task of another team.
		return false
	}
	owner := p.team(r.job.Team)
	isBorrowing := owner.used.Share(p.pool.Capacity())*percentScale > owner.weight
	return r.job.Team != w.job.Team && isBorrowing && r.job.Priority < descriptor.PriorityUrgent
}

// reserve keeps workers for a job until it is placed: those with the most room first, as
// many as would take it once all but services have left them. The reservations of several
// jobs together take at most a part of the workers.
func (p *Planner) reserve(w *waiting) {
	missing := 1
	if w.job.Kind == descriptor.KindGang {
		missing = len(w.pending)
	}
	names := p.reservable(w)
	allowed := int(float64(p.pool.Len())*maxReserved) - len(p.reserved)
	if len(p.reserved) == 0 {
		// A job that needs more than that part gets it once no other has a reservation.
		allowed = p.pool.Len()
	}
	var chosen []string
	for _, name := range names {
		if missing <= 0 || len(chosen) >= allowed {
			break
		}
		count := placer.CountFitting(w.size, p.lasting(name))
		if count > 0 {
			missing -= count
			chosen = append(chosen, name)
		}
	}
	if missing > 0 {
		return
	}
	for _, name := range chosen {
		p.reserved[name] = w.job.ID
		p.pool.Reserve(name, w.job.ID)
	}
	w.reserved = chosen
	w.reason = fmt.Sprintf("%d workers are reserved and emptying", len(chosen))
}

// reservable lists the workers that a job may have reserved, those with the most room
// first.
func (p *Planner) reservable(w *waiting) []string {
	names := slices.DeleteFunc(p.pool.Names(), func(name string) bool {
		host, _ := p.pool.Host(name)
		isAllowed := len(w.job.Racks) == 0 || slices.Contains(w.job.Racks, host.Rack)
		_, isTaken := p.reserved[name]
		return isTaken || !isAllowed || !p.pool.IsOpen(name)
	})
	slices.SortFunc(names, func(a, b string) int {
		left, right := p.pool.Free(a), p.pool.Free(b)
		return cmp.Or(cmp.Compare(right.MilliCores, left.MilliCores), cmp.Compare(a, b))
	})
	return names
}

// lasting returns the room of a worker once all but its services have ended.
func (p *Planner) lasting(name string) descriptor.Size {
	host, _ := p.pool.Host(name)
	room := host.Capacity
	for _, r := range p.onWorker[name] {
		if r.job.Kind == descriptor.KindService {
			room = room.Sub(r.size)
		}
	}
	return room
}

// unreserve lets go of the workers that were kept for a job.
func (p *Planner) unreserve(w *waiting) {
	for _, name := range w.reserved {
		p.pool.Reserve(name, "")
		delete(p.reserved, name)
	}
	w.reserved = nil
}
