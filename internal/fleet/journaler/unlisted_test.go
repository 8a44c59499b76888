package journaler_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
)

// TestOnlyRemovedJobsAreForgotten guards against an accepted job that is forgotten because a list omits it that
// was complete before the job was appended, or because the job is in the other topic.
func TestOnlyRemovedJobsAreForgotten(t *testing.T) {
	const end = 100
	now := time.Unix(1_800_000_000, 0)
	state := journaler.New()
	apply := func(record journaler.Record, err error, offset int64) {
		require.NoError(t, err)
		_, err = state.Apply(record, offset)
		require.NoError(t, err)
	}
	submit := func(id describer.JobID, offset int64, age time.Duration) {
		record, err := journaler.NewJob(&describer.Job{ID: id, Received: now.Add(-age)})
		apply(record, err, offset)
	}
	begin := func(id describer.JobID, offset int64) {
		record, err := journaler.NewProgress(id, journaler.Progress{Epoch: 1})
		apply(record, err, offset)
	}
	ids := func() []describer.JobID {
		var ids []describer.JobID
		for id := range state.Jobs {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		return ids
	}
	submit("listed", end-1, time.Hour)
	submit("young", end-1, time.Second)
	submit("appended-later", end, time.Hour)
	submit("removed", end-1, time.Hour)
	begin("held", end-1)
	submit("held", end-2, time.Hour)
	begin("held-later", end)
	submit("held-later", end+1, time.Hour)
	begin("held-removed", end-1)
	submit("held-removed", end-2, time.Hour)
	begin("held-young", end-1)
	submit("held-young", end-2, time.Second)
	begin("begun-only", end-1)

	state.RemoveUnlistedJobs(map[string]bool{"j/listed": true}, end, now.Add(-time.Minute))
	require.Equal(t, []describer.JobID{"appended-later", "begun-only", "held", "held-later", "held-removed", "held-young", "listed", "young"}, ids())
	state.RemoveUnlistedProgress(map[string]bool{"p/held": true}, end, now.Add(-time.Minute))
	require.Equal(t, []describer.JobID{"appended-later", "held", "held-later", "held-young", "listed", "young"}, ids())
}
