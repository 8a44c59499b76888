// Package checker checks whether a service replies before something is sent to it whose outcome must
// not stay unknown. Concurrent callers share one check.
//
// # Usage
//
//	c := checker.New(checker.Options{Check: read, Clock: clock})
//	if !c.Replies(ctx) {
//		// nothing was sent; report a refusal
//	}
package checker

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// checkTimeout bounds a check. A store that is a hundred times slower than usual still replies
	// within it.
	checkTimeout = 600 * time.Millisecond
	// resultValidity is how long the result of a check counts.
	resultValidity = 100 * time.Millisecond
	// failureValidity is how long callers do not wait for the next check after one that failed.
	failureValidity = 2 * time.Second
)

// Options configure a Checker.
type Options struct {
	// Check calls the service without effects. It returns an error if there is no reply.
	Check func(ctx context.Context) error
	Clock clockwork.Clock
}

// Checker checks whether a service replies. It is safe for concurrent use.
type Checker struct {
	options Options

	mu sync.Mutex
	// ongoing is the check in flight; nil if there is none.
	ongoing *check
	// checkedAt is when the last check ended; replied is its result.
	checkedAt time.Time
	replied   bool
}

// check is a check in flight. Its result is in the Checker once done is closed.
type check struct {
	done    chan struct{}
	replied bool
}

// New returns a Checker.
func New(options Options) *Checker { return &Checker{options: options} }

// Replies reports whether the service replies. It returns false if ctx ends first. If the service has
// just not replied, it returns false at once and checks again in the background.
func (c *Checker) Replies(ctx context.Context) bool {
	c.mu.Lock()
	age := c.options.Clock.Since(c.checkedAt)
	if c.ongoing == nil && age < resultValidity {
		defer c.mu.Unlock()
		return c.replied
	}
	if c.ongoing == nil {
		c.ongoing = &check{done: make(chan struct{})}
		go c.run(c.ongoing)
	}
	ongoing, hasJustFailed := c.ongoing, !c.replied && age < failureValidity
	c.mu.Unlock()
	if hasJustFailed {
		return false
	}
	select {
	case <-ongoing.done:
		return ongoing.replied
	case <-ctx.Done():
		return false
	}
}

// run carries out a check. It does not depend on the caller that began it, since others wait too.
func (c *Checker) run(ongoing *check) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	err := c.options.Check(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	ongoing.replied = err == nil
	c.ongoing, c.replied, c.checkedAt = nil, err == nil, c.options.Clock.Now()
	close(ongoing.done)
}
