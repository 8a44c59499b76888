// Package authorizer defines the interfaces through which package tracker uses the rest of
// the core: what this host may do for a shard, the jobs in the log, and the learned sizes of
// tasks.
//
// # Usage
//
//	if authority.MayRenew(now, shard, worker) {
//		// renew
//	}
package authorizer

import (
	"time"

	"lentilrock.example/internal/cell/applier"
	"lentilrock.example/internal/cell/descriptor"
)

// Authority answers what this host may do for a shard. A shard has one claim at a time: the
// record in the log that makes one host its holder. The claim's epoch is the fencing token.
type Authority interface {
	// StartUntil returns the end of the window in which this host may start tasks of the
	// shard, or the zero time if it may not start any.
	StartUntil(now time.Time, shard descriptor.ShardID) time.Time
	// MayRenew reports whether this host may renew the leases of a worker.
	MayRenew(now time.Time, shard descriptor.ShardID, worker string) bool
	// MayDeclareLost reports whether this host may declare a worker lost once the leases
	// that it knows of have expired. It may if no other host can still renew leases of the
	// worker.
	MayDeclareLost(now time.Time, shard descriptor.ShardID, worker string) bool
	// Epoch returns the epoch of the newest known claim on the shard.
	Epoch(shard descriptor.ShardID) int64
}

// Jobs provides the state of jobs in the log.
type Jobs interface {
	// Job returns the record of a job, or nil if the log has none.
	Job(id descriptor.JobID) *applier.JobState
}

// Sizes learns the actual resource usage of task classes.
type Sizes interface {
	// Observe records a measured usage of a task of the class.
	Observe(class string, usage descriptor.Size)
	// SizeFor returns the size to plan with for a class and a declared size.
	SizeFor(class string, declared descriptor.Size) descriptor.Size
}
