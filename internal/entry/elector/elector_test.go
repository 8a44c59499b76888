package elector_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/entry/elector"
	"lentilrock.example/internal/fleet/journaler"
)

// TestDecide guards against two failures: a healthy holder is replaced on weak evidence, and a
// failed holder is not replaced in time.
func TestDecide(t *testing.T) {
	now := time.Unix(1_000, 0)
	before := func(d time.Duration) time.Time { return now.Add(-d) }
	base := elector.View{
		Self: "b", Incarnation: "2", Claim: journaler.Claim{Epoch: 4, Host: "a", Incarnation: "1"},
		ReadAt: now, HeartbeatAt: before(100 * time.Millisecond),
	}
	for _, test := range []struct {
		name   string
		change func(v *elector.View)
		epoch  int64
	}{
		{"a holder with recent heartbeats stays", func(*elector.View) {}, 0},
		{"a holder without heartbeats is replaced", func(v *elector.View) { v.HeartbeatAt = before(3 * time.Second) }, 5},
		{"missing heartbeats do not count while the log is unreadable", func(v *elector.View) {
			v.HeartbeatAt, v.FailedAt = before(3*time.Second), before(time.Second)
		}, 0},
		{"missing heartbeats do not count in an old view of the log", func(v *elector.View) {
			v.HeartbeatAt, v.ReadAt = before(5*time.Second), before(2*time.Second)
		}, 0},
		{"a holder that released its claim is replaced at once", func(v *elector.View) { v.Claim.Released = true }, 5},
		{"a previous incarnation of this host is replaced at once", func(v *elector.View) { v.Claim.Host = "b" }, 5},
		{"the present incarnation of this host stays", func(v *elector.View) { v.Claim.Host, v.Claim.Incarnation = "b", "2" }, 0},
		{"a cell without a claim gets its first", func(v *elector.View) { v.Claim = journaler.Claim{} }, 1},
		{"an epoch is attempted only once", func(v *elector.View) {
			v.HeartbeatAt, v.AttemptedEpoch, v.AttemptedAt = before(9*time.Second), 6, before(2*time.Second)
		}, 7},
		{"no second claim while the last attempt is recent", func(v *elector.View) {
			v.HeartbeatAt, v.AttemptedEpoch, v.AttemptedAt = before(9*time.Second), 5, before(100*time.Millisecond)
		}, 0},
		{"a holder without heartbeats that replies to peers gets more time", func(v *elector.View) {
			v.HeartbeatAt, v.ConfirmedAt = before(2500*time.Millisecond), before(300*time.Millisecond)
		}, 0},
		{"a holder that replies to peers but cannot reach the store is replaced", func(v *elector.View) {
			v.HeartbeatAt, v.ConfirmedAt = before(3500*time.Millisecond), before(300*time.Millisecond)
		}, 5},
		{"a holder that does not reply to peers is replaced after one missing heartbeat", func(v *elector.View) {
			v.HeartbeatAt, v.UnansweredSince = before(900*time.Millisecond), before(400*time.Millisecond)
		}, 5},
		{"a holder with heartbeats that does not reply to peers stays", func(v *elector.View) {
			v.HeartbeatAt, v.UnansweredSince = before(300*time.Millisecond), before(9*time.Second)
		}, 0},
		{"one request without a reply does not count", func(v *elector.View) {
			v.HeartbeatAt, v.UnansweredSince = before(900*time.Millisecond), before(100*time.Millisecond)
		}, 0},
		{"a small host waits for larger ones to claim", func(v *elector.View) {
			v.HeartbeatAt, v.IsSmall = before(2*time.Second), true
		}, 0},
		{"a small host claims if no larger one does", func(v *elector.View) {
			v.HeartbeatAt, v.IsSmall = before(3*time.Second), true
		}, 5},
		{"a host far from the store waits longer", func(v *elector.View) {
			v.HeartbeatAt, v.StoreDelay = before(1800*time.Millisecond), time.Second
		}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			v := base
			test.change(&v)
			epoch, reason := elector.Decide(v, now)
			require.Equal(t, test.epoch, epoch)
			require.Equal(t, test.epoch == 0, reason == "")
		})
	}
}

// TestNearHostClaimsBeforeDistantOnes answers the pattern of a holder that is cut off, in a cell with
// most of its hosts in other regions than the store. It guards against a holder in another region,
// which is slower for the whole cell, because it happened to read the last heartbeat earlier.
func TestNearHostClaimsBeforeDistantOnes(t *testing.T) {
	const readPause = 600 * time.Millisecond
	lastRead := time.Unix(1_000, 0)
	claimAt := func(name string, storeDelay, readLater time.Duration) time.Duration {
		for after := time.Duration(0); after < 10*time.Second; after += 10 * time.Millisecond {
			now := lastRead.Add(after)
			epoch, _ := elector.Decide(elector.View{
				Self: name, Incarnation: "1", Claim: journaler.Claim{Epoch: 4, Host: "holder", Incarnation: "1"}, ReadAt: now,
				HeartbeatAt: lastRead.Add(readLater), UnansweredSince: lastRead, StoreDelay: storeDelay,
			}, now)
			if epoch > 0 {
				return after
			}
		}
		return 0
	}
	for _, near := range []string{"a", "b", "c"} {
		for _, distant := range []string{"d", "e", "f"} {
			require.Less(t, claimAt(near, 10*time.Millisecond, readPause), claimAt(distant, 65*time.Millisecond, 0), "%s before %s", near, distant)
		}
	}
	require.LessOrEqual(t, claimAt("d", 65*time.Millisecond, readPause), 2200*time.Millisecond, "a distant host must claim if no other does")
}
