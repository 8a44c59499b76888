// Package elector decides when a host claims the cell. A claim is the record in the log that
// makes one host the leader (the holder) of the cell; its epoch is the fencing token.
//
// A host claims the cell if it has no holder, if the holder released its claim or was a previous
// incarnation of this host, or if the holder's heartbeats are missing from a log that was
// readable throughout. The heartbeat timeout is shorter for a holder whose probes fail, too,
// and longer for one that confirms its claim to its peers. Large hosts claim before small ones, and
// hosts near the store before those far from it.
//
// # Usage
//
//	epoch, reason := elector.Decide(view, now)
//	if reason != "" {
//		// append a claim with that epoch
//	}
package elector

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilrock.example/internal/fleet/journaler"
)

const (
	// heartbeatTimeout is how long heartbeats may be missing from the log before the holder is
	// replaced. It allows for several heartbeats and a slow append.
	heartbeatTimeout = 1600 * time.Millisecond
	// confirmedTimeout is the heartbeat timeout of a holder that confirms its claim to this
	// host. Such a holder is cut off from the store, or the store is slow.
	confirmedTimeout = 3 * time.Second
	// confirmationValidity is how long the holder's reply to this host counts as confirmation.
	confirmationValidity = 900 * time.Millisecond
	// unresponsiveTimeout is the heartbeat timeout of a holder whose probes fail: they get no
	// reply, or a reply that the claim is not held. By then one heartbeat is missing, too.
	unresponsiveTimeout = 700 * time.Millisecond
	// minUnansweredTime is how long probes must have failed before unresponsiveTimeout applies:
	// the time of two probes.
	minUnansweredTime = 300 * time.Millisecond
	// storeDelayWeight multiplies the store delay, so that hosts near the store claim first: the cell is
	// slower with a holder in another region.
	storeDelayWeight = 13
	// maxStoreDelayTerm bounds the claim delay of hosts far from the store. It exceeds the pause between
	// reads of the claims, by which hosts differ in when they read the last heartbeat.
	maxStoreDelayTerm = 800 * time.Millisecond
	// smallHostDelay is the extra claim delay of small hosts. By its end all hosts have read the
	// claim of a larger host.
	smallHostDelay = 900 * time.Millisecond
	// jitterRange bounds the jitter that separates the claims of hosts in one data centre.
	jitterRange = 60 * time.Millisecond
	// maxReadAge is how old the last read of the log may be. It allows for a read that waits for
	// records, and its round trip.
	maxReadAge = 1300 * time.Millisecond
	// claimResultWait is how long a host waits to read the result of its own claim from the log.
	claimResultWait = 1200 * time.Millisecond
)

// View is the state of the cell as known to a host when it decides.
type View struct {
	Self        string
	Incarnation string
	Claim       journaler.Claim
	// ReadAt is when the claims were last read, FailedAt when a read of them last failed.
	ReadAt   time.Time
	FailedAt time.Time
	// HeartbeatAt is when a heartbeat, or another record, of the holder was last read.
	HeartbeatAt time.Time
	// ConfirmedAt is when the holder last confirmed its claim to this host; zero if it never did.
	ConfirmedAt time.Time
	// UnansweredSince is the start of the first failed probe of the holder since the last success;
	// zero if the last probe succeeded. A probe fails if there is no reply, or a reply that the
	// claim is not held.
	UnansweredSince time.Time
	// IsSmall reports that a considerably larger host is known.
	IsSmall bool
	// StoreDelay is the latency of the store.
	StoreDelay time.Duration
	// AttemptedEpoch is the highest epoch that this host tried to claim, at AttemptedAt.
	AttemptedEpoch int64
	AttemptedAt    time.Time
}

// Decide returns the epoch to claim and the reason, or an empty reason if the host must not
// claim.
func Decide(v View, now time.Time) (int64, string) {
	if now.Sub(v.ReadAt) > maxReadAge || now.Sub(v.AttemptedAt) < claimResultWait {
		return 0, ""
	}
	missingSince := v.HeartbeatAt
	if v.FailedAt.After(missingSince) {
		missingSince = v.FailedAt
	}
	missingFor := now.Sub(missingSince) - claimDelay(v)
	epoch := max(v.Claim.Epoch, v.AttemptedEpoch) + 1
	switch {
	case v.Claim.Epoch == 0 && missingFor > 0:
		return epoch, "the cell has no holder yet"
	case v.Claim.Host == v.Self && v.Claim.Incarnation != v.Incarnation:
		return epoch, "the holder was a previous incarnation of this host"
	case v.Claim.Released && missingFor > 0:
		return epoch, "the holder released its claim"
	case missingFor > takeoverTimeout(v, now):
		return epoch, "no heartbeat of the holder within the timeout"
	}
	return 0, ""
}

// takeoverTimeout returns how long the holder's heartbeats may be missing from the log.
func takeoverTimeout(v View, now time.Time) time.Duration {
	switch {
	case !v.UnansweredSince.IsZero() && now.Sub(v.UnansweredSince) > minUnansweredTime:
		return unresponsiveTimeout
	case !v.ConfirmedAt.IsZero() && now.Sub(v.ConfirmedAt) < confirmationValidity:
		return confirmedTimeout
	}
	return heartbeatTimeout
}

// claimDelay returns how much longer than the timeout this host waits before it claims. It
// depends on the latency of the store, the size of the host, and a hash of its name.
func claimDelay(v View) time.Duration {
	jitter := time.Duration(xxhash.Sum64String(v.Self) % uint64(jitterRange))
	delay := min(storeDelayWeight*v.StoreDelay, maxStoreDelayTerm) + jitter
	if v.IsSmall {
		delay += smallHostDelay
	}
	return delay
}
