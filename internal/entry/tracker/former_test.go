package tracker_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/entry/tracker"
	"lentilrock.example/internal/fleet/journaler"
)

// TestRepeatOfClaimKeepsItsTime guards against a claim that counts as later than it is, since it was read
// again or released after records of its own holder.
func TestRepeatOfClaimKeepsItsTime(t *testing.T) {
	at := func(second int64) time.Time { return time.Unix(second, 0) }
	var f tracker.FormerRecords
	f.RecordClaim(1)
	require.Zero(t, f.SeenBefore(1), "no record is known before the first claim")
	f.RecordRead(at(10))
	f.RecordClaim(3)
	f.RecordRead(at(20))
	for _, repeated := range []int64{3, 1} {
		f.RecordClaim(repeated)
		require.Equal(t, at(10), f.SeenBefore(3))
		require.Zero(t, f.SeenBefore(1))
	}
	f.RecordClaim(4)
	require.Equal(t, at(20), f.SeenBefore(4))
	require.Zero(t, f.SeenBefore(3))
	require.Zero(t, f.SeenBefore(5))
}

// TestEndOfFormerHolders guards against a former holder that is taken for ended, since another process than the one that was asked
// has ended.
func TestEndOfFormerHolders(t *testing.T) {
	const authority = 11 * time.Second
	at := func(second int64) time.Time { return time.Unix(second, 0) }
	claim := func(epoch int64, address string) journaler.Claim {
		return journaler.Claim{Epoch: epoch, Host: "h-" + address, Address: address}
	}
	var f tracker.FormerHolders
	f.Record(claim(1, "a"), at(1))
	_, _, isKnown := f.Former(1, authority)
	require.False(t, isKnown, "there was no former holder")
	f.Record(claim(2, "a"), at(50))
	f.Record(claim(2, "a"), at(55))
	f.Record(claim(3, "b"), at(60))
	holder, end, isKnown := f.Former(3, authority)
	require.True(t, isKnown)
	require.Equal(t, journaler.Host{Name: "h-a", Address: "a"}, holder)
	require.Zero(t, end, "both former holders were at this address")
	f.Record(claim(4, "c"), at(65))
	holder, end, _ = f.Former(4, authority)
	require.Equal(t, "b", holder.Address)
	require.Equal(t, at(71), end, "the holder before it may act until then")
	_, _, isKnown = f.Former(3, authority)
	require.False(t, isKnown, "it is no longer the newest claim")
	f.Record(claim(5, ""), at(66))
	f.Record(claim(6, "d"), at(67))
	_, _, isKnown = f.Former(6, authority)
	require.False(t, isKnown, "the former holder did not tell its address")
	var started tracker.FormerHolders
	started.Record(claim(7, "a"), at(100))
	started.Record(claim(8, "b"), at(105))
	_, end, _ = started.Former(8, authority)
	require.Equal(t, at(111), end, "the holders before the first claim that was read are not known")
	started.Record(claim(10, "b"), at(205))
	started.Record(claim(11, "c"), at(300))
	_, end, _ = started.Former(11, authority)
	require.Equal(t, at(216), end, "the holder of claim 9 is not known")
}
