// Package pauser provides waits for background loops that end early when a context ends or a
// Waker wakes them.
//
// # Usage
//
//	pauser.Pause(ctx, clock, 200*time.Millisecond)
//
//	waker := pauser.NewWaker()
//	go func() { waker.Wake() }()
//	isWoken := waker.Pause(ctx, clock, time.Second)
package pauser

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Pause blocks until wait has passed or ctx ends.
func Pause(ctx context.Context, clock clockwork.Clock, wait time.Duration) {
	Waker(nil).Pause(ctx, clock, wait)
}

// Waker ends the pauses of one background loop early. A nil Waker never ends a pause.
type Waker chan struct{}

// NewWaker returns a Waker without a pending wake-up.
func NewWaker() Waker { return make(Waker, 1) }

// Wake ends the current pause or, if there is none, the next one. Several calls before a pause
// count as one. It never blocks.
func (w Waker) Wake() {
	select {
	case w <- struct{}{}:
	default:
	}
}

// Pause blocks until wait has passed, ctx ends or Wake is called. It returns true if Wake ended
// the pause.
func (w Waker) Pause(ctx context.Context, clock clockwork.Clock, wait time.Duration) bool {
	timer := clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-w:
		return true
	case <-timer.Chan():
	case <-ctx.Done():
	}
	return false
}
