// Package keeper is an entry host on a platform whose store keeps what must last: it takes
// jobs in, follows the cell's log, and, while it holds the claim, orders at the workers.
//
// Every host folds the same log, so any of them answers for any job. One host at a time
// holds the claim; its epoch is the fencing token of all orders. A holder that falls silent
// in the log is replaced by whichever host appends the next claim first.
//
// # Usage
//
//	k := keeper.New(keeper.Options{Name: name, Store: store, Workers: workers, Clock: clock})
//	go k.Run(ctx)
//	err := k.Submit(ctx, job)
//	status, err := k.Status(ctx, job.ID)
package keeper

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"lentilrock.example/internal/entry/announcer"
	"lentilrock.example/internal/entry/answerer"
	"lentilrock.example/internal/entry/asker"
	"lentilrock.example/internal/entry/cataloger"
	"lentilrock.example/internal/entry/chronicler"
	"lentilrock.example/internal/entry/deliverer"
	"lentilrock.example/internal/entry/forwarder"
	"lentilrock.example/internal/entry/holder"
	"lentilrock.example/internal/entry/measurer"
	"lentilrock.example/internal/entry/prober"
	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/entry/submitter"
	"lentilrock.example/internal/entry/yielder"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/dispatcher"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/node/pauser"
	"lentilrock.example/internal/peer/messenger"
	"lentilrock.example/internal/query/teller"
)

// Errors of the calls of callers.
var (
	// ErrNotReady means that the host does not know its cell yet.
	ErrNotReady = errors.New("the host does not know its cell yet")
	// ErrNoJob means that there is no such job.
	ErrNoJob = answerer.ErrNoJob
)

// Options are what a keeper is made from.
type Options struct {
	Name        string
	Incarnation string
	DataCentre  string
	// Cores is this host's share of a processor.
	Cores       float64
	PeerAddress netip.AddrPort
	Store       storer.Store
	Decoder     cataloger.Decoder
	Workers     holder.Workers
	Machines    holder.Machines
	Advisor     asker.Advisor
	Messenger   *messenger.Messenger
	Clock       clockwork.Clock
	Logger      *zap.Logger
	// Scope takes metrics; nil drops them.
	Scope    tally.Scope
	Dispatch dispatcher.Options
}

// Keeper is an entry host.
type Keeper struct {
	options   Options
	submitter *submitter.Submitter
	forwarder *forwarder.Forwarder
	deliverer *deliverer.Deliverer
	announcer *announcer.Announcer
	answerer  *answerer.Answerer
	asker     *asker.Asker
	teller    *teller.Teller
	chronicle chronicler.Chronicler
	prober    *prober.Prober
	// wakeClaims has the claims read at once.
	wakeClaims pauser.Waker
	yielder    *yielder.Yielder

	mu    sync.Mutex
	state *journaler.State
	// catalog is what operators and workers have written.
	catalog *cataloger.Catalog
	// jobsAt and claimsAt are when the topics were last read.
	jobsAt   time.Time
	claimsAt time.Time
	// nextJob is the first record of the jobs that was not read.
	nextJob int64
	// beatAt is when the holder was last heard, failedAt when a read of it last failed.
	beatAt   time.Time
	failedAt time.Time
	heardTo  int64
	// holder and dispatcher are nil while another host has the claim.
	holder     *holder.Holder
	dispatcher *dispatcher.Dispatcher
	lastEpoch  int64
	// triedEpoch is the highest that this host tried to claim.
	triedEpoch int64
	triedAt    time.Time
	leaving    bool
}

// New returns a keeper that knows nothing yet.
func New(options Options) *Keeper {
	if options.Clock == nil {
		options.Clock = clockwork.NewRealClock()
	}
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	options.Store = measurer.NewStore(options.Store, options.Scope, options.Clock)
	options.Workers = measurer.NewWorkers(options.Workers, options.Scope, options.Clock)
	k := &Keeper{
		options: options, state: journaler.New(), catalog: cataloger.New(options.Decoder, options.Logger), heardTo: -1,
		wakeClaims: pauser.NewWaker(),
	}
	k.meetPeers()
	k.serveCallers()
	k.serveOperators()
	return k
}

// meetPeers sets up what a host has to do with the others.
func (k *Keeper) meetPeers() {
	o := k.options
	k.announcer = announcer.New(announcer.Options{
		Self: journaler.Host{
			Name: o.Name, Incarnation: o.Incarnation, Address: o.PeerAddress.String(), DataCentre: o.DataCentre, Cores: o.Cores,
		},
		Store: o.Store, Clock: o.Clock, Logger: o.Logger,
	})
	k.asker = asker.New(asker.Options{
		Self: o.Name, DataCentre: o.DataCentre, Advisor: o.Advisor, Messenger: o.Messenger, Hosts: k.hosts, Clock: o.Clock,
	})
	k.prober = prober.New(prober.Options{
		Messenger: o.Messenger, Clock: o.Clock, Holder: k.otherClaim, Held: k.heldEpoch, Doubt: k.wakeClaims.Wake,
		Hosts: func() int { return len(k.hosts()) },
	})
	k.yielder = yielder.New(yielder.Options{
		Self: o.Name, Cores: o.Cores, Messenger: o.Messenger, Hosts: k.hosts, IsReady: k.IsReady,
	})
}

// serveCallers sets up the ways of records into the log and the answers about jobs.
func (k *Keeper) serveCallers() {
	o := k.options
	k.submitter = submitter.New(submitter.Options{
		Store: o.Store, Clock: o.Clock, Logger: o.Logger, Kept: k.applyOwn,
		HasAlternative: func() bool { return k.forwarder.HasHolder() },
	})
	k.forwarder = forwarder.New(forwarder.Options{
		Self: o.Name, DataCentre: o.DataCentre, Messenger: o.Messenger, Hosts: k.hosts, Holder: k.otherHolder,
		Keep:   k.submitter.Keep,
		Status: func(ctx context.Context, id describer.JobID) forwarder.Answer { return k.answerer.Here(ctx, id) },
		Glance: func(id describer.JobID) forwarder.Answer { return k.answerer.Glance(id) },
	})
	k.answerer = answerer.New(answerer.Options{Look: k.look, Peers: k.forwarder, Clock: o.Clock, ViewAge: viewAge})
	k.deliverer = deliverer.New(deliverer.Options{
		Submitter: k.submitter, Forwarder: k.forwarder, View: k.prober.View, Clock: o.Clock, Scope: o.Scope,
		IsStoreDown: k.isStoreDown,
	})
}

// serveOperators sets up the operators' commands.
func (k *Keeper) serveOperators() {
	k.teller = teller.New(teller.Options{
		Read: k.read, Keep: k.deliverer.Keep, Explain: k.explain,
		IsRefused: func(err error) bool { return errors.Is(err, storer.ErrRefused) },
	})
	if k.options.Messenger != nil {
		messenger.Handle(k.options.Messenger, commandKind, k.executeForPeer)
	}
}

// Run follows the store and takes part in the cell until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { k.submitter.Run(ctx) })
	for _, f := range k.followers() {
		duties.Go(func() { f.Run(ctx) })
	}
	duties.Go(func() { k.announcer.Run(ctx) })
	duties.Go(func() { k.elect(ctx) })
	duties.Go(func() { k.prober.Run(ctx) })
	duties.Go(func() { k.yield(ctx) })
	duties.Wait()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaving = true
	k.resign("The host ends.")
}

// IsReady reports whether the host can answer callers.
func (k *Keeper) IsReady() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.isReady()
}

func (k *Keeper) isReady() bool { return !k.leaving && k.knowsCell() }

// IsHolder reports whether this host orders at the workers.
func (k *Keeper) IsHolder() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holder != nil
}

// Counts are figures of a host for its metrics.
type Counts struct {
	ConfigVersion int64
	Epoch         int64
	// Holder and Ready are 1 where the host is.
	Holder  int
	Ready   int
	Jobs    int
	Pending int
	Workers int
	// JobsAge and ClaimsAge are the ages of the host's views.
	JobsAge   time.Duration
	ClaimsAge time.Duration
}

// Counts returns the present figures.
func (k *Keeper) Counts() Counts {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	counts := Counts{
		ConfigVersion: k.catalog.Config.Version, Epoch: k.state.Claim.Epoch, Jobs: len(k.state.Jobs),
		Workers: k.catalog.Size(), JobsAge: now.Sub(k.jobsAt), ClaimsAge: now.Sub(k.claimsAt),
	}
	if k.holder != nil {
		counts.Holder = 1
	}
	if k.isReady() {
		counts.Ready = 1
	}
	counts.Pending = k.state.Pending("")
	return counts
}

// knowsCell reports whether the configuration and the log were read once.
func (k *Keeper) knowsCell() bool {
	return k.catalog.Config.Version > 0 && !k.jobsAt.IsZero() && !k.claimsAt.IsZero()
}

// Config returns the newest configuration; its version is 0 before the first.
func (k *Keeper) Config() describer.Config {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.catalog.Config
}

func (k *Keeper) now() time.Time { return k.options.Clock.Now() }

// Leave gives the claim back and reports the host as not ready.
func (k *Keeper) Leave(ctx context.Context) {
	k.mu.Lock()
	k.leaving = true
	k.mu.Unlock()
	k.release(ctx, "The host leaves.")
}

// release gives the claim back, if this host has it.
func (k *Keeper) release(ctx context.Context, reason string) {
	k.mu.Lock()
	h, claim := k.holder, k.state.Claim
	k.resign(reason)
	k.mu.Unlock()
	if h != nil {
		h.Release(ctx, claim)
	}
}
