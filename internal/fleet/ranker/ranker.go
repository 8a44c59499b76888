// Package ranker orders waiting steps: which of them should get room first.
//
// Queues come in the order of their priority. Within a queue, jobs that can still meet
// their objective come first, the tightest before the others; jobs that can't any more
// follow, the shortest first, so that late ones still end.
//
// # Usage
//
//	rank := ranker.Of(ranker.Candidate{Priority: 0, Objective: due, Remaining: chain}, now)
//	slices.SortFunc(steps, func(a, b *step) int { return a.rank.Compare(b.rank) })
package ranker

import (
	"cmp"
	"time"
)

// Candidate is a step that waits for room.
type Candidate struct {
	Priority int
	// LongRunning reports that the step's tasks last until they are cancelled.
	LongRunning bool
	// Objective is when the job should have ended.
	Objective time.Time
	// Remaining is the longest chain of work that is left.
	Remaining time.Duration
	// Work is the processor time that is left, in core seconds.
	Work float64
	// Offset breaks ties by the order of acceptance.
	Offset int64
}

// Rank is a place in the order; a lower one goes first.
type Rank struct {
	priority int
	isLate   bool
	key      float64
	offset   int64
}

// Of returns the rank of a candidate at now.
func Of(c Candidate, now time.Time) Rank {
	r := Rank{priority: c.Priority, offset: c.Offset}
	if c.LongRunning {
		// A lasting task that is down earns nothing until it is back.
		r.priority = -1
		return r
	}
	slack := c.Objective.Sub(now) - c.Remaining
	r.isLate = slack < 0
	r.key = slack.Seconds()
	if r.isLate {
		r.key = c.Work
	}
	return r
}

// Compare orders two ranks.
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
