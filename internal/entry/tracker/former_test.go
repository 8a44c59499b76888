package tracker_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/entry/tracker"
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
