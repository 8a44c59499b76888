// Package historian remembers what outlives the runs of a task, or of a gang: the newest checkpoint, the runs that failed, and
// how soon those ended after which a long-running task starts again.
//
// # Usage
//
//	var h historian.History
//	h.SaveCheckpoint(result.Checkpoint)
//	if h.CountFailure(run, step.LongRunning) >= step.MaxAttempts {
//		...
//	}
package historian

import (
	"time"

	"lentilrock.example/internal/container/sorter"
)

const (
	// steadyTime is how long a run lasts at least after which the next one starts at once.
	steadyTime = 5 * time.Second
	// minPause and maxPause bound the pause after a shorter run. A long-running task must not be down for much longer.
	minPause = 100 * time.Millisecond
	maxPause = 3 * time.Second
)

// History is what is known of former runs. The zero value has none.
type History struct {
	checkpoint string
	failures   map[int64]bool
	// ended is the number of the last run after which the task starts again, and pause the pause after it.
	ended int64
	pause time.Duration
}

// PauseAfter returns the pause before the run after one with a number that has ended and lasted for a time. It doubles with each
// run that ends soon after its start. The members of a gang, whose runs have the same number, count once.
func (h *History) PauseAfter(number int64, lasted time.Duration) time.Duration {
	switch {
	case number == h.ended:
	case lasted >= steadyTime:
		h.pause = 0
	default:
		h.pause = min(max(2*h.pause, minPause), maxPause)
	}
	h.ended = number
	return h.pause
}

// SaveCheckpoint records the newest checkpoint, unless it is empty.
func (h *History) SaveCheckpoint(value string) {
	if value != "" {
		h.checkpoint = value
	}
}

// Checkpoint returns the newest checkpoint; empty if there is none.
func (h *History) Checkpoint() string { return h.checkpoint }

// CountFailure records that a run failed and returns the number of failed runs. A run that is recorded again counts
// once. With keepLast only the last failure is kept.
func (h *History) CountFailure(number int64, keepLast bool) int {
	if h.failures == nil {
		h.failures = make(map[int64]bool)
	}
	if keepLast {
		clear(h.failures)
	}
	h.failures[number] = true
	return len(h.failures)
}

// Failures returns the numbers of the failed runs, in ascending order.
func (h *History) Failures() []int64 { return sorter.Keys(h.failures) }
