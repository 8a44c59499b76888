package planner

import (
	"cmp"
	"fmt"
	"slices"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/core/placer"
)

// victimProbes bounds the workers that one search for evictions looks at.
const victimProbes = 64

// makeRoom does what it may for a job that found no room: evict tasks of lower rank, or
// reserve workers once the job has waited long.
func (p *Planner) makeRoom(r *round, w *waiting) {
	if w.evicting > 0 {
		w.reason = fmt.Sprintf("%d tasks are making room", w.evicting)
		return
	}
	if w.isUrgent() || p.isBelowQuota(w) {
		p.evictFor(r, w)
	}
	isLate := r.now.Sub(w.since) >= p.options.ReserveAfter
	if w.evicting == 0 && isLate && p.holder == nil {
		p.reserve(w)
	}
}

// isBelowQuota reports whether the job's team stays within its quota with one more task.
func (p *Planner) isBelowQuota(w *waiting) bool {
	t := p.team(w.job.Team)
	next := t.used.Add(w.size)
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
	for _, v := range best {
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
	owner := p.team(r.job.Team)
	isBorrowing := owner.used.Share(p.pool.Capacity())*percentScale > owner.weight
	return r.job.Team != w.job.Team && isBorrowing && r.job.Priority < descriptor.PriorityUrgent
}

// reserve keeps workers for a job until it is placed: those with the most room first,
// as many as would take it if they were empty.
func (p *Planner) reserve(w *waiting) {
	names := p.pool.Names()
	slices.SortFunc(names, func(a, b string) int {
		left, right := p.pool.Free(a), p.pool.Free(b)
		return cmp.Or(cmp.Compare(right.MilliCores, left.MilliCores), cmp.Compare(a, b))
	})
	missing := 1
	if w.job.Kind == descriptor.KindGang {
		missing = len(w.pending)
	}
	p.holder = w
	for _, name := range names {
		if missing <= 0 {
			break
		}
		host, _ := p.pool.Host(name)
		count := placer.CountFitting(w.size, host.Capacity)
		isAllowed := len(w.job.Racks) == 0 || slices.Contains(w.job.Racks, host.Rack)
		if count == 0 || !isAllowed || !p.pool.IsOpen(name) {
			continue
		}
		missing -= count
		p.reserved[name] = w.job.ID
		p.pool.Reserve(name, w.job.ID)
	}
	w.reason = fmt.Sprintf("%d workers are reserved and emptying", len(p.reserved))
}

func (p *Planner) unreserve() {
	for name := range p.reserved {
		p.pool.Reserve(name, "")
	}
	clear(p.reserved)
	p.holder = nil
}
