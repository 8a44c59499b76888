// Package confirmer tells for how long a holder may act. The claim is the record in the log that makes one
// host the holder, the leader of the cell. A holder that is cut off from the log does not know of its successor.
//
// An append under the claim that succeeds shows that no later holder had claimed the cell when it was sent. All
// leases that a holder grants end within Authority of that time, and its successor waits for that at the workers
// that it does not reach. What only silence shows, such as a lease that has expired, counts once an append has
// succeeded that was sent afterwards: until then a later holder may have renewed the lease.
//
// A process may be stopped at any point and go on seconds later. So after a pause the holder decides nothing
// before an append has succeeded that was sent after the pause. Orders to services that do not check
// fencing tokens need a recent append in any case.
//
// # Usage
//
//	var claim confirmer.Confirmer
//	sentAt := clock.Now()
//	// append under the claim
//	claim.Confirm(sentAt)
//	lease := min(usual, claim.Remaining(clock.Now()))
//	if worker.Lease.HasExpired(claim.ConfirmedAt()) {
//		// its runs are lost
//	}
package confirmer

import (
	"sync"
	"time"
)

const (
	// Authority is how long after the sending of its last append that succeeded the leases of a holder may last.
	// It covers an outage of the store of 9 s without any reply, a heartbeat interval and two appends after the outage.
	Authority = 11 * time.Second
	// maxPause is the longest pause after which the holder goes on without a confirmation.
	maxPause = 2 * time.Second
	// Validity is how long after it was sent a successful append allows orders that no fencing token
	// guards. A successor sends no such order in the first 3 s after its claim, which leaves the other
	// half of them for the order to arrive.
	Validity = 1500 * time.Millisecond
)

// Confirmer records the confirmations of a claim and the pauses of the process. The zero value has
// seen neither. It is safe for concurrent use.
type Confirmer struct {
	mu sync.Mutex
	// observedAt is when the process was last seen running, and resumedAt when it went on after its
	// last long pause.
	observedAt time.Time
	resumedAt  time.Time
	// confirmedAt is when the newest append that succeeded was sent.
	confirmedAt time.Time
}

// Observe records that the process runs. A time of over two seconds between two observations, which Remaining
// and MayOrderUnfenced are as well, counts as a pause.
func (c *Confirmer) Observe(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observe(now)
}

func (c *Confirmer) observe(now time.Time) {
	if !c.observedAt.IsZero() && elapsed(c.observedAt, now) > maxPause {
		c.resumedAt = now
	}
	c.observedAt = now
}

// Confirm records that an append under the claim, which was sent at sentAt, has succeeded. The claim itself
// is the first one.
func (c *Confirmer) Confirm(sentAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if sentAt.After(c.confirmedAt) {
		c.confirmedAt = sentAt
	}
}

// ConfirmedAt returns when the newest append that succeeded was sent; the zero time if none has. No later
// holder had claimed the cell then.
func (c *Confirmer) ConfirmedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmedAt
}

// Remaining returns how long a lease that is granted now may last at most. It is 0 if no append has succeeded
// within Authority, or none that was sent after the last long pause.
func (c *Confirmer) Remaining(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observe(now)
	if !c.isConfirmed() {
		return 0
	}
	return max(Authority-elapsed(c.confirmedAt, now), 0)
}

// MayOrderUnfenced reports whether the holder may send an order to a service that may not check the
// fencing token: the claim was confirmed within Validity.
func (c *Confirmer) MayOrderUnfenced(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observe(now)
	return c.isConfirmed() && elapsed(c.confirmedAt, now) <= Validity
}

// isConfirmed reports whether an append has succeeded since the last long pause.
func (c *Confirmer) isConfirmed() bool {
	return !c.confirmedAt.IsZero() && !c.confirmedAt.Before(c.resumedAt)
}

// elapsed returns the time between two readings of the clock. The monotonic clock does not count the
// time for which a machine is suspended, and the time of day may be set back, so the longer one counts.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
