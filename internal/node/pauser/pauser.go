// Package pauser lets a duty wait without holding up the end of its process.
//
// # Usage
//
//	pauser.Pause(ctx, clock, 200*time.Millisecond)
package pauser

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Pause waits for a time, or until ctx ends.
func Pause(ctx context.Context, clock clockwork.Clock, wait time.Duration) {
	timer := clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-ctx.Done():
	}
}
