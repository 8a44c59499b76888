// Package breaker is the circuit breaker of a worker. It separates faulty workers from faulty jobs:
// consecutive failures of several jobs on one worker open the breaker, failures of one job do not, and neither do those of
// jobs whose tasks fail on other workers, too.
//
// # Usage
//
//	var ledger breaker.Ledger // of the cell
//	var circuit breaker.Breaker
//	var done breaker.Successes // of the step
//	done.Add(worker)
//	ledger.RecordFailure(now, step, worker, &done, outlived)
//	circuit.Failed(breaker.Failure{Step: step, At: now}, worker, &ledger)
//	if circuit.AllowsStarts(now) {
//		// start a task on the worker
//	}
package breaker

import (
	"time"

	"lentilrock.example/internal/fleet/describer"
)

const (
	// tripFailures is the number of consecutive failures that opens the circuit breaker, of at least two jobs or of one
	// that does well elsewhere.
	tripFailures = 3
	// maxFailures bounds the failures that are remembered of a worker.
	maxFailures = 32
	// minOpenTime is how long the circuit breaker stays open at first. The time doubles whenever
	// it opens again without a success in between.
	minOpenTime = 2 * time.Second
	// maxOpenTime is the upper bound of the doubled time.
	maxOpenTime = 8 * time.Second
	// refusalBackoff is how long no task is started on a worker after it refused a start.
	refusalBackoff = 300 * time.Millisecond
)

// Breaker is the circuit breaker of a worker. The zero value is closed.
type Breaker struct {
	// failures are those since the last success, the oldest first.
	failures     []Failure
	openTime     time.Duration
	blockedUntil time.Time
}

// Failure is a failed run of a step's task.
type Failure struct {
	Step describer.StepRef
	At   time.Time
	// IsRepeated reports that the task has failed on another worker before, so that it may be the task that is faulty.
	IsRepeated bool
}

// AllowsStarts reports whether tasks may be started on the worker: the circuit breaker is closed
// and no backoff after a refusal is pending.
func (t *Breaker) AllowsStarts(now time.Time) bool { return !now.Before(t.blockedUntil) }

// Succeeded resets the circuit breaker.
func (t *Breaker) Succeeded() { *t = Breaker{} }

// Failed records a failed run, which the ledger has, and reports whether the circuit breaker opens. Each failure since the
// last success is attributed again, as the ledger may have learned more of its step. A repeated failure is not
// counted, but those before it are attributed again.
func (t *Breaker) Failed(f Failure, worker string, l *Ledger) bool {
	if !f.IsRepeated {
		t.failures = append(t.failures, f)
	}
	t.failures = t.failures[max(len(t.failures)-maxFailures, 0):]
	if !l.isWorkers(f.At, f.Step, worker) {
		return false
	}
	count, certain, jobs := 0, 0, make(map[describer.JobID]bool)
	for _, o := range t.failures {
		if f.At.Sub(o.At) >= failureAge || !l.isWorkers(f.At, o.Step, worker) {
			continue
		}
		count++
		jobs[o.Step.Job] = true
		if l.doesWell(f.At, o.Step, worker) {
			certain++
		}
	}
	if certain < tripFailures && (count < tripFailures || len(jobs) < 2) {
		return false
	}
	t.openTime = min(max(2*t.openTime, minOpenTime), maxOpenTime)
	t.blockedUntil = f.At.Add(t.openTime)
	return true
}

// Refused records that the worker refused a start and begins the backoff.
func (t *Breaker) Refused(now time.Time) {
	if until := now.Add(refusalBackoff); until.After(t.blockedUntil) {
		t.blockedUntil = until
	}
}
