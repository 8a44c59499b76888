// Package resigner finds out whether a larger host is ready to replace this host as the holder,
// which is the host whose claim makes it the leader of the cell. The holder's load grows with
// the cell, so one of the largest hosts should hold the claim.
//
// # Usage
//
//	y := resigner.New(resigner.Options{
//		Self: name, Cores: cores, Messenger: peers, Hosts: hosts, IsReady: ready, Clock: clock, IsHolder: isHolder, Release: release,
//	})
//	go y.Run(ctx)
package resigner

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/node/pauser"
	"lentilrock.example/internal/peer/messenger"
)

const (
	// readyKind is the message kind of the request whether a host is ready to become the holder.
	readyKind = "ready"
	// smallRatio is the share of a larger host's cores below which a host counts as small. For a
	// smaller difference a handover is not worth its cost: the new holder polls all workers.
	smallRatio = 0.75
	// callTimeout bounds a call to a host. It covers two round trips between regions and the
	// delay on a busy host.
	callTimeout = 500 * time.Millisecond
	// checkInterval is how often a holder checks for a larger host.
	checkInterval = 3 * time.Second
	// maxCandidates bounds the hosts that HasLargerReadyHost calls one after the other.
	maxCandidates = 3
)

// Options configure a Resigner.
type Options struct {
	// Self is this host's name.
	Self string
	// Cores is the host's processor share in cores, weighted by processor speed; it may be below 1.
	Cores float64
	// Messenger calls the peers; nil means that there are none.
	Messenger *messenger.Messenger
	Hosts     func() []journaler.Host
	// IsReady reports whether this host is ready to become the holder.
	IsReady func() bool
	Clock   clockwork.Clock
	// IsHolder reports whether this host holds the claim, and Release releases it.
	IsHolder func() bool
	Release  func(ctx context.Context, reason string)
}

// Resigner compares the size of this host with those of its peers.
type Resigner struct {
	options Options
}

// New returns a Resigner and registers the handler for the calls of its peers.
func New(options Options) *Resigner {
	y := &Resigner{options: options}
	if options.Messenger != nil {
		messenger.Handle(options.Messenger, readyKind, y.serveReady)
	}
	return y
}

// Run releases the claim of this host whenever a considerably larger host is ready to take over, until
// ctx ends.
func (y *Resigner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pauser.Pause(ctx, y.options.Clock, checkInterval)
		if y.options.IsHolder() && y.HasLargerReadyHost(ctx) {
			y.options.Release(ctx, "A larger host is ready to hold the cell.")
		}
	}
}

// IsSmall reports whether a host with this number of cores is small, which means that it has
// less than smallRatio of the cores of one of the hosts.
func IsSmall(cores float64, hosts []journaler.Host) bool {
	return slices.ContainsFunc(hosts, func(h journaler.Host) bool { return isLarger(h, cores) })
}

// isLarger reports whether a host is so much larger that one with this number of cores is small.
func isLarger(h journaler.Host, cores float64) bool { return smallRatio*h.Cores > cores }

// larger returns the hosts next to which this host is small, the largest first.
func (y *Resigner) larger() []journaler.Host {
	hosts := slices.DeleteFunc(y.options.Hosts(), func(h journaler.Host) bool { return !isLarger(h, y.options.Cores) })
	slices.SortStableFunc(hosts, func(a, b journaler.Host) int { return cmp.Compare(b.Cores, a.Cores) })
	return hosts
}

// HasLargerReadyHost reports whether one of the larger hosts replies that it is ready to become the
// holder. It calls at most maxCandidates of them and gives each callTimeout to reply.
func (y *Resigner) HasLargerReadyHost(ctx context.Context) bool {
	if y.options.Messenger == nil {
		return false
	}
	hosts := y.larger()
	for _, h := range hosts[:min(len(hosts), maxCandidates)] {
		address, err := netip.ParseAddrPort(h.Address)
		if err != nil {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		isReady, err := messenger.Call[string, bool](callCtx, y.options.Messenger, address, readyKind, y.options.Self)
		cancel()
		// A host that can't be called may not be able to become the holder either.
		if err == nil && isReady {
			return true
		}
	}
	return false
}

func (y *Resigner) serveReady(context.Context, messenger.Hello, string) (bool, error) {
	return y.options.IsReady(), nil
}
