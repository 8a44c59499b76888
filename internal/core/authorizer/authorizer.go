// Package authorizer holds what the follower of tasks asks of the rest of the core: what it
// may do for a shard, what the log says of jobs, and what tasks really need.
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

// Authority says what this host may do for a shard.
type Authority interface {
	// StartUntil returns the end of the window in which this host may start tasks; it is
	// zero where it may not.
	StartUntil(now time.Time, shard descriptor.ShardID) time.Time
	// MayRenew reports whether this host may renew the leases of a worker.
	MayRenew(now time.Time, shard descriptor.ShardID, worker string) bool
	// MayDeclareLost reports whether nobody else can still renew a worker's leases, once
	// those that this host knows of have lapsed.
	MayDeclareLost(now time.Time, shard descriptor.ShardID, worker string) bool
	// Epoch returns the epoch under which this host holds the shard.
	Epoch(shard descriptor.ShardID) int64
}

// Jobs is the state of jobs in the log.
type Jobs interface {
	// Job returns a job, or nil where the log knows none.
	Job(id descriptor.JobID) *applier.JobRecord
}

// Sizes learns what tasks of a class really use.
type Sizes interface {
	// Observe takes in a measured use.
	Observe(class string, usage descriptor.Size)
	// Need returns the size to plan with for a class and a declared size.
	Need(class string, declared descriptor.Size) descriptor.Size
}
