// Package baseline holds the two simple schedulers that lentilrock's planner is compared
// with: first come first served with the first worker that fits, and with a random one.
//
// # Usage
//
//	b := baseline.New(baseline.FirstFit, hosts, rand.New(rand.NewPCG(1, 2)))
//	b.Submit(now, job, tasks, job.Size)
//	plan := b.Plan(now, 64)
package baseline

import (
	"math/rand/v2"
	"time"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/core/planner"
)

// Fit is how a baseline chooses a worker.
type Fit int

// The fits.
const (
	FirstFit Fit = iota
	RandomFit
)

// randomTries is how many workers RandomFit looks at before it scans all.
const randomTries = 16

type waiting struct {
	job   descriptor.Job
	tasks []int
	size  descriptor.Size
}

type room struct {
	host descriptor.Host
	free descriptor.Size
}

type held struct {
	room *room
	size descriptor.Size
}

// Baseline serves jobs strictly in order: what can't be placed holds up all behind it.
type Baseline struct {
	fit    Fit
	rooms  []*room
	queue  []*waiting
	held   map[descriptor.TaskID]held
	random *rand.Rand
}

// New returns a baseline over some workers.
func New(fit Fit, hosts []descriptor.Host, random *rand.Rand) *Baseline {
	b := &Baseline{fit: fit, held: make(map[descriptor.TaskID]held), random: random}
	for _, h := range hosts {
		b.rooms = append(b.rooms, &room{host: h, free: h.Capacity})
	}
	return b
}

// Submit queues tasks of a job.
func (b *Baseline) Submit(_ time.Time, job descriptor.Job, tasks []int, size descriptor.Size) {
	b.queue = append(b.queue, &waiting{job: job, tasks: tasks, size: size})
}

// Release gives the room of a task back.
func (b *Baseline) Release(task descriptor.TaskID) {
	h, found := b.held[task]
	if !found {
		return
	}
	h.room.free = h.room.free.Add(h.size)
	delete(b.held, task)
}

// Plan places from the head of the queue until something does not fit.
func (b *Baseline) Plan(_ time.Time, budget int) planner.Plan {
	var plan planner.Plan
	for len(b.queue) > 0 && budget > 0 {
		w := b.queue[0]
		placed := b.place(w)
		plan.Placements = append(plan.Placements, placed...)
		budget -= len(placed)
		if len(w.tasks) > 0 {
			return plan
		}
		b.queue = b.queue[1:]
	}
	return plan
}

func (b *Baseline) place(w *waiting) []planner.Placement {
	var placed []planner.Placement
	for len(w.tasks) > 0 {
		r := b.find(w.size)
		if r == nil {
			break
		}
		task := descriptor.TaskID{Job: w.job.ID, Index: w.tasks[0]}
		r.free = r.free.Sub(w.size)
		b.held[task] = held{room: r, size: w.size}
		placed = append(placed, planner.Placement{Task: task, Worker: r.host.Name, Size: w.size})
		w.tasks = w.tasks[1:]
	}
	if w.job.Kind != descriptor.KindGang || len(w.tasks) == 0 {
		return placed
	}
	for _, p := range placed {
		b.Release(p.Task)
		w.tasks = append(w.tasks, p.Task.Index)
	}
	return nil
}

func (b *Baseline) find(size descriptor.Size) *room {
	if b.fit == RandomFit {
		for range randomTries {
			if r := b.rooms[b.random.IntN(len(b.rooms))]; size.Fits(r.free) {
				return r
			}
		}
	}
	for _, r := range b.rooms {
		if size.Fits(r.free) {
			return r
		}
	}
	return nil
}
