// Package coordinator implements an entry host on a platform with a durable store. The host accepts
// jobs, follows the cell's log and, while it holds the claim, schedules tasks on the workers.
//
// Every host replays the same log, so each of them can report the state of any job. The claim
// is the record in the log that makes one host the leader (the holder) of the cell, and its
// epoch is the fencing token of all orders. If the holder's heartbeats are missing from the log,
// the host that appends the next claim first takes over.
//
// # Usage
//
//	k := coordinator.New(coordinator.Options{Name: name, Store: store, Workers: workers, Clock: clock})
//	go k.Run(ctx)
//	err := k.Submit(ctx, job)
//	status, err := k.Status(ctx, job.ID)
package coordinator

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"lentilrock.example/internal/entry/accepter"
	"lentilrock.example/internal/entry/accountant"
	"lentilrock.example/internal/entry/announcer"
	"lentilrock.example/internal/entry/cataloger"
	"lentilrock.example/internal/entry/checker"
	"lentilrock.example/internal/entry/claimant"
	"lentilrock.example/internal/entry/clerk"
	"lentilrock.example/internal/entry/delegator"
	"lentilrock.example/internal/entry/distributor"
	"lentilrock.example/internal/entry/follower"
	"lentilrock.example/internal/entry/forwarder"
	"lentilrock.example/internal/entry/gatekeeper"
	"lentilrock.example/internal/entry/holder"
	"lentilrock.example/internal/entry/measurer"
	"lentilrock.example/internal/entry/prober"
	"lentilrock.example/internal/entry/recorder"
	"lentilrock.example/internal/entry/refresher"
	"lentilrock.example/internal/entry/repeater"
	"lentilrock.example/internal/entry/resigner"
	"lentilrock.example/internal/entry/resolver"
	"lentilrock.example/internal/entry/router"
	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/entry/submitter"
	"lentilrock.example/internal/entry/tracker"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/dispatcher"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/node/pauser"
	"lentilrock.example/internal/peer/messenger"
	"lentilrock.example/internal/query/processor"
)

// Errors returned to callers.
var (
	// ErrNotReady means that the host has not read the configuration and the log of its cell yet.
	ErrNotReady = clerk.ErrNotReady
	// ErrJobNotFound means that the job, or a queue for a path, does not exist.
	ErrJobNotFound = resolver.ErrJobNotFound
	// ErrTooLarge means that a job is larger than the store or the hosts of the cell can take.
	ErrTooLarge = journaler.ErrTooLarge
	// ErrForeignJob means that the ID of a submission belongs to a job of another workspace.
	ErrForeignJob = journaler.ErrForeignJob
)

// Options configure a coordinator.
type Options struct {
	Name        string
	Incarnation string
	DataCentre  string
	// Cores is the host's processor share in cores, weighted by processor speed; may be below 1.
	Cores float64
	// MemoryMB is the memory of the host in MiB; 0 if it is unknown.
	MemoryMB    int64
	PeerAddress netip.AddrPort
	Store       storer.Store
	Decoder     cataloger.Decoder
	Workers     holder.Workers
	Machines    holder.Machines
	Advisor     distributor.Advisor
	Messenger   *messenger.Messenger
	Clock       clockwork.Clock
	Logger      *zap.Logger
	// Scope receives the metrics; nil drops them.
	Scope      tally.Scope
	Dispatcher dispatcher.Options
}

// Coordinator is an entry host.
type Coordinator struct {
	// Gatekeeper routes and identifies the calls of callers.
	*gatekeeper.Gatekeeper
	// Clerk serves callers, and Delegator operators.
	*clerk.Clerk
	*delegator.Delegator
	options  Options
	repeater *repeater.Repeater
	// storeReplies asks the store for a reply.
	storeReplies func(ctx context.Context) bool
	submitter    *submitter.Submitter
	accepter     *accepter.Accepter
	forwarder    *forwarder.Forwarder
	router       *router.Router
	announcer    *announcer.Announcer
	resolver     *resolver.Resolver
	reader       follower.Reader
	refresher    *refresher.Refresher
	distributor  *distributor.Distributor
	claimant     *claimant.Claimant
	recorder     recorder.Recorder
	prober       *prober.Prober
	// claimsWaker triggers a read of the claims without waiting for the usual pause.
	claimsWaker pauser.Waker
	resigner    *resigner.Resigner

	mu    sync.Mutex
	state *journaler.State
	// accountant bounds the memory of unfinished jobs.
	accountant *accountant.Accountant
	// catalog has the configuration, the waves of upkeep and the host list as read from the store.
	catalog *cataloger.Catalog
	// reads has what was read from the store, and when.
	reads tracker.Tracker
	// former tells when records of former holders were read.
	former tracker.FormerRecords
	// formerHolders tells until when they may act.
	formerHolders tracker.FormerHolders
	// heartbeats tells when records of the holder were read.
	heartbeats tracker.Heartbeats
	// holder and dispatcher are nil while this host does not hold the claim.
	holder     *holder.Holder
	dispatcher *dispatcher.Dispatcher
	// takeoverEpoch is the epoch of the last claim under which this host began a takeover.
	takeoverEpoch int64
	// peerEpoch is the highest epoch of a claim that a peer has read.
	peerEpoch int64
	isLeaving bool
}

// New returns a coordinator that has not read anything yet. Run starts it.
func New(options Options) *Coordinator {
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
	k := &Coordinator{
		Gatekeeper: gatekeeper.New(), options: options, state: journaler.New(), catalog: cataloger.New(options.Decoder, options.Logger),
		claimsWaker: pauser.NewWaker(),
	}
	k.accountant = accountant.New(accountant.Options{MemoryMB: options.MemoryMB, Hosts: k.liveHosts, Workspaces: func() []describer.Workspace { return k.catalog.Config.Workspaces }})
	k.repeater = repeater.New(repeater.Options{Store: options.Store, Check: k.readStore, Clock: options.Clock})
	k.initPeers()
	k.initCallers()
	k.initOperators()
	return k
}

// initPeers creates the components that communicate with other hosts.
func (k *Coordinator) initPeers() {
	o := k.options
	k.announcer = announcer.New(announcer.Options{
		Self: journaler.Host{
			Name: o.Name, Incarnation: o.Incarnation, Address: o.PeerAddress.String(), DataCentre: o.DataCentre, Cores: o.Cores, MemoryMB: o.MemoryMB,
		},
		Store: o.Store, Clock: o.Clock, Logger: o.Logger,
	})
	k.claimant = claimant.New(claimant.Options{
		Self: o.Name, Incarnation: o.Incarnation, Appender: k.repeater, Clock: o.Clock, Logger: o.Logger,
		Decide: k.decideClaim, Terms: k.claimTerms, OnAttempted: k.claimsWaker.Wake,
	})
	k.distributor = distributor.New(distributor.Options{
		Self: o.Name, DataCentre: o.DataCentre, Advisor: o.Advisor, Messenger: o.Messenger, Hosts: k.hosts, Clock: o.Clock,
	})
	k.prober = prober.New(prober.Options{
		Self: o.Name, Messenger: o.Messenger, Clock: o.Clock, Holder: k.remoteClaim, HeldEpoch: k.heldEpoch,
		OnProbed: k.stepDown, OnProbeFailed: k.claimsWaker.Wake, HostCount: func() int { return len(k.hosts()) },
	})
	k.resigner = resigner.New(resigner.Options{
		Self: o.Name, Cores: o.Cores, Messenger: o.Messenger, Hosts: k.hosts, IsReady: k.IsReady, Clock: o.Clock,
		IsHolder: k.IsHolder, Release: k.release,
	})
}

// initCallers creates the components that persist the records of callers and report job states.
func (k *Coordinator) initCallers() {
	o := k.options
	k.storeReplies = checker.New(checker.Options{Check: k.readStore, Clock: o.Clock}).Replies
	k.submitter = submitter.New(submitter.Options{
		Appender: k.repeater, Clock: o.Clock, Logger: o.Logger, OnAppended: k.applyAppended,
		HasFallbackHost: func() bool { return k.forwarder.HasHolder() }, StoreReplies: k.storeReplies,
	})
	k.accepter = accepter.New(accepter.Options{Holder: k.currentHolder, Submitter: k.submitter, IsStoreDown: k.isStoreDown, Check: k.checkWorkspace})
	k.forwarder = forwarder.New(forwarder.Options{
		Self: o.Name, DataCentre: o.DataCentre, Messenger: o.Messenger, Hosts: k.hosts, Holder: k.remoteHolder,
		Persist: k.accepter.PersistForPeer,
		CanPersist: func(ctx context.Context) bool {
			return !k.isStoreDown() && (!k.submitter.IsFailing() || k.storeReplies(ctx))
		},
		LocalStatus: func(ctx context.Context, id describer.JobID) forwarder.StatusReply {
			return k.resolver.LocalStatus(ctx, id)
		},
		CachedStatus: func(id describer.JobID) forwarder.StatusReply { return k.resolver.CachedStatus(id) },
	})
	k.reader = follower.Reader{
		Store: o.Store, Clock: o.Clock, Logger: o.Logger, Next: k.nextUnread,
		Apply: map[storer.Topic]func(storer.Batch){storer.Jobs: k.applyJobs, storer.Claims: k.applyClaims},
	}
	k.refresher = refresher.New(refresher.Options{Read: k.reader.ReadAll, Clock: o.Clock})
	k.resolver = resolver.New(resolver.Options{
		View: k.jobView, Refresh: k.refresh, Peers: k.forwarder, Clock: o.Clock, MaxViewAge: maxViewAge, IsHolderUnresponsive: k.isHolderUnresponsive,
	})
	k.router = router.New(router.Options{
		Submitter: k.accepter, Forwarder: k.forwarder, View: k.prober.View, Clock: o.Clock, Scope: o.Scope,
		IsStoreDown: k.isStoreDown, StoreReplies: k.storeReplies,
	})
	k.Clerk = clerk.New(clerk.Options{
		View: k.jobView, Admit: k.admit, Resolve: k.resolver.Status, HasReadJobs: k.hasReadJobs, Persist: k.router.Persist, Clock: o.Clock,
	})
}

// initOperators creates the handler of operators' commands.
func (k *Coordinator) initOperators() {
	k.Delegator = delegator.New(delegator.Options{
		Processor: processor.New(processor.Options{
			WithView: k.read, Refresh: k.refresh, Persist: k.router.Persist, Explain: k.recorder.Explain,
			IsRefused: func(err error) bool { return errors.Is(err, storer.ErrRefused) },
		}),
		Messenger: k.options.Messenger, Holder: k.remoteHolder,
	})
}

// Run follows the store and serves as a host of the cell until ctx ends.
func (k *Coordinator) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { k.submitter.Run(ctx) })
	for _, f := range k.followers() {
		loops.Go(func() { f.Run(ctx) })
	}
	loops.Go(func() { k.announcer.Run(ctx) })
	loops.Go(func() { k.claimant.Run(ctx) })
	loops.Go(func() { k.prober.Run(ctx) })
	loops.Go(func() { k.resigner.Run(ctx) })
	loops.Wait()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.isLeaving = true
	k.stopHolding("The host has stopped.")
}

// IsReady reports whether the host can serve callers.
func (k *Coordinator) IsReady() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.isReady()
}

func (k *Coordinator) isReady() bool { return !k.isLeaving && k.hasReadCell() }

// IsHolder reports whether this host holds the claim and sends orders to the workers.
func (k *Coordinator) IsHolder() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holder != nil
}

// Counts returns the current values of the gauges.
func (k *Coordinator) Counts() measurer.Counts {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	counts := measurer.Counts{
		ConfigVersion: k.catalog.Config.Version, ConfigFaults: k.catalog.Faults, Workspaces: len(k.catalog.Config.Workspaces), Epoch: k.state.Claim.Epoch, Jobs: len(k.state.Jobs),
		Workers: k.catalog.Size(), JobsAge: now.Sub(k.reads.JobsAt), ClaimsAge: now.Sub(k.reads.ClaimsAt),
	}
	if k.holder != nil {
		counts.Holder = 1
		if counts.Workspaces > 0 {
			counts.Usages = k.dispatcher.Summarizer(now).Workspaces()
		}
	}
	if k.isReady() {
		counts.Ready = 1
	}
	counts.Pending = k.state.Pending("")
	return counts
}

// hasReadCell reports whether the configuration and the log were each read at least once.
func (k *Coordinator) hasReadCell() bool {
	return k.catalog.Config.Version > 0 && k.reads.HasReadAll()
}

func (k *Coordinator) now() time.Time { return k.options.Clock.Now() }

// Leave releases the claim, if this host holds it. From then on the host is not ready and does
// not claim the cell again.
func (k *Coordinator) Leave(ctx context.Context) {
	k.mu.Lock()
	k.isLeaving = true
	k.mu.Unlock()
	k.release(ctx, "The host is leaving the cell.")
}

// release stops holding the cell and releases the claim, if this host holds it.
func (k *Coordinator) release(ctx context.Context, reason string) {
	k.mu.Lock()
	h, claim := k.holder, k.state.Claim
	var last []journaler.Record
	if h != nil && k.dispatcher != nil {
		last = k.dispatcher.TakeLastRecords(k.now())
	}
	k.stopHolding(reason)
	k.mu.Unlock()
	if h != nil {
		h.Release(ctx, claim, last)
	}
}
