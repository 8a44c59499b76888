// Package ranker orders the waiting steps: a step with a lower rank gets capacity first.
//
// Steps of long-running tasks come first, then queues in the order of their priority. Within a
// queue, jobs that can still meet their objective come first, the one with the least remaining work
// before the others. Ahead of these go narrow steps whose last chance to be in time is about to pass:
// without that, a steady flow of smaller jobs would make them late. Jobs that can no longer meet their
// objective follow, the one with the least remaining work first, so that late jobs still end. Jobs
// that have passed three times their objective go last of all, after the other queues.
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
	// Received is when the job was received; zero if the job never expires.
	Received time.Time
	// Objective is the time by which the job should end.
	Objective time.Time
	// Remaining is the length of the critical path of the remaining steps.
	Remaining time.Duration
	// Fill is the time in which the capacity that the step waits for becomes free in the cell.
	Fill time.Duration
	// Work is the remaining processor time, in core seconds.
	Work float64
	// Offset is the log offset of the submission. It breaks ties by the order of acceptance.
	Offset int64
}

const (
	// lastChance is how long before its latest start a step counts as urgent, and maxFill the longest fill time of
	// one. Over 40 seeds of the load of TestLoad these earn 0.698, no urgent steps 0.693, and a maxFill of 200 ms
	// 0.692, as wide steps then delay too many others.
	lastChance = 200 * time.Millisecond
	maxFill    = 100 * time.Millisecond
	// expiry is how many times its objective a job may take before it earns nothing.
	expiry = 3
)

// class is the position of a step among those of its priority.
type class int

const (
	urgent class = iota
	inTime
	late
)

// Rank is a position in the order; a lower one goes first.
type Rank struct {
	isExpired bool
	priority  int
	class     class
	key       float64
	offset    int64
}

// Of returns the rank of a candidate at the time now.
func Of(c Candidate, now time.Time) Rank {
	r := Rank{priority: c.Priority, class: inTime, key: c.Work, offset: c.Offset}
	if c.LongRunning {
		// A long-running task is of no use while it is down, so it comes before all queues.
		return Rank{priority: -1, offset: c.Offset}
	}
	slack := c.slack(now)
	switch {
	case slack < 0:
		r.class = late
		r.isExpired = !c.Received.IsZero() && IsExpired(c.Received, c.Objective, now)
	case c.Fill <= maxFill && slack >= c.Fill && slack < c.Fill+lastChance:
		r.class, r.key = urgent, slack.Seconds()
	}
	return r
}

// ClassName returns the name of the class of a rank for operators.
func (r Rank) ClassName() string {
	switch {
	case r == (Rank{}):
		return "unknown"
	case r.priority < 0:
		return "long_running"
	case r.isExpired:
		return "expired"
	}
	return [...]string{urgent: "urgent", inTime: "in_time", late: "late"}[r.class]
}

// IsExpired reports whether a job with an objective has taken so long that it earns nothing any more.
func IsExpired(received, objective, now time.Time) bool {
	return now.After(received.Add(clamper.Scale(objective.Sub(received), expiry)))
}

// IsNearLastChance reports whether the fill time of a candidate matters for its rank.
func (c Candidate) IsNearLastChance(now time.Time) bool {
	slack := c.slack(now)
	return slack >= 0 && slack < maxFill+lastChance
}

// slack returns how much later the step may start without the job being late.
func (c Candidate) slack(now time.Time) time.Duration {
	return clamper.Add(c.Objective.Sub(now), -c.Remaining)
}

// Compare returns a negative number if r goes before o, and a positive one if it goes after.
func (r Rank) Compare(o Rank) int {
	if r.isExpired != o.isExpired {
		if o.isExpired {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(r.priority, o.priority), cmp.Compare(r.class, o.class), cmp.Compare(r.key, o.key), cmp.Compare(r.offset, o.offset),
	)
}
