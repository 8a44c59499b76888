package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/standin/keeper"
)

// claimsTest applies batches of claims to a host, one a second.
type claimsTest struct {
	t     *testing.T
	clock *clockwork.FakeClock
	host  *Coordinator
	next  int64
}

func newClaimsTest(t *testing.T) *claimsTest {
	clock := clockwork.NewFakeClock()
	// A host that leaves does not hold the cell, but reads on.
	host := New(Options{Name: "self", Incarnation: "x", Store: keeper.NewStore(clock), Clock: clock})
	host.isLeaving = true
	return &claimsTest{t: t, clock: clock, host: host}
}

// batch returns the records with consecutive offsets.
func (c *claimsTest) batch(records ...journaler.Record) storer.Batch {
	var batch storer.Batch
	for _, r := range records {
		batch.Entries = append(batch.Entries, storer.Entry{Offset: c.next, Record: r})
		c.next++
	}
	batch.Next, batch.End = c.next, c.next
	return batch
}

// apply applies a batch and returns when.
func (c *claimsTest) apply(apply func(storer.Batch), batch storer.Batch) time.Time {
	c.clock.Advance(time.Second)
	apply(batch)
	return c.clock.Now()
}

func (c *claimsTest) claim(epoch int64, host string) journaler.Record {
	r, err := journaler.NewClaim(journaler.Claim{Epoch: epoch, Host: host, Incarnation: "x"})
	require.NoError(c.t, err)
	return r
}

func (c *claimsTest) heartbeat(epoch int64) journaler.Record {
	r, err := journaler.NewHeartbeat(journaler.Heartbeat{Epoch: epoch})
	require.NoError(c.t, err)
	return r
}

// TestLastRecordOfFormerHoldersCounts guards against a successor that counts the leases of a former holder
// from an earlier time on than the reading of its last record, or from a later one on than needed.
func TestLastRecordOfFormerHoldersCounts(t *testing.T) {
	t.Run("a record in an earlier batch keeps its time", func(t *testing.T) {
		c := newClaimsTest(t)
		c.apply(c.host.resetClaims, c.batch(c.claim(1, "other")))
		seenAt := c.apply(c.host.applyClaims, c.batch(c.heartbeat(1)))
		c.apply(c.host.applyClaims, c.batch())
		c.apply(c.host.applyClaims, c.batch(c.claim(2, "self"), c.heartbeat(2)))
		c.apply(c.host.applyClaims, c.batch(c.heartbeat(2)))
		require.Equal(t, seenAt, c.host.former.SeenBefore(2))
		require.Zero(t, c.host.former.SeenBefore(1))
		require.Zero(t, c.host.former.SeenBefore(3))
	})
	t.Run("a record in the batch of the claim has its time", func(t *testing.T) {
		c := newClaimsTest(t)
		c.apply(c.host.resetClaims, c.batch(c.claim(1, "other")))
		c.apply(c.host.applyClaims, c.batch(c.heartbeat(1)))
		seenAt := c.apply(c.host.applyClaims, c.batch(c.heartbeat(1), c.claim(2, "self"), c.heartbeat(2)))
		require.Equal(t, seenAt, c.host.former.SeenBefore(2))
	})
	t.Run("records of this host under an earlier claim count", func(t *testing.T) {
		c := newClaimsTest(t)
		c.apply(c.host.resetClaims, c.batch(c.claim(1, "self")))
		seenAt := c.apply(c.host.applyClaims, c.batch(c.heartbeat(1)))
		c.apply(c.host.applyClaims, c.batch(c.claim(2, "self")))
		require.Equal(t, seenAt, c.host.former.SeenBefore(2))
	})
	t.Run("a claim that replaced records in a list has the time of the list", func(t *testing.T) {
		c := newClaimsTest(t)
		c.apply(c.host.resetClaims, c.batch(c.claim(1, "other")))
		c.next += 5
		list := c.batch(c.claim(2, "self"), c.heartbeat(2))
		c.host.applyRoutes(list.Entries)
		seenAt := c.apply(c.host.resetClaims, list)
		require.Equal(t, seenAt, c.host.former.SeenBefore(2))
	})
	t.Run("a claim that is read twice keeps its time", func(t *testing.T) {
		c := newClaimsTest(t)
		seenAt := c.apply(c.host.resetClaims, c.batch(c.claim(1, "other")))
		batch := c.batch(c.claim(2, "self"))
		c.apply(c.host.applyClaims, batch)
		c.apply(c.host.resetClaims, batch)
		require.Equal(t, seenAt, c.host.former.SeenBefore(2))
	})
}

// TestTakeoverEndsForALaterClaim guards against a host that begins to hold the cell under a claim although a
// peer has told it of a later one before.
func TestTakeoverEndsForALaterClaim(t *testing.T) {
	for peerEpoch, isHolder := range map[int64]bool{0: true, 2: true, 3: false} {
		synctest.Test(t, func(t *testing.T) {
			c := newClaimsTest(t)
			clock := clockwork.NewRealClock()
			c.host = New(Options{Name: "self", Incarnation: "x", Store: keeper.NewStore(clock), Clock: clock})
			c.host.isLeaving = true
			c.apply(c.host.resetClaims, c.batch(c.claim(2, "self")))
			c.host.isLeaving = false
			c.host.stepDown("peer", peerEpoch)
			c.host.takeOver(c.host.state.Claim)
			isHeld := c.host.IsHolder()
			c.host.mu.Lock()
			c.host.stopHolding("The test ends.")
			c.host.mu.Unlock()
			time.Sleep(10 * time.Second)
			require.Equal(t, isHolder, isHeld, "epoch %d", peerEpoch)
		})
	}
}
