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

// claim returns the claim in the store.
func (c *cell) claim() journaler.Claim {
	page, err := c.store.Newest(c.t.Context(), storer.Claims, "")
	require.NoError(c.t, err)
	state := journaler.New()
	for _, e := range page.Entries {
		_, err := state.Apply(e.Record, e.Offset)
		require.NoError(c.t, err)
	}
	return state.Claim
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
			require.Equal(t, granted, c.claim().Lease)
			c.hosts[c.holder()].Leave(t.Context())
			time.Sleep(2 * time.Second)
			require.GreaterOrEqual(t, c.holder(), 0, "no host took over")
			require.Equal(t, granted, c.claim().Lease)
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
			require.Equal(t, accepted, c.claim().Lease)
		})
	})
}

// TestHolderWithoutStoreStepsDownForItsSuccessor guards against a holder that is cut off from the store and
// from the workers of its successor, and goes on as holder until the cut ends.
func TestHolderWithoutStoreStepsDownForItsSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 3)
		defer c.shutDown()
		former, epoch := c.holder(), c.claim().Epoch
		c.hostStores[former].isCutOff.Store(true)
		c.hostWorkers[former].isCutOff.Store(true)
		for since := time.Now(); ; time.Sleep(5 * time.Millisecond) {
			isHolder := c.hosts[former].IsHolder()
			if c.claim().Epoch > epoch {
				break
			}
			require.True(t, isHolder, "a holder without a successor goes on")
			require.Less(t, time.Since(since), 4*time.Second, "no host claimed the cell")
		}
		time.Sleep(500 * time.Millisecond)
		require.False(t, c.hosts[former].IsHolder(), "the former holder goes on")
		require.GreaterOrEqual(t, c.holder(), 0)
		lines := c.logs.FilterMessage("claim: A peer has read a later claim.").All()
		require.Len(t, lines, 1)
		require.Equal(t, epoch+1, lines[0].ContextMap()["epoch"])
		require.Contains(t, lines[0].ContextMap()["peer"], "h-")
		require.NotEqual(t, lines[0].ContextMap()["host"], lines[0].ContextMap()["peer"])
		time.Sleep(10 * time.Second)
		require.False(t, c.hosts[former].IsHolder(), "a host without the store holds the cell")
		require.Equal(t, epoch+1, c.hosts[c.holder()].Counts().Epoch, "the claim moved again")
	})
}
