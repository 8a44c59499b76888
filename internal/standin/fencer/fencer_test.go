package fencer_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/standin/auditor"
	"lentilrock.example/internal/standin/fencer"
)

const runTime = time.Second

var task = describer.TaskRef{Job: "job", Index: 3}

// fleet is two workers, w-1 and w-2, on a clock that the test advances.
type fleet struct {
	t     *testing.T
	clock *clockwork.FakeClock
	*fencer.Fleet
}

func newFleet(t *testing.T) *fleet {
	clock := clockwork.NewFakeClock()
	f := &fleet{t, clock, fencer.NewFleet(clock,
		func(describer.TaskRef) time.Duration { return runTime },
		func(describer.TaskRef) describer.Resources { return describer.Resources{} })}
	f.Add(describer.Worker{ID: "w-1"})
	f.Add(describer.Worker{ID: "w-2"})
	// The clock of a worker, on which its leases are, is 0 only at its start.
	clock.Advance(time.Second)
	return f
}

// start starts a run with a lease for a time from now.
func (f *fleet) start(worker string, run int64, lease time.Duration) {
	verdict := f.Start(context.Background(), orderer.Start{
		Worker: describer.Worker{ID: worker}, Task: task, Run: run, Token: 7, Deadline: f.Uptime(worker) + lease,
	})
	require.Equal(f.t, orderer.Accepted, verdict)
}

// acknowledge acknowledges the first result of a worker.
func (f *fleet) acknowledge(worker string) {
	_, verdict := f.Poll(context.Background(), orderer.Poll{Worker: describer.Worker{ID: worker}, Token: 7, Acknowledged: 1})
	require.Equal(f.t, orderer.Accepted, verdict)
}

func (f *fleet) requireKinds(kinds ...auditor.Kind) {
	violations, _ := f.Violations()
	require.Len(f.t, violations, len(kinds))
	for i, v := range violations {
		require.Equal(f.t, kinds[i], v.Kind)
		require.Equal(f.t, "job.0.0.3", v.Task)
		require.Equal(f.t, int64(7), v.Run.Token)
		require.Equal(f.t, "w-2", v.Run.Worker)
		require.Equal(f.t, "w-1", v.Earlier.Worker)
	}
}

func TestFleetFindsTasksThatRunTwice(t *testing.T) {
	t.Run("a start during a run on another worker is an overlap", func(t *testing.T) {
		f := newFleet(t)
		f.start("w-1", 1, time.Minute)
		f.clock.Advance(runTime / 2)
		f.start("w-2", 2, time.Minute)
		f.requireKinds(auditor.Overlap)
	})
	t.Run("a start after an acknowledged end is a restart", func(t *testing.T) {
		f := newFleet(t)
		f.start("w-1", 1, time.Minute)
		f.clock.Advance(runTime)
		f.acknowledge("w-1")
		f.start("w-2", 2, time.Minute)
		f.requireKinds(auditor.Restart)
	})
	t.Run("a start after an end that is acknowledged later is a restart", func(t *testing.T) {
		f := newFleet(t)
		f.start("w-1", 1, time.Minute)
		f.clock.Advance(2 * runTime)
		f.start("w-2", 2, time.Minute)
		f.requireKinds()
		f.acknowledge("w-1")
		f.requireKinds(auditor.Restart)
	})
	t.Run("an end does not count if the worker's lease expires before the acknowledgement", func(t *testing.T) {
		f := newFleet(t)
		f.start("w-1", 1, 2*runTime)
		f.clock.Advance(3 * runTime)
		f.start("w-2", 2, time.Minute)
		f.acknowledge("w-1")
		f.requireKinds()
	})
	t.Run("a run that its worker's restart has ended does not run beside others", func(t *testing.T) {
		f := newFleet(t)
		f.start("w-1", 1, time.Minute)
		f.Restart("w-1", 2)
		f.start("w-2", 2, time.Minute)
		f.requireKinds()
	})
}

// TestEndRuns guards against a worker that ends its runs before itself, but still lists them or omits their results.
func TestEndRuns(t *testing.T) {
	f := newFleet(t)
	f.start("w-1", 1, runTime)
	f.EndRuns("w-1")
	require.Empty(t, f.Running("w-1"))
	inventory, verdict := f.Poll(context.Background(), orderer.Poll{Worker: describer.Worker{ID: "w-1"}, Token: 7})
	require.Equal(t, orderer.Accepted, verdict)
	require.Equal(t, []orderer.RunResult{{Number: 1, Task: task, Run: 1, Kind: orderer.EndFailed}}, inventory.Results)
	f.start("w-2", 2, runTime)
	f.requireKinds()
}
