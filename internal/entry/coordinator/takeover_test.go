package coordinator_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
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
