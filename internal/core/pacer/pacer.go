// Package pacer holds the times of leases and heartbeats.
//
// # Usage
//
//	times := pacer.Options{Lease: time.Minute}.WithDefaults()
package pacer

import (
	"cmp"
	"time"
)

// Options are the times of leases and heartbeats. A zero field takes its default.
type Options struct {
	// Lease is how long a renewal lets tasks run on.
	Lease time.Duration
	// Heartbeat is the time between two heartbeats to a worker.
	Heartbeat time.Duration
	// Skew bounds the difference of two hosts' wall clocks.
	Skew time.Duration
	// Silence is the time without an answer after which nothing is placed on a worker.
	Silence time.Duration
	// MinFirstLease is the shortest first lease that is worth a start.
	MinFirstLease time.Duration
}

// Defaults of Options.
const (
	DefaultLease         = 15 * time.Second
	DefaultHeartbeat     = time.Second
	DefaultSkew          = 100 * time.Millisecond
	DefaultSilence       = 3 * time.Second
	DefaultMinFirstLease = 300 * time.Millisecond
)

// WithDefaults returns the options with each zero field set to its default.
func (o Options) WithDefaults() Options {
	o.Lease = cmp.Or(o.Lease, DefaultLease)
	o.Heartbeat = cmp.Or(o.Heartbeat, DefaultHeartbeat)
	o.Skew = cmp.Or(o.Skew, DefaultSkew)
	o.Silence = cmp.Or(o.Silence, DefaultSilence)
	o.MinFirstLease = cmp.Or(o.MinFirstLease, DefaultMinFirstLease)
	return o
}
