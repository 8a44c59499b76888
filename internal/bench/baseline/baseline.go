// Package baseline implements the two simple schedulers that benchmarks compare with lentilrock's
// planner. Both serve jobs in order of arrival (FCFS); one places a task on the first worker on
// which it fits, the other on a random one.
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

// Fit is the placement policy of a baseline: how it chooses a worker for a task.
type Fit int

// The placement policies.
const (
	FirstFit Fit = iota
	RandomFit
)

// maxRandomTries is how many random workers RandomFit tries before it scans all workers in order.
const maxRandomTries = 16

type queuedJob struct {
	job   descriptor.Job
	tasks []int
	size  descriptor.Size
}

type workerState struct {
	host descriptor.Host
	free descriptor.Size
}

type allocation struct {
	worker *workerState
	size   descriptor.Size
}

// Baseline is a scheduler that serves jobs strictly in order of arrival: a task that does not fit
// on any worker blocks all jobs behind it (head-of-line blocking).
type Baseline struct {
	fit         Fit
	workers     []*workerState
	queue       []*queuedJob
	allocations map[descriptor.TaskID]allocation
	rng         *rand.Rand
}

// New returns a baseline that places tasks on the given hosts. RandomFit chooses workers with rng.
func New(fit Fit, hosts []descriptor.Host, rng *rand.Rand) *Baseline {
	b := &Baseline{fit: fit, allocations: make(map[descriptor.TaskID]allocation), rng: rng}
	for _, h := range hosts {
		b.workers = append(b.workers, &workerState{host: h, free: h.Capacity})
	}
	return b
}

// Submit appends tasks of a job, each of the given size, to the queue.
func (b *Baseline) Submit(_ time.Time, job descriptor.Job, tasks []int, size descriptor.Size) {
	b.queue = append(b.queue, &queuedJob{job: job, tasks: tasks, size: size})
}

// Release frees the capacity that a task uses. It does nothing for a task that is not placed.
func (b *Baseline) Release(task descriptor.TaskID) {
	a, found := b.allocations[task]
	if !found {
		return
	}
	a.worker.free = a.worker.free.Add(a.size)
	delete(b.allocations, task)
}

// Plan places tasks from the head of the queue until one does not fit or the budget, a number of
// placements, is used up. It finishes the job that it has begun, so it may exceed the budget.
func (b *Baseline) Plan(_ time.Time, budget int) planner.Plan {
	var plan planner.Plan
	for len(b.queue) > 0 && budget > 0 {
		j := b.queue[0]
		placed := b.placeTasks(j)
		plan.Placements = append(plan.Placements, placed...)
		budget -= len(placed)
		if len(j.tasks) > 0 {
			return plan
		}
		b.queue = b.queue[1:]
	}
	return plan
}

// placeTasks places tasks of a job in order until one does not fit. It places either all tasks of a
// gang or none.
func (b *Baseline) placeTasks(j *queuedJob) []planner.Placement {
	var placed []planner.Placement
	for len(j.tasks) > 0 {
		w := b.findWorker(j.size)
		if w == nil {
			break
		}
		task := descriptor.TaskID{Job: j.job.ID, Index: j.tasks[0]}
		w.free = w.free.Sub(j.size)
		b.allocations[task] = allocation{worker: w, size: j.size}
		placed = append(placed, planner.Placement{Task: task, Worker: w.host.Name, Size: j.size})
		j.tasks = j.tasks[1:]
	}
	if j.job.Kind != descriptor.KindGang || len(j.tasks) == 0 {
		return placed
	}
	for _, p := range placed {
		b.Release(p.Task)
		j.tasks = append(j.tasks, p.Task.Index)
	}
	return nil
}

func (b *Baseline) findWorker(size descriptor.Size) *workerState {
	if b.fit == RandomFit {
		for range maxRandomTries {
			if w := b.workers[b.rng.IntN(len(b.workers))]; size.Fits(w.free) {
				return w
			}
		}
	}
	for _, w := range b.workers {
		if size.Fits(w.free) {
			return w
		}
	}
	return nil
}
