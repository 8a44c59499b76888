// Package forwarder has peers do what a host that is cut off from the store can't: keep
// records and answer for jobs.
//
// # Usage
//
//	f := forwarder.New(forwarder.Options{Self: name, Messenger: peers, Hosts: hosts, Keep: keep, Status: status})
//	err := f.Keep(ctx, record)
//	state, err := f.Status(ctx, id)
package forwarder

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/peer/messenger"
)

const (
	// keepKind and statusKind name the calls.
	keepKind   = "keep"
	statusKind = "status"
	glanceKind = "glance"
	// maxPeers bounds the peers that are tried for a call.
	maxPeers = 3
	// holderTimeout bounds a question about a job to the holder, which the host's own view can
	// answer nearly as well.
	holderTimeout = 300 * time.Millisecond
	// callTimeout bounds a call to one peer.
	callTimeout = 800 * time.Millisecond
	// gatherTimeout bounds a call to the holder, which gathers the records of all hosts: two
	// appends at a slow store and the way there fit in.
	gatherTimeout = 2300 * time.Millisecond
)

// ErrNoHolder means that no other host holds the cell, or that it can't be reached.
var ErrNoHolder = errors.New("there is no holder to ask")

// Outcome is what became of a record at a peer.
type Outcome uint8

// Outcomes of a record.
const (
	OutcomeNotKnown Outcome = iota
	OutcomeKept
	OutcomeRefused
)

// Answer is what a peer says of a job.
type Answer struct {
	State describer.JobState `cbor:"1,keyasint"`
	// IsDenied reports that there is no such job.
	IsDenied bool `cbor:"2,keyasint,omitempty"`
	// IsOpen reports that the peer does not know.
	IsOpen bool `cbor:"3,keyasint,omitempty"`
}

// Options are what a forwarder is made from.
type Options struct {
	// Self is this host's name.
	Self       string
	DataCentre string
	// Messenger reaches the peers; nil means that there are none.
	Messenger *messenger.Messenger
	Hosts     func() []journaler.Host
	// Holder returns the host that holds the cell; false where that is this host or nobody.
	Holder func() (journaler.Host, bool)
	// Keep keeps a record without the help of peers.
	Keep func(ctx context.Context, record journaler.Record) error
	// Status answers for a job without the help of peers.
	Status func(ctx context.Context, id describer.JobID) Answer
	// Glance answers for a job at once, from what this host knows.
	Glance func(id describer.JobID) Answer
}

// Forwarder calls peers and serves their calls.
type Forwarder struct {
	options Options
}

// New returns a forwarder that serves its peers.
func New(options Options) *Forwarder {
	f := &Forwarder{options: options}
	if options.Messenger != nil {
		messenger.Handle(options.Messenger, keepKind, f.keepForPeer)
		messenger.Handle(options.Messenger, statusKind, f.statusForPeer)
		messenger.Handle(options.Messenger, glanceKind, f.glanceForPeer)
	}
	return f
}

// holder returns the address of the holder, where that is another host.
func (f *Forwarder) holder() (netip.AddrPort, bool) {
	if f.options.Messenger == nil || f.options.Holder == nil {
		return netip.AddrPort{}, false
	}
	h, found := f.options.Holder()
	if !found {
		return netip.AddrPort{}, false
	}
	address, err := netip.ParseAddrPort(h.Address)
	return address, err == nil
}

// HasHolder reports whether another host holds the cell and can be asked.
func (f *Forwarder) HasHolder() bool {
	_, found := f.holder()
	return found
}

// peers returns other hosts but the holder, which Gather asks; those of this data centre first.
func (f *Forwarder) peers() []netip.AddrPort {
	if f.options.Messenger == nil {
		return nil
	}
	holder, _ := f.holder()
	var near, far []netip.AddrPort
	for _, h := range f.options.Hosts() {
		address, err := netip.ParseAddrPort(h.Address)
		switch {
		case err != nil || h.Name == f.options.Self || address == holder:
		case h.DataCentre == f.options.DataCentre:
			near = append(near, address)
		default:
			far = append(far, address)
		}
	}
	// One near peer leaves tries for those elsewhere, as a whole data centre can be cut off.
	peers := near[:min(len(near), 1)]
	return append(peers, far[:min(len(far), maxPeers-len(peers))]...)
}

// Gather has the holder keep a record together with those of other hosts, which costs a slow
// store one append for all of them. Errors are those of Keep, or wrap ErrNoHolder.
func (f *Forwarder) Gather(ctx context.Context, record journaler.Record) error {
	holder, found := f.holder()
	if !found {
		return errors.Errorf("keep through the holder: %w", ErrNoHolder)
	}
	return errors.Wrap(f.keepAt(ctx, holder, gatherTimeout, record), "keep through the holder")
}

// keepAt has one peer keep a record.
func (f *Forwarder) keepAt(ctx context.Context, peer netip.AddrPort, timeout time.Duration, record journaler.Record) error {
	calling, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	outcome, err := messenger.Call[journaler.Record, Outcome](calling, f.options.Messenger, peer, keepKind, record)
	switch {
	case err == nil && outcome == OutcomeKept:
		return nil
	case errors.Is(err, messenger.ErrUnreachable):
		return errors.Mark(ErrNoHolder, storer.ErrRefused)
	case err == nil && outcome == OutcomeRefused:
		return storer.ErrRefused
	}
	return storer.ErrNotKnown
}

// Keep has a peer keep a record. Errors wrap storer.ErrRefused, after which the record is
// never kept, or storer.ErrNotKnown.
func (f *Forwarder) Keep(ctx context.Context, record journaler.Record) error {
	isOpen := false
	for _, peer := range f.peers() {
		if ctx.Err() != nil {
			break
		}
		err := f.keepAt(ctx, peer, callTimeout, record)
		if err == nil {
			return nil
		}
		isOpen = isOpen || !errors.Is(err, storer.ErrRefused)
	}
	if isOpen {
		return errors.Errorf("keep through peers: %w", storer.ErrNotKnown)
	}
	return errors.Errorf("keep through peers: %w", storer.ErrRefused)
}

// AskHolder has the holder answer for a job. A denial does not count: the holder may not have
// read of the job yet.
func (f *Forwarder) AskHolder(ctx context.Context, id describer.JobID) Answer {
	holder, found := f.holder()
	if !found {
		return Answer{IsOpen: true}
	}
	asking, cancel := context.WithTimeout(ctx, holderTimeout)
	defer cancel()
	answer, err := messenger.Call[describer.JobID, Answer](asking, f.options.Messenger, holder, glanceKind, id)
	if err != nil || answer.IsDenied {
		return Answer{IsOpen: true}
	}
	return answer
}

// Status has peers answer for a job, until one knows.
func (f *Forwarder) Status(ctx context.Context, id describer.JobID) Answer {
	for _, peer := range f.peers() {
		calling, cancel := context.WithTimeout(ctx, callTimeout)
		answer, err := messenger.Call[describer.JobID, Answer](calling, f.options.Messenger, peer, statusKind, id)
		cancel()
		if err == nil && !answer.IsOpen {
			return answer
		}
		if ctx.Err() != nil {
			break
		}
	}
	return Answer{IsOpen: true}
}

func (f *Forwarder) keepForPeer(ctx context.Context, _ messenger.Hello, record journaler.Record) (Outcome, error) {
	keeping, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	err := f.options.Keep(keeping, record)
	switch {
	case err == nil:
		return OutcomeKept, nil
	case errors.Is(err, storer.ErrRefused):
		return OutcomeRefused, nil
	}
	return OutcomeNotKnown, nil
}

func (f *Forwarder) statusForPeer(ctx context.Context, _ messenger.Hello, id describer.JobID) (Answer, error) {
	return f.options.Status(ctx, id), nil
}

func (f *Forwarder) glanceForPeer(_ context.Context, _ messenger.Hello, id describer.JobID) (Answer, error) {
	return f.options.Glance(id), nil
}
