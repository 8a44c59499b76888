// Package limiter serves HTTP on a listener within the limits of a pool of package budgeter: it counts the connections and what
// they receive, closes those that exceed a limit, and reads no body that the handler has not asked for.
//
// # Usage
//
//	l, err := limiter.Listen(address, limits, limiter.Options{Name: "callers", Clock: clock, Logger: log, Scope: scope})
//	server := l.Server(handler)
//	go server.Serve(l)
//	go l.Run(ctx) // closes connections at their deadlines
//
// A handler reserves the memory of what it decodes with Reserve, until its response is written.
package limiter

import (
	"context"
	"math"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"lentilrock.example/internal/web/binder"
	"lentilrock.example/internal/web/budgeter"
)

// sweepInterval is the time between two checks of the deadlines, and between two lines in the log.
const sweepInterval = time.Second

// Options configure a Limiter.
type Options struct {
	// Name names the listener in log lines and metrics.
	Name   string
	Clock  clockwork.Clock
	Logger *zap.Logger
	Scope  tally.Scope
	// Taken names the pool of connections that leave HTTP, such as those of peers, and TakenLimits are its limits. If Taken is empty,
	// they stay in the pool of the listener.
	Taken       string
	TakenLimits budgeter.PoolLimits
}

// Limiter is a net.Listener that closes connections over the limit.
type Limiter struct {
	net.Listener
	options Options
	limits  budgeter.PoolLimits
	pool    *budgeter.Pool
	// taken is the pool of connections that have left HTTP; it may be pool.
	taken *budgeter.Pool

	mu sync.Mutex
	// connections are the open connections by lease.
	connections map[*budgeter.Lease]*connection
	// counts are the connections and requests that were refused, closed or slowed down since the last line in the log.
	counts map[budgeter.Cause]int
}

// Listen opens a listener with the queue and the receive buffers of the limits, and returns its limiter.
func Listen(address netip.AddrPort, limits budgeter.PoolLimits, options Options) (*Limiter, error) {
	listener, err := binder.Listen(address, binder.Options{Backlog: limits.Backlog, ReceiveBuffer: limits.ReceiveBuffer})
	if err != nil {
		return nil, errors.Errorf("listener of %s: %w", options.Name, err)
	}
	return New(listener, limits, options), nil
}

// New returns a limiter for a listener that was opened with the queue and the receive buffers of the limits.
func New(listener net.Listener, limits budgeter.PoolLimits, options Options) *Limiter {
	l := &Limiter{
		Listener: listener, options: options, limits: limits, pool: budgeter.New(limits),
		connections: make(map[*budgeter.Lease]*connection), counts: make(map[budgeter.Cause]int),
	}
	if l.taken = l.pool; options.Taken != "" {
		l.taken = budgeter.New(options.TakenLimits)
	}
	return l
}

// Accept returns the next connection within the limits, and closes the others.
func (l *Limiter) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			// The server goes on after temporary errors, such as for descriptors, only if it sees them unwrapped.
			return nil, err
		}
		// An address that cannot be read counts as the zero address.
		remote, _ := netip.ParseAddrPort(c.RemoteAddr().String())
		lease, shed, err := l.pool.Open(remote.Addr().Unmap(), l.options.Clock.Now())
		l.closeAll(shed)
		if err != nil {
			l.count(budgeter.CauseConnections)
			_ = c.Close()
			continue
		}
		accepted := &connection{Conn: c, limiter: l, receiveBuffer: l.limits.ReceiveBuffer}
		accepted.lease.Store(lease)
		l.mu.Lock()
		l.connections[lease] = accepted
		l.mu.Unlock()
		if lease.IsClosed() {
			// It was shed before it could be found by its lease.
			_ = accepted.abort()
			continue
		}
		return accepted, nil
	}
}

// closeAll closes connections that were shed.
func (l *Limiter) closeAll(shed []*budgeter.Lease) {
	for _, lease := range shed {
		l.close(lease, budgeter.CauseShed)
	}
}

// close closes a connection and counts the cause.
func (l *Limiter) close(lease *budgeter.Lease, cause budgeter.Cause) {
	l.count(cause)
	l.mu.Lock()
	c := l.connections[lease]
	l.mu.Unlock()
	if c != nil {
		// The error is that of a connection that is closed already.
		_ = c.abort()
	}
}

func (l *Limiter) count(cause budgeter.Cause) {
	l.options.Scope.Tagged(map[string]string{"listener": l.options.Name, "cause": string(cause)}).Counter("client_closes").Inc(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[cause]++
}

// Run closes connections at their deadlines and logs once a second what was refused, closed or slowed down, until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	ticker := l.options.Clock.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.Chan():
			// Those that have left HTTP have no deadlines.
			for _, expiry := range l.pool.Expired(now) {
				l.close(expiry.Lease, expiry.Cause)
			}
			l.report()
		}
	}
}

// report logs what was refused or closed since the last report.
func (l *Limiter) report() {
	l.mu.Lock()
	counts := l.counts
	l.counts = make(map[budgeter.Cause]int)
	l.mu.Unlock()
	if len(counts) == 0 {
		return
	}
	connections, memory := l.pool.Used()
	l.options.Logger.Warn("clients: Connections or requests exceeded a limit and were refused, closed or slowed down.", zap.String("listener", l.options.Name),
		zap.Any("counts", counts), zap.Int("connections", connections), zap.Int64("memory", memory))
}

// UpdateGauges updates the gauges of what clients hold.
func (l *Limiter) UpdateGauges(scope tally.Scope) {
	pools := map[string]*budgeter.Pool{l.options.Name: l.pool}
	if l.taken != l.pool {
		pools[l.options.Taken] = l.taken
	}
	for name, pool := range pools {
		connections, memory := pool.Used()
		tagged := scope.Tagged(map[string]string{"listener": name})
		tagged.Gauge("client_connections").Update(float64(connections))
		tagged.Gauge("client_memory_bytes").Update(float64(memory))
	}
}

// Server returns a server for the limiter's connections. The caller may set its BaseContext.
func (l *Limiter) Server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: l.limitRequests(handler), ReadHeaderTimeout: l.limits.HeaderTimeout, MaxHeaderBytes: l.limits.MaxHeaderBytes,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, contextKey{}, c) },
		ConnState: func(c net.Conn, state http.ConnState) {
			switch accepted, isOurs := c.(*connection); {
			case !isOurs:
			case state == http.StateIdle:
				accepted.enter(budgeter.Idle)
			case state == http.StateHijacked:
				accepted.leaveHTTP()
			}
		},
	}
}

type contextKey struct{}

// Memory is what the requests of one connection may hold. The zero value admits everything.
type Memory struct {
	connection *connection
}

// MemoryOf returns the memory of the connection of a request, or one that admits everything if its server has no limits. It is
// valid after the connection has left HTTP, too.
func MemoryOf(ctx context.Context) Memory {
	c, _ := ctx.Value(contextKey{}).(*connection)
	return Memory{connection: c}
}

// Largest returns the most that one request has to count: half of the memory of its listener, so that it is served if there is
// no other.
func (m Memory) Largest() int64 {
	if m.connection == nil {
		return math.MaxInt64
	}
	return m.connection.lease.Load().Limits().Memory / 2
}

// Reserve reserves memory until Release, the response of an HTTP request or the end of the connection, or returns an error marked
// budgeter.ErrBusy.
func (m Memory) Reserve(bytes int64) error {
	if m.connection == nil {
		return nil
	}
	return m.connection.reserve(bytes)
}

// Release returns memory that was reserved.
func (m Memory) Release(bytes int64) {
	if m.connection != nil {
		m.connection.lease.Load().Release(bytes)
	}
}

// Reserve reserves memory for the request of ctx until its response is written, or returns an error marked budgeter.ErrBusy. A
// request that needs more than Largest counts with that.
func Reserve(ctx context.Context, bytes int64) error {
	m := MemoryOf(ctx)
	return m.Reserve(min(bytes, m.Largest()))
}

// Release returns memory that Reserve reserved, before the response is written.
func Release(ctx context.Context, bytes int64) {
	m := MemoryOf(ctx)
	m.Release(min(bytes, m.Largest()))
}
