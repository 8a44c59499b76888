// Package budgeter decides which connections and which memory the clients of a process may hold. Each listener has a pool, a
// part of the process's budget that the clients of other listeners cannot consume. When a pool is full, it sheds the
// connections with the least progress, and refuses the request if there are none. It opens no connection and has no clock.
//
// # Usage
//
//	plan := budgeter.Limits{MemoryMB: 184, MaxFDs: 4100}.Plan()
//	pool := budgeter.New(plan[budgeter.Callers])
//	lease, shed, err := pool.Open(address, now) // the caller closes the connections of the leases in shed
//	shed, err = lease.Reserve(bytes, now)
//	lease.Enter(budgeter.Idle, now) // the response is written: releases what was reserved
//	lease.Close()
package budgeter

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// MinStall is the age of a request, or of a connection without one, from which on the connection may be shed. It is above the
// time that a client within the limits needs to send a request.
const MinStall = time.Second

// A search for connections to shed looks at all of them, which would take much of a small host's processor for each of thousands of
// requests a second.
const (
	// searchPause is for how long the result of a search is used, and the time between two fruitless searches by one address.
	searchPause = 50 * time.Millisecond
	// foundAtOnce is how many connections a search finds.
	foundAtOnce = 64
)

// ErrBusy means that the clients of a listener hold all that there is for them.
var ErrBusy = errors.New("the host serves too many requests")

// Phase is what a connection waits for.
type Phase int

const (
	// Header is from the connection's start, or from the first byte of a later request, to the end of the header.
	Header Phase = iota
	// Body is until the body has been read.
	Body
	// Handling is until the response is written. A connection in this phase is shed only while a write is blocked.
	Handling
	// Idle is between two requests.
	Idle
	// Taken is a connection that has left HTTP, such as that of a peer. It has no deadlines.
	Taken
)

// Cause is why a connection was refused, closed or slowed down.
type Cause string

const (
	// CauseConnections is a connection that was refused, as the pool has no connection left and none that may be shed.
	CauseConnections Cause = "connections"
	// CauseBuffer is a large body that keeps the small receive buffer, as the pool has no memory for another one. It takes more
	// round trips; nothing is closed.
	CauseBuffer Cause = "buffer"
	// CauseMemory is a request that was refused, as the pool has no memory left and none that may be freed.
	CauseMemory Cause = "memory"
	// CauseShed is a connection that was closed, as others need what it held.
	CauseShed Cause = "shed"
	// CauseHeader is a connection whose header took too long.
	CauseHeader Cause = "header_timeout"
	// CauseBody is a connection whose body made no progress, or took too long.
	CauseBody Cause = "body_timeout"
	// CauseIdle is a connection that had no request for too long.
	CauseIdle Cause = "idle_timeout"
	// CauseResponse is a connection whose client did not read the response.
	CauseResponse Cause = "response_timeout"
)

// Pool is the part of the budget for one listener.
type Pool struct {
	limits PoolLimits

	mu     sync.Mutex
	leases map[*Lease]bool
	used   int64
	// held is what each client address holds.
	held map[netip.Addr]holding
	// last is the last search for connections to shed.
	last search
}

type holding struct {
	connections int
	memory      int64
}

// searcher is an address that needs connections or memory.
type searcher struct {
	address     netip.Addr
	needsMemory bool
	// hasMost reports whether the address holds more than its part.
	hasMost bool
}

// search is a search for connections to shed.
type search struct {
	by searcher
	at time.Time
	// found are those that are left of what was found, least progress first.
	found       []candidate
	isFruitless bool
}

// candidate is a lease with its progress at the time of a search.
type candidate struct {
	lease     *Lease
	startedAt time.Time
	received  int64
}

// Lease is what one connection holds.
type Lease struct {
	pool    *Pool
	address netip.Addr

	// The fields below are guarded by pool.mu.
	phase Phase
	// reserved is the memory of the connection's request, and retained what it keeps until it is closed; both are beyond that of
	// a connection without a request.
	reserved, retained int64
	// startedAt is when the present request or phase without a request began, and progressAt when the last byte of it arrived
	// or was sent; received counts these bytes.
	startedAt  time.Time
	progressAt time.Time
	received   int64
	// writingSince is when the write began that is in progress; zero if there is none.
	writingSince time.Time
	isClosed     bool
}

// Expiry is a connection that exceeded a deadline.
type Expiry struct {
	Lease *Lease
	Cause Cause
}

// New returns an empty pool.
func New(limits PoolLimits) *Pool {
	return &Pool{limits: limits, leases: make(map[*Lease]bool), held: make(map[netip.Addr]holding)}
}

// Open admits a connection, or returns ErrBusy. The caller closes the connections of the leases in shed, which hold nothing any
// more.
func (p *Pool) Open(address netip.Addr, now time.Time) (lease *Lease, shed []*Lease, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := &Lease{pool: p, address: address, startedAt: now, progressAt: now}
	isWithin := func() bool {
		return len(p.leases) < p.limits.Connections && p.used+p.limits.connectionBytes() <= p.limits.Memory
	}
	if shed = p.shed(l, now, false, isWithin); !isWithin() {
		return nil, shed, ErrBusy
	}
	p.leases[l] = true
	p.add(l, 1, p.limits.connectionBytes())
	return l, shed, nil
}

// Reserve adds memory to what the connection holds until it is idle or closed, or returns ErrBusy. See Open for shed.
func (l *Lease) Reserve(bytes int64, now time.Time) (shed []*Lease, err error) {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.isClosed {
		return nil, ErrBusy
	}
	isWithin := func() bool { return p.used+bytes <= p.limits.Memory }
	if shed = p.shed(l, now, true, isWithin); !isWithin() {
		return shed, ErrBusy
	}
	l.reserved += bytes
	p.add(l, 0, bytes)
	return shed, nil
}

// Retain adds memory to what the connection holds until it is closed, and reports whether there was some. It closes no other
// connection, as the caller can go on without, and leaves half of the pool to requests.
func (l *Lease) Retain(bytes int64) bool {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.isClosed || p.used+bytes > p.limits.Memory/2 {
		return false
	}
	l.retained += bytes
	p.add(l, 0, bytes)
	return true
}

// Release returns memory that was reserved.
func (l *Lease) Release(bytes int64) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.release(bytes)
}

func (l *Lease) release(bytes int64) {
	bytes = min(bytes, l.reserved)
	l.reserved -= bytes
	l.pool.add(l, 0, -bytes)
}

// Address returns the address of the client.
func (l *Lease) Address() netip.Addr { return l.address }

// Limits returns the limits of the pool.
func (l *Lease) Limits() PoolLimits { return l.pool.limits }

// IsClosed reports whether the lease holds nothing any more.
func (l *Lease) IsClosed() bool {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	return l.isClosed
}

// Phase returns what the connection waits for.
func (l *Lease) Phase() Phase {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	return l.phase
}

// Enter starts a phase. Header, Idle and Taken release what is reserved. A body belongs to the request of its header, whose
// age counts on.
func (l *Lease) Enter(phase Phase, now time.Time) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	if l.phase = phase; phase != Body && phase != Handling {
		l.release(l.reserved)
		l.startedAt, l.received = now, 0
	}
	l.progressAt = now
}

// Receive counts bytes that arrived.
func (l *Lease) Receive(bytes int, now time.Time) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.received += int64(bytes)
	l.progressAt = now
}

// BeginWrite notes that a write to the connection begins.
func (l *Lease) BeginWrite(now time.Time) { l.setWriting(now) }

// EndWrite ends the write that BeginWrite began.
func (l *Lease) EndWrite() { l.setWriting(time.Time{}) }

func (l *Lease) setWriting(since time.Time) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.writingSince = since
}

// Close releases all that the connection holds. Further calls have no effect.
func (l *Lease) Close() {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.close()
}

func (l *Lease) close() {
	if l.isClosed {
		return
	}
	l.isClosed = true
	l.release(l.reserved)
	delete(l.pool.leases, l)
	l.pool.add(l, -1, -l.pool.limits.connectionBytes()-l.retained)
}

// Expired returns the connections that have exceeded a deadline. They hold nothing any more; the caller closes them.
func (p *Pool) Expired(now time.Time) []Expiry {
	p.mu.Lock()
	defer p.mu.Unlock()
	var expired []Expiry
	for l := range p.leases {
		if cause, isExpired := l.expiry(now); isExpired {
			l.close()
			expired = append(expired, Expiry{Lease: l, Cause: cause})
		}
	}
	return expired
}

// expiry returns the deadline that the connection has exceeded. A body has two: for the time without progress, and for all of it.
func (l *Lease) expiry(now time.Time) (Cause, bool) {
	limits, age := l.pool.limits, now.Sub(l.startedAt)
	switch {
	case l.phase == Taken:
	case !l.writingSince.IsZero():
		return CauseResponse, now.Sub(l.writingSince) > limits.ResponseTimeout
	case l.phase == Header:
		return CauseHeader, age > limits.HeaderTimeout
	case l.phase == Body:
		return CauseBody, now.Sub(l.progressAt) > limits.BodyTimeout || age > bodyFactor*limits.BodyTimeout
	case l.phase == Idle:
		return CauseIdle, age > limits.IdleTimeout
	}
	return "", false
}

// Used returns the number of connections and the memory that are in use.
func (p *Pool) Used() (connections int, memory int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.leases), p.used
}

// add changes what a lease's address holds.
func (p *Pool) add(l *Lease, connections int, memory int64) {
	p.used += memory
	h := p.held[l.address]
	h.connections += connections
	h.memory += memory
	if h == (holding{}) {
		delete(p.held, l.address)
		return
	}
	p.held[l.address] = h
}

// hasMost reports whether an address holds more than its part, half of the pool. This matters only while the pool is full, as a
// balancer may forward all clients from a few addresses.
func (p *Pool) hasMost(address netip.Addr) bool {
	h := p.held[address]
	return h.connections > p.limits.Connections/2 || h.memory > p.limits.Memory/2
}

// shed closes the leases with the least progress until isWithin returns true, in favour of the lease l. If memory is needed,
// only those that hold more than a connection without a request are closed.
func (p *Pool) shed(l *Lease, now time.Time, needsMemory bool, isWithin func() bool) []*Lease {
	var shed []*Lease
	for !isWithin() {
		least := p.leastProgress(l, now, needsMemory)
		if least == nil {
			break
		}
		least.close()
		shed = append(shed, least)
	}
	return shed
}

// leastProgress returns the lease with the least progress of those that may be closed in favour of l; nil if there is none. It
// searches anew only if the last search was for others or long ago, or if nothing is left of what it found.
func (p *Pool) leastProgress(l *Lease, now time.Time, needsMemory bool) *Lease {
	by := searcher{address: l.address, needsMemory: needsMemory, hasMost: p.hasMost(l.address)}
	if p.last.by == by && now.Sub(p.last.at) < searchPause {
		if p.last.isFruitless {
			return nil
		}
		if least := p.nextFound(l, now); least != nil {
			return least
		}
	}
	p.search(by, now)
	least := p.nextFound(l, now)
	p.last.isFruitless = least == nil
	return least
}

// search looks at all connections for those that may be shed, and notes the first foundAtOnce of them in order.
func (p *Pool) search(by searcher, now time.Time) {
	found := p.last.found[:0]
	for other := range p.leases {
		if p.mayServe(by, other, now) {
			found = append(found, candidate{lease: other, startedAt: other.startedAt, received: other.received})
		}
	}
	slices.SortFunc(found, func(a, b candidate) int { return compareProgress(a.lease, b.lease, now) })
	kept := min(len(found), foundAtOnce)
	clear(found[kept:])
	p.last = search{by: by, at: now, found: found[:kept]}
}

// nextFound returns the next lease of the last search that still may be closed and has made no progress since; nil if there is none.
func (p *Pool) nextFound(l *Lease, now time.Time) *Lease {
	for i, c := range p.last.found {
		hasProgress := c.startedAt != c.lease.startedAt || c.received != c.lease.received
		if c.lease != l && !c.lease.isClosed && !hasProgress && p.mayServe(p.last.by, c.lease, now) {
			p.last.found = p.last.found[i+1:]
			return c.lease
		}
	}
	p.last.found = p.last.found[:0]
	return nil
}

// mayServe reports whether closing a lease may give a searcher what it needs.
func (p *Pool) mayServe(by searcher, other *Lease, now time.Time) bool {
	return (!by.needsMemory || other.mayFreeMemory()) && p.mayShed(by.address, by.hasMost, other, now)
}

// mayShed reports whether a lease may be closed in favour of an address. An address with more than its part takes from itself
// only; others also take from it what is not stalled.
func (p *Pool) mayShed(address netip.Addr, hasMost bool, other *Lease, now time.Time) bool {
	switch isOwn := address == other.address; {
	case other.phase == Handling && other.writingSince.IsZero(), hasMost && !isOwn:
		return false
	case !isOwn && p.hasMost(other.address):
		return true
	}
	return other.stall(now) >= MinStall
}

// mayFreeMemory reports whether a lease holds more than a connection without a request, other than a peer that sends nothing now.
func (l *Lease) mayFreeMemory() bool { return l.reserved > 0 || l.retained > 0 && l.phase != Taken }

// stall is for how long a connection has been in the way of others: the age of its request, or of the write in progress.
func (l *Lease) stall(now time.Time) time.Duration {
	switch {
	case !l.writingSince.IsZero():
		return now.Sub(l.writingSince)
	case l.phase == Taken:
		return now.Sub(l.progressAt)
	}
	return now.Sub(l.startedAt)
}

// compareProgress orders leases by the rate of their bytes, lowest first, then by their age, oldest first.
func compareProgress(a, b *Lease, now time.Time) int {
	if byRate := cmp.Compare(a.rate(now), b.rate(now)); byRate != 0 {
		return byRate
	}
	return cmp.Compare(b.stall(now), a.stall(now))
}

// rate returns how many bytes a second have arrived; 0 if the connection receives nothing now.
func (l *Lease) rate(now time.Time) int64 {
	if l.phase == Idle || l.phase == Taken || !l.writingSince.IsZero() {
		return 0
	}
	return l.received * int64(time.Second) / max(int64(now.Sub(l.startedAt)), int64(time.Millisecond))
}
