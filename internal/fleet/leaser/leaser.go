// Package leaser keeps track of a worker's clock and of the leases that it was promised.
//
// A deadline is a time on the worker's own clock, which may run slow. Lapsed says from when
// on the worker can run nothing of what was promised, on this host's clock.
//
// # Usage
//
//	lease := leaser.Lease{LapseAt: claimed.Add(leaser.LapseOf(longest))}
//	lease.Sample(now, clock)
//	deadline := lease.Extend(now, 4*time.Second)
package leaser

import "time"

const (
	// clockDrift is how much slower a worker's clock may run: 2% is promised, as much again kept.
	clockDrift = 0.04
	// lapseSlack covers the worker's own delay in ending what has lapsed.
	lapseSlack = 200 * time.Millisecond
)

// LapseOf returns after how long on this host's clock a lease is surely over.
func LapseOf(lease time.Duration) time.Duration {
	return lease + time.Duration(clockDrift*float64(lease)) + lapseSlack
}

// Lease is the clock of a worker and the longest promise to it.
type Lease struct {
	// LapseAt is when the last lease that anybody may have promised is over.
	LapseAt time.Time
	// clock was the worker's clock at sampledAt, or later.
	clock     time.Duration
	sampledAt time.Time
}

// Sample takes in the worker's clock as an answer had it that arrived at now.
func (l *Lease) Sample(now time.Time, clock time.Duration) { l.clock, l.sampledAt = clock, now }

// IsKnown reports whether the worker's clock is known.
func (l *Lease) IsKnown() bool { return !l.sampledAt.IsZero() }

// Extend promises a lease from now on and returns its end on the worker's clock; 0 where
// that is not known.
func (l *Lease) Extend(now time.Time, lease time.Duration) time.Duration {
	if !l.IsKnown() {
		return 0
	}
	if lapse := now.Add(LapseOf(lease)); lapse.After(l.LapseAt) {
		l.LapseAt = lapse
	}
	return l.clock + now.Sub(l.sampledAt) + lease
}

// HasLapsed reports whether all that was promised is over.
func (l *Lease) HasLapsed(now time.Time) bool { return now.After(l.LapseAt) }
