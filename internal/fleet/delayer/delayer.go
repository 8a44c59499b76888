// Package delayer decides whether a task whose data is on a rack, or a gang that is to run on one rack, takes the room
// that there is elsewhere, or waits for room on the rack.
//
// A task waits while the room on the rack is expected within the time that the rack saves, less what it has waited
// already. A job that would be in time elsewhere is so after such a wait, too. The expected wait is the processor capacity
// that the task and those before it in the line for the rack need, less what is free there, divided by what the rack's runs
// free a second.
//
// # Usage
//
//	line := delayer.NewLine(free, flow)
//	if d.ShouldWait(step, line.Wait(step.Spec, tasks), delayer.Saving(duration, remoteFactor), now) {
//		line.Join(step.Spec, tasks)
//	}
package delayer

import (
	"time"

	"lentilrock.example/internal/container/clamper"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/monitor"
	"lentilrock.example/internal/fleet/ranker"
	"lentilrock.example/internal/fleet/tasker"
)

const (
	// forgetAfter is how long after its last decision a step is forgotten.
	forgetAfter = 2 * time.Second
	// maxWait bounds a wait, as an estimate may be off by any factor. Bursts for one rack last 5.5 s.
	maxWait = 5 * time.Second
	// maxSteps bounds the steps that wait; others take what there is.
	maxSteps = 4096
)

// Saving returns how much longer a task that takes a time near its data takes elsewhere.
func Saving(duration time.Duration, remoteFactor float64) time.Duration {
	return clamper.Scale(duration, remoteFactor-1)
}

// Line is the line for room on a rack.
type Line struct {
	// free is the number of cores that are free less those for which tasks wait; it may be negative.
	free float64
	flow ranker.Flow
}

// NewLine returns an empty line for a rack with free resources and runs that free more.
func NewLine(free describer.Resources, flow ranker.Flow) *Line {
	return &Line{free: float64(free.MilliCPU) / 1000, flow: flow}
}

// LineOf returns an empty line for a rack with the given workers.
func LineOf(workers []*monitor.Worker, now time.Time) *Line {
	var free describer.Resources
	var flow ranker.Flow
	for _, w := range workers {
		free = free.Plus(w.FreeCapacity())
		for _, r := range w.Runs {
			r.AddTo(&flow, now)
		}
	}
	return NewLine(free, flow)
}

// Wait returns how long a number of tasks of a step wait at the end of the line.
func (l *Line) Wait(s *describer.Step, tasks int) time.Duration {
	return l.flow.FillCores(float64(s.Charge().MilliCPU)/1000*float64(tasks) - l.free)
}

// Refill returns the time in which room for one more task of a step becomes free, whatever is free by now. It is the
// least wait where what is free is spread over workers in parts that are too small.
func (l *Line) Refill(s *describer.Step) time.Duration { return l.flow.Fill(s, 1) }

// Join adds tasks of a step to the line.
func (l *Line) Join(s *describer.Step, tasks int) {
	l.free -= float64(s.Charge().MilliCPU) / 1000 * float64(tasks)
}

// Delayer remembers since when steps wait. The zero value remembers none.
type Delayer struct {
	// waits is keyed by reference, as a step without a state of its own is another value in each round.
	waits map[describer.StepRef]wait
}

// wait is the time of the first and the last decision to wait.
type wait struct{ since, last time.Time }

// Begin forgets the steps that have not waited for a while.
func (d *Delayer) Begin(now time.Time) {
	for ref, w := range d.waits {
		if now.Sub(w.last) >= forgetAfter {
			delete(d.waits, ref)
		}
	}
}

// IsWaiting reports whether a task of a step has waited recently.
func (d *Delayer) IsWaiting(s *tasker.Step) bool {
	_, isWaiting := d.waits[s.Ref()]
	return isWaiting
}

// ShouldWait reports whether a task of a step, or a gang, waits for room on a rack that is expected after a time, and
// that saves a time compared with the room elsewhere. No step waits longer than maxWait.
func (d *Delayer) ShouldWait(s *tasker.Step, expected, saving time.Duration, now time.Time) bool {
	ref := s.Ref()
	w, isWaiting := d.waits[ref]
	if !isWaiting {
		w.since = now
	}
	if clamper.Add(now.Sub(w.since), expected) > min(saving, maxWait) || !isWaiting && len(d.waits) >= maxSteps {
		return false
	}
	if d.waits == nil {
		d.waits = make(map[describer.StepRef]wait)
	}
	w.last = now
	d.waits[ref] = w
	return true
}
