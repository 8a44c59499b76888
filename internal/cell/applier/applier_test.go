package applier

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/cell/recorder"
)

// TestMain fixes the seed of the random sequences, so that every run tests the same ones.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func set(key, value string, replaces int64) recorder.Record {
	return recorder.New(key+value, time.Unix(0, 0).UTC(), recorder.Author{Name: "op"},
		recorder.Config{Key: key, Value: value, Replaces: replaces})
}

// TestSnapshotOlderThanStateIsIgnored guards against a late snapshot that takes the state
// back to an earlier offset.
func TestSnapshotOlderThanStateIsIgnored(t *testing.T) {
	var old, current State
	old.Apply(0, set("a", "1", 0))
	outdated, err := old.Encode()
	require.NoError(t, err)
	current.Apply(0, set("a", "1", 0))
	current.Apply(1, set("a", "2", 1))
	isRestored, err := current.Restore(outdated)
	require.NoError(t, err)
	require.False(t, isRestored)
	require.Equal(t, "2", current.Config["a"].Value)

	var fresh State
	newer, err := current.Encode()
	require.NoError(t, err)
	isRestored, err = fresh.Restore(newer)
	require.NoError(t, err)
	require.True(t, isRestored)
	require.Equal(t, current.Config, fresh.Config)
}

// TestRecordAppendedTwiceTakesEffectOnce guards against double effects of a record that was
// appended again because its acknowledgement was lost.
func TestRecordAppendedTwiceTakesEffectOnce(t *testing.T) {
	shard := descriptor.ShardID{DataCentre: "a"}
	job := descriptor.Job{ID: "j", Tasks: 1}
	bodies := []recorder.Body{
		recorder.Claim{Shard: shard, Epoch: 1, Holder: descriptor.HostID{Name: "e1"}},
		recorder.Submit{Job: job},
		recorder.TaskBegun{Shard: shard, Epoch: 1, Task: descriptor.TaskID{Job: "j"}, Worker: "w"},
		recorder.TasksEnded{Job: "j", Ended: []recorder.EndedTask{{Attempt: 1, End: recorder.TaskFailed}}},
		recorder.Intent{Shard: shard, Epoch: 1, Key: "k"},
		recorder.Outcome{Key: "k", End: recorder.RequestRun},
		recorder.CloseJobs{Jobs: []descriptor.JobID{"j"}, End: recorder.JobDone},
		recorder.Config{Key: "c", Value: "1"},
	}
	var once, twice State
	offset := int64(0)
	for i, body := range bodies {
		record := recorder.New(fmt.Sprint(i), time.Unix(0, 0).UTC(), recorder.Author{}, body)
		once.Apply(int64(i), record)
		for range 2 {
			twice.Apply(offset, record)
			offset++
		}
	}
	require.Equal(t, once.Jobs["j"].Failures, twice.Jobs["j"].Failures)
	require.Equal(t, once.Jobs["j"].End, twice.Jobs["j"].End)
	require.Equal(t, once.Claims[shard.String()].Epoch, twice.Claims[shard.String()].Epoch)
	require.Equal(t, once.Config["c"].Version, twice.Config["c"].Version)
	require.Equal(t, once.Requests["k"].Outcome, twice.Requests["k"].Outcome)
}

// TestIntentUnderOldEpochHasNoEffect guards against a dispatch by a former claim holder, whose
// epoch (the fencing token) is replaced or released, and of a request that is already closed.
func TestIntentUnderOldEpochHasNoEffect(t *testing.T) {
	shard := descriptor.ShardID{DataCentre: "a"}
	var state State
	apply := func(offset int64, body recorder.Body) Verdict {
		return state.Apply(offset, recorder.New("r", time.Unix(0, 0).UTC(), recorder.Author{}, body))
	}
	apply(0, recorder.Claim{Shard: shard, Epoch: 1, Holder: descriptor.HostID{Name: "e1"}})
	apply(1, recorder.Claim{Shard: shard, Epoch: 2, Holder: descriptor.HostID{Name: "e2"}})
	require.False(t, apply(2, recorder.Intent{Shard: shard, Epoch: 1, Key: "k"}).Applied)
	require.True(t, apply(3, recorder.Intent{Shard: shard, Epoch: 2, Key: "k"}).Applied)
	require.False(t, apply(4, recorder.Claim{Shard: shard, Epoch: 2, Holder: descriptor.HostID{Name: "e1"}}).Applied)
	apply(5, recorder.Release{Shard: shard, Epoch: 2})
	require.False(t, apply(6, recorder.Intent{Shard: shard, Epoch: 2, Key: "l"}).Applied)
	require.True(t, apply(7, recorder.Outcome{Key: "m", End: recorder.RequestNotRun}).Applied)
	apply(8, recorder.Claim{Shard: shard, Epoch: 3, Holder: descriptor.HostID{Name: "e1"}})
	require.False(t, apply(9, recorder.Intent{Shard: shard, Epoch: 3, Key: "m"}).Applied, "a closed key is never dispatched")
}

type change struct {
	value    string
	replaces int64
}

// register is the linearizability model of one configuration key, a compare-and-set register:
// a change takes effect if it replaces the current version.
var register = porcupine.Model{
	Init: func() any { return int64(0) },
	Step: func(state, input, output any) (bool, any) {
		version := state.(int64)
		isApplied := input.(change).replaces == version
		if isApplied {
			version++
		}
		return output.(bool) == isApplied, version
	},
}

// TestConcurrentConfigChangesAreLinearizable guards against contradictory replies to operators
// who change one key concurrently. It appends their changes in a random order, some of them
// twice, and checks that all verdicts are consistent with one order.
func TestConcurrentConfigChangesAreLinearizable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var state State
		var history []porcupine.Operation
		offset := int64(0)
		operators := rapid.IntRange(2, 6).Draw(t, "operators")
		for client := range operators {
			version := state.Config["k"].Version
			c := change{value: fmt.Sprint(client), replaces: rapid.Int64Range(0, version).Draw(t, "replaces")}
			verdict := state.Apply(offset, set("k", c.value, c.replaces))
			begun := rapid.Int64Range(0, offset).Draw(t, "begun")
			history = append(history, porcupine.Operation{
				ClientId: client, Input: c, Output: verdict.Applied, Call: begun, Return: offset + 1,
			})
			offset++
			after := state.Config["k"]
			if rapid.Bool().Draw(t, "twice") {
				state.Apply(offset, set("k", c.value, c.replaces))
				offset++
				require.Equal(t, after, state.Config["k"], "a repeated append changes nothing")
			}
		}
		require.True(t, porcupine.CheckOperations(register, history))
	})
}
