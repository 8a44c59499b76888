package dispatcher

import (
	"time"

	"lentilrock.example/internal/work/describer"
)

const (
	// suspectFailures of several jobs in a row, without a success, are the worker's fault.
	suspectFailures = 3
	// distrustTime is how long a suspect worker gets nothing; it doubles while it goes on.
	distrustTime = 2 * time.Second
	// maxDistrustTime bounds the doubling.
	maxDistrustTime = 8 * time.Second
	// refusedPause keeps starts away from a worker that refuses all.
	refusedPause = 300 * time.Millisecond
)

// health is the evidence for and against a worker.
type health struct {
	inRow    int
	jobs     map[describer.JobID]bool
	pause    time.Duration
	notUntil time.Time
}

func (h *health) takesWork(now time.Time) bool { return !now.Before(h.notUntil) }

func (h *health) succeeded() {
	h.inRow, h.jobs, h.pause = 0, nil, 0
	h.notUntil = time.Time{}
}

// failed counts a failure; failures of two jobs or more speak against the worker.
func (h *health) failed(now time.Time, id describer.JobID) {
	if h.jobs == nil {
		h.jobs = make(map[describer.JobID]bool)
	}
	h.inRow++
	h.jobs[id] = true
	if h.inRow < suspectFailures || len(h.jobs) < 2 {
		return
	}
	h.pause = min(max(2*h.pause, distrustTime), maxDistrustTime)
	h.notUntil = now.Add(h.pause)
}

func (h *health) refused(now time.Time) { h.notUntil = later(h.notUntil, now.Add(refusedPause)) }
