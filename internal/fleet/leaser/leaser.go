// Package leaser tracks the clock of a worker and the leases that the worker was granted.
//
// A deadline is a time on the worker's own clock, which may run slow. HasExpired reports, on this
// host's clock, whether the worker has stopped everything that was covered by a lease.
//
// # Usage
//
//	lease := leaser.Lease{ExpiresAt: claimed.Add(leaser.ExpiryOf(longest))}
//	lease.Sample(now, clock)
//	deadline := lease.Extend(now, 4*time.Second)
package leaser

import (
	"time"

	"lentilrock.example/internal/container/clamper"
)

const (
	// maxClockDrift is how much slower a worker's clock may run. At most 2% is promised;
	// the rest is a margin of the same size.
	maxClockDrift = 0.04
	// lapseSlack covers the worker's delay in ending runs whose lease has expired.
	lapseSlack = 200 * time.Millisecond
	// clockRounding covers the rounding of clocks, which replies give in whole milliseconds.
	clockRounding = 10 * time.Millisecond
)

// ExpiryOf returns the time on this host's clock after which a lease of the given duration has
// expired on the worker, whatever the drift of its clock.
func ExpiryOf(lease time.Duration) time.Duration {
	return clamper.Add(clamper.Add(lease, clamper.Scale(lease, maxClockDrift)), lapseSlack)
}

// Lease holds the clock of a worker and the end of the longest lease granted to it.
type Lease struct {
	// ExpiresAt is when the last lease that any holder may have granted has expired.
	ExpiresAt time.Time
	// clock is a lower bound of the worker's clock at sampledAt.
	clock     time.Duration
	sampledAt time.Time
}

// Sample records the worker's clock from a reply that arrived at now.
func (l *Lease) Sample(now time.Time, clock time.Duration) { l.clock, l.sampledAt = clock, now }

// IsKnown reports whether the worker's clock has been sampled.
func (l *Lease) IsKnown() bool { return !l.sampledAt.IsZero() }

// Extend grants a lease from now on and returns its end on the worker's clock, or 0 if that
// clock is unknown. The clock counts as slow since it was sampled.
func (l *Lease) Extend(now time.Time, lease time.Duration) time.Duration {
	if !l.IsKnown() {
		return 0
	}
	l.Cover(now, lease)
	return clamper.Add(l.lowestClock(now), lease)
}

// lowestClock returns the worker's clock if it is as slow as it may be.
func (l *Lease) lowestClock(now time.Time) time.Duration {
	return clamper.Add(l.clock, clamper.Scale(now.Sub(l.sampledAt), 1-maxClockDrift))
}

// MinClock returns what the worker's clock certainly shows unless the worker has restarted, or 0 if it is unknown.
func (l *Lease) MinClock(now time.Time) time.Duration {
	if !l.IsKnown() {
		return 0
	}
	return max(l.lowestClock(now)-clockRounding, 0)
}

// Cover allows for a lease of the given duration that the worker may have been granted until now.
func (l *Lease) Cover(now time.Time, lease time.Duration) {
	if lapseAt := now.Add(ExpiryOf(lease)); lapseAt.After(l.ExpiresAt) {
		l.ExpiresAt = lapseAt
	}
}

// EndBy records that nothing that was covered by a lease goes on after a time. A lease that ends earlier stays as it is.
func (l *Lease) EndBy(end time.Time) {
	if l.ExpiresAt.After(end) {
		l.ExpiresAt = end
	}
}

// HasExpired reports whether all granted leases have expired.
func (l *Lease) HasExpired(now time.Time) bool { return now.After(l.ExpiresAt) }
