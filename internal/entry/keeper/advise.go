package keeper

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"lentilrock.example/internal/peer/messenger"
	"lentilrock.example/internal/work/dispatcher"
	"lentilrock.example/internal/work/journaler"
	"lentilrock.example/internal/work/orderer"
)

const (
	// adviseKind names the call by which a peer asks for advice in the holder's place.
	adviseKind = "advise"
	// adviseSlack is how much longer than its terms say a question may take.
	adviseSlack = 1200 * time.Millisecond
	// lanePause keeps questions away from a host that did not answer.
	lanePause = 3 * time.Second
)

// lanes spreads questions for advice over the entry hosts, since the service answers one
// question at a time for each host.
type lanes struct {
	keeper *Keeper
	// asking lets this host ask one question at a time.
	asking sync.Mutex

	mu      sync.Mutex
	busy    map[string]bool
	badTill map[string]time.Time
	waiting []*question
}

// question is an order to ask that waits for a lane.
type question struct {
	asked orderer.Advise
	ready chan journaler.Host
}

func newLanes(k *Keeper) *lanes {
	return &lanes{keeper: k, busy: make(map[string]bool), badTill: make(map[string]time.Time)}
}

// cost returns how long the service takes for a question.
func cost(q orderer.Advise) time.Duration {
	return q.Terms.Decide + time.Duration(len(q.Workers))*q.Terms.PerWorker
}

// acquire waits for a host that is free to ask. Short questions go first.
func (l *lanes) acquire(ctx context.Context, asked orderer.Advise) (journaler.Host, error) {
	q := &question{asked: asked, ready: make(chan journaler.Host, 1)}
	l.mu.Lock()
	at, _ := slices.BinarySearchFunc(l.waiting, cost(asked), func(o *question, c time.Duration) int {
		if cost(o.asked) <= c {
			return -1
		}
		return 1
	})
	l.waiting = slices.Insert(l.waiting, at, q)
	l.assign()
	l.mu.Unlock()
	select {
	case host := <-q.ready:
		return host, nil
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting = slices.DeleteFunc(l.waiting, func(o *question) bool { return o == q })
	select {
	case host := <-q.ready:
		l.busy[host.Name] = false
	default:
	}
	return journaler.Host{}, errors.Errorf("wait for a host to ask: %w", ctx.Err())
}

// release gives a host's lane back.
func (l *lanes) release(host journaler.Host, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.busy[host.Name] = false
	if !ok {
		l.badTill[host.Name] = l.keeper.now().Add(lanePause)
	}
	l.assign()
}

// assign gives free hosts to the questions that wait.
func (l *lanes) assign() {
	for len(l.waiting) > 0 {
		host, found := l.free()
		if !found {
			return
		}
		q := l.waiting[0]
		l.waiting = l.waiting[1:]
		l.busy[host.Name] = true
		q.ready <- host
	}
}

// free returns a host that asks nothing now: one of this data centre before the others.
func (l *lanes) free() (journaler.Host, bool) {
	now := l.keeper.now()
	var best journaler.Host
	for _, h := range l.keeper.hosts() {
		if l.busy[h.Name] || now.Before(l.badTill[h.Name]) {
			continue
		}
		if best.Name == "" || h.DataCentre == l.keeper.options.DataCentre && best.DataCentre != h.DataCentre {
			best = h
		}
	}
	return best, best.Name != ""
}

// hosts returns the entry hosts by name.
func (k *Keeper) hosts() []journaler.Host {
	k.mu.Lock()
	defer k.mu.Unlock()
	hosts := make([]journaler.Host, 0, len(k.state.Hosts))
	for _, h := range k.state.Hosts {
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(a, b journaler.Host) int { return strings.Compare(a.Name, b.Name) })
	return hosts
}

// advise asks a question through a free host and reports the answer.
func (h *holder) advise(ctx context.Context, asked orderer.Advise) {
	k := h.keeper
	asking, cancel := context.WithTimeout(ctx, 2*cost(asked)+adviseSlack)
	defer cancel()
	var answer orderer.Advice
	host, err := k.lanes.acquire(asking, asked)
	sentAt := k.now()
	if err == nil {
		answer, err = k.ask(asking, host, asked)
		k.lanes.release(host, err == nil)
	}
	if err != nil && ctx.Err() == nil {
		k.options.Logger.Warn("advice: No answer.", zap.String("step", asked.Step.String()), zap.String("through", host.Name), zap.String("error", err.Error()))
	}
	h.with(func(now time.Time, d *dispatcher.Dispatcher) { d.Advised(now, asked, sentAt, answer, err == nil) })
	h.kick()
}

func (k *Keeper) ask(ctx context.Context, host journaler.Host, asked orderer.Advise) (orderer.Advice, error) {
	if host.Name == k.options.Name {
		return k.adviseHere(ctx, asked)
	}
	address, err := netip.ParseAddrPort(host.Address)
	if err != nil {
		return orderer.Advice{}, errors.Errorf("address of host %s: %w", host.Name, err)
	}
	return messenger.Call[orderer.Advise, orderer.Advice](ctx, k.options.Messenger, address, adviseKind, asked)
}

func (k *Keeper) adviseHere(ctx context.Context, asked orderer.Advise) (orderer.Advice, error) {
	k.lanes.asking.Lock()
	defer k.lanes.asking.Unlock()
	return k.options.Advisor.Advise(ctx, asked)
}

func (k *Keeper) adviseForPeer(ctx context.Context, _ messenger.Hello, asked orderer.Advise) (orderer.Advice, error) {
	asking, cancel := context.WithTimeout(ctx, cost(asked)+adviseSlack)
	defer cancel()
	return k.adviseHere(asking, asked)
}
