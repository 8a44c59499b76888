package keeper

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lentilrock.example/internal/entry/holder"
	"lentilrock.example/internal/entry/measurer"
	"lentilrock.example/internal/fleet/dispatcher"
	"lentilrock.example/internal/fleet/journaler"
)

// hold takes the cell up under a claim.
func (k *Keeper) hold(now time.Time, claim journaler.Claim) {
	options := k.dispatchOptions()
	options.Epoch, options.Host, options.Report = claim.Epoch, k.options.Name, k.report
	k.dispatcher = dispatcher.New(options, k.state, now)
	k.tellOperators(now)
	k.dispatcher.SetAskers(len(k.liveHosts()))
	k.dispatcher.SetWorkers(now, k.catalog.Workers())
	k.holder = holder.New(holder.Options{
		Epoch: claim.Epoch, Store: k.options.Store, Workers: k.options.Workers, Machines: k.options.Machines, Clock: k.options.Clock,
		Logger: k.options.Logger, With: k.with, Fenced: k.resign, Kept: k.applyOwn, Ask: k.asker.Ask,
	})
	k.options.Logger.Info("claim: This host holds the cell.", zap.Int64("epoch", claim.Epoch),
		zap.Int("jobs", len(k.state.Jobs)), zap.Int("workers", k.catalog.Size()))
	k.holder.Run(context.Background())
}

// dispatchOptions returns the settings of a dispatcher that takes over from the holders before
// it; the caller has the lock.
func (k *Keeper) dispatchOptions() dispatcher.Options {
	options := k.options.Dispatch
	options.FormerLease = k.state.Claim.Lease
	options.Observe = func(what string, took time.Duration) {
		k.options.Scope.Histogram(what, measurer.Buckets).RecordDuration(took)
	}
	options.Count = func(what string) { k.options.Scope.Counter(what).Inc(1) }
	return options
}

// with runs a change of the dispatcher for the holder whose claim is in force.
func (k *Keeper) with(h *holder.Holder, change func(now time.Time, d *dispatcher.Dispatcher)) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.holder != h {
		return false
	}
	change(k.now(), k.dispatcher)
	return true
}

// report writes a line of the dispatcher's into the log.
func (k *Keeper) report(message string, fields ...any) {
	k.options.Logger.Sugar().Infow("dispatch: "+message, fields...)
	k.chronicle.Note(k.now(), message, fields...)
}

// resign ends what runs under the claim; the caller has the lock.
func (k *Keeper) resign(reason string) {
	if k.holder == nil {
		return
	}
	k.options.Logger.Info("claim: This host holds the cell no more.", zap.Int64("epoch", k.holder.Epoch()), zap.String("reason", reason))
	k.holder.Cancel()
	k.holder, k.dispatcher = nil, nil
}

// hosts returns the entry hosts that were heard of lately, by name.
func (k *Keeper) hosts() []journaler.Host {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.liveHosts()
}

// liveHosts does what hosts does; the caller has the lock.
func (k *Keeper) liveHosts() []journaler.Host { return k.announcer.Live(k.state.Hosts, k.jobsAt) }

// otherHolder returns the host that holds the cell; false where that is this host or nobody.
func (k *Keeper) otherHolder() (journaler.Host, bool) {
	h, _, found := k.otherClaim()
	return h, found
}

// otherClaim returns the host that holds the cell with the epoch of its claim; false where
// that is this host or nobody.
func (k *Keeper) otherClaim() (journaler.Host, int64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	claim := k.state.Claim
	h, found := k.state.Hosts[claim.Host]
	return h, claim.Epoch, found && !claim.Released && claim.Host != k.options.Name
}

// heldEpoch returns the epoch of the claim that this host holds and can keep records under; 0
// where there is none.
func (k *Keeper) heldEpoch() int64 {
	k.mu.Lock()
	h := k.holder
	k.mu.Unlock()
	if h == nil || !h.CanKeep() {
		return 0
	}
	return h.Epoch()
}
