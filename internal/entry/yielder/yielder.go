// Package yielder finds out whether a larger host could hold the cell in this host's place.
// The holder's work grows with the cell, so it belongs on one of the largest hosts.
//
// # Usage
//
//	y := yielder.New(yielder.Options{Self: name, Cores: cores, Messenger: peers, Hosts: hosts, IsReady: ready})
//	if y.HasLarger(ctx) {
//		// release the claim
//	}
package yielder

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/peer/messenger"
)

const (
	// readyKind names the call that asks whether a host is ready.
	readyKind = "ready"
	// smallShare of the largest host's processor makes a host a small one; hosts within it
	// are worth no handover, which costs a round of looks.
	smallShare = 0.75
	// callTimeout bounds a question: two round trips between regions and a busy host fit in.
	callTimeout = 500 * time.Millisecond
	// maxAsked bounds the hosts that are asked in a row.
	maxAsked = 3
)

// Options are what a yielder is made from.
type Options struct {
	// Self is this host's name.
	Self string
	// Cores is this host's share of a processor.
	Cores float64
	// Messenger reaches the peers; nil means that there are none.
	Messenger *messenger.Messenger
	Hosts     func() []journaler.Host
	// IsReady reports whether this host could take the cell up.
	IsReady func() bool
}

// Yielder compares this host with its peers.
type Yielder struct {
	options Options
}

// New returns a yielder that answers its peers.
func New(options Options) *Yielder {
	y := &Yielder{options: options}
	if options.Messenger != nil {
		messenger.Handle(options.Messenger, readyKind, y.answer)
	}
	return y
}

// IsSmall reports whether one of the hosts is considerably larger than one of so many cores.
func IsSmall(cores float64, hosts []journaler.Host) bool {
	return slices.ContainsFunc(hosts, func(h journaler.Host) bool { return isLarger(h, cores) })
}

func isLarger(h journaler.Host, cores float64) bool { return smallShare*h.Cores > cores }

// larger returns the hosts that are considerably larger, the largest first.
func (y *Yielder) larger() []journaler.Host {
	hosts := slices.DeleteFunc(y.options.Hosts(), func(h journaler.Host) bool { return !isLarger(h, y.options.Cores) })
	slices.SortStableFunc(hosts, func(a, b journaler.Host) int { return cmp.Compare(b.Cores, a.Cores) })
	return hosts
}

// HasLarger reports whether one of the larger hosts says that it is ready.
func (y *Yielder) HasLarger(ctx context.Context) bool {
	if y.options.Messenger == nil {
		return false
	}
	hosts := y.larger()
	for _, h := range hosts[:min(len(hosts), maxAsked)] {
		address, err := netip.ParseAddrPort(h.Address)
		if err != nil {
			continue
		}
		calling, cancel := context.WithTimeout(ctx, callTimeout)
		isReady, err := messenger.Call[string, bool](calling, y.options.Messenger, address, readyKind, y.options.Self)
		cancel()
		// A host that can't be asked can't be relied on to take the cell up.
		if err == nil && isReady {
			return true
		}
	}
	return false
}

func (y *Yielder) answer(context.Context, messenger.Hello, string) (bool, error) {
	return y.options.IsReady(), nil
}
