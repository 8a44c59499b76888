// Package prober probes the holder, which is the host whose claim in the log makes it the
// leader of the cell, and checks that it still holds that claim. The log shows a failed holder
// only after several missing heartbeats; a connection reset or an unanswered probe shows it
// sooner. A probe names the newest claim that its sender has read, which tells a holder that is cut off
// from the log of its successor.
//
// # Usage
//
//	p := prober.New(prober.Options{
//		Self: name, Messenger: peers, Clock: clock, Holder: holder, HostCount: countHosts, HeldEpoch: heldEpoch,
//		OnProbed: stepDown, OnProbeFailed: readClaims,
//	})
//	go p.Run(ctx)
//	view := p.View()
//	p.InformFormer(state, formerClaim)
//	hasEnded := p.AwaitEnd(ctx, formerHolder, epoch)
package prober

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/node/pauser"
	"lentilrock.example/internal/peer/messenger"
)

const (
	// heldEpochKind is the message kind of the request for the epoch of the claim that a host holds.
	heldEpochKind = "held"
	// probeInterval separates probes. It grows by perHostInterval for each host of the cell, since
	// all of them probe the holder.
	probeInterval   = 250 * time.Millisecond
	perHostInterval = 2 * time.Millisecond
	// retryInterval separates probes after a failed one.
	retryInterval = 100 * time.Millisecond
	// replyTimeout bounds a probe. It covers several round trips between regions and the delay on
	// a busy host.
	replyTimeout = 350 * time.Millisecond
	// maxInformAttempts and informInterval bound the attempts to tell a former holder of a later claim. A
	// former holder that can be reached at all hears of it well before its leases end.
	maxInformAttempts = 5
	informInterval    = 400 * time.Millisecond
)

// probe is the request of a probe.
type probe struct {
	// Epoch is the epoch of the newest claim that the sender has read; 0 if it is unknown.
	Epoch int64 `cbor:"1,keyasint,omitempty"`
}

// Options configure a Prober.
type Options struct {
	// Self is this host's name.
	Self string
	// Messenger calls the peers; nil means that there are none.
	Messenger *messenger.Messenger
	Clock     clockwork.Clock
	// Holder returns the holder and the epoch of its claim; false if that is this host
	// or no host.
	Holder func() (journaler.Host, int64, bool)
	// HostCount returns the number of entry hosts in the cell.
	HostCount func() int
	// HeldEpoch returns the epoch of the claim that this host holds, or 0 if it holds none or can't
	// persist records under it.
	HeldEpoch func() int64
	// OnProbed is called before the reply to each probe, with the peer's name and the epoch of the newest
	// claim that it has read, 0 if that is unknown; may be nil.
	OnProbed func(peer string, epoch int64)
	// OnProbeFailed is called after each failed probe: the holder did not reply, or replied that it no
	// longer holds the claim or can't persist records under it.
	OnProbeFailed func()
}

// errNotHolder means that the host replied and no longer holds the claim, or can't persist records
// under it.
var errNotHolder = errors.New("the claim is no longer held")

// View has the results of the probes of one holder.
type View struct {
	// Epoch is the epoch of the claim that was probed.
	Epoch int64
	// AnsweredAt is when the holder last replied that it holds the claim; zero before that.
	AnsweredAt time.Time
	// FailingSince is the start of the first failed probe since the last successful one; zero
	// if the last probe succeeded.
	FailingSince time.Time
	// IsUnresponsive reports that the last probe got no reply, so the holder may have failed.
	IsUnresponsive bool
}

// Prober probes the holder.
type Prober struct {
	options Options

	mu   sync.Mutex
	view View
}

// New returns a Prober and registers the handler for the probes of its peers.
func New(options Options) *Prober {
	p := &Prober{options: options}
	if options.Messenger != nil {
		messenger.Handle(options.Messenger, heldEpochKind, func(_ context.Context, from messenger.Hello, request probe) (int64, error) {
			if options.OnProbed != nil {
				options.OnProbed(from.Host.Name, request.Epoch)
			}
			return options.HeldEpoch(), nil
		})
	}
	return p
}

// View returns the results of the probes so far.
func (p *Prober) View() View {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view
}

// Run probes the holder until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	if p.options.Messenger == nil {
		return
	}
	for ctx.Err() == nil {
		pause := probeInterval + time.Duration(p.options.HostCount())*perHostInterval
		if holder, epoch, found := p.options.Holder(); found {
			startedAt := p.options.Clock.Now()
			err := p.probe(ctx, holder, epoch)
			p.record(epoch, startedAt, err)
			if err != nil {
				pause = retryInterval
				p.options.OnProbeFailed()
			}
		}
		pauser.Pause(ctx, p.options.Clock, pause)
	}
}

// InformFormer tells the holder of a former claim of the one in force, without waiting for it, unless it
// released its claim, is this host, or has the claim in
// force itself. It has read the state when it returns.
func (p *Prober) InformFormer(state *journaler.State, former journaler.Claim) {
	host, found := state.Hosts[former.Host]
	if !found || former.Released || former.Host == p.options.Self || former.Host == state.Claim.Host {
		return
	}
	go p.Inform(context.Background(), host, state.Claim.Epoch)
}

// Inform tells a former holder of a claim with a later epoch, as it may not be able to read the log. It
// returns once the host has replied, or after a few attempts.
func (p *Prober) Inform(ctx context.Context, former journaler.Host, epoch int64) {
	if p.options.Messenger == nil {
		return
	}
	for range maxInformAttempts {
		if err := p.probe(ctx, former, epoch); err == nil || errors.Is(err, errNotHolder) {
			return
		}
		pauser.Pause(ctx, p.options.Clock, informInterval)
	}
}

// AwaitEnd returns true once a process at the address of a former holder has replied that it does not hold a claim of the given epoch
// or a later one, and false if ctx ends before. That process is the former holder, which has stepped down before it
// replied, or one that was started since.
func (p *Prober) AwaitEnd(ctx context.Context, former journaler.Host, epoch int64) bool {
	for p.options.Messenger != nil && ctx.Err() == nil {
		if err := p.probe(ctx, former, epoch); errors.Is(err, errNotHolder) {
			return true
		}
		pauser.Pause(ctx, p.options.Clock, informInterval)
	}
	return false
}

// probe checks that a host holds the claim of an epoch or a later one.
func (p *Prober) probe(ctx context.Context, holder journaler.Host, epoch int64) error {
	address, err := netip.ParseAddrPort(holder.Address)
	if err != nil {
		return errors.Errorf("parse address of host %s: %w", holder.Name, err)
	}
	callCtx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	held, err := messenger.Call[probe, int64](callCtx, p.options.Messenger, address, heldEpochKind, probe{Epoch: epoch})
	if err != nil {
		return errors.Errorf("probe host %s: %w", holder.Name, err)
	}
	if held < epoch {
		return errors.Wrapf(errNotHolder, "host %s", holder.Name)
	}
	return nil
}

// record applies the result of a probe that started at startedAt.
func (p *Prober) record(epoch int64, startedAt time.Time, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.view.Epoch != epoch {
		p.view = View{Epoch: epoch}
	}
	p.view.IsUnresponsive = err != nil && !errors.Is(err, errNotHolder)
	switch {
	case err == nil:
		p.view.AnsweredAt, p.view.FailingSince = p.options.Clock.Now(), time.Time{}
	case p.view.FailingSince.IsZero():
		p.view.FailingSince = startedAt
	}
}
