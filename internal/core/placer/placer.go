// Package placer tracks the free capacity of the workers that a host may dispatch to, and
// picks a worker for a task.
//
// Capacity is allocated when the task is placed and released only by a caller that knows
// that the task has ended. The cost of a decision does not grow with the count of workers:
// they are grouped by free processor time and memory, and a decision examines a few workers
// of a fitting group.
//
// # Usage
//
//	pool := placer.Pool{}
//	pool.Put(host)
//	worker, found := pool.Pick(placer.Requirements{Size: size})
//	if found {
//		pool.Allocate(worker, size)
//	}
package placer

import (
	"math"
	"slices"

	"lentilrock.example/internal/cell/descriptor"
)

// maxSpreadCandidates limits the fitting workers that a decision with SpreadCount compares.
const maxSpreadCandidates = 32

// Requirements describe the workers on which a task may run.
type Requirements struct {
	Size descriptor.Size
	// Racks lists the allowed racks; empty allows all.
	Racks []string
	// ExcludedWorkers names workers that must not be picked.
	ExcludedWorkers []string
	// SpreadCount returns the number of tasks that run near a worker, such as those of the
	// same service in its rack. If it is set, the worker with the lowest count is picked
	// instead of the best fit.
	SpreadCount func(host descriptor.Host) int
	// Job allows the workers that are reserved for this job.
	Job descriptor.JobID
	// IgnoreReserved allows the workers that are reserved for any job.
	IgnoreReserved bool
}

// worker is a worker of the pool with its allocated capacity.
type worker struct {
	host        descriptor.Host
	used        descriptor.Size
	isClosed    bool
	reservedFor descriptor.JobID
	// bucket is the bucket of the grid that holds the worker, position its index there.
	bucket   int
	position int
	tasks    int
}

func (w *worker) free() descriptor.Size {
	return w.host.Capacity.Sub(w.used)
}

func (w *worker) accepts(req Requirements) bool {
	if w.isClosed || !req.Size.Fits(w.free()) {
		return false
	}
	if w.reservedFor != "" && w.reservedFor != req.Job && !req.IgnoreReserved {
		return false
	}
	if len(req.Racks) > 0 && !slices.Contains(req.Racks, w.host.Rack) {
		return false
	}
	return len(req.ExcludedWorkers) == 0 || !slices.Contains(req.ExcludedWorkers, w.host.Name)
}

// score returns the free fractions of processor time and memory that a placement leaves,
// plus the difference between them. A lower score is a tighter and more balanced fit.
func (w *worker) score(req Requirements) float64 {
	left := w.free().Sub(req.Size)
	cores := float64(left.MilliCores) / float64(max(w.host.Capacity.MilliCores, 1))
	memory := float64(left.MemoryBytes) / float64(max(w.host.Capacity.MemoryBytes, 1))
	imbalance := cores - memory
	if imbalance < 0 {
		imbalance = -imbalance
	}
	return cores + memory + imbalance
}

// Pool is a set of workers with their free capacity. Its zero value is empty.
type Pool struct {
	workers map[string]*worker
	// plain holds the workers without accelerators, accelerated those with them.
	plain       grid
	accelerated grid
	capacity    descriptor.Size
	used        descriptor.Size
}

// Len returns the count of workers.
func (p *Pool) Len() int { return len(p.workers) }

// Capacity returns the total capacity of all workers.
func (p *Pool) Capacity() descriptor.Size { return p.capacity }

// Used returns the total allocated capacity of all workers.
func (p *Pool) Used() descriptor.Size { return p.used }

// Put adds a worker, or updates the host list's data of a known one and keeps its allocations.
func (p *Pool) Put(host descriptor.Host) {
	if known, found := p.workers[host.Name]; found {
		if known.host == host {
			return
		}
		p.Remove(host.Name)
		known.host = host
		p.add(known)
		return
	}
	p.add(&worker{host: host})
}

func (p *Pool) add(w *worker) {
	if p.workers == nil {
		p.workers = make(map[string]*worker)
	}
	p.workers[w.host.Name] = w
	p.capacity = p.capacity.Add(w.host.Capacity)
	p.used = p.used.Add(w.used)
	g := p.gridOf(w)
	if !w.host.Capacity.Fits(g.scale) {
		p.rescale(g, g.scale.Max(w.host.Capacity))
	}
	g.insert(w)
}

func (p *Pool) gridOf(w *worker) *grid {
	if w.host.Capacity.Accelerators > 0 {
		return &p.accelerated
	}
	return &p.plain
}

// rescale regroups all workers of a grid for a new scale.
func (p *Pool) rescale(g *grid, scale descriptor.Size) {
	members := slices.Concat(g.buckets[:]...)
	*g = grid{scale: scale}
	for _, w := range members {
		g.insert(w)
	}
}

// Remove removes a worker together with its allocations.
func (p *Pool) Remove(name string) {
	w, found := p.workers[name]
	if !found {
		return
	}
	p.gridOf(w).remove(w)
	p.capacity = p.capacity.Sub(w.host.Capacity)
	p.used = p.used.Sub(w.used)
	delete(p.workers, name)
}

// SetClosed excludes a worker from Pick or includes it again. Its capacity still counts.
func (p *Pool) SetClosed(name string, isClosed bool) {
	if w, found := p.workers[name]; found {
		w.isClosed = isClosed
	}
}

// Reserve reserves a worker for one job. An empty job ends the reservation.
func (p *Pool) Reserve(name string, job descriptor.JobID) {
	if w, found := p.workers[name]; found {
		w.reservedFor = job
	}
}

// IsOpen reports whether a worker is in the pool and not closed.
func (p *Pool) IsOpen(name string) bool {
	w, found := p.workers[name]
	return found && !w.isClosed
}

// Host returns the host list's data of a worker. It reports false if the worker is not in the pool.
func (p *Pool) Host(name string) (descriptor.Host, bool) {
	w, found := p.workers[name]
	if !found {
		return descriptor.Host{}, false
	}
	return w.host, true
}

// Free returns the free capacity of a worker. A resource is negative where more of it is
// allocated than the worker has.
func (p *Pool) Free(name string) descriptor.Size {
	if w, found := p.workers[name]; found {
		return w.free()
	}
	return descriptor.Size{}
}

// Names returns the names of the workers in no fixed order.
func (p *Pool) Names() []string {
	names := make([]string, 0, len(p.workers))
	for name := range p.workers {
		names = append(names, name)
	}
	return names
}

// Allocate allocates capacity on a worker even where it is not free, because tasks that a
// worker is found to run must be accounted in full.
func (p *Pool) Allocate(name string, size descriptor.Size) {
	p.adjust(name, size, 1)
}

// Release releases capacity on a worker.
func (p *Pool) Release(name string, size descriptor.Size) {
	p.adjust(name, size.Times(-1), -1)
}

func (p *Pool) adjust(name string, size descriptor.Size, tasks int) {
	w, found := p.workers[name]
	if !found {
		return
	}
	w.used = w.used.Add(size)
	w.tasks += tasks
	p.used = p.used.Add(size)
	p.gridOf(w).move(w)
}

// Pick returns the name of a worker that meets the requirements. It reports false if there
// is none.
func (p *Pool) Pick(req Requirements) (string, bool) {
	var best *worker
	if req.Size.Accelerators == 0 {
		best = p.plain.pick(req)
	}
	if best == nil {
		// Workers with accelerators run other tasks only if no other worker fits.
		best = p.accelerated.pick(req)
	}
	if best == nil {
		return "", false
	}
	return best.host.Name, true
}

// CountFitting returns how many tasks of a size fit into a capacity.
func CountFitting(size, capacity descriptor.Size) int {
	count := int64(math.MaxInt32)
	for _, resource := range [][2]int64{
		{size.MilliCores, capacity.MilliCores},
		{size.MemoryBytes, capacity.MemoryBytes},
		{size.Accelerators, capacity.Accelerators},
	} {
		if resource[0] > 0 {
			count = min(count, resource[1]/resource[0])
		}
	}
	return int(count)
}
