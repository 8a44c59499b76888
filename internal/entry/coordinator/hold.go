package coordinator

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lentilrock.example/internal/entry/accepter"
	"lentilrock.example/internal/entry/holder"
	"lentilrock.example/internal/entry/measurer"
	"lentilrock.example/internal/fleet/dispatcher"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/leaser"
)

// startHolding creates the dispatcher and the holder for a claim and runs them. The caller has
// the lock.
func (k *Coordinator) startHolding(now time.Time, claim journaler.Claim) {
	options := k.dispatcherOptions()
	options.Epoch, options.Host = claim.Epoch, k.options.Name
	options.Report = func(message string, fields ...any) {
		k.reportDecision(message, append(fields, "epoch", claim.Epoch)...)
	}
	options.ClaimSentAt, options.FormerSeenAt = k.claimant.SentAt(claim.Epoch), k.former.SeenBefore(claim.Epoch)
	k.dispatcher = dispatcher.New(options, k.state, now)
	k.setOperatorEntries(now)
	k.dispatcher.SetAdviceHosts(len(k.liveHosts()))
	k.dispatcher.SetWorkers(now, k.catalog.Workers())
	k.holder = holder.New(holder.Options{
		Epoch: claim.Epoch, Store: k.options.Store, Appender: k.repeater, Workers: k.options.Workers, Machines: k.options.Machines, Clock: k.options.Clock,
		Logger: k.options.Logger, Update: k.updateDispatcher, OnFenced: k.stopHolding, OnAppended: k.applyAppended, StoreReplies: k.storeReplies, RequestAdvice: k.distributor.Advise,
	})
	age := func(name string, at time.Time) zap.Field {
		if at.IsZero() {
			return zap.Skip()
		}
		return zap.Duration(name, now.Sub(at))
	}
	k.options.Logger.Info("claim: This host holds the cell.", zap.Int64("epoch", claim.Epoch), zap.Int("jobs", len(k.state.Jobs)),
		zap.Int("workers", k.catalog.Size()), zap.Duration("longest_lease", options.LongestLease()),
		age("claim_age", options.ClaimSentAt), age("former_record_age", options.FormerSeenAt))
	k.holder.Run(context.Background())
	k.awaitFormerEnd(k.holder, claim, options.LongestAuthority())
}

// awaitFormerEnd tells the dispatcher once it is certain that the former holder no longer acts, without waiting for it. The caller
// has the lock.
func (k *Coordinator) awaitFormerEnd(h *holder.Holder, claim journaler.Claim, authority time.Duration) {
	former, earlierEnd, isKnown := k.formerHolders.Former(claim.Epoch, leaser.ExpiryOf(authority))
	if !isKnown {
		return
	}
	if former.Address == k.options.PeerAddress.String() {
		// No other process than this one can be at its address.
		k.dispatcher.FormerHolderEnded(k.now(), earlierEnd)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), authority)
		defer cancel()
		if k.prober.AwaitEnd(ctx, former, claim.Epoch) {
			k.updateDispatcher(h, func(now time.Time, d *dispatcher.Dispatcher) { d.FormerHolderEnded(now, earlierEnd) })
			h.ScheduleTick()
		}
	}()
}

// dispatcherOptions returns the options of a dispatcher that takes over from former holders. The
// caller has the lock.
func (k *Coordinator) dispatcherOptions() dispatcher.Options {
	options := k.options.Dispatcher
	options.FormerLease, options.FormerAuthority = k.state.Claim.Lease, k.state.Claim.Authority
	options.Observe, options.Count = measurer.Recorders(k.options.Scope)
	return options
}

// updateDispatcher calls change with the dispatcher; it returns false if h is not the current holder.
func (k *Coordinator) updateDispatcher(h *holder.Holder, change func(now time.Time, d *dispatcher.Dispatcher)) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.holder != h {
		return false
	}
	change(k.now(), k.dispatcher)
	return true
}

// reportDecision logs a decision of the dispatcher and records it for operators.
func (k *Coordinator) reportDecision(message string, fields ...any) {
	k.options.Logger.Sugar().Infow("dispatch: "+message, fields...)
	k.recorder.Record(k.now(), message, fields...)
}

// stopHolding stops the holder and drops the dispatcher. The caller has the lock.
func (k *Coordinator) stopHolding(reason string) {
	if k.holder == nil {
		return
	}
	k.options.Logger.Info("claim: This host no longer holds the cell.", zap.Int64("epoch", k.holder.Epoch()),
		zap.String("reason", reason))
	k.holder.Cancel()
	k.holder, k.dispatcher = nil, nil
}

// currentHolder returns the holder that runs on this host, or nil.
func (k *Coordinator) currentHolder() accepter.Holder {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.holder == nil {
		return nil
	}
	return k.holder
}

// hosts returns the entry hosts with recent announcements, sorted by name.
func (k *Coordinator) hosts() []journaler.Host {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.liveHosts()
}

// liveHosts is like hosts, but the caller has the lock.
func (k *Coordinator) liveHosts() []journaler.Host {
	return k.announcer.Live(k.state.Hosts, k.reads.JobsAt)
}

// remoteHolder returns the host that holds the cell; false if that is this host or none.
func (k *Coordinator) remoteHolder() (journaler.Host, bool) {
	h, _, found := k.remoteClaim()
	return h, found
}

// remoteClaim returns the host that holds the cell and the epoch of its claim; false if that is
// this host or none.
func (k *Coordinator) remoteClaim() (journaler.Host, int64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	claim := k.state.Claim
	h, found := k.state.Hosts[claim.Host]
	return h, claim.Epoch, found && !claim.Released && claim.Host != k.options.Name
}

// heldEpoch returns the epoch of this host's claim; 0 if it holds none or can't reach the store.
func (k *Coordinator) heldEpoch() int64 {
	k.mu.Lock()
	h := k.holder
	k.mu.Unlock()
	if h == nil || !h.HasStoreAccess() {
		return 0
	}
	return h.Epoch()
}
