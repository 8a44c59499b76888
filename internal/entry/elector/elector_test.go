package elector_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/entry/elector"
	"lentilrock.example/internal/fleet/journaler"
)

func TestDecide(t *testing.T) {
	now := time.Unix(1_000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	held := elector.View{
		Self: "b", Incarnation: "2", Claim: journaler.Claim{Epoch: 4, Host: "a", Incarnation: "1"},
		ReadAt: now, BeatAt: ago(100 * time.Millisecond),
	}
	for _, test := range []struct {
		name   string
		change func(v *elector.View)
		epoch  int64
	}{
		{"a holder that is heard stays", func(*elector.View) {}, 0},
		{"a silent holder is replaced", func(v *elector.View) { v.BeatAt = ago(3 * time.Second) }, 5},
		{"silence while the log could not be read proves nothing", func(v *elector.View) {
			v.BeatAt, v.FailedAt = ago(3*time.Second), ago(time.Second)
		}, 0},
		{"an old view proves nothing", func(v *elector.View) {
			v.BeatAt, v.ReadAt = ago(5*time.Second), ago(2*time.Second)
		}, 0},
		{"a holder that left is replaced at once", func(v *elector.View) { v.Claim.Released = true }, 5},
		{"a former life of this host is replaced at once", func(v *elector.View) { v.Claim.Host = "b" }, 5},
		{"this life is not", func(v *elector.View) { v.Claim.Host, v.Claim.Incarnation = "b", "2" }, 0},
		{"the first claim", func(v *elector.View) { v.Claim = journaler.Claim{} }, 1},
		{"an epoch is tried once", func(v *elector.View) {
			v.BeatAt, v.TriedEpoch, v.TriedAt = ago(9*time.Second), 6, ago(2*time.Second)
		}, 7},
		{"a claim under way is waited for", func(v *elector.View) {
			v.BeatAt, v.TriedEpoch, v.TriedAt = ago(9*time.Second), 5, ago(100*time.Millisecond)
		}, 0},
		{"a silent holder that answers its peers is left some more time", func(v *elector.View) {
			v.BeatAt, v.HeldAt = ago(2500*time.Millisecond), ago(300*time.Millisecond)
		}, 0},
		{"but not for long: it can't reach the store", func(v *elector.View) {
			v.BeatAt, v.HeldAt = ago(3500*time.Millisecond), ago(300*time.Millisecond)
		}, 5},
		{"a holder that does not answer its peers is replaced once a beat is missing", func(v *elector.View) {
			v.BeatAt, v.UnansweredSince = ago(900*time.Millisecond), ago(400*time.Millisecond)
		}, 5},
		{"while its beats come it stays", func(v *elector.View) {
			v.BeatAt, v.UnansweredSince = ago(300*time.Millisecond), ago(9*time.Second)
		}, 0},
		{"one question without an answer proves nothing", func(v *elector.View) {
			v.BeatAt, v.UnansweredSince = ago(900*time.Millisecond), ago(100*time.Millisecond)
		}, 0},
		{"a small host leaves it to larger ones for a while", func(v *elector.View) {
			v.BeatAt, v.IsSmall = ago(2*time.Second), true
		}, 0},
		{"a small host claims where no larger one does", func(v *elector.View) {
			v.BeatAt, v.IsSmall = ago(3*time.Second), true
		}, 5},
		{"a host far from the store waits longer", func(v *elector.View) {
			v.BeatAt, v.StoreDelay = ago(1800*time.Millisecond), time.Second
		}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			v := held
			test.change(&v)
			epoch, reason := elector.Decide(v, now)
			require.Equal(t, test.epoch, epoch)
			require.Equal(t, test.epoch == 0, reason == "")
		})
	}
}
