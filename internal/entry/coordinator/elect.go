package coordinator

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"lentilrock.example/internal/entry/elector"
	"lentilrock.example/internal/entry/prober"
	"lentilrock.example/internal/entry/resigner"
	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/node/pauser"
)

const (
	// electionInterval is how often a host checks whether to claim the cell.
	electionInterval = 50 * time.Millisecond
	// claimTimeout bounds the append of a claim.
	claimTimeout = time.Second
	// claimRetryPause is the pause after an attempt to claim the cell, so that a claim that the store
	// refused is not retried at once.
	claimRetryPause = 400 * time.Millisecond
	// firstClaimDelay lets the hosts of a new cell read each other's announcements before one of
	// them claims the cell.
	firstClaimDelay = 300 * time.Millisecond
	// yieldInterval is how often a small holder checks for a larger host.
	yieldInterval = 3 * time.Second
	// readRetryPause is the pause after a failed read during a takeover.
	readRetryPause = 50 * time.Millisecond
)

// runElections periodically checks whether this host must claim the cell, and claims it.
func (k *Coordinator) runElections(ctx context.Context) {
	for ctx.Err() == nil {
		pauser.Pause(ctx, k.options.Clock, electionInterval)
		k.mu.Lock()
		epoch, reason := k.decideClaim(k.now())
		k.mu.Unlock()
		if reason == "" {
			continue
		}
		k.appendClaim(ctx, epoch, reason)
		pauser.Pause(ctx, k.options.Clock, claimRetryPause)
	}
}

// decideClaim returns the epoch to claim and the reason, or an empty reason if this host must not
// claim. The caller has the lock.
func (k *Coordinator) decideClaim(now time.Time) (int64, string) {
	if k.isLeaving || k.holder != nil || !k.hasReadCell() || k.catalog.ListedAt.IsZero() {
		return 0, ""
	}
	if isNew := k.state.Claim.Epoch == 0; isNew && !k.isAnnounced(now) {
		return 0, ""
	}
	probed := k.prober.View()
	if probed.Epoch != k.state.Claim.Epoch {
		probed = prober.View{}
	}
	return elector.Decide(elector.View{
		Self: k.options.Name, Incarnation: k.options.Incarnation, Claim: k.state.Claim,
		ReadAt: k.claimsReadAt, FailedAt: k.claimsFailedAt, HeartbeatAt: k.heartbeatAt, StoreDelay: k.announcer.StoreDelay(), IsSmall: k.isSmall(),
		ConfirmedAt: probed.AnsweredAt, UnansweredSince: probed.FailingSince, AttemptedEpoch: k.attemptedEpoch, AttemptedAt: k.attemptedAt,
	}, now)
}

// isAnnounced reports whether this host was announced long enough ago to have read the
// announcements of the others.
func (k *Coordinator) isAnnounced(now time.Time) bool {
	at := k.announcer.AnnouncedAt()
	return !at.IsZero() && now.Sub(at) >= firstClaimDelay
}

// isSmall reports whether a considerably larger host is known; the caller has the lock.
func (k *Coordinator) isSmall() bool { return resigner.IsSmall(k.options.Cores, k.liveHosts()) }

// yieldToLargerHost releases the claim once a considerably larger host is ready to take over.
func (k *Coordinator) yieldToLargerHost(ctx context.Context) {
	for ctx.Err() == nil {
		pauser.Pause(ctx, k.options.Clock, yieldInterval)
		if k.IsHolder() && k.resigner.HasLargerReadyHost(ctx) {
			k.release(ctx, "A larger host is ready to hold the cell.")
		}
	}
}

// appendClaim appends a claim. Whether it won is read from the log. An epoch is attempted
// again only if the store refused the append.
func (k *Coordinator) appendClaim(ctx context.Context, epoch int64, reason string) {
	k.mu.Lock()
	lease := k.dispatcherOptions().LongestLease()
	k.mu.Unlock()
	record, err := journaler.NewClaim(journaler.Claim{
		Epoch: epoch, Host: k.options.Name, Incarnation: k.options.Incarnation, Lease: lease,
	})
	if err != nil {
		k.options.Logger.Error("claim: Encoding the claim failed; the cell is not claimed.", zap.String("error", err.Error()))
		return
	}
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	_, err = k.repeater.Append(claimCtx, storer.Append{Topic: storer.Claims, Records: []journaler.Record{record}, Epoch: epoch})
	outcome := "appended"
	if err != nil {
		outcome = err.Error()
	}
	if !errors.Is(err, storer.ErrRefused) {
		k.mu.Lock()
		k.attemptedEpoch, k.attemptedAt = epoch, k.now()
		k.mu.Unlock()
	}
	k.claimsWaker.Wake()
	k.options.Logger.Info("claim: Attempted to claim the cell.", zap.Int64("epoch", epoch),
		zap.String("reason", reason), zap.String("outcome", outcome))
}

// applyClaim starts a takeover if the claim in the log is a new one of this host, and stops
// holding the cell if the claim is released or belongs to another host. The caller has the lock.
func (k *Coordinator) applyClaim() {
	claim := k.state.Claim
	isMine := claim.Host == k.options.Name && claim.Incarnation == k.options.Incarnation && !claim.Released
	switch {
	case isMine && claim.Epoch > k.takeoverEpoch && !k.isLeaving:
		k.takeoverEpoch = claim.Epoch
		k.stopHolding("A later claim of this host is in force.")
		go k.takeOver(claim)
	case !isMine && k.holder != nil && claim.Epoch >= k.holder.Epoch():
		k.stopHolding("Another host has the claim.")
	}
}

// takeOver reads the jobs topic to its end, which covers all jobs from before the claim, then starts
// to hold the cell.
func (k *Coordinator) takeOver(claim journaler.Claim) {
	for {
		k.mu.Lock()
		from, isMine := k.nextJobOffset, k.state.Claim.Epoch == claim.Epoch && !k.isLeaving
		k.mu.Unlock()
		if !isMine {
			return
		}
		readCtx, cancel := context.WithTimeout(context.Background(), claimTimeout)
		entries, err := k.options.Store.Read(readCtx, storer.Jobs, from, 0)
		cancel()
		switch {
		case err != nil:
			k.options.Logger.Warn("claim: Reading the jobs failed; the takeover retries.", zap.Int64("epoch", claim.Epoch), zap.String("error", err.Error()))
			k.options.Clock.Sleep(readRetryPause)
		case len(entries) > 0:
			k.applyJobs(entries)
		default:
			k.mu.Lock()
			if k.state.Claim.Epoch == claim.Epoch && !k.isLeaving {
				k.startHolding(k.now(), claim)
			}
			k.mu.Unlock()
			return
		}
	}
}
