package journaler_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
)

func newRecord[T any](t *testing.T, create func(T) (journaler.Record, error), value T) journaler.Record {
	r, err := create(value)
	require.NoError(t, err)
	return r
}

// TestTimesKeepFractions guards against scheduled jobs that start up to a second early, since a record holds its
// times in whole seconds.
func TestTimesKeepFractions(t *testing.T) {
	at := time.UnixMilli(1_800_000_003_950)
	for _, job := range []describer.Job{
		{ID: "a", StartAt: at, Received: at.Add(-time.Millisecond), Repeat: 2},
		{ID: "a", StartAt: at.Truncate(time.Second), Received: at.Truncate(time.Second), Repeat: 2},
	} {
		state := journaler.New()
		entry, err := state.Apply(newRecord(t, journaler.NewJob, &job), 0)
		require.NoError(t, err)
		require.WithinDuration(t, job.StartAt, entry.Job.StartAt, time.Microsecond)
		require.WithinDuration(t, job.Received, entry.Job.Received, time.Microsecond)
	}
	cancel, err := journaler.NewCancel("a", journaler.Cancel{At: at})
	require.NoError(t, err)
	entry, err := journaler.New().Apply(cancel, 0)
	require.NoError(t, err)
	require.WithinDuration(t, at, entry.Cancel.At, time.Microsecond)
}

// TestTimesOfOlderHosts guards against records of older versions, with times in whole seconds, that can't be read.
func TestTimesOfOlderHosts(t *testing.T) {
	at := time.Unix(1_800_000_003, 0)
	value, err := cbor.Marshal(describer.Job{ID: "a", StartAt: at, Repeat: 2})
	require.NoError(t, err)
	entry, err := journaler.New().Apply(journaler.Record{Key: journaler.JobKey("a"), Value: value}, 0)
	require.NoError(t, err)
	require.True(t, at.Equal(entry.Job.StartAt))
}

// TestClaims guards against two leaders: a claim with a stale epoch, or a late release of a former
// claim, must not replace the current claim.
func TestClaims(t *testing.T) {
	first := journaler.Claim{Epoch: 1, Host: "a", Incarnation: "x"}
	second := journaler.Claim{Epoch: 2, Host: "b", Incarnation: "y"}
	released := first
	released.Released = true
	for _, test := range []struct {
		name   string
		claims []journaler.Claim
		want   journaler.Claim
	}{
		{"the first claim becomes the current one", []journaler.Claim{first}, first},
		{"a claim with a later epoch replaces the current one", []journaler.Claim{first, second}, second},
		{"a release of the current claim is recorded", []journaler.Claim{first, released}, released},
		{"a release that follows a later claim is ignored", []journaler.Claim{first, second, released}, second},
		{"a second claim with the same epoch is ignored", []journaler.Claim{second, {Epoch: 2, Host: "c", Incarnation: "z"}}, second},
		{"a claim with a later epoch replaces a released one", []journaler.Claim{first, released, second}, second},
	} {
		t.Run(test.name, func(t *testing.T) {
			state := journaler.New()
			for i, claim := range test.claims {
				_, err := state.Apply(newRecord(t, journaler.NewClaim, claim), int64(i))
				require.NoError(t, err)
			}
			require.Equal(t, test.want, state.Claim)
		})
	}
}

// TestImpossibleEpochs guards against a claim after which no host can claim the cell, as the next epoch would be
// negative.
func TestImpossibleEpochs(t *testing.T) {
	for _, epoch := range []int64{math.MaxInt64, 1<<40 + 1, 0, -1, math.MinInt64} {
		state := journaler.New()
		_, err := state.Apply(newRecord(t, journaler.NewClaim, journaler.Claim{Epoch: epoch, Host: "a"}), 0)
		require.Error(t, err)
		require.Zero(t, state.Claim)
	}
}

// TestOnlyHeartbeatsOfTheCurrentHolderCount guards against a dead holder that seems alive because
// of late heartbeats of a former one.
func TestOnlyHeartbeatsOfTheCurrentHolderCount(t *testing.T) {
	state := journaler.New()
	for i, r := range []journaler.Record{
		newRecord(t, journaler.NewClaim, journaler.Claim{Epoch: 2, Host: "a"}),
		newRecord(t, journaler.NewHeartbeat, journaler.Heartbeat{Epoch: 2}),
		newRecord(t, journaler.NewHeartbeat, journaler.Heartbeat{Epoch: 1}),
	} {
		_, err := state.Apply(r, int64(i))
		require.NoError(t, err)
	}
	require.Equal(t, int64(1), state.HolderOffset, "a heartbeat of a former holder must not count as one of the current holder")
}

// TestJobs guards against a wrong state of a job when records are repeated, arrive out of order, or
// were partly removed before a host began to read.
func TestJobs(t *testing.T) {
	job := describer.Job{ID: "a", Spec: "first", Steps: []describer.Step{{Count: 1}}}
	repeated := job
	repeated.Spec = "second"
	t.Run("the first submission with an id is recorded", func(t *testing.T) {
		state := journaler.New()
		for i, j := range []describer.Job{job, repeated} {
			_, err := state.Apply(newRecord(t, journaler.NewJob, &j), int64(i))
			require.NoError(t, err)
		}
		require.Equal(t, "first", state.Jobs["a"].Job.Spec)
		require.Equal(t, int64(0), state.Jobs["a"].JobOffset)
	})
	t.Run("progress with a lower offset changes nothing", func(t *testing.T) {
		state := journaler.New()
		completed, err := journaler.NewProgress("a", journaler.Progress{Epoch: 1, Outcome: journaler.OutcomeCompleted})
		require.NoError(t, err)
		begun, err := journaler.NewProgress("a", journaler.Progress{Epoch: 1, Begun: true})
		require.NoError(t, err)
		for _, entry := range []struct {
			record journaler.Record
			offset int64
		}{{newRecord(t, journaler.NewJob, &job), 0}, {completed, 7}, {begun, 3}} {
			_, err := state.Apply(entry.record, entry.offset)
			require.NoError(t, err)
		}
		require.Equal(t, describer.JobCompleted, state.Jobs["a"].JobState())
	})
	t.Run("a cancellation that is read before its job counts, and is no state until the holder has decided", func(t *testing.T) {
		state := journaler.New()
		cancel, err := journaler.NewCancel("a", journaler.Cancel{})
		require.NoError(t, err)
		_, err = state.Apply(cancel, 1)
		require.NoError(t, err)
		_, err = state.Apply(newRecord(t, journaler.NewJob, &job), 0)
		require.NoError(t, err)
		require.True(t, state.Jobs["a"].Cancelled)
		require.Equal(t, describer.JobQueued, state.Jobs["a"].JobState())
		decided, err := journaler.NewProgress("a", journaler.Progress{Epoch: 1, Outcome: journaler.OutcomeCancelled})
		require.NoError(t, err)
		_, err = state.Apply(decided, 1)
		require.NoError(t, err)
		require.Equal(t, describer.JobCancelled, state.Jobs["a"].JobState())
	})
	t.Run("a job is gone after the records that remove it", func(t *testing.T) {
		completed, err := journaler.NewProgress("a", journaler.Progress{Epoch: 1, Outcome: journaler.OutcomeCompleted})
		require.NoError(t, err)
		cancel, err := journaler.NewCancel("a", journaler.Cancel{})
		require.NoError(t, err)
		stored := []journaler.Record{newRecord(t, journaler.NewJob, &job), cancel, completed}
		removed := append(journaler.RemoveJob("a"), journaler.RemoveHeldJob("a")...)
		for _, firstRead := range []int{0, 2, 3} {
			// A host that starts in between reads only the newest record of each key.
			state := journaler.New()
			for i, r := range append(slices.Clone(stored[firstRead:]), removed...) {
				_, err := state.Apply(r, int64(i))
				require.NoError(t, err)
			}
			require.Empty(t, state.Jobs, "host that reads from record %d on", firstRead)
		}
	})
}

// TestUnreadableRecordsChangeNothing guards against a corrupt record that stops the reader or
// changes the state.
func TestUnreadableRecordsChangeNothing(t *testing.T) {
	state := journaler.New()
	for _, r := range []journaler.Record{
		{Key: "unknown", Value: []byte("x")}, {Key: ""}, {Key: "c", Value: []byte("x")}, {Key: "b", Value: []byte{0xff}},
		{Key: "h/a", Value: []byte("x")}, {Key: "j/a", Value: []byte("x")}, {Key: "p/a", Value: []byte("x")}, {Key: "w", Value: []byte("x")}, {Key: "u/1", Value: []byte("x")}, {Key: "d/worker/w", Value: []byte("x")},
	} {
		_, err := state.Apply(r, 5)
		require.Error(t, err, "key %q", r.Key)
	}
	require.Equal(t, journaler.New(), state, "a record that can't be decoded must not change the state")
}
