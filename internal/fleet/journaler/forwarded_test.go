package journaler_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
)

// TestCheckForwarded guards against a peer that makes this host persist a claim, or the progress of a job, as its own,
// and against a submission under the name of another job.
func TestCheckForwarded(t *testing.T) {
	job := newRecord(t, journaler.NewJob, &describer.Job{ID: "a"})
	for _, r := range []journaler.Record{
		job, newRecord(t, journaler.NewDrain, journaler.Drain{Kind: "worker", Name: "w-1"}), {Key: "x/a", Value: []byte{1}},
	} {
		require.NoError(t, journaler.CheckForwarded(r))
	}
	for _, r := range []journaler.Record{
		newRecord(t, journaler.NewClaim, journaler.Claim{Epoch: 1}), newRecord(t, journaler.NewHeartbeat, journaler.Heartbeat{Epoch: 1}),
		{Key: "w", Value: []byte{1}}, {Key: "w/1", Value: []byte{1}}, {Key: "p/a", Value: []byte{1}}, {Key: "j/a"}, {Key: "", Value: []byte{1}},
		{Key: "j/a", Value: make([]byte, 192<<10+1)},
	} {
		require.Error(t, journaler.CheckForwarded(r), "%q", r.Key)
	}
	job.Key = "j/b"
	state := journaler.New()
	_, err := state.Apply(job, 0)
	require.ErrorContains(t, err, `names job "a"`)
	require.Empty(t, state.Jobs)
}
