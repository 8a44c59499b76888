// Package breaker is a circuit breaker for workers. It distinguishes workers on which every task fails from
// jobs whose tasks fail on every worker.
//
// A worker is quarantined when several attempts fail on it with no success in between and belong to more than
// one job. Nothing is placed on it until its quarantine period is over. The tasks that the next round of
// placements puts there serve as a probe: a success lifts the quarantine, a failure starts another one of
// twice the duration, up to a limit. In the list of workers that operators see, a quarantined worker has the
// state held_back or probing.
//
// A failure is attributed to the worker, not to the job, if no task has succeeded on it yet or since its last
// quarantine began, if the attempt was started before the quarantine, or if the failure starts one. Such a
// failure does not count against the job, up to a limit for each task.
//
// # Usage
//
//	b := breaker.Breaker{}
//	countsAgainstJob := b.RecordFailure(now, "w1", "job-7")
//	if b.IsQuarantined("w1") {
//		// place nothing there
//	}
//	b.RecordSuccess("w1")
package breaker

import (
	"cmp"
	"slices"
	"time"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/cell/recorder"
	"lentilrock.example/internal/core/tasker"
	"lentilrock.example/internal/platform/messages"
)

const (
	// quarantineAfterFailures is the number of failures without a success in between after
	// which a worker is quarantined.
	quarantineAfterFailures = 3
	// quarantineAfterJobs is the number of different jobs that these failures must belong
	// to, so that one faulty job does not quarantine workers.
	quarantineAfterJobs = 2
	minQuarantine       = 10 * time.Second
	maxQuarantine       = 10 * time.Minute
	// maxUncountedFailures is the number of failures of a task that may be attributed to
	// workers.
	maxUncountedFailures = 2
)

// record is the failure history and the quarantine of one worker.
type record struct {
	// failures counts the failures since the last success.
	failures int
	// jobs lists the jobs of these failures, each once.
	jobs []descriptor.JobID
	// hasSucceeded reports that a task succeeded on the worker since its last quarantine
	// began.
	hasSucceeded  bool
	isQuarantined bool
	// isProbing reports that a probe was placed on the quarantined worker and has not ended.
	isProbing bool
	// until is the end of the quarantine period; from then on a probe may be placed.
	until time.Time
	// lastQuarantine is the duration of the last quarantine; the next one is twice as long,
	// up to maxQuarantine. It starts at minQuarantine again after a success.
	lastQuarantine time.Duration
	// quarantinedSince is when the worker was first quarantined after its last success.
	quarantinedSince time.Time
}

// Breaker holds the failure record of each worker. Its zero value has no records.
type Breaker struct {
	records map[string]*record
}

// record returns the record of a worker and creates it if there is none.
func (b *Breaker) record(worker string) *record {
	if b.records == nil {
		b.records = make(map[string]*record)
	}
	r, found := b.records[worker]
	if !found {
		r = &record{}
		b.records[worker] = r
	}
	return r
}

// RecordFailure records that a task of a job failed on a worker, and quarantines the worker if the failure
// was a probe's or if its failures reach the limits. It reports whether the failure counts against the job: a
// task has succeeded on the worker, since its last quarantine began if there was one, the attempt was not
// started before the quarantine, and the failure does not start one. Otherwise the worker itself may be the
// cause.
func (b *Breaker) RecordFailure(now time.Time, worker string, job descriptor.JobID) bool {
	r := b.record(worker)
	if r.isQuarantined && !r.isProbing {
		// The attempt was started before the quarantine. Its failure is no new evidence
		// about the worker.
		return false
	}
	countsAgainstJob := r.hasSucceeded
	r.failures++
	if !slices.Contains(r.jobs, job) {
		r.jobs = append(r.jobs, job)
	}
	isSuspect := r.failures >= quarantineAfterFailures && len(r.jobs) >= quarantineAfterJobs
	if r.isProbing || isSuspect {
		r.quarantine(now)
		return false
	}
	return countsAgainstJob
}

func (r *record) quarantine(now time.Time) {
	if !r.isQuarantined {
		r.quarantinedSince = now
	}
	r.isQuarantined = true
	r.isProbing = false
	r.hasSucceeded = false
	r.lastQuarantine = min(max(r.lastQuarantine*2, minQuarantine), maxQuarantine)
	r.until = now.Add(r.lastQuarantine)
}

// RecordSuccess records that a task succeeded on a worker, and lifts its quarantine.
func (b *Breaker) RecordSuccess(worker string) {
	r := b.record(worker)
	*r = record{hasSucceeded: true}
}

// RecordEnd records that a worker reported an ended attempt in the given state, and returns the result for
// the log. A failure that does not count against the job is recorded as lost, at most maxUncountedFailures
// times per task and never for one-shot tasks. A lost attempt of a one-shot task is recorded as failed, since
// it must not be repeated.
func (b *Breaker) RecordEnd(now time.Time, worker string, task *tasker.Task, state messages.TaskState) recorder.TaskEnd {
	end := tasker.EndOf(state)
	switch {
	case end == recorder.TaskDone:
		b.RecordSuccess(worker)
	case end == recorder.TaskFailed:
		countsAgainstJob := b.RecordFailure(now, worker, task.Job.ID)
		task.FailedOn = append(task.FailedOn, worker)
		if !countsAgainstJob && task.UncountedFailures < maxUncountedFailures && !task.Job.OneShot {
			task.UncountedFailures++
			return recorder.TaskLost
		}
	case task.Job.OneShot:
		return recorder.TaskFailed
	}
	return end
}

// IsQuarantined reports whether a worker is quarantined. A worker that runs a probe still is.
func (b *Breaker) IsQuarantined(worker string) bool {
	r, found := b.records[worker]
	return found && r.isQuarantined
}

// IsProbing reports whether a quarantined worker runs a probe.
func (b *Breaker) IsProbing(worker string) bool {
	r, found := b.records[worker]
	return found && r.isProbing
}

// DueForProbe returns the names of the workers whose quarantine period is over and that run no probe yet,
// sorted.
func (b *Breaker) DueForProbe(now time.Time) []string {
	var due []string
	for w, r := range b.records {
		if r.isQuarantined && !r.isProbing && !now.Before(r.until) {
			due = append(due, w)
		}
	}
	slices.Sort(due)
	return due
}

// StartProbe records that a task was placed on a quarantined worker as a probe.
func (b *Breaker) StartProbe(worker string) {
	b.record(worker).isProbing = true
}

// Forget deletes the record of a worker, for example after it was restarted.
func (b *Breaker) Forget(worker string) {
	delete(b.records, worker)
}

// Quarantine is the quarantine of a worker.
type Quarantine struct {
	Worker string
	// Since is when the worker was first quarantined after its last success.
	Since time.Time
	// Until is when a probe may be placed on the worker.
	Until time.Time
}

// Quarantines returns the quarantined workers, sorted by name.
func (b *Breaker) Quarantines() []Quarantine {
	var quarantines []Quarantine
	for w, r := range b.records {
		if r.isQuarantined {
			quarantines = append(quarantines, Quarantine{Worker: w, Since: r.quarantinedSince, Until: r.until})
		}
	}
	slices.SortFunc(quarantines, func(a, b Quarantine) int { return cmp.Compare(a.Worker, b.Worker) })
	return quarantines
}
