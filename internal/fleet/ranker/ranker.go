// Package ranker orders the waiting steps: a step with a lower rank gets capacity first.
//
// Steps of long-running tasks come first, then queues in the order of their priority. Within a
// queue, jobs that can still meet their objective come first, the one with the least slack before
// the others. Jobs that can no longer meet it follow, the one with the least remaining work first,
// so that late jobs still end.
//
// # Usage
//
//	rank := ranker.Of(ranker.Candidate{Priority: 0, Objective: due, Remaining: criticalPath}, now)
//	slices.SortFunc(steps, func(a, b *step) int { return a.rank.Compare(b.rank) })
package ranker

import (
	"cmp"
	"time"

	"lentilrock.example/internal/container/clamper"
)

// Candidate is a step that waits for capacity.
type Candidate struct {
	Priority int
	// LongRunning reports that the step's tasks run until the job is cancelled.
	LongRunning bool
	// Objective is the time by which the job should end.
	Objective time.Time
	// Remaining is the length of the critical path of the remaining steps.
	Remaining time.Duration
	// Work is the remaining processor time, in core seconds.
	Work float64
	// Offset is the log offset of the submission. It breaks ties by the order of acceptance.
	Offset int64
}

// Rank is a position in the order; a lower one goes first.
type Rank struct {
	priority int
	isLate   bool
	key      float64
	offset   int64
}

// Of returns the rank of a candidate at the time now.
func Of(c Candidate, now time.Time) Rank {
	r := Rank{priority: c.Priority, offset: c.Offset}
	if c.LongRunning {
		// A long-running task is of no use while it is down, so it comes before all queues.
		r.priority = -1
		return r
	}
	slack := clamper.Add(c.Objective.Sub(now), -c.Remaining)
	r.isLate = slack < 0
	r.key = slack.Seconds()
	if r.isLate {
		r.key = c.Work
	}
	return r
}

// Compare returns a negative number if r goes before o, and a positive one if it goes after.
func (r Rank) Compare(o Rank) int {
	if c := cmp.Compare(r.priority, o.priority); c != 0 {
		return c
	}
	if r.isLate != o.isLate {
		if o.isLate {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(r.key, o.key), cmp.Compare(r.offset, o.offset))
}
