package journaler_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/journaler"
)

// TestRosterOfManyWorkers guards against a roster that the store refuses for ever since it is too large for a record, and
// against a worker that no record lists while only some of them have been appended.
func TestRosterOfManyWorkers(t *testing.T) {
	const maxRecord = 262_144
	members := func(count int) []journaler.Member {
		var list []journaler.Member
		for i := range count {
			list = append(list, journaler.Member{ID: fmt.Sprintf("i-%016x", i), Incarnation: 1_800_000_000_000, HasLongestLease: true})
		}
		return list
	}
	state := journaler.New()
	offset := int64(0)
	former := []journaler.Member(nil)
	for _, count := range []int{10, 2000, 2001, 9000, 8500, 2000, 9000, 5} {
		list := members(count)
		records, err := journaler.NewRoster(journaler.Roster{Epoch: 1, Members: list})
		require.NoError(t, err)
		for _, r := range records {
			require.Less(t, len(r.Key)+len(r.Value), maxRecord)
			require.True(t, journaler.IsRoster(r))
			_, err := state.Apply(r, offset)
			require.NoError(t, err)
			offset++
			// Whatever was appended so far, the workers of both rosters are listed.
			require.Subset(t, state.Members(), list[:min(len(list), len(former), 50)])
		}
		require.ElementsMatch(t, list[:min(count, 50)], intersect(state.Members(), list[:min(count, 50)]))
		require.Len(t, state.Members(), count)
		former = list
	}
	for _, key := range []string{"w/0", "w/16", "w/-1", "w/x"} {
		_, err := state.Apply(journaler.Record{Key: key, Value: []byte{0xa0}}, offset)
		require.Error(t, err, key)
	}
}

// intersect returns the members that are also among the wanted ones.
func intersect(members, wanted []journaler.Member) []journaler.Member {
	ids := make(map[string]bool)
	for _, m := range wanted {
		ids[m.ID] = true
	}
	var both []journaler.Member
	for _, m := range members {
		if ids[m.ID] {
			both = append(both, m)
		}
	}
	return both
}
