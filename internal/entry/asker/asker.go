// Package asker asks the advice service through all entry hosts, since it answers one
// question at a time for each host.
//
// # Usage
//
//	a := asker.New(asker.Options{Self: name, Advisor: service, Messenger: peers, Hosts: hosts, Clock: clock})
//	answer, err := a.Ask(ctx, question)
package asker

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/peer/messenger"
)

const (
	// callKind names the call by which a peer asks in the holder's place.
	callKind = "advise"
	// answerSlack is how much longer than its terms say a question may take: the ways between
	// regions, and what a busy host takes.
	answerSlack = 500 * time.Millisecond
	// hostPause keeps questions away from a host that did not answer. It doubles with each
	// that follows, as hosts that are gone stay known for a while.
	hostPause = 3 * time.Second
	// maxHostPause bounds the doubling.
	maxHostPause = 24 * time.Second
)

// Advisor says which workers may run a step.
type Advisor interface {
	Advise(ctx context.Context, question orderer.Advise) (orderer.Advice, error)
}

// Options are what an asker is made from.
type Options struct {
	// Self is this host's name.
	Self       string
	DataCentre string
	Advisor    Advisor
	// Messenger reaches the peers; nil means that this host asks alone.
	Messenger *messenger.Messenger
	// Hosts returns the entry hosts, this one included.
	Hosts func() []journaler.Host
	Clock clockwork.Clock
}

// Asker spreads questions over the hosts.
type Asker struct {
	options Options
	// asking lets this host ask one question at a time.
	asking sync.Mutex

	mu      sync.Mutex
	busy    map[string]bool
	badTill map[string]time.Time
	// pauses has the last pause of each host that did not answer since.
	pauses  map[string]time.Duration
	waiting []*question
}

// question is a question that waits for a host.
type question struct {
	asked orderer.Advise
	ready chan journaler.Host
}

// New returns an asker, which also serves the questions of its peers.
func New(options Options) *Asker {
	a := &Asker{options: options, busy: make(map[string]bool), badTill: make(map[string]time.Time), pauses: make(map[string]time.Duration)}
	if options.Messenger != nil {
		messenger.Handle(options.Messenger, callKind, a.askForPeer)
	}
	return a
}

// Ask asks a question through a host that is free. Short questions go first.
func (a *Asker) Ask(ctx context.Context, asked orderer.Advise) (orderer.Advice, error) {
	host, err := a.acquire(ctx, asked)
	if err != nil {
		return orderer.Advice{}, err
	}
	asking, cancel := context.WithTimeout(ctx, cost(asked)+answerSlack)
	defer cancel()
	answer, err := a.through(asking, host, asked)
	a.release(host, err == nil)
	if err != nil {
		return answer, errors.Errorf("ask through host %s: %w", host.Name, err)
	}
	return answer, nil
}

// cost returns how long the service takes for a question.
func cost(q orderer.Advise) time.Duration {
	return q.Terms.Decide + time.Duration(len(q.Workers))*q.Terms.PerWorker
}

// acquire waits for a host that is free to ask. Short questions go first.
func (a *Asker) acquire(ctx context.Context, asked orderer.Advise) (journaler.Host, error) {
	q := &question{asked: asked, ready: make(chan journaler.Host, 1)}
	a.mu.Lock()
	at, _ := slices.BinarySearchFunc(a.waiting, cost(asked), func(o *question, c time.Duration) int {
		if cost(o.asked) <= c {
			return -1
		}
		return 1
	})
	a.waiting = slices.Insert(a.waiting, at, q)
	a.assign()
	a.mu.Unlock()
	select {
	case host := <-q.ready:
		return host, nil
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting = slices.DeleteFunc(a.waiting, func(o *question) bool { return o == q })
	select {
	case host := <-q.ready:
		a.busy[host.Name] = false
		a.assign()
	default:
	}
	return journaler.Host{}, errors.Errorf("wait for a host to ask: %w", ctx.Err())
}

// release gives a host back.
func (a *Asker) release(host journaler.Host, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.busy[host.Name] = false
	if ok {
		delete(a.pauses, host.Name)
	} else {
		pause := min(max(2*a.pauses[host.Name], hostPause), maxHostPause)
		a.pauses[host.Name] = pause
		a.badTill[host.Name] = a.options.Clock.Now().Add(pause)
	}
	a.assign()
}

// assign gives free hosts to the questions that wait.
func (a *Asker) assign() {
	for len(a.waiting) > 0 {
		host, found := a.free()
		if !found {
			return
		}
		q := a.waiting[0]
		a.waiting = a.waiting[1:]
		a.busy[host.Name] = true
		q.ready <- host
	}
}

// free returns a host that asks nothing now: one of this data centre before the others.
func (a *Asker) free() (journaler.Host, bool) {
	now := a.options.Clock.Now()
	var best journaler.Host
	for _, h := range a.options.Hosts() {
		if a.busy[h.Name] || now.Before(a.badTill[h.Name]) {
			continue
		}
		if best.Name == "" || h.DataCentre == a.options.DataCentre && best.DataCentre != h.DataCentre {
			best = h
		}
	}
	return best, best.Name != ""
}

func (a *Asker) through(ctx context.Context, host journaler.Host, asked orderer.Advise) (orderer.Advice, error) {
	if host.Name == a.options.Self {
		return a.askHere(ctx, asked)
	}
	address, err := netip.ParseAddrPort(host.Address)
	if err != nil {
		return orderer.Advice{}, errors.Errorf("read its address: %w", err)
	}
	return messenger.Call[orderer.Advise, orderer.Advice](ctx, a.options.Messenger, address, callKind, asked)
}

func (a *Asker) askHere(ctx context.Context, asked orderer.Advise) (orderer.Advice, error) {
	a.asking.Lock()
	defer a.asking.Unlock()
	return a.options.Advisor.Advise(ctx, asked)
}

func (a *Asker) askForPeer(ctx context.Context, _ messenger.Hello, asked orderer.Advise) (orderer.Advice, error) {
	asking, cancel := context.WithTimeout(ctx, cost(asked)+answerSlack)
	defer cancel()
	return a.askHere(asking, asked)
}
