package keeper

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"lentilrock.example/internal/entry/elector"
	"lentilrock.example/internal/entry/prober"
	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/entry/yielder"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/node/pauser"
)

const (
	// electEvery is how often a host looks whether to claim.
	electEvery = 50 * time.Millisecond
	// claimTimeout bounds the append of a claim.
	claimTimeout = time.Second
	// claimPause separates a host's appends that the store refused.
	claimPause = 400 * time.Millisecond
	// firstClaimAfter lets the hosts of a new cell read of each other before one claims.
	firstClaimAfter = 300 * time.Millisecond
	// yieldEvery is how often a small holder looks for a larger host.
	yieldEvery = 3 * time.Second
	// refusedReadPause separates reads of a new holder that fail.
	refusedReadPause = 50 * time.Millisecond
)

// elect claims the cell when it has no holder.
func (k *Keeper) elect(ctx context.Context) {
	for ctx.Err() == nil {
		pauser.Pause(ctx, k.options.Clock, electEvery)
		k.mu.Lock()
		epoch, reason := k.wantsClaim(k.now())
		k.mu.Unlock()
		if reason == "" {
			continue
		}
		k.claim(ctx, epoch, reason)
		pauser.Pause(ctx, k.options.Clock, claimPause)
	}
}

// wantsClaim returns the epoch to claim and why, or no reason.
func (k *Keeper) wantsClaim(now time.Time) (int64, string) {
	if k.leaving || k.holder != nil || !k.knowsCell() || k.catalog.ListedAt.IsZero() {
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
		ReadAt: k.claimsAt, FailedAt: k.failedAt, BeatAt: k.beatAt, StoreDelay: k.announcer.StoreDelay(), IsSmall: k.isSmall(),
		HeldAt: probed.AnsweredAt, UnansweredSince: probed.FailingSince, TriedEpoch: k.triedEpoch, TriedAt: k.triedAt,
	}, now)
}

// isAnnounced reports whether this host was announced, and could read of the others since.
func (k *Keeper) isAnnounced(now time.Time) bool {
	at := k.announcer.AnnouncedAt()
	return !at.IsZero() && now.Sub(at) >= firstClaimAfter
}

// isSmall reports whether a considerably larger host is known; the caller has the lock.
func (k *Keeper) isSmall() bool { return yielder.IsSmall(k.options.Cores, k.liveHosts()) }

// yield gives the cell to a larger host where a small one holds it.
func (k *Keeper) yield(ctx context.Context) {
	for ctx.Err() == nil {
		pauser.Pause(ctx, k.options.Clock, yieldEvery)
		if k.IsHolder() && k.yielder.HasLarger(ctx) {
			k.release(ctx, "A larger host can hold the cell.")
		}
	}
}

// claim appends a claim. Whether it won is read from the log. An epoch is tried once: the
// store takes only the first append of an epoch's claim.
func (k *Keeper) claim(ctx context.Context, epoch int64, reason string) {
	k.mu.Lock()
	lease := k.dispatchOptions().LongestLease()
	k.mu.Unlock()
	record, err := journaler.NewClaim(journaler.Claim{
		Epoch: epoch, Host: k.options.Name, Incarnation: k.options.Incarnation, Lease: lease,
	})
	if err != nil {
		k.options.Logger.Error("claim: Can't be encoded.", zap.String("error", err.Error()))
		return
	}
	claiming, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	_, err = k.options.Store.Append(claiming, storer.Append{Topic: storer.Claims, Records: []journaler.Record{record}, Epoch: epoch})
	outcome := "appended"
	if err != nil {
		outcome = err.Error()
	}
	if !errors.Is(err, storer.ErrRefused) {
		k.mu.Lock()
		k.triedEpoch, k.triedAt = epoch, k.now()
		k.mu.Unlock()
	}
	k.wakeClaims.Wake()
	k.options.Logger.Info("claim: Claimed.", zap.Int64("epoch", epoch), zap.String("reason", reason), zap.String("outcome", outcome))
}

// followClaim takes the cell up or gives it up as the log says.
func (k *Keeper) followClaim() {
	claim := k.state.Claim
	isMine := claim.Host == k.options.Name && claim.Incarnation == k.options.Incarnation && !claim.Released
	switch {
	case isMine && claim.Epoch > k.lastEpoch && !k.leaving:
		k.lastEpoch = claim.Epoch
		k.resign("A later claim of this host is in force.")
		go k.takeUp(claim)
	case !isMine && k.holder != nil && claim.Epoch >= k.holder.Epoch():
		k.resign("Another host has the claim.")
	}
}

// takeUp reads the jobs up to the claim, then holds the cell.
func (k *Keeper) takeUp(claim journaler.Claim) {
	for {
		k.mu.Lock()
		from, isMine := k.nextJob, k.state.Claim.Epoch == claim.Epoch && !k.leaving
		k.mu.Unlock()
		if !isMine {
			return
		}
		reading, cancel := context.WithTimeout(context.Background(), claimTimeout)
		entries, err := k.options.Store.Read(reading, storer.Jobs, from, 0)
		cancel()
		switch {
		case err != nil:
			k.options.Logger.Warn("claim: The jobs can't be read.", zap.Int64("epoch", claim.Epoch), zap.String("error", err.Error()))
			k.options.Clock.Sleep(refusedReadPause)
		case len(entries) > 0:
			k.applyJobs(entries)
		default:
			k.mu.Lock()
			if k.state.Claim.Epoch == claim.Epoch && !k.leaving {
				k.hold(k.now(), claim)
			}
			k.mu.Unlock()
			return
		}
	}
}
