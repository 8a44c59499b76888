// Package pauser lets a duty wait without holding up the end of its process.
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

// Pause waits for a time, or until ctx ends.
func Pause(ctx context.Context, clock clockwork.Clock, wait time.Duration) {
	Waker(nil).Pause(ctx, clock, wait)
}

// Waker ends the pauses of one duty early. A nil waker never does.
type Waker chan struct{}

// NewWaker returns a waker of a duty that has nothing to wake for yet.
func NewWaker() Waker { return make(Waker, 1) }

// Wake ends the present pause, or the next one. It never blocks.
func (w Waker) Wake() {
	select {
	case w <- struct{}{}:
	default:
	}
}

// Pause waits for a time, until ctx ends or until it is woken; it reports whether it was.
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
