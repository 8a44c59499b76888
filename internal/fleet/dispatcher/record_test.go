package dispatcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/dispatcher"
	"lentilrock.example/internal/fleet/journaler"
)

// FuzzRecord guards against records, of older versions or damaged, that end the process of each holder in turn, make a
// takeover long, or hold up the jobs beside them.
func FuzzRecord(f *testing.F) {
	job := describer.Job{ID: "0000000000000001", Queue: describer.Queue{Name: "q", Service: "kitchen"}, Steps: []describer.Step{{Count: 4}}}
	for _, add := range []func() (journaler.Record, error){
		func() (journaler.Record, error) { return journaler.NewJob(&job) },
		func() (journaler.Record, error) {
			odd := job
			odd.Steps = []describer.Step{{Count: 1 << 62, After: []int{5}}, {Count: 1 << 62}}
			return journaler.NewJob(&odd)
		},
		func() (journaler.Record, error) {
			return journaler.NewProgress(job.ID, journaler.Progress{Epoch: 1, Begun: true, Done: []byte{1, 1, 2}, Steps: []journaler.StepProgress{
				{Occurrence: -1, Step: 1 << 40}, {Done: []int{-5, 1 << 40, 0, 1 << 40}, Failed: map[int][]int64{-1: {1}, 1: {1 << 62}}},
				{Closed: []journaler.ClosedRun{{Worker: "w-0", Index: 1, Run: 1<<63 - 1}}},
			}})
		},
		func() (journaler.Record, error) { return journaler.NewClaim(journaler.Claim{Epoch: 9, Lease: -1}) },
		func() (journaler.Record, error) {
			records, err := journaler.NewRoster(journaler.Roster{Epoch: 1, Members: []journaler.Member{{ID: "w-0"}, {ID: "w-0"}}})
			return records[0], err
		},
		func() (journaler.Record, error) { return journaler.NewCancel(job.ID, journaler.Cancel{}) },
		func() (journaler.Record, error) {
			return journaler.NewWave(journaler.WaveProgress{Number: -1, Done: []string{"m", "m"}})
		},
		func() (journaler.Record, error) {
			return journaler.NewHost(journaler.Host{Name: "h", Cores: -1, MemoryMB: -1})
		},
	} {
		record, err := add()
		require.NoError(f, err)
		f.Add(record.Key, record.Value, record.Key, record.Value)
	}
	f.Fuzz(func(t *testing.T, firstKey string, first []byte, secondKey string, second []byte) {
		state := journaler.New()
		for i, r := range []journaler.Record{{Key: firstKey, Value: first}, {Key: secondKey, Value: second}} {
			if _, err := state.Apply(r, int64(i)); err != nil {
				require.NotEmpty(t, err.Error())
			}
		}
		require.True(t, state.Claim.Epoch >= 0 && state.Claim.Epoch <= 1<<40)
		for _, e := range state.Jobs {
			require.GreaterOrEqual(t, e.Footprint(), int64(0))
		}
		c := newCell(t, 2)
		c.state, c.offset = state, 2
		c.d = dispatcher.New(dispatcher.Options{Epoch: state.Claim.Epoch + 1, FormerLease: state.Claim.Lease}, state, c.clock.Now())
		c.submit("00000000000000ff", describer.Queue{}, describer.Step{Count: 2, Need: describer.Resources{MilliCPU: 1}})
		before := time.Now()
		// The leases of workers that the records name, and the longest one, expire before the job ends.
		for range 30 {
			c.clock.Advance(time.Second / 2)
			c.tick()
		}
		require.Less(t, time.Since(before), 5*time.Second)
		require.NotNil(t, state.Jobs["00000000000000ff"])
	})
}

// TestMalformedRecordsOfProgress guards against a takeover that goes through the tasks of a job again and again, as a record
// lists them any number of times.
func TestMalformedRecordsOfProgress(t *testing.T) {
	const tasks = 100_000
	var done []int
	for range 10_000 {
		done = append(done, 0, tasks)
	}
	c := newCell(t, 1)
	record, err := journaler.NewJob(&describer.Job{ID: "0000000000000001", Queue: describer.Queue{Name: "q"}, Steps: []describer.Step{{Count: tasks - 1}, {Count: 1}}})
	require.NoError(t, err)
	progress, err := journaler.NewProgress("0000000000000001", journaler.Progress{Epoch: 1, Steps: []journaler.StepProgress{{Done: done}}})
	require.NoError(t, err)
	c.append(record, progress)
	before := time.Now()
	c.claim()
	require.Less(t, time.Since(before), time.Second)
	require.Equal(t, 1, c.d.Registrar().Jobs["0000000000000001"].Step(0, 1).RemainingTasks)
	require.Zero(t, c.d.Registrar().Jobs["0000000000000001"].Step(0, 0).RemainingTasks)
}
