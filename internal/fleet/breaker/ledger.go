package breaker

import (
	"time"

	"lentilrock.example/internal/fleet/describer"
)

const (
	// failureAge is how long a failure counts, for the worker and for the step.
	failureAge = 30 * time.Second
	// wellFactor is how many more runs of a step must do well than workers fail it for the step alone to show a faulty worker.
	wellFactor = 2
	// sweepSize is the number of steps from which on those without a recent failure are removed, and maxSteps that from which on
	// no more are added.
	sweepSize = 1024
	maxSteps  = 4096
)

// Ledger has the outcomes of the runs of steps that have had failures, by which a failure is attributed to the
// worker or to the job. The zero value is empty.
type Ledger struct {
	steps   map[describer.StepRef]*outcomes
	sweptAt time.Time
}

// outcomes are those of the runs of a step.
type outcomes struct {
	// failedAt has the time of the last failure, by worker, and queue the same workers in the order in which they may have become too
	// old, with the time of the failure by which they were added.
	failedAt map[string]time.Time
	queue    []failedWorker
	// done counts the runs that were done, and outlived the other workers at which, at the last failure, a run was
	// active that had lasted much longer than the failed one.
	done        *Successes
	outlived    int
	lastFailure time.Time
}

// failedWorker is a worker at which a run failed.
type failedWorker struct {
	worker string
	at     time.Time
}

// add records a failure at a worker.
func (o *outcomes) add(now time.Time, worker string) {
	if _, found := o.failedAt[worker]; !found {
		o.queue = append(o.queue, failedWorker{worker, now})
	}
	o.failedAt[worker], o.lastFailure = now, now
}

// expire removes the workers whose last failure is too old.
func (o *outcomes) expire(now time.Time) {
	for len(o.queue) > 0 && now.Sub(o.queue[0].at) >= failureAge {
		worker := o.queue[0].worker
		o.queue = o.queue[1:]
		if at := o.failedAt[worker]; now.Sub(at) < failureAge {
			o.queue = append(o.queue, failedWorker{worker, at})
		} else {
			delete(o.failedAt, worker)
		}
	}
}

// RecordFailure records a failed run at a worker. done are the successes of the step, which the caller goes on
// to count, and outlived is the number of other workers on which a run of the step has lasted much longer without failing.
func (l *Ledger) RecordFailure(now time.Time, step describer.StepRef, worker string, done *Successes, outlived int) {
	if l.steps == nil {
		l.steps = make(map[describer.StepRef]*outcomes)
	}
	l.sweep(now)
	o, found := l.steps[step]
	if !found {
		if len(l.steps) >= maxSteps {
			return
		}
		o = &outcomes{failedAt: make(map[string]time.Time)}
		l.steps[step] = o
	}
	o.expire(now)
	o.add(now, worker)
	o.done, o.outlived = done, outlived
}

// isWorkers reports whether a failure of a step's task at a worker counts against the worker: no run of the step failed elsewhere, or more
// of them did well. A step that fails at most workers fails through its job.
func (l *Ledger) isWorkers(now time.Time, step describer.StepRef, worker string) bool {
	well, failed := l.elsewhere(now, step, worker)
	return failed == 0 || well > failed
}

// doesWell reports whether the runs of a step do well on other workers than the given one.
func (l *Ledger) doesWell(now time.Time, step describer.StepRef, worker string) bool {
	well, failed := l.elsewhere(now, step, worker)
	return well >= tripFailures && well > wellFactor*failed
}

// elsewhere returns the number of runs of a step that did well on other workers, and of other workers at which one has failed lately.
func (l *Ledger) elsewhere(now time.Time, step describer.StepRef, worker string) (well, failed int) {
	o, found := l.steps[step]
	if !found {
		return 0, 0
	}
	o.expire(now)
	failed = len(o.failedAt)
	if _, isFailed := o.failedAt[worker]; isFailed {
		failed--
	}
	return o.done.elsewhere(worker) + o.outlived, failed
}

// sweep removes the steps without a recent failure if there are many.
func (l *Ledger) sweep(now time.Time) {
	if len(l.steps) < sweepSize || now.Sub(l.sweptAt) < time.Second {
		return
	}
	l.sweptAt = now
	for ref, o := range l.steps {
		if now.Sub(o.lastFailure) >= failureAge {
			delete(l.steps, ref)
		}
	}
}
