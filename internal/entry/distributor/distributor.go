// Package distributor distributes requests to the advice service over all entry hosts. The service
// handles one request at a time per host, so requests through several hosts run in parallel. Short requests are
// pipelined: a host gets the next ones while the service works on one, as the way to it and back takes longer.
//
// # Usage
//
//	a := distributor.New(distributor.Options{Self: name, Advisor: service, Messenger: peers, Hosts: hosts, Clock: clock})
//	advice, err := a.Advise(ctx, request)
package distributor

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"lentilrock.example/internal/container/clamper"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/peer/messenger"
)

const (
	// adviseKind is the message kind of the call by which a peer sends a request on behalf of
	// the holder.
	adviseKind = "advise"
	// maxAdvised bounds the workers in a request of a peer; the service takes no more.
	maxAdvised = 100
	// maxServiceTime bounds a request of a peer. Those of other callers wait meanwhile.
	maxServiceTime = 10 * time.Second
	// replySlack is how much longer than the expected service time a request may take. It covers
	// round trips between regions and delays on a busy host.
	replySlack = 500 * time.Millisecond
	// minBackoff is how long a host gets no requests after one failed. The backoff doubles with
	// each further failure, as hosts that have gone stay on the list for a while.
	minBackoff = 3 * time.Second
	// maxBackoff bounds the backoff.
	maxBackoff = 24 * time.Second
	// maxPassed is how long a long request waits while short ones pass it. Then a host gets no more short ones until it has
	// taken the long one.
	maxPassed = time.Second
	// selfBackoff is the backoff of this host, which has not gone: its requests fail while it can't
	// reach the service.
	selfBackoff = 250 * time.Millisecond
)

// Advisor is the advice service, which decides which workers may run a step.
type Advisor interface {
	Advise(ctx context.Context, request orderer.AdviceRequest) (orderer.Advice, error)
}

// Options configure a Distributor.
type Options struct {
	// Self is this host's name.
	Self       string
	DataCentre string
	Advisor    Advisor
	// Messenger calls the peers; nil means that there are none.
	Messenger *messenger.Messenger
	// Hosts returns the entry hosts, including this one.
	Hosts func() []journaler.Host
	Clock clockwork.Clock
}

// Distributor distributes advice requests over the entry hosts.
type Distributor struct {
	options Options

	mu sync.Mutex
	// load is what each host has in flight, by name.
	load map[string]load
	// backoffUntil is when the backoff of each host that failed ends.
	backoffUntil map[string]time.Time
	// backoffs has the latest backoff of each host that has not succeeded since.
	backoffs map[string]time.Duration
	// queue has the requests that wait for a host, the shortest first.
	queue []*waiter
	// held is the name of the host that gets no short requests, so that a long one that has waited for maxPassed gets it.
	held string
	// wakeAt is when a timer is due that assigns hosts to waiting requests, since a backoff ends
	// then; zero if none is set.
	wakeAt time.Time
}

// load is what a host has in flight: a number of short requests, or a long one.
type load struct {
	short   int
	hasLong bool
}

// accepts reports whether a host with this load may get a request.
func (l load) accepts(isShort bool) bool {
	return !l.hasLong && (l.short == 0 || isShort && l.short < orderer.MaxPipelined)
}

// waiter is a request that waits for a host.
type waiter struct {
	request  orderer.AdviceRequest
	since    time.Time
	assigned chan journaler.Host
}

// New returns a Distributor and registers the handler for the requests of its peers.
func New(options Options) *Distributor {
	a := &Distributor{options: options, load: make(map[string]load), backoffUntil: make(map[string]time.Time), backoffs: make(map[string]time.Duration)}
	if options.Messenger != nil {
		messenger.Handle(options.Messenger, adviseKind, a.serveAdvise)
	}
	return a
}

// Advise sends a request through a free host and returns the advice. Requests with a short
// expected service time go first. Errors wrap those of ctx, of the advisor or of the messenger.
func (a *Distributor) Advise(ctx context.Context, request orderer.AdviceRequest) (orderer.Advice, error) {
	host, err := a.acquire(ctx, request)
	if err != nil {
		return orderer.Advice{}, err
	}
	callCtx, cancel := context.WithTimeout(ctx, clamper.Add(request.ServiceTime(), replySlack))
	defer cancel()
	advice, err := a.adviseThrough(callCtx, host, request)
	if err != nil && ctx.Err() != nil {
		// The caller has gone, which says nothing about the host.
		a.free(host, request)
	} else {
		a.release(host, request, err == nil)
	}
	if err != nil {
		return advice, errors.Errorf("request advice through host %s: %w", host.Name, err)
	}
	return advice, nil
}

// acquire waits for a free host. Requests with a short expected service time go first.
func (a *Distributor) acquire(ctx context.Context, request orderer.AdviceRequest) (journaler.Host, error) {
	w := &waiter{request: request, since: a.options.Clock.Now(), assigned: make(chan journaler.Host, 1)}
	a.mu.Lock()
	at, _ := slices.BinarySearchFunc(a.queue, request.ServiceTime(), func(o *waiter, c time.Duration) int {
		if o.request.ServiceTime() <= c {
			return -1
		}
		return 1
	})
	a.queue = slices.Insert(a.queue, at, w)
	a.assign()
	a.mu.Unlock()
	select {
	case host := <-w.assigned:
		return host, nil
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue = slices.DeleteFunc(a.queue, func(o *waiter) bool { return o == w })
	select {
	case host := <-w.assigned:
		a.removeLoad(host, request)
		a.assign()
	default:
	}
	return journaler.Host{}, errors.Errorf("wait for a free host to request advice: %w", ctx.Err())
}

// addLoad records that a host has a request in flight; the caller has the lock.
func (a *Distributor) addLoad(host journaler.Host, request orderer.AdviceRequest) {
	l := a.load[host.Name]
	if request.IsShort() {
		l.short++
	} else {
		l.hasLong = true
	}
	a.load[host.Name] = l
}

// removeLoad records that a host no longer has a request in flight; the caller has the lock.
func (a *Distributor) removeLoad(host journaler.Host, request orderer.AdviceRequest) {
	l := a.load[host.Name]
	if request.IsShort() {
		l.short = max(l.short-1, 0)
	} else {
		l.hasLong = false
	}
	a.load[host.Name] = l
	if l == (load{}) {
		delete(a.load, host.Name)
	}
}

// free records that the request of a host has ended, which says nothing about the host.
func (a *Distributor) free(host journaler.Host, request orderer.AdviceRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.removeLoad(host, request)
	a.assign()
}

// release records that the request of a host has ended. If it failed, the host starts or doubles its backoff.
func (a *Distributor) release(host journaler.Host, request orderer.AdviceRequest, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.removeLoad(host, request)
	now := a.options.Clock.Now()
	switch {
	case ok:
		delete(a.backoffs, host.Name)
	case now.Before(a.backoffUntil[host.Name]):
		// Another request that was in flight with this one has failed, too, which is no further failure.
	default:
		backoff := min(max(2*a.backoffs[host.Name], minBackoff), maxBackoff)
		if host.Name == a.options.Self {
			backoff = selfBackoff
		}
		a.backoffs[host.Name] = backoff
		a.backoffUntil[host.Name] = now.Add(backoff)
	}
	a.assign()
}

// assign gives free hosts to the requests at the head of the queue; the caller has the lock.
func (a *Distributor) assign() {
	a.assignOverdue()
	for len(a.queue) > 0 {
		w := a.queue[0]
		host, found := a.freeHost(w.request.IsShort())
		if !found {
			a.scheduleAssign()
			return
		}
		a.queue = a.queue[1:]
		a.addLoad(host, w.request)
		w.assigned <- host
	}
}

// assignOverdue gives the long request that has waited for maxPassed a host once that has nothing in flight; the caller has the
// lock.
func (a *Distributor) assignOverdue() {
	a.held = ""
	now := a.options.Clock.Now()
	i := slices.IndexFunc(a.queue, func(w *waiter) bool { return !w.request.IsShort() && now.Sub(w.since) >= maxPassed })
	if i < 0 {
		return
	}
	host, found := a.freeHost(true)
	if !found {
		return
	}
	if a.load[host.Name] != (load{}) {
		a.held = host.Name
		return
	}
	w := a.queue[i]
	a.queue = slices.Delete(a.queue, i, i+1)
	a.addLoad(host, w.request)
	w.assigned <- host
}

// scheduleAssign calls assign when the next backoff ends. Without that, the requests would wait
// forever if all hosts are in backoff and no request is in flight. The caller has the lock.
func (a *Distributor) scheduleAssign() {
	now := a.options.Clock.Now()
	var next time.Time
	for _, h := range a.options.Hosts() {
		until := a.backoffUntil[h.Name]
		if a.load[h.Name] == (load{}) && until.After(now) && (next.IsZero() || until.Before(next)) {
			next = until
		}
	}
	if next.IsZero() {
		// A request in flight ends, or Hosts is empty until the announcements of the hosts are read.
		next = now.Add(selfBackoff)
	}
	if a.wakeAt.After(now) && !next.Before(a.wakeAt) {
		return
	}
	a.wakeAt = next
	a.options.Clock.AfterFunc(next.Sub(now), func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.assign()
	})
}

// freeHost returns a host that accepts a request and is not in backoff, the one with the fewest in flight and preferably
// in this data centre; the caller has the lock.
func (a *Distributor) freeHost(isShort bool) (journaler.Host, bool) {
	now := a.options.Clock.Now()
	var best journaler.Host
	for _, h := range a.options.Hosts() {
		if !a.load[h.Name].accepts(isShort) || h.Name == a.held || now.Before(a.backoffUntil[h.Name]) {
			continue
		}
		if best.Name == "" || a.isBefore(h, best) {
			best = h
		}
	}
	return best, best.Name != ""
}

// isBefore reports whether a host gets a request rather than another; the caller has the lock.
func (a *Distributor) isBefore(h, o journaler.Host) bool {
	if n, m := a.load[h.Name].short, a.load[o.Name].short; n != m {
		return n < m
	}
	return h.DataCentre == a.options.DataCentre && o.DataCentre != h.DataCentre
}

func (a *Distributor) adviseThrough(ctx context.Context, host journaler.Host, request orderer.AdviceRequest) (orderer.Advice, error) {
	if host.Name == a.options.Self {
		return a.adviseLocally(ctx, request)
	}
	address, err := netip.ParseAddrPort(host.Address)
	if err != nil {
		return orderer.Advice{}, errors.Errorf("parse its address: %w", err)
	}
	return messenger.Call[orderer.AdviceRequest, orderer.Advice](ctx, a.options.Messenger, address, adviseKind, request)
}

func (a *Distributor) adviseLocally(ctx context.Context, request orderer.AdviceRequest) (orderer.Advice, error) {
	return a.options.Advisor.Advise(ctx, request)
}

func (a *Distributor) serveAdvise(ctx context.Context, _ messenger.Hello, request orderer.AdviceRequest) (orderer.Advice, error) {
	if len(request.Workers) > maxAdvised {
		return orderer.Advice{}, errors.Errorf("a request for advice names %d workers, over %d", len(request.Workers), maxAdvised)
	}
	callCtx, cancel := context.WithTimeout(ctx, min(clamper.Add(request.ServiceTime(), replySlack), maxServiceTime))
	defer cancel()
	return a.adviseLocally(callCtx, request)
}
