package coordinator_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/fleet/journaler"
)

// TestTakeoverCountsFromTheLastRecordOfTheFormerHolder guards against a takeover that counts the leases of
// the former holder from its own claim on, which is a second later, or does not know when it claimed.
func TestTakeoverCountsFromTheLastRecordOfTheFormerHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 3)
		defer c.shutDown()
		crashed := c.holder()
		crashedAt := time.Now()
		c.shutdowns[crashed]()
		c.hosts = append(c.hosts[:crashed], c.hosts[crashed+1:]...)
		time.Sleep(2200 * time.Millisecond)
		require.GreaterOrEqual(t, c.holder(), 0, "no host took over")
		lines := c.logs.FilterMessage("claim: This host holds the cell.").All()
		require.Len(t, lines, 2)
		line, fields := lines[1], lines[1].ContextMap()
		seenAt := line.Time.Add(-fields["former_record_age"].(time.Duration))
		sentAt := line.Time.Add(-fields["claim_age"].(time.Duration))
		// The former holder appends every 400 ms, and its peers read a record within 200 ms.
		require.WithinRange(t, seenAt, crashedAt.Add(-400*time.Millisecond), crashedAt.Add(200*time.Millisecond))
		require.True(t, sentAt.After(seenAt))
		require.True(t, sentAt.Before(line.Time))
	})
}

// claimedLease returns the lease of the claim in force.
func (c *cell) claimedLease() time.Duration {
	page, err := c.store.Newest(c.t.Context(), storer.Claims, "")
	require.NoError(c.t, err)
	state := journaler.New()
	for _, e := range page.Entries {
		_, err := state.Apply(e.Record, e.Offset)
		require.NoError(c.t, err)
	}
	return state.Claim.Lease
}

// TestClaimCarriesTheLongestLeaseGranted guards against a successor that waits for the longest lease that
// workers accept in a cell whose holders grant shorter ones, or for too short a lease after a holder that
// recorded none.
func TestClaimCarriesTheLongestLeaseGranted(t *testing.T) {
	const granted, accepted = 3500 * time.Millisecond, 6 * time.Second
	t.Run("a new cell", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := newCell(t, 2)
			defer c.shutDown()
			require.Equal(t, granted, c.claimedLease())
			c.hosts[c.holder()].Leave(t.Context())
			time.Sleep(2 * time.Second)
			require.GreaterOrEqual(t, c.holder(), 0, "no host took over")
			require.Equal(t, granted, c.claimedLease())
		})
	})
	t.Run("a former claim without a lease", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := newCell(t, 0)
			defer c.shutDown()
			claim, err := journaler.NewClaim(journaler.Claim{Epoch: 1, Host: "former", Incarnation: "x"})
			require.NoError(t, err)
			c.store.Put(storer.Claims, storer.Entry{Record: claim})
			c.start("h-0", "incarnation-0")
			time.Sleep(4 * time.Second)
			require.Equal(t, 0, c.holder())
			require.Equal(t, accepted, c.claimedLease())
		})
	})
}
