// Package placer keeps the room of the workers that a host may dispatch to, and finds a
// worker for a task.
//
// Room is taken at the decision and given back only by whoever knows that the task has
// ended. The cost of a decision does not grow with the count of workers: they are grouped
// by free processor time and memory, and a decision looks at a few of a fitting group.
//
// # Usage
//
//	pool := placer.Pool{}
//	pool.Put(host)
//	worker, found := pool.Pick(placer.Need{Size: size})
//	if found {
//		pool.Take(worker, size)
//	}
package placer

import (
	"math"
	"slices"

	"lentilrock.example/internal/cell/descriptor"
)

// spreadProbes bounds the fitting workers that a spreading decision compares.
const spreadProbes = 32

// Need is what a task asks of a worker.
type Need struct {
	Size descriptor.Size
	// Racks limits the choice; empty means any.
	Racks []string
	// Avoid names workers that the task should not go to.
	Avoid []string
	// Spread counts what already runs beside a worker; set, the lowest count wins over
	// tight packing.
	Spread func(worker descriptor.Host) int
	// Job may use the workers that are reserved for it.
	Job descriptor.JobID
	// IgnoreReserved uses reserved workers of any job.
	IgnoreReserved bool
}

type room struct {
	host     descriptor.Host
	used     descriptor.Size
	closed   bool
	reserved descriptor.JobID
	cell     int
	position int
	tasks    int
}

func (r *room) free() descriptor.Size {
	return r.host.Capacity.Sub(r.used)
}

func (r *room) takes(need Need) bool {
	if r.closed || !need.Size.Fits(r.free()) {
		return false
	}
	if r.reserved != "" && r.reserved != need.Job && !need.IgnoreReserved {
		return false
	}
	if len(need.Racks) > 0 && !slices.Contains(need.Racks, r.host.Rack) {
		return false
	}
	return len(need.Avoid) == 0 || !slices.Contains(need.Avoid, r.host.Name)
}

// score is lower for a worker that is left fuller and more evenly used.
func (r *room) score(need Need) float64 {
	left := r.free().Sub(need.Size)
	cores := float64(left.MilliCores) / float64(max(r.host.Capacity.MilliCores, 1))
	memory := float64(left.MemoryBytes) / float64(max(r.host.Capacity.MemoryBytes, 1))
	imbalance := cores - memory
	if imbalance < 0 {
		imbalance = -imbalance
	}
	return cores + memory + imbalance
}

// Pool is the room of some workers. Its zero value holds none.
type Pool struct {
	rooms map[string]*room
	// plain holds the workers without accelerators, accelerated those with them.
	plain       grid
	accelerated grid
	capacity    descriptor.Size
	used        descriptor.Size
}

// Len returns the count of workers.
func (p *Pool) Len() int { return len(p.rooms) }

// Capacity returns what all workers offer together.
func (p *Pool) Capacity() descriptor.Size { return p.capacity }

// Used returns what is taken on all workers together.
func (p *Pool) Used() descriptor.Size { return p.used }

// Put adds a worker, or changes the capacity of one that is there.
func (p *Pool) Put(host descriptor.Host) {
	if known, found := p.rooms[host.Name]; found {
		if known.host == host {
			return
		}
		p.Remove(host.Name)
		known.host = host
		p.add(known)
		return
	}
	p.add(&room{host: host})
}

func (p *Pool) add(r *room) {
	if p.rooms == nil {
		p.rooms = make(map[string]*room)
	}
	p.rooms[r.host.Name] = r
	p.capacity = p.capacity.Add(r.host.Capacity)
	p.used = p.used.Add(r.used)
	g := p.gridOf(r)
	if !r.host.Capacity.Fits(g.scale) {
		p.rescale(g, g.scale.Max(r.host.Capacity))
	}
	g.insert(r)
}

func (p *Pool) gridOf(r *room) *grid {
	if r.host.Capacity.Accelerators > 0 {
		return &p.accelerated
	}
	return &p.plain
}

// rescale groups all workers of a grid anew.
func (p *Pool) rescale(g *grid, scale descriptor.Size) {
	members := slices.Concat(g.members[:]...)
	*g = grid{scale: scale}
	for _, r := range members {
		g.insert(r)
	}
}

// Remove forgets a worker and what is taken on it.
func (p *Pool) Remove(name string) {
	r, found := p.rooms[name]
	if !found {
		return
	}
	p.gridOf(r).remove(r)
	p.capacity = p.capacity.Sub(r.host.Capacity)
	p.used = p.used.Sub(r.used)
	delete(p.rooms, name)
}

// Close stops or resumes the choice of a worker; its room stays accounted.
func (p *Pool) Close(name string, closed bool) {
	if r, found := p.rooms[name]; found {
		r.closed = closed
	}
}

// Reserve keeps a worker for one job; an empty job ends that.
func (p *Pool) Reserve(name string, job descriptor.JobID) {
	if r, found := p.rooms[name]; found {
		r.reserved = job
	}
}

// IsOpen reports whether a worker is known and may be chosen.
func (p *Pool) IsOpen(name string) bool {
	r, found := p.rooms[name]
	return found && !r.closed
}

// Host returns a worker of the pool.
func (p *Pool) Host(name string) (descriptor.Host, bool) {
	r, found := p.rooms[name]
	if !found {
		return descriptor.Host{}, false
	}
	return r.host, true
}

// Free returns what is free on a worker; parts are negative where more is taken than the
// worker has.
func (p *Pool) Free(name string) descriptor.Size {
	if r, found := p.rooms[name]; found {
		return r.free()
	}
	return descriptor.Size{}
}

// Names lists the workers in no fixed order.
func (p *Pool) Names() []string {
	names := make([]string, 0, len(p.rooms))
	for name := range p.rooms {
		names = append(names, name)
	}
	return names
}

// Take takes room on a worker, whether or not it is free: what a worker is found to run
// counts as it is.
func (p *Pool) Take(name string, size descriptor.Size) {
	p.change(name, size, 1)
}

// Give gives room on a worker back.
func (p *Pool) Give(name string, size descriptor.Size) {
	p.change(name, size.Times(-1), -1)
}

func (p *Pool) change(name string, size descriptor.Size, tasks int) {
	r, found := p.rooms[name]
	if !found {
		return
	}
	r.used = r.used.Add(size)
	r.tasks += tasks
	p.used = p.used.Add(size)
	p.gridOf(r).move(r)
}

// Pick finds a worker for a need. It reports false where no open worker has the room.
func (p *Pool) Pick(need Need) (string, bool) {
	var best *room
	if need.Size.Accelerators == 0 {
		best = p.plain.pick(need)
	}
	if best == nil {
		// Workers with accelerators take other tasks only where nothing else fits.
		best = p.accelerated.pick(need)
	}
	if best == nil {
		return "", false
	}
	return best.host.Name, true
}

// CountFitting returns how many tasks of a size an empty worker takes.
func CountFitting(size, capacity descriptor.Size) int {
	count := int64(math.MaxInt32)
	for _, pair := range [][2]int64{
		{size.MilliCores, capacity.MilliCores},
		{size.MemoryBytes, capacity.MemoryBytes},
		{size.Accelerators, capacity.Accelerators},
	} {
		if pair[0] > 0 {
			count = min(count, pair[1]/pair[0])
		}
	}
	return int(count)
}
