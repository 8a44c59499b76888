package comparer

import (
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/container/prioritizer"
	"lentilrock.example/internal/container/sorter"
	"lentilrock.example/internal/core/planner"
)

// Scheduler is a scheduler under comparison. Plan returns the placements and evictions to carry
// out now; implementations may exceed the budget, a number of placements, to finish a job.
type Scheduler interface {
	Submit(now time.Time, job descriptor.Job, tasks []int, size descriptor.Size)
	Release(task descriptor.TaskID)
	Plan(now time.Time, budget int) planner.Plan
}

// Quantiles summarizes the waiting times of tasks, from submission or requeueing to start.
type Quantiles struct {
	Count    int
	P50, P99 time.Duration
	Longest  time.Duration
}

// Result holds the measurements of one simulation.
type Result struct {
	// Waiting holds the waiting times by class of work: the kind of the job, or "urgent".
	Waiting map[string]Quantiles
	// Packing is the mean fraction, from 0 to 1, of the scarcest resource that was allocated
	// while tasks were queued and the trace still submitted jobs.
	Packing float64
	// Starts is the number of starts of tasks.
	Starts int
	// Evictions is the number of evictions that the scheduler ordered.
	Evictions int
	// Unstarted is the number of tasks that were still queued at the end.
	Unstarted int
	// Messages is the number of start and stop messages sent to workers.
	Messages int
	// ProcessorTime is the wall-clock time spent in Scheduler.Plan.
	ProcessorTime time.Duration
}

const (
	// planBudget is the number of placements per call of Plan.
	planBudget = 64
	// stopTime is how long a preempted task takes to write its checkpoint and stop.
	stopTime = 2 * time.Second
)

type event struct {
	at       time.Duration
	sequence int
	arrival  *Arrival
	task     descriptor.TaskID
	run      int
	isStop   bool
}

// simulation is the state of a discrete-event simulation of one scheduler on one trace.
type simulation struct {
	scheduler       Scheduler
	events          *prioritizer.Queue[event]
	sequence        int
	jobs            map[descriptor.JobID]*Arrival
	queuedAt        map[descriptor.TaskID]time.Duration
	remaining       map[descriptor.TaskID]time.Duration
	startedAt       map[descriptor.TaskID]time.Duration
	runs            map[descriptor.TaskID]int
	allocated       descriptor.Size
	capacity        descriptor.Size
	waitTimes       map[string][]time.Duration
	weightedSeconds float64
	queuedSeconds   float64
	now             time.Duration
	result          Result
	clock           clockwork.Clock
}

// Run simulates a scheduler on a trace until no event is left.
func Run(scheduler Scheduler, trace Trace) Result {
	s := newSimulation(scheduler, trace)
	for {
		event, found := s.events.Pop()
		if !found {
			break
		}
		s.advance(event.at)
		s.handle(event)
		s.plan()
	}
	return s.finish()
}

func newSimulation(scheduler Scheduler, trace Trace) *simulation {
	s := &simulation{
		scheduler: scheduler, clock: clockwork.NewRealClock(),
		jobs:      make(map[descriptor.JobID]*Arrival),
		queuedAt:  make(map[descriptor.TaskID]time.Duration),
		remaining: make(map[descriptor.TaskID]time.Duration),
		startedAt: make(map[descriptor.TaskID]time.Duration),
		runs:      make(map[descriptor.TaskID]int),
		waitTimes: make(map[string][]time.Duration),
		capacity:  trace.Cluster.Capacity.Times(int64(trace.Cluster.Workers)),
		events: prioritizer.New(func(a, b event) bool {
			if a.at != b.at {
				return a.at < b.at
			}
			return a.sequence < b.sequence
		}),
	}
	for i := range trace.Arrivals {
		s.push(event{at: trace.Arrivals[i].At, arrival: &trace.Arrivals[i]})
	}
	return s
}

func (s *simulation) push(ev event) {
	s.sequence++
	ev.sequence = s.sequence
	s.events.Push(ev)
}

// advance moves the simulated time forward and accumulates the packing for the time, within
// the trace, in which tasks were queued.
func (s *simulation) advance(to time.Duration) {
	if len(s.queuedAt) > 0 && to <= traceTime {
		span := (to - s.now).Seconds()
		s.weightedSeconds += span * s.allocated.Share(s.capacity)
		s.queuedSeconds += span
	}
	s.now = to
}

func (s *simulation) timestamp() time.Time { return time.Unix(0, 0).Add(s.now) }

func (s *simulation) handle(ev event) {
	switch {
	case ev.arrival != nil:
		s.submit(ev.arrival)
	case ev.isStop:
		s.requeue(ev)
	case s.runs[ev.task] == ev.run:
		s.release(ev.task)
	}
}

func (s *simulation) submit(a *Arrival) {
	s.jobs[a.Job.ID] = a
	indexes := make([]int, a.Job.Tasks)
	for i := range indexes {
		indexes[i] = i
		task := descriptor.TaskID{Job: a.Job.ID, Index: i}
		s.queuedAt[task] = s.now
		s.remaining[task] = a.RunTime
	}
	s.scheduler.Submit(s.timestamp(), a.Job, indexes, a.Job.Size)
}

func (s *simulation) release(task descriptor.TaskID) {
	s.allocated = s.allocated.Sub(s.jobs[task.Job].Job.Size)
	delete(s.startedAt, task)
	s.scheduler.Release(task)
}

// requeue submits a preempted task again; it resumes from its checkpoint.
func (s *simulation) requeue(ev event) {
	startedAt, isRunning := s.startedAt[ev.task]
	if !isRunning || s.runs[ev.task] != ev.run {
		return
	}
	s.runs[ev.task]++
	s.remaining[ev.task] -= s.now - startedAt
	s.release(ev.task)
	s.queuedAt[ev.task] = s.now
	job := s.jobs[ev.task.Job].Job
	s.scheduler.Submit(s.timestamp(), job, []int{ev.task.Index}, job.Size)
}

func (s *simulation) plan() {
	for {
		startedAt := s.clock.Now()
		plan := s.scheduler.Plan(s.timestamp(), planBudget)
		s.result.ProcessorTime += s.clock.Since(startedAt)
		for _, p := range plan.Placements {
			s.start(p)
		}
		for _, e := range plan.Evictions {
			s.result.Evictions++
			s.result.Messages++
			s.push(event{at: s.now + stopTime, task: e.Task, run: s.runs[e.Task], isStop: true})
		}
		if len(plan.Placements) == 0 {
			return
		}
	}
}

func (s *simulation) start(p planner.Placement) {
	s.result.Starts++
	s.result.Messages++
	job := s.jobs[p.Task.Job].Job
	s.allocated = s.allocated.Add(job.Size)
	class := string(job.Kind)
	if job.Priority >= descriptor.PriorityUrgent {
		class = "urgent"
	}
	s.waitTimes[class] = append(s.waitTimes[class], s.now-s.queuedAt[p.Task])
	delete(s.queuedAt, p.Task)
	s.startedAt[p.Task] = s.now
	s.runs[p.Task]++
	s.push(event{at: s.now + s.remaining[p.Task], task: p.Task, run: s.runs[p.Task]})
}

func (s *simulation) finish() Result {
	s.result.Unstarted = len(s.queuedAt)
	s.result.Waiting = make(map[string]Quantiles)
	for _, class := range sorter.Keys(s.waitTimes) {
		list := s.waitTimes[class]
		slices.Sort(list)
		s.result.Waiting[class] = Quantiles{
			Count: len(list), P50: list[len(list)/2], P99: list[len(list)*99/100], Longest: list[len(list)-1],
		}
	}
	if s.queuedSeconds > 0 {
		s.result.Packing = s.weightedSeconds / s.queuedSeconds
	}
	return s.result
}
