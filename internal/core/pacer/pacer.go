// Package pacer defines the timing of task leases and worker heartbeats.
//
// # Usage
//
//	times := pacer.Options{Lease: time.Minute}.WithDefaults()
package pacer

import (
	"cmp"
	"time"
)

// Options configures the timing of leases and heartbeats. A zero field takes its default.
type Options struct {
	// Lease is how long tasks may run after a renewal of their lease.
	Lease time.Duration
	// Heartbeat is the interval between heartbeats to a worker.
	Heartbeat time.Duration
	// Skew is the maximum difference between the wall clocks of two hosts.
	Skew time.Duration
	// UnresponsiveAfter is how long after its last answered heartbeat a worker counts as
	// unresponsive. Nothing is placed on an unresponsive worker and its leases are not
	// renewed.
	UnresponsiveAfter time.Duration
	// MinFirstLease is the shortest first lease with which a task is started.
	MinFirstLease time.Duration
}

// Defaults of Options.
const (
	DefaultLease             = 15 * time.Second
	DefaultHeartbeat         = time.Second
	DefaultSkew              = 100 * time.Millisecond
	DefaultUnresponsiveAfter = 3 * time.Second
	DefaultMinFirstLease     = 300 * time.Millisecond
)

// WithDefaults returns the options with each zero field set to its default.
func (o Options) WithDefaults() Options {
	o.Lease = cmp.Or(o.Lease, DefaultLease)
	o.Heartbeat = cmp.Or(o.Heartbeat, DefaultHeartbeat)
	o.Skew = cmp.Or(o.Skew, DefaultSkew)
	o.UnresponsiveAfter = cmp.Or(o.UnresponsiveAfter, DefaultUnresponsiveAfter)
	o.MinFirstLease = cmp.Or(o.MinFirstLease, DefaultMinFirstLease)
	return o
}
