package coordinator

import (
	"time"

	"go.uber.org/zap"

	"lentilrock.example/internal/entry/elector"
	"lentilrock.example/internal/entry/prober"
	"lentilrock.example/internal/entry/resigner"
	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/fleet/journaler"
)

const (
	// firstClaimDelay lets the hosts of a new cell read each other's announcements before one of
	// them claims the cell.
	firstClaimDelay = 300 * time.Millisecond
	// firstEpoch is the epoch of the first claim of a cell, before which no holder granted leases.
	firstEpoch = 1
)

// decideClaim returns the epoch to claim and the reason, or an empty reason if this host must not
// claim.
func (k *Coordinator) decideClaim() (int64, string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	if k.isLeaving || k.holder != nil || !k.hasReadCell() || k.catalog.ListedAt.IsZero() {
		return 0, ""
	}
	if isNew := k.state.Claim.Epoch == 0; isNew && !k.announcer.IsAnnouncedFor(firstClaimDelay) {
		return 0, ""
	}
	probed := k.prober.View()
	if probed.Epoch != k.state.Claim.Epoch {
		probed = prober.View{}
	}
	attemptedEpoch, attemptedAt := k.claimant.Attempted()
	return elector.Decide(elector.View{
		Self: k.options.Name, Incarnation: k.options.Incarnation, Claim: k.state.Claim,
		ReadAt: k.reads.ClaimsAt, FailedAt: k.reads.ClaimsFailedAt, HeartbeatAt: k.heartbeats.At, StoreDelay: k.announcer.StoreDelay(), IsSmall: resigner.IsSmall(k.options.Cores, k.liveHosts()),
		ConfirmedAt: probed.AnsweredAt, UnansweredSince: probed.FailingSince, AttemptedEpoch: attemptedEpoch, AttemptedAt: attemptedAt,
	}, now)
}

// claimTerms returns the claim of an epoch with the lease and the authority that it carries.
func (k *Coordinator) claimTerms(epoch int64) journaler.Claim {
	k.mu.Lock()
	defer k.mu.Unlock()
	options := k.dispatcherOptions()
	lease := options.LongestLease()
	if epoch == firstEpoch {
		lease = options.OwnLease()
	}
	return journaler.Claim{Epoch: epoch, Lease: lease, Authority: options.LongestAuthority(), Address: k.options.PeerAddress.String()}
}

// applyClaim starts a takeover if the claim in the log is a new one of this host, and stops
// holding the cell if the claim is released or belongs to another host. The caller has the lock.
func (k *Coordinator) applyClaim() {
	claim := k.state.Claim
	isMine := claim.Host == k.options.Name && claim.Incarnation == k.options.Incarnation && !claim.Released
	switch {
	case isMine && claim.Epoch > k.takeoverEpoch && !k.isLeaving:
		k.takeoverEpoch = claim.Epoch
		k.options.Logger.Info("claim: The claim of this host is in force. It reads the jobs, then holds the cell.", zap.Int64("epoch", claim.Epoch))
		k.stopHolding("A later claim of this host is in force.")
		go k.takeOver(claim)
	case !isMine && k.holder != nil && claim.Epoch >= k.holder.Epoch():
		k.stopHolding("Another host has the claim.")
	}
}

// takeOver reads the jobs topic to the end that it has now, which covers all jobs from before the claim,
// then starts to hold the cell.
func (k *Coordinator) takeOver(claim journaler.Claim) {
	isMine := func() bool { return k.state.Claim.Epoch == claim.Epoch && k.peerEpoch <= claim.Epoch && !k.isLeaving }
	k.reader.CatchUp(storer.Jobs, func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return isMine()
	})
	k.mu.Lock()
	defer k.mu.Unlock()
	if isMine() {
		k.startHolding(k.now(), claim)
	}
}

// stepDown stops holding the cell if a peer has read a later claim, which this host may be unable to read.
func (k *Coordinator) stepDown(peer string, epoch int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.peerEpoch = max(k.peerEpoch, epoch)
	if k.holder == nil || epoch <= k.holder.Epoch() {
		return
	}
	k.options.Logger.Info("claim: A peer has read a later claim.", zap.String("peer", peer), zap.Int64("epoch", epoch))
	k.stopHolding("A peer has read a later claim.")
	k.claimsWaker.Wake()
}
