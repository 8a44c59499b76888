// Package truster tells workers at fault from bad jobs: failures of several jobs in a row
// on one worker speak against the worker, failures of one job do not.
//
// # Usage
//
//	var trust truster.Trust
//	trust.Failed(now, job)
//	if trust.TakesWork(now) {
//		// start something there
//	}
package truster

import (
	"time"

	"lentilrock.example/internal/fleet/describer"
)

const (
	// suspectFailures in a row of two jobs or more, without a success, are the worker's fault.
	suspectFailures = 3
	// distrustTime is how long a suspect worker gets nothing; it doubles while it goes on.
	distrustTime = 2 * time.Second
	// maxDistrustTime bounds the doubling.
	maxDistrustTime = 8 * time.Second
	// refusedPause keeps starts away from a worker that refuses all.
	refusedPause = 300 * time.Millisecond
)

// Trust is the evidence for and against a worker. The zero value is that of a new one.
type Trust struct {
	inRow    int
	jobs     map[describer.JobID]bool
	pause    time.Duration
	notUntil time.Time
}

// TakesWork reports whether a worker is trusted with new tasks.
func (t *Trust) TakesWork(now time.Time) bool { return !now.Before(t.notUntil) }

// Succeeded clears a worker of suspicion.
func (t *Trust) Succeeded() { *t = Trust{} }

// Failed counts a failure and reports whether the worker is distrusted for it.
func (t *Trust) Failed(now time.Time, id describer.JobID) bool {
	if t.jobs == nil {
		t.jobs = make(map[describer.JobID]bool)
	}
	t.inRow++
	t.jobs[id] = true
	if t.inRow < suspectFailures || len(t.jobs) < 2 {
		return false
	}
	t.pause = min(max(2*t.pause, distrustTime), maxDistrustTime)
	t.notUntil = now.Add(t.pause)
	return true
}

// Refused keeps starts away for a moment.
func (t *Trust) Refused(now time.Time) {
	if until := now.Add(refusedPause); until.After(t.notUntil) {
		t.notUntil = until
	}
}
