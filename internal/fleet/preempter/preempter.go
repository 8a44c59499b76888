// Package preempter selects batch runs to stop so that quick steps, those of queue priority 0, get
// room at once. It is free of side effects apart from its record of what it has selected.
//
// A quick step preempts only if it can be in time with the room that a stop frees, and would be late
// with the room that becomes free without one. Only runs of a lower priority that save checkpoints
// are stopped, as they lose almost nothing: no gangs, no long-running tasks, no filler tasks, no run
// that is about to end, and none of a job that would become late by it.
//
// # Usage
//
//	if preempter.IsWorthwhile(slack, wait) {
//		for _, c := range p.Select(step, missing, workers, now) {
//			// reserve c.Charge on c.Worker and stop c.Victims
//		}
//	}
package preempter

import (
	"cmp"
	"slices"
	"time"

	"lentilrock.example/internal/container/clamper"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/monitor"
	"lentilrock.example/internal/fleet/pacer"
	"lentilrock.example/internal/fleet/selector"
	"lentilrock.example/internal/fleet/tasker"
)

const (
	// stopTime is how long a stop takes until its capacity can be used; workers allow a task 200 to 900 ms.
	stopTime = 500 * time.Millisecond
	// waitMargin is how much earlier than necessary the room must become free without a stop.
	waitMargin = 100 * time.Millisecond
	// resumeTime is how much later than without a stop a preempted task ends: the stop, the wait for another place
	// and the restoring of its checkpoint.
	resumeTime = 1500 * time.Millisecond
	// maxInFlight bounds the stops that have not taken effect.
	maxInFlight = 96
	// maxPerJob bounds the runs of one job that are stopped within jobPeriod.
	maxPerJob = 4
	jobPeriod = time.Second
	// taskPause is how long a task is left alone after it was preempted.
	taskPause = 5 * time.Second
)

// Choice is room for tasks on one worker, and the runs that have to be stopped for it.
type Choice struct {
	Worker  *monitor.Worker
	Charge  describer.Resources
	Victims []*tasker.Run
	tasks   int
	loss    float64
}

// Preempter selects runs to stop. The zero value has selected none.
type Preempter struct {
	inFlight map[*tasker.Run]bool
	stopped  map[describer.TaskRef]time.Time
	byJob    map[describer.JobID]count
}

// count is the number of runs of a job that were stopped since a time.
type count struct {
	since time.Time
	runs  int
}

// IsWorthwhile reports whether a quick step preempts. Slack is how much later it may start without being late, and
// wait the time in which room becomes free for it without a stop.
func IsWorthwhile(slack, wait time.Duration) bool {
	return slack >= stopTime && wait > slack-waitMargin
}

// MayPreempt reports whether tasks of a step are of the kind for which others are stopped.
func MayPreempt(s *tasker.Step) bool {
	return s.Job.Queue.Priority == 0 && !s.Spec.LongRunning && !s.Spec.Gang && !s.Spec.IsFiller
}

// Slack returns how much later a job may go on without being late.
func Slack(j *tasker.Job, now time.Time) time.Duration {
	// The path comes first, as the objective is computed anew with it.
	path := j.CriticalPath()
	return clamper.Add(j.Objective.Sub(now), -path)
}

// CanMakeRoom reports whether a worker has runs that could be stopped for a step that can still be in time by that.
func CanMakeRoom(s *tasker.Step, w *monitor.Worker, now time.Time) bool {
	return MayPreempt(s) && s.Spec.Charge().Fits(w.Info.Capacity) && Slack(s.Job, now) >= stopTime && w.Has(func(r *tasker.Run) bool {
		return selector.CanEvict(r, s) && r.Task.Step.Spec.Checkpoints
	})
}

// Begin forgets the stops that have taken effect or are over.
func (p *Preempter) Begin(now time.Time) {
	for r := range p.inFlight {
		if !r.Job.Runs[r] {
			delete(p.inFlight, r)
		}
	}
	for ref, at := range p.stopped {
		if now.Sub(at) >= taskPause {
			delete(p.stopped, ref)
		}
	}
	for id, c := range p.byJob {
		if now.Sub(c.since) >= jobPeriod {
			delete(p.byJob, id)
		}
	}
}

// IsExhausted reports whether no more runs may be stopped now.
func (p *Preempter) IsExhausted() bool { return len(p.inFlight) >= maxInFlight }

// Select returns where to make room for a number of tasks of a step, and records the runs that it returns as
// stopped. The workers must be able to take the step's tasks apart from their free capacity. Room that is reserved for
// the step already is deducted.
func (p *Preempter) Select(s *tasker.Step, tasks int, workers []*monitor.Worker, now time.Time) []Choice {
	need := s.Spec.Charge()
	var options []Choice
	for _, w := range workers {
		if w.Reserved.Step != nil && now.Before(w.Reserved.Until) {
			if w.Reserved.Step == s {
				tasks -= need.CountIn(w.Reserved.Charge, tasks)
			}
			continue
		}
		if c, isEnough := p.option(s, w, tasks, now); isEnough {
			options = append(options, c)
		}
	}
	slices.SortFunc(options, func(a, b Choice) int {
		return cmp.Or(cmp.Compare(a.loss/float64(a.tasks), b.loss/float64(b.tasks)), cmp.Compare(a.Worker.Info.ID, b.Worker.Info.ID))
	})
	var chosen []Choice
	for _, c := range options {
		if tasks <= 0 {
			break
		}
		if c.tasks = min(c.tasks, tasks); !p.reserve(c.Victims, now) {
			continue
		}
		tasks -= c.tasks
		c.Charge = need.Times(c.tasks)
		chosen = append(chosen, c)
	}
	return chosen
}

// option returns the room that a worker has for tasks of a step once the fewest runs are stopped that are necessary
// for one task. It returns false if there is none, or if runs that are being stopped already leave enough.
func (p *Preempter) option(s *tasker.Step, w *monitor.Worker, tasks int, now time.Time) (Choice, bool) {
	need, free := s.Spec.Charge(), w.FreeCapacity()
	var victims []*tasker.Run
	for _, r := range w.Runs {
		switch {
		case r.Stopping:
			free = free.Plus(r.Charge)
		case p.canStop(r, s, now):
			victims = append(victims, r)
		}
	}
	c := Choice{Worker: w}
	slices.SortFunc(victims, func(a, b *tasker.Run) int {
		return cmp.Or(cmp.Compare(loss(a), loss(b)), cmp.Compare(a.Ref.String(), b.Ref.String()))
	})
	for _, r := range victims {
		if need.Fits(free) {
			break
		}
		c.Victims = append(c.Victims, r)
		free = free.Plus(r.Charge)
	}
	c.Victims, free = selector.DropSuperfluous(c.Victims, free, need, loss)
	for _, r := range c.Victims {
		c.loss += loss(r)
	}
	if limit := s.Spec.MaxPerWorker; limit > 0 {
		tasks = min(tasks, limit-s.RunsAt(w.Info.ID))
	}
	c.tasks = need.CountIn(free, tasks)
	return c, c.tasks > 0
}

// canStop reports whether a run may be stopped for a step.
func (p *Preempter) canStop(r *tasker.Run, s *tasker.Step, now time.Time) bool {
	if !selector.CanEvict(r, s) || r.ConfirmedAt.IsZero() {
		return false
	}
	spec := r.Task.Step.Spec
	if !spec.Checkpoints || spec.IsFiller || remaining(r, now) <= 2*stopTime {
		return false
	}
	_, isRecent := p.stopped[r.Ref]
	return !isRecent && p.mayStop(r.Job, 1, now) && !wouldMakeLate(r, now)
}

// remaining returns how long a run takes to its end, by its progress or else by its estimate.
func remaining(r *tasker.Run, now time.Time) time.Duration {
	elapsed := now.Sub(r.SentAt)
	if r.Done > 0 {
		return clamper.Scale(elapsed, float64(pacer.FullPercent-r.Done)/float64(r.Done))
	}
	return r.Task.Step.Spec.Estimate - elapsed
}

// wouldMakeLate reports whether a run's job could be in time, but not once the run was stopped. The critical path
// counts a running step whole, so the job is late for certain only if it is so without that step.
func wouldMakeLate(r *tasker.Run, now time.Time) bool {
	slack := Slack(r.Job, now)
	return slack < resumeTime && clamper.Add(slack, r.Task.Step.Spec.Estimate) >= 0
}

// loss returns the cores that a stop leaves idle until the task is resumed.
func loss(r *tasker.Run) float64 { return float64(r.Charge.MilliCPU) / 1000 }

// reserve records that runs are stopped; false if a bound is reached.
func (p *Preempter) reserve(victims []*tasker.Run, now time.Time) bool {
	if len(p.inFlight)+len(victims) > maxInFlight {
		return false
	}
	runs := make(map[*tasker.Job]int)
	for _, r := range victims {
		if runs[r.Job]++; !p.mayStop(r.Job, runs[r.Job], now) {
			return false
		}
	}
	if p.inFlight == nil {
		p.inFlight, p.stopped = make(map[*tasker.Run]bool), make(map[describer.TaskRef]time.Time)
		p.byJob = make(map[describer.JobID]count)
	}
	for _, r := range victims {
		p.inFlight[r], p.stopped[r.Ref] = true, now
		c := p.byJob[r.Job.Spec.ID]
		if now.Sub(c.since) >= jobPeriod {
			c = count{since: now}
		}
		c.runs++
		p.byJob[r.Job.Spec.ID] = c
	}
	return true
}

// mayStop reports whether a number of runs of a job may be stopped.
func (p *Preempter) mayStop(j *tasker.Job, runs int, now time.Time) bool {
	c := p.byJob[j.Spec.ID]
	if now.Sub(c.since) >= jobPeriod {
		c.runs = 0
	}
	return c.runs+runs <= maxPerJob
}
