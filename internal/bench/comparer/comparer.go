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

// Scheduler is what is compared.
type Scheduler interface {
	Submit(now time.Time, job descriptor.Job, tasks []int, size descriptor.Size)
	Release(task descriptor.TaskID)
	Plan(now time.Time, budget int) planner.Plan
}

// Quantiles are waiting times of tasks.
type Quantiles struct {
	Count    int
	P50, P99 time.Duration
	Longest  time.Duration
}

// Result is what a run measured.
type Result struct {
	// Waiting is by class of work.
	Waiting map[string]Quantiles
	// Packing is the part of the scarcest resource in use while work waited.
	Packing float64
	// Starts is how many tasks were started.
	Starts int
	// Evictions is how many tasks made room.
	Evictions int
	// Unstarted is how many tasks never ran.
	Unstarted int
	// Messages is how many starts and stops were sent.
	Messages int
	// ProcessorTime is the time spent on decisions.
	ProcessorTime time.Duration
}

const (
	planBudget = 64
	// stopTime is how long a checkpoint takes.
	stopTime = 2 * time.Second
)

type occurrence struct {
	at      time.Duration
	order   int
	arrival *Arrival
	task    descriptor.TaskID
	run     int
	stop    bool
}

// state is a run under way.
type state struct {
	scheduler Scheduler
	events    *prioritizer.Queue[occurrence]
	order     int
	jobs      map[descriptor.JobID]*Arrival
	waitSince map[descriptor.TaskID]time.Duration
	left      map[descriptor.TaskID]time.Duration
	startedAt map[descriptor.TaskID]time.Duration
	runs      map[descriptor.TaskID]int
	sizes     descriptor.Size
	capacity  descriptor.Size
	waits     map[string][]time.Duration
	packed    float64
	waited    float64
	now       time.Duration
	result    Result
	clock     clockwork.Clock
}

// Run runs a scheduler on a trace to the end of its work.
func Run(scheduler Scheduler, trace Trace) Result {
	s := newState(scheduler, trace)
	for {
		event, found := s.events.Pop()
		if !found {
			break
		}
		s.advance(event.at)
		s.take(event)
		s.plan()
	}
	return s.finish()
}

func newState(scheduler Scheduler, trace Trace) *state {
	s := &state{
		scheduler: scheduler, clock: clockwork.NewRealClock(),
		jobs:      make(map[descriptor.JobID]*Arrival),
		waitSince: make(map[descriptor.TaskID]time.Duration),
		left:      make(map[descriptor.TaskID]time.Duration),
		startedAt: make(map[descriptor.TaskID]time.Duration),
		runs:      make(map[descriptor.TaskID]int),
		waits:     make(map[string][]time.Duration),
		capacity:  trace.User.Capacity.Times(int64(trace.User.Workers)),
		events: prioritizer.New(func(a, b occurrence) bool {
			if a.at != b.at {
				return a.at < b.at
			}
			return a.order < b.order
		}),
	}
	for i := range trace.Arrivals {
		s.push(occurrence{at: trace.Arrivals[i].At, arrival: &trace.Arrivals[i]})
	}
	return s
}

func (s *state) push(o occurrence) {
	s.order++
	o.order = s.order
	s.events.Push(o)
}

// advance lets time pass and adds up the packing while work waits.
func (s *state) advance(to time.Duration) {
	if len(s.waitSince) > 0 && to <= traceTime {
		span := (to - s.now).Seconds()
		s.packed += span * s.sizes.Share(s.capacity)
		s.waited += span
	}
	s.now = to
}

func (s *state) time() time.Time { return time.Unix(0, 0).Add(s.now) }

func (s *state) take(o occurrence) {
	switch {
	case o.arrival != nil:
		s.submit(o.arrival)
	case o.stop:
		s.stopped(o)
	case s.runs[o.task] == o.run:
		s.ended(o.task)
	}
}

func (s *state) submit(a *Arrival) {
	s.jobs[a.Job.ID] = a
	indexes := make([]int, a.Job.Tasks)
	for i := range indexes {
		indexes[i] = i
		task := descriptor.TaskID{Job: a.Job.ID, Index: i}
		s.waitSince[task] = s.now
		s.left[task] = a.RunTime
	}
	s.scheduler.Submit(s.time(), a.Job, indexes, a.Job.Size)
}

func (s *state) ended(task descriptor.TaskID) {
	s.sizes = s.sizes.Sub(s.jobs[task.Job].Job.Size)
	delete(s.startedAt, task)
	s.scheduler.Release(task)
}

// stopped queues a task again that made room; it goes on from its checkpoint.
func (s *state) stopped(o occurrence) {
	began, isRunning := s.startedAt[o.task]
	if !isRunning || s.runs[o.task] != o.run {
		return
	}
	s.runs[o.task]++
	s.left[o.task] -= s.now - began
	s.ended(o.task)
	s.waitSince[o.task] = s.now
	job := s.jobs[o.task.Job].Job
	s.scheduler.Submit(s.time(), job, []int{o.task.Index}, job.Size)
}

func (s *state) plan() {
	for {
		begun := s.clock.Now()
		plan := s.scheduler.Plan(s.time(), planBudget)
		s.result.ProcessorTime += s.clock.Since(begun)
		for _, p := range plan.Placements {
			s.start(p)
		}
		for _, e := range plan.Evictions {
			s.result.Evictions++
			s.result.Messages++
			s.push(occurrence{at: s.now + stopTime, task: e.Task, run: s.runs[e.Task], stop: true})
		}
		if len(plan.Placements) == 0 {
			return
		}
	}
}

func (s *state) start(p planner.Placement) {
	s.result.Starts++
	s.result.Messages++
	job := s.jobs[p.Task.Job].Job
	s.sizes = s.sizes.Add(job.Size)
	class := string(job.Kind)
	if job.Priority >= descriptor.PriorityUrgent {
		class = "urgent"
	}
	s.waits[class] = append(s.waits[class], s.now-s.waitSince[p.Task])
	delete(s.waitSince, p.Task)
	s.startedAt[p.Task] = s.now
	s.runs[p.Task]++
	s.push(occurrence{at: s.now + s.left[p.Task], task: p.Task, run: s.runs[p.Task]})
}

func (s *state) finish() Result {
	s.result.Unstarted = len(s.waitSince)
	s.result.Waiting = make(map[string]Quantiles)
	for _, class := range sorter.Keys(s.waits) {
		list := s.waits[class]
		slices.Sort(list)
		s.result.Waiting[class] = Quantiles{
			Count: len(list), P50: list[len(list)/2], P99: list[len(list)*99/100], Longest: list[len(list)-1],
		}
	}
	if s.waited > 0 {
		s.result.Packing = s.packed / s.waited
	}
	return s.result
}
