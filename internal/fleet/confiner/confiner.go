// Package confiner confines a task to one worker while that worker may still carry out an earlier start of the task.
//
// A start without a reply may be carried out later, and a worker that has restarted under its id accepts it: it knows
// neither the stop of that run nor a fencing token. On the same worker a restart ends the run that the task has there,
// so that the two never run at the same time; on any other worker they would.
//
// # Usage
//
//	var c confiner.Confiner
//	c.Add(confiner.Start{Worker: "w-1", Number: 3, Until: sentAt.Add(maxLateness)})
//	if c.Allows(worker, now) {
//		// the task may start there
//	}
//	c.Arrived("w-1", 3)
package confiner

import (
	"slices"
	"time"
)

// Start is a start of a task that got no reply and may be carried out until a time.
type Start struct {
	Worker string
	Number int64
	Until  time.Time
}

// Confiner holds the starts of a task that may still be carried out. The zero value has none.
type Confiner struct {
	starts []Start
	// waitsSince is when a start was added since which the task has not started; zero if it has.
	waitsSince time.Time
}

// Add adds a start whose run is resolved. One that is known already counts until the later time.
func (c *Confiner) Add(start Start, now time.Time) {
	c.starts = slices.DeleteFunc(c.starts, func(s Start) bool { return !now.Before(s.Until) })
	c.waitsSince = now
	i := slices.IndexFunc(c.starts, func(s Start) bool { return s.Worker == start.Worker && s.Number == start.Number })
	switch {
	case i < 0:
		c.starts = append(c.starts, start)
	case start.Until.After(c.starts[i].Until):
		c.starts[i].Until = start.Until
	}
}

// Arrived drops a start that its worker has carried out or refused: it is carried out once.
func (c *Confiner) Arrived(worker string, number int64) {
	c.starts = slices.DeleteFunc(c.starts, func(s Start) bool { return s.Worker == worker && s.Number == number })
}

// Gone drops the starts on a worker that never runs again.
func (c *Confiner) Gone(worker string) {
	c.starts = slices.DeleteFunc(c.starts, func(s Start) bool { return s.Worker == worker })
}

// Allows reports whether the task may start on a worker: no other one may still carry out an earlier start.
func (c *Confiner) Allows(worker string, now time.Time) bool {
	return !slices.ContainsFunc(c.starts, func(s Start) bool { return s.Worker != worker && now.Before(s.Until) })
}

// IsPending reports whether a start may still be carried out, so that the task may start on one worker at most.
func (c *Confiner) IsPending(now time.Time) bool {
	_, isPending := c.Last(now)
	return isPending
}

// Last returns the start that may still be carried out for longest, or false if there is none.
func (c *Confiner) Last(now time.Time) (Start, bool) {
	var last Start
	for _, s := range c.starts {
		if now.Before(s.Until) && s.Until.After(last.Until) {
			last = s
		}
	}
	return last, last.Worker != ""
}

// Waited returns for how long the task has not started since a start was added; 0 if it has started.
func (c *Confiner) Waited(now time.Time) time.Duration {
	if c.waitsSince.IsZero() {
		return 0
	}
	return now.Sub(c.waitsSince)
}

// Started records that the task has started again.
func (c *Confiner) Started() { c.waitsSince = time.Time{} }
