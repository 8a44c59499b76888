// Package breaker is the circuit breaker of a worker. It separates faulty workers from faulty jobs:
// consecutive failures of several jobs on one worker open the breaker, failures of one job do not.
//
// # Usage
//
//	var circuit breaker.Breaker
//	circuit.Failed(now, job)
//	if circuit.AllowsStarts(now) {
//		// start a task on the worker
//	}
package breaker

import (
	"time"

	"lentilrock.example/internal/fleet/describer"
)

const (
	// tripFailures is the number of consecutive failures, of at least two jobs, that opens the
	// circuit breaker.
	tripFailures = 3
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
	consecutive  int
	jobs         map[describer.JobID]bool
	openTime     time.Duration
	blockedUntil time.Time
}

// AllowsStarts reports whether tasks may be started on the worker: the circuit breaker is closed
// and no backoff after a refusal is pending.
func (t *Breaker) AllowsStarts(now time.Time) bool { return !now.Before(t.blockedUntil) }

// Succeeded resets the circuit breaker.
func (t *Breaker) Succeeded() { *t = Breaker{} }

// Failed records a failed run and reports whether the circuit breaker opens.
func (t *Breaker) Failed(now time.Time, id describer.JobID) bool {
	if t.jobs == nil {
		t.jobs = make(map[describer.JobID]bool)
	}
	t.consecutive++
	t.jobs[id] = true
	if t.consecutive < tripFailures || len(t.jobs) < 2 {
		return false
	}
	t.openTime = min(max(2*t.openTime, minOpenTime), maxOpenTime)
	t.blockedUntil = now.Add(t.openTime)
	return true
}

// Refused records that the worker refused a start and begins the backoff.
func (t *Breaker) Refused(now time.Time) {
	if until := now.Add(refusalBackoff); until.After(t.blockedUntil) {
		t.blockedUntil = until
	}
}
