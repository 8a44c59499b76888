// Package forwarder forwards requests to other entry hosts: it lets a host without access to
// the store persist records and read the status of jobs through its peers, and lets any host
// do so through the holder, which is the host whose claim makes it the leader of the cell.
//
// # Usage
//
//	f := forwarder.New(forwarder.Options{Self: name, Messenger: peers, Hosts: hosts, Persist: persist, LocalStatus: status})
//	err := f.PersistViaPeers(ctx, record)
//	reply := f.StatusFromPeers(ctx, id)
package forwarder

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/peer/messenger"
)

const (
	// persistKind, canPersistKind, statusKind and cachedStatusKind name the calls between peers.
	persistKind      = "keep"
	canPersistKind   = "can_keep"
	statusKind       = "status"
	cachedStatusKind = "glance"
	// maxPeers bounds the peers that are tried for one request.
	maxPeers = 3
	// holderStatusTimeout bounds a status request to the holder. It is short because the host's
	// own view of the log is nearly as good a source.
	holderStatusTimeout = 300 * time.Millisecond
	// peerTimeout bounds a call to one peer.
	peerTimeout = 800 * time.Millisecond
	// canPersistTimeout bounds the question to peers whether they can persist a record. It covers
	// several round trips between regions.
	canPersistTimeout = 250 * time.Millisecond
	// holderPersistTimeout bounds a request to the holder to persist a record, and the work for
	// a peer's request on any host. The holder batches the records of all hosts, so the bound covers
	// two appends to a slow store and the network round trip.
	holderPersistTimeout = 2300 * time.Millisecond
)

// ErrNoHolder means that no other host holds the claim, or that the holder can't be reached.
var ErrNoHolder = errors.New("there is no holder to ask")

// Outcome is a peer's reply to a request to persist a record.
type Outcome uint8

// Outcomes of a request to persist a record. OutcomeUnknown leaves open whether the record is
// or will be stored; after OutcomeRefused it never is.
const (
	OutcomeUnknown Outcome = iota
	OutcomePersisted
	OutcomeRefused
	// OutcomeForeign is a refusal since the ID belongs to a job of another workspace. Hosts of an older version take it
	// for an unknown outcome.
	OutcomeForeign
)

// StatusReply is a peer's reply to a status request.
type StatusReply struct {
	State describer.JobState `cbor:"1,keyasint"`
	// IsNotFound reports that the job does not exist.
	IsNotFound bool `cbor:"2,keyasint,omitempty"`
	// IsUnknown reports that the peer can't tell the job's state, or whether the job exists.
	IsUnknown bool `cbor:"3,keyasint,omitempty"`
	// HasReadLog reports that the peer has read the log to its end after the question arrived. Peers of an
	// older version reply that a job does not exist without that.
	HasReadLog bool `cbor:"4,keyasint,omitempty"`
	// Workspace is the name of the job's workspace; empty if it has none. It is set only if NamesWorkspace is, which
	// peers of an older version never set.
	Workspace      string `cbor:"5,keyasint,omitempty"`
	NamesWorkspace bool   `cbor:"6,keyasint,omitempty"`
}

// Options configure a Forwarder.
type Options struct {
	// Self is this host's name.
	Self       string
	DataCentre string
	// Messenger calls the peers; nil means that there are none.
	Messenger *messenger.Messenger
	Hosts     func() []journaler.Host
	// Holder returns the host that holds the claim; false if that is this host or no host.
	Holder func() (journaler.Host, bool)
	// Persist persists a record from this host, without its peers. Errors wrap storer.ErrRefused,
	// after which the record is never stored, or leave the outcome unknown.
	Persist func(ctx context.Context, record journaler.Record) error
	// CanPersist reports whether this host reaches the store; nil means that it does.
	CanPersist func(ctx context.Context) bool
	// LocalStatus returns the state of a job as this host knows it. It may read the log first.
	LocalStatus func(ctx context.Context, id describer.JobID) StatusReply
	// CachedStatus returns the state of a job as this host knows it, without waiting.
	CachedStatus func(id describer.JobID) StatusReply
}

// Forwarder forwards requests to peers and serves theirs.
type Forwarder struct {
	options Options
}

// New returns a Forwarder and registers its handlers with the messenger.
func New(options Options) *Forwarder {
	if options.CanPersist == nil {
		options.CanPersist = func(context.Context) bool { return true }
	}
	f := &Forwarder{options: options}
	if options.Messenger != nil {
		messenger.Handle(options.Messenger, canPersistKind, f.serveCanPersist)
		messenger.Handle(options.Messenger, persistKind, f.servePersist)
		messenger.Handle(options.Messenger, statusKind, f.serveStatus)
		messenger.Handle(options.Messenger, cachedStatusKind, f.serveCachedStatus)
	}
	return f
}

// holder returns the address of the holder; false if that is this host, no host, or the address
// is invalid.
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

// HasHolder reports whether another host holds the claim and has a valid address.
func (f *Forwarder) HasHolder() bool {
	_, found := f.holder()
	return found
}

// peers returns up to maxPeers hosts other than this one and the holder, which
// PersistViaHolder calls. At most one is in this data centre; it comes first.
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
	// Use at most one peer in this data centre: a whole data centre can lose access to the store.
	peers := near[:min(len(near), 1)]
	return append(peers, far[:min(len(far), maxPeers-len(peers))]...)
}

// PersistViaHolder has the holder persist a record. The holder batches it with the records of
// other hosts, so that a slow store gets one append for all of them. Errors are those of
// PersistViaPeers, or wrap ErrNoHolder.
func (f *Forwarder) PersistViaHolder(ctx context.Context, record journaler.Record) error {
	holder, found := f.holder()
	if !found {
		return errors.Errorf("keep through the holder: %w", ErrNoHolder)
	}
	return errors.Wrap(f.persistAt(ctx, holder, holderPersistTimeout, record), "keep through the holder")
}

// persistAt has one peer persist a record.
func (f *Forwarder) persistAt(ctx context.Context, peer netip.AddrPort, timeout time.Duration, record journaler.Record) error {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	outcome, err := messenger.Call[journaler.Record, Outcome](callCtx, f.options.Messenger, peer, persistKind, record)
	switch {
	case err == nil && outcome == OutcomePersisted:
		return nil
	case errors.Is(err, messenger.ErrUnreachable):
		return errors.Mark(ErrNoHolder, storer.ErrRefused)
	case err == nil && outcome == OutcomeRefused:
		return storer.ErrRefused
	case err == nil && outcome == OutcomeForeign:
		return errors.Mark(journaler.ErrForeignJob, storer.ErrRefused)
	}
	return storer.ErrOutcomeUnknown
}

// peersThatCanPersist returns the peers that reply that they reach the store, in the order of peers.
// A record is not sent to the others, since its outcome would stay unknown.
func (f *Forwarder) peersThatCanPersist(ctx context.Context) []netip.AddrPort {
	peers := f.peers()
	canPersist := make([]bool, len(peers))
	callCtx, cancel := context.WithTimeout(ctx, canPersistTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for i, peer := range peers {
		calls.Go(func() {
			reply, err := messenger.Call[struct{}, bool](callCtx, f.options.Messenger, peer, canPersistKind, struct{}{})
			// A peer of an older version does not know the question but replies.
			canPersist[i] = err == nil && reply || errors.Is(err, messenger.ErrPeer)
		})
	}
	calls.Wait()
	able := make([]netip.AddrPort, 0, len(peers))
	for i, peer := range peers {
		if canPersist[i] {
			able = append(able, peer)
		}
	}
	return able
}

// PersistViaPeers has a peer other than the holder persist a record, trying those that reach the
// store one after the other. Errors wrap storer.ErrRefused, after which the record is never stored,
// or storer.ErrOutcomeUnknown.
func (f *Forwarder) PersistViaPeers(ctx context.Context, record journaler.Record) error {
	isOutcomeUnknown := false
	for _, peer := range f.peersThatCanPersist(ctx) {
		if ctx.Err() != nil {
			break
		}
		err := f.persistAt(ctx, peer, peerTimeout, record)
		if err == nil || errors.Is(err, journaler.ErrForeignJob) {
			return err
		}
		isOutcomeUnknown = isOutcomeUnknown || !errors.Is(err, storer.ErrRefused)
	}
	if isOutcomeUnknown {
		return errors.Errorf("keep through peers: %w", storer.ErrOutcomeUnknown)
	}
	return errors.Errorf("keep through peers: %w", storer.ErrRefused)
}

// StatusFromHolder returns the state of a job as the holder knows it. A reply that the job
// does not exist counts as unknown: the holder may not have read the job's record yet.
func (f *Forwarder) StatusFromHolder(ctx context.Context, id describer.JobID) StatusReply {
	holder, found := f.holder()
	if !found {
		return StatusReply{IsUnknown: true}
	}
	callCtx, cancel := context.WithTimeout(ctx, holderStatusTimeout)
	defer cancel()
	reply, err := messenger.Call[describer.JobID, StatusReply](callCtx, f.options.Messenger, holder, cachedStatusKind, id)
	if err != nil || reply.IsNotFound {
		return StatusReply{IsUnknown: true}
	}
	return reply
}

// StatusFromPeers returns the reply of the first peer that knows about a job, or that has read the log to
// its end and found none. The status is unknown if none does.
func (f *Forwarder) StatusFromPeers(ctx context.Context, id describer.JobID) StatusReply {
	for _, peer := range f.peers() {
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		reply, err := messenger.Call[describer.JobID, StatusReply](callCtx, f.options.Messenger, peer, statusKind, id)
		cancel()
		if err == nil && !reply.IsUnknown && (reply.HasReadLog || !reply.IsNotFound) {
			return reply
		}
		if ctx.Err() != nil {
			break
		}
	}
	return StatusReply{IsUnknown: true}
}

func (f *Forwarder) servePersist(ctx context.Context, _ messenger.Hello, record journaler.Record) (Outcome, error) {
	if err := journaler.CheckForwarded(record); err != nil {
		return OutcomeRefused, nil
	}
	persistCtx, cancel := context.WithTimeout(ctx, holderPersistTimeout)
	defer cancel()
	err := f.options.Persist(persistCtx, record)
	switch {
	case err == nil:
		return OutcomePersisted, nil
	case errors.Is(err, journaler.ErrForeignJob):
		return OutcomeForeign, nil
	case errors.Is(err, storer.ErrRefused):
		return OutcomeRefused, nil
	}
	return OutcomeUnknown, nil
}

func (f *Forwarder) serveCanPersist(ctx context.Context, _ messenger.Hello, _ struct{}) (bool, error) {
	return f.options.CanPersist(ctx), nil
}

func (f *Forwarder) serveStatus(ctx context.Context, _ messenger.Hello, id describer.JobID) (StatusReply, error) {
	return f.options.LocalStatus(ctx, id), nil
}

func (f *Forwarder) serveCachedStatus(_ context.Context, _ messenger.Hello, id describer.JobID) (StatusReply, error) {
	return f.options.CachedStatus(id), nil
}
