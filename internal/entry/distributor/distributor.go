// Package distributor distributes requests to the advice service over all entry hosts. The service
// handles one request at a time per host, so requests through several hosts run in parallel.
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
	// advisorMu serializes this host's requests to the advisor.
	advisorMu sync.Mutex

	mu sync.Mutex
	// busy has the hosts with a request in flight, by name.
	busy map[string]bool
	// backoffUntil is when the backoff of each host that failed ends.
	backoffUntil map[string]time.Time
	// backoffs has the latest backoff of each host that has not succeeded since.
	backoffs map[string]time.Duration
	// queue has the requests that wait for a host, the shortest first.
	queue []*waiter
	// wakeAt is when a timer is due that assigns hosts to waiting requests, since a backoff ends
	// then; zero if none is set.
	wakeAt time.Time
}

// waiter is a request that waits for a host.
type waiter struct {
	request  orderer.AdviceRequest
	assigned chan journaler.Host
}

// New returns a Distributor and registers the handler for the requests of its peers.
func New(options Options) *Distributor {
	a := &Distributor{options: options, busy: make(map[string]bool), backoffUntil: make(map[string]time.Time), backoffs: make(map[string]time.Duration)}
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
	callCtx, cancel := context.WithTimeout(ctx, clamper.Add(serviceTime(request), replySlack))
	defer cancel()
	advice, err := a.adviseThrough(callCtx, host, request)
	if err != nil && ctx.Err() != nil {
		// The caller has gone, which says nothing about the host.
		a.free(host)
	} else {
		a.release(host, err == nil)
	}
	if err != nil {
		return advice, errors.Errorf("request advice through host %s: %w", host.Name, err)
	}
	return advice, nil
}

// serviceTime returns how long the service is expected to take for a request.
func serviceTime(request orderer.AdviceRequest) time.Duration {
	return clamper.Add(request.Terms.Decide, clamper.Scale(request.Terms.PerWorker, float64(len(request.Workers))))
}

// acquire waits for a free host. Requests with a short expected service time go first.
func (a *Distributor) acquire(ctx context.Context, request orderer.AdviceRequest) (journaler.Host, error) {
	w := &waiter{request: request, assigned: make(chan journaler.Host, 1)}
	a.mu.Lock()
	at, _ := slices.BinarySearchFunc(a.queue, serviceTime(request), func(o *waiter, c time.Duration) int {
		if serviceTime(o.request) <= c {
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
		a.busy[host.Name] = false
		a.assign()
	default:
	}
	return journaler.Host{}, errors.Errorf("wait for a free host to request advice: %w", ctx.Err())
}

// free marks a host as free.
func (a *Distributor) free(host journaler.Host) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.busy[host.Name] = false
	a.assign()
}

// release marks a host as free. If its request failed, it starts or doubles its backoff.
func (a *Distributor) release(host journaler.Host, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.busy[host.Name] = false
	if ok {
		delete(a.backoffs, host.Name)
	} else {
		backoff := min(max(2*a.backoffs[host.Name], minBackoff), maxBackoff)
		if host.Name == a.options.Self {
			backoff = selfBackoff
		}
		a.backoffs[host.Name] = backoff
		a.backoffUntil[host.Name] = a.options.Clock.Now().Add(backoff)
	}
	a.assign()
}

// assign gives free hosts to the requests at the head of the queue; the caller has the lock.
func (a *Distributor) assign() {
	for len(a.queue) > 0 {
		host, found := a.freeHost()
		if !found {
			a.scheduleAssign()
			return
		}
		w := a.queue[0]
		a.queue = a.queue[1:]
		a.busy[host.Name] = true
		w.assigned <- host
	}
}

// scheduleAssign calls assign when the next backoff ends. Without that, the requests would wait
// forever if all hosts are in backoff and no request is in flight. The caller has the lock.
func (a *Distributor) scheduleAssign() {
	now := a.options.Clock.Now()
	var next time.Time
	for _, h := range a.options.Hosts() {
		until := a.backoffUntil[h.Name]
		if !a.busy[h.Name] && until.After(now) && (next.IsZero() || until.Before(next)) {
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

// freeHost returns a host that is neither busy nor in backoff, preferably one in this data
// centre; the caller has the lock.
func (a *Distributor) freeHost() (journaler.Host, bool) {
	now := a.options.Clock.Now()
	var best journaler.Host
	for _, h := range a.options.Hosts() {
		if a.busy[h.Name] || now.Before(a.backoffUntil[h.Name]) {
			continue
		}
		if best.Name == "" || h.DataCentre == a.options.DataCentre && best.DataCentre != h.DataCentre {
			best = h
		}
	}
	return best, best.Name != ""
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
	a.advisorMu.Lock()
	defer a.advisorMu.Unlock()
	return a.options.Advisor.Advise(ctx, request)
}

func (a *Distributor) serveAdvise(ctx context.Context, _ messenger.Hello, request orderer.AdviceRequest) (orderer.Advice, error) {
	if len(request.Workers) > maxAdvised {
		return orderer.Advice{}, errors.Errorf("a request for advice names %d workers, over %d", len(request.Workers), maxAdvised)
	}
	callCtx, cancel := context.WithTimeout(ctx, min(clamper.Add(serviceTime(request), replySlack), maxServiceTime))
	defer cancel()
	return a.adviseLocally(callCtx, request)
}
