// Package elector decides when a host claims the cell: when there is no holder, when the
// holder left or ended, and when it has fallen silent in a log that could be read all the
// while: sooner where it does not answer its peers either, later where it does. Large hosts
// claim before small ones, and those near the store before the others.
//
// # Usage
//
//	epoch, reason := elector.Decide(view, now)
//	if reason != "" {
//		// append a claim of that epoch
//	}
package elector

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilrock.example/internal/fleet/journaler"
)

const (
	// holderSilence is when a holder that is not heard in the log is replaced: several beats
	// and a slow append fit in.
	holderSilence = 1600 * time.Millisecond
	// vouchedSilence is when a holder is replaced that answers its peers: its appends don't
	// arrive, so it is cut off from the store, or the store is slow.
	vouchedSilence = 3 * time.Second
	// vouchedFor is how long a holder's answer to this host counts.
	vouchedFor = 900 * time.Millisecond
	// doubtedSilence is when a holder is replaced that does not answer its peers: one beat is
	// missing as well.
	doubtedSilence = 700 * time.Millisecond
	// doubtTime is how long it has not answered by then: two questions.
	doubtTime = 300 * time.Millisecond
	// delayWeight makes hosts near the store claim first.
	delayWeight = 4
	// maxRankDelay bounds the handicap of hosts far from the store.
	maxRankDelay = 600 * time.Millisecond
	// smallDelay has larger hosts claim before small ones: a claim is read everywhere by then.
	smallDelay = 700 * time.Millisecond
	// rankSpread separates hosts of one data centre.
	rankSpread = 60 * time.Millisecond
	// maxReadAge is how old the view of the log may be: a read that waits, and its way.
	maxReadAge = 1300 * time.Millisecond
	// triedPause is how long a host waits to read what became of a claim of its own.
	triedPause = 1200 * time.Millisecond
)

// View is what a host knows when it decides.
type View struct {
	Self        string
	Incarnation string
	Claim       journaler.Claim
	// ReadAt is when the claims were last read, FailedAt when a read of them last failed.
	ReadAt   time.Time
	FailedAt time.Time
	// BeatAt is when the holder was last heard.
	BeatAt time.Time
	// HeldAt is when the holder last told this host that it holds; zero where it was not asked.
	HeldAt time.Time
	// UnansweredSince is when the questions to the holder that have no answer since began; zero
	// where the last one was answered.
	UnansweredSince time.Time
	// IsSmall reports that a considerably larger host is known.
	IsSmall bool
	// StoreDelay is how long the store took for a call.
	StoreDelay time.Duration
	// TriedEpoch is the highest that this host tried to claim, at TriedAt.
	TriedEpoch int64
	TriedAt    time.Time
}

// Decide returns the epoch to claim and why, or no reason.
func Decide(v View, now time.Time) (int64, string) {
	if now.Sub(v.ReadAt) > maxReadAge || now.Sub(v.TriedAt) < triedPause {
		return 0, ""
	}
	heard := v.BeatAt
	if v.FailedAt.After(heard) {
		heard = v.FailedAt
	}
	quiet := now.Sub(heard) - rankDelay(v)
	epoch := max(v.Claim.Epoch, v.TriedEpoch) + 1
	switch {
	case v.Claim.Epoch == 0 && quiet > 0:
		return epoch, "there is no holder yet"
	case v.Claim.Host == v.Self && v.Claim.Incarnation != v.Incarnation:
		return epoch, "the holder was a former life of this host"
	case v.Claim.Released && quiet > 0:
		return epoch, "the holder left"
	case quiet > silence(v, now):
		return epoch, "the holder is silent"
	}
	return 0, ""
}

// silence returns for how long the log may lack the holder's beats.
func silence(v View, now time.Time) time.Duration {
	switch {
	case !v.UnansweredSince.IsZero() && now.Sub(v.UnansweredSince) > doubtTime:
		return doubtedSilence
	case !v.HeldAt.IsZero() && now.Sub(v.HeldAt) < vouchedFor:
		return vouchedSilence
	}
	return holderSilence
}

// rankDelay is a host's handicap.
func rankDelay(v View) time.Duration {
	spread := time.Duration(xxhash.Sum64String(v.Self) % uint64(rankSpread))
	delay := min(delayWeight*v.StoreDelay, maxRankDelay) + spread
	if v.IsSmall {
		delay += smallDelay
	}
	return delay
}
