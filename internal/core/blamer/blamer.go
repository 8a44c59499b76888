// Package blamer tells workers that fail everything from jobs that fail everywhere.
//
// A worker on which different jobs fail with no success between is held back, and let
// back in by a probe after a growing time. A failure on a worker that has not shown that
// it works does not count against the job, a few times.
//
// # Usage
//
//	b := blamer.Blamer{}
//	counts := b.Failed(now, "w1", "job-7")
//	if b.IsHeld("w1") {
//		// place nothing there
//	}
//	b.Succeeded("w1")
package blamer

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
	// holdAfter is how many failures in a row, of more than one job, hold a worker back.
	holdAfter = 3
	// jobsToHold is how many different jobs those must be of.
	jobsToHold  = 2
	firstHold   = 10 * time.Second
	longestHold = 10 * time.Minute
	// maxExcused is how many failures of a task may be put down to its workers.
	maxExcused = 2
)

type record struct {
	failures int
	jobs     []descriptor.JobID
	// proven reports that a task succeeded since the last failure streak began.
	proven    bool
	held      bool
	probing   bool
	until     time.Time
	nextHold  time.Duration
	heldSince time.Time
}

// Blamer keeps the record of each worker. Its zero value knows of no failures.
type Blamer struct {
	records map[string]*record
}

func (b *Blamer) record(worker string) *record {
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

// Failed takes in that a task of a job failed on a worker. It reports whether the failure
// speaks against the job: a worker that has shown nothing but failures may be at fault.
func (b *Blamer) Failed(now time.Time, worker string, job descriptor.JobID) bool {
	r := b.record(worker)
	if r.held && !r.probing {
		// It was started before the worker was held back and says nothing new.
		return false
	}
	speaksAgainstJob := r.proven
	r.failures++
	if !slices.Contains(r.jobs, job) {
		r.jobs = append(r.jobs, job)
	}
	isSuspect := r.failures >= holdAfter && len(r.jobs) >= jobsToHold
	if r.probing || isSuspect {
		r.hold(now)
		return false
	}
	return speaksAgainstJob
}

func (r *record) hold(now time.Time) {
	if !r.held {
		r.heldSince = now
	}
	r.held = true
	r.probing = false
	r.proven = false
	r.nextHold = min(max(r.nextHold*2, firstHold), longestHold)
	r.until = now.Add(r.nextHold)
}

// Succeeded takes in that a task ended well on a worker, and lets the worker back in.
func (b *Blamer) Succeeded(worker string) {
	r := b.record(worker)
	*r = record{proven: true}
}

// Judge decides whose fault the end of an attempt was, and how the log is to hold it.
func (b *Blamer) Judge(now time.Time, worker string, task *tasker.Task, state messages.TaskState) recorder.TaskEnd {
	end := tasker.EndOf(state)
	switch {
	case end == recorder.TaskDone:
		b.Succeeded(worker)
	case end == recorder.TaskFailed:
		speaksAgainstJob := b.Failed(now, worker, task.Job.ID)
		task.FailedOn = append(task.FailedOn, worker)
		if !speaksAgainstJob && task.Excused < maxExcused && !task.Job.OneShot {
			task.Excused++
			return recorder.TaskLost
		}
	case task.Job.OneShot:
		return recorder.TaskFailed
	}
	return end
}

// IsHeld reports whether a worker is held back.
func (b *Blamer) IsHeld(worker string) bool {
	r, found := b.records[worker]
	return found && r.held
}

// IsProbing reports whether a held worker runs a probe.
func (b *Blamer) IsProbing(worker string) bool {
	r, found := b.records[worker]
	return found && r.probing
}

// Due lists the held workers that are due for a probe, by name.
func (b *Blamer) Due(now time.Time) []string {
	var due []string
	for worker, r := range b.records {
		if r.held && !r.probing && !now.Before(r.until) {
			due = append(due, worker)
		}
	}
	slices.Sort(due)
	return due
}

// Probe says that a task was started on a held worker to try it.
func (b *Blamer) Probe(worker string) {
	b.record(worker).probing = true
}

// Forget drops the record of a worker, as after its replacement.
func (b *Blamer) Forget(worker string) {
	delete(b.records, worker)
}

// Hold is a worker that is held back.
type Hold struct {
	Worker string
	Since  time.Time
	Until  time.Time
}

// Holds lists the workers that are held back, by name.
func (b *Blamer) Holds() []Hold {
	var holds []Hold
	for worker, r := range b.records {
		if r.held {
			holds = append(holds, Hold{Worker: worker, Since: r.heldSince, Until: r.until})
		}
	}
	slices.SortFunc(holds, func(a, b Hold) int { return cmp.Compare(a.Worker, b.Worker) })
	return holds
}
