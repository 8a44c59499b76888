package budgeter

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lentilrock.example/internal/web/binder"
)

// The listeners of a process, by name. Shared is the only one of a process that serves all but its peers at one address.
const (
	Callers   = "callers"
	Readiness = "readiness"
	Peers     = "peers"
	Metrics   = "metrics"
	Operators = "operators"
	Shared    = "shared"
)

const (
	// ConnectionBytes is the memory of a connection without a request, beside its receive buffer: two goroutine stacks, two buffers
	// of 4 KiB and the state of the server.
	ConnectionBytes = 20 << 10
	// HeaderFactor is the memory of a header's decoded form by byte of its text: a field of six bytes takes 200 in the map.
	HeaderFactor = 32
	// BodyFactor is the memory of a body by byte that has arrived: the buffer grows by copies, and both are held meanwhile.
	BodyFactor = 3
	// bodyFactor is how many times the deadline for progress a whole body may take.
	bodyFactor = 3
	// fileFDs is how many descriptors are for files, and part of them for listeners.
	fileFDs  = 200
	mebibyte = 1 << 20
)

// Defaults of the limits. No client within the limits of the operators' configuration (headers of 16 KiB within 3 s, bodies of
// 256 KiB, 15 s between requests) reaches them.
const (
	DefaultMemoryMB        = 184
	DefaultMaxFDs          = 4096
	DefaultMemoryShare     = 0.4
	DefaultMaxHeaderBytes  = 32 << 10
	DefaultReceiveBuffer   = 4 << 10
	DefaultBodyBuffer      = 64 << 10
	DefaultHeaderTimeout   = 5 * time.Second
	DefaultBodyTimeout     = 10 * time.Second
	DefaultIdleTimeout     = 90 * time.Second
	DefaultResponseTimeout = 30 * time.Second
)

// Limits are the limits of a process for its clients. A field that is 0 has its default.
type Limits struct {
	// MemoryMB is the memory of the process, MemoryShare the part of it that clients may use.
	MemoryMB    int64
	MemoryShare float64
	// MaxFDs is how many descriptors the process may have.
	MaxFDs int64
	// MaxHeaderBytes is the size of a request's header.
	MaxHeaderBytes int64
	// ReceiveBuffer is the size of a connection's receive buffer, and BodyBuffer the one that it gets for a large body.
	ReceiveBuffer, BodyBuffer int64
	// HeaderTimeout limits the time for a header, BodyTimeout the time without progress of a body (three times as long: for a
	// whole one), IdleTimeout the time between requests, and ResponseTimeout how long a write may be blocked.
	HeaderTimeout, BodyTimeout, IdleTimeout, ResponseTimeout time.Duration
}

// PoolLimits are the limits of one listener.
type PoolLimits struct {
	Connections int
	// Memory is for the connections and their requests.
	Memory int64
	// Backlog is how many connections may wait to be accepted. What the kernel holds for them is beside Memory.
	Backlog        int
	MaxHeaderBytes int
	// ReceiveBuffer is the size of a connection's receive buffer, and BodyBuffer the one that it gets for a large body if there is
	// memory for what the kernel may hold then.
	ReceiveBuffer, BodyBuffer                                int
	HeaderTimeout, BodyTimeout, IdleTimeout, ResponseTimeout time.Duration
}

// parts are the parts of each listener: in sixteenths of the clients' memory, and in thirty-seconds of the descriptors that are
// not for files. Over half of the descriptors belong to no listener: they are for connections to peers, the store and workers.
var parts = map[string]struct{ memory, fds int64 }{
	Callers: {10, 8}, Readiness: {1, 1}, Peers: {2, 4}, Metrics: {1, 1}, Operators: {2, 1},
	// In place of all but the peers.
	Shared: {14, 11},
}

const (
	memoryParts = 16
	fdParts     = 32
	// minConnections lets a scraper or an operator in whose former connection is not closed yet.
	minConnections = 2
	// backlogDivisor is the part of a listener's memory for connections that are not accepted yet.
	backlogDivisor = 4
	minBacklog     = 16
	// peersMargin of peersBase is the memory of peers by that of their connections.
	peersMargin, peersBase = 5, 4
)

// UnreadBytes returns what the kernel holds at most for a receive buffer of the given size.
func UnreadBytes(size int) int64 { return binder.BufferFactor * int64(size) }

// connectionBytes returns the memory of a connection without a request.
func (l PoolLimits) connectionBytes() int64 { return ConnectionBytes + UnreadBytes(l.ReceiveBuffer) }

// pool returns the limits of a listener with a share of the clients' memory and so many descriptors.
func (l Limits) pool(share, fds int64) PoolLimits {
	queued := share / backlogDivisor
	pool := PoolLimits{
		Connections: int(max(fds, minConnections)), Memory: share - queued,
		ReceiveBuffer: int(cmp.Or(l.ReceiveBuffer, DefaultReceiveBuffer)), BodyBuffer: int(cmp.Or(l.BodyBuffer, DefaultBodyBuffer)),
		MaxHeaderBytes: int(cmp.Or(l.MaxHeaderBytes, DefaultMaxHeaderBytes)),
		HeaderTimeout:  cmp.Or(l.HeaderTimeout, DefaultHeaderTimeout), BodyTimeout: cmp.Or(l.BodyTimeout, DefaultBodyTimeout),
		IdleTimeout: cmp.Or(l.IdleTimeout, DefaultIdleTimeout), ResponseTimeout: cmp.Or(l.ResponseTimeout, DefaultResponseTimeout),
	}
	pool.Backlog = int(max(queued/UnreadBytes(pool.ReceiveBuffer), minBacklog))
	return pool
}

// peersFirst orders the names of listeners.
func peersFirst(a, b string) int {
	switch {
	case a == b:
		return 0
	case a == Peers:
		return -1
	case b == Peers:
		return 1
	}
	return cmp.Compare(a, b)
}

// Plan returns the limits of each listener. With those of Shared or without, their memory and what the kernel holds for connections
// that wait to be accepted is within the clients' share, unless that is under 1 MiB.
func (l Limits) Plan() map[string]PoolLimits {
	memory := int64(float64(cmp.Or(l.MemoryMB, DefaultMemoryMB)*mebibyte) * cmp.Or(l.MemoryShare, DefaultMemoryShare))
	fds := max(cmp.Or(l.MaxFDs, DefaultMaxFDs)-fileFDs, 0)
	plan := make(map[string]PoolLimits, len(parts))
	for _, name := range slices.SortedFunc(maps.Keys(parts), peersFirst) {
		part := parts[name]
		pool := l.pool(memory*part.memory/memoryParts, fds*part.fds/fdParts)
		if name == Peers {
			// The number of peers is that of the cell, whatever memory this host has. What they need beyond their share is taken
			// from all others.
			needed := int64(pool.Connections) * pool.connectionBytes() * peersMargin / peersBase
			if missing := min(needed-pool.Memory, memory/2); missing > 0 {
				pool.Memory += missing
				memory -= missing * memoryParts / (memoryParts - part.memory)
			}
		} else {
			// Connections without requests take at most half of the memory, so that those with requests have the rest.
			pool.Connections = max(min(pool.Connections, int(pool.Memory/2/pool.connectionBytes())), minConnections)
		}
		plan[name] = pool
	}
	return plan
}
