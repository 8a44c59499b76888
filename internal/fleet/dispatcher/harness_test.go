package dispatcher_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/dispatcher"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/standin/fencer"
)

const (
	step     = 20 * time.Millisecond
	workTime = 500 * time.Millisecond
)

// cell is a dispatcher with a fleet and a log in memory, under a clock of its own.
type cell struct {
	t      testing.TB
	clock  *clockwork.FakeClock
	fleet  *fencer.Fleet
	state  *journaler.State
	d      *dispatcher.Dispatcher
	epoch  int64
	offset int64
	// isStoreDown keeps progress from being kept.
	isStoreDown bool
	// listed overrides the host list.
	listed []describer.Worker
	// advise answers questions; nil allows every worker.
	advise func(q orderer.Advise) orderer.Advice
	starts []orderer.Start
	// isStaggered gives tasks different lengths, so that they don't end together.
	isStaggered bool
	// machines are those of the workers; nil where the test needs none.
	machines *fencer.Machines
	steps    int
	// options are those of the next holder.
	options dispatcher.Options
}

func newCell(t testing.TB, workers int) *cell {
	c := &cell{t: t, clock: clockwork.NewFakeClockAt(time.Unix(1_800_000_000, 0)), state: journaler.New()}
	c.fleet = fencer.NewFleet(c.clock, c.work, c.need)
	for i := range workers {
		c.fleet.Add(describer.Worker{
			ID: fmt.Sprintf("w-%d", i), Service: "kitchen", Capacity: describer.Resources{MilliCPU: 4000, MemoryMB: 8000},
			Incarnation: 1, Rack: "r1-1",
		})
	}
	c.claim()
	return c
}

// work returns how long a task runs; lasting ones outlive the test.
func (c *cell) work(ref describer.TaskRef) time.Duration {
	if c.state.Jobs[ref.Job].Job.Steps[ref.Step].LongRunning {
		return time.Hour
	}
	if c.isStaggered {
		return workTime + time.Duration(ref.Index%7)*3*step
	}
	return workTime
}

// need returns what a task takes, from its job.
func (c *cell) need(ref describer.TaskRef) describer.Resources {
	entry, found := c.state.Jobs[ref.Job]
	if !found || entry.Job == nil {
		return describer.Resources{}
	}
	return entry.Job.Steps[ref.Step].Charge()
}

// claim makes a new dispatcher under the next epoch.
func (c *cell) claim() {
	c.epoch++
	record, err := journaler.NewClaim(journaler.Claim{Epoch: c.epoch, Host: "h", Incarnation: fmt.Sprint(c.epoch)})
	require.NoError(c.t, err)
	c.append(record)
	options := c.options
	options.Epoch = c.epoch
	c.d = dispatcher.New(options, c.state, c.clock.Now())
}

// append adds records to the log and folds them.
func (c *cell) append(records ...journaler.Record) []*journaler.Entry {
	var changed []*journaler.Entry
	for _, r := range records {
		entry, err := c.state.Apply(r, c.offset)
		require.NoError(c.t, err)
		c.offset++
		changed = append(changed, entry)
	}
	return changed
}

// submit adds a job of the given steps.
func (c *cell) submit(id describer.JobID, queue describer.Queue, steps ...describer.Step) {
	if queue.Service == "" {
		queue.Service = "kitchen"
	}
	if queue.MaxAttempts == 0 {
		queue.MaxAttempts = 2
	}
	record, err := journaler.NewJob(&describer.Job{ID: id, Queue: queue, Spec: "spec", Steps: steps, Received: c.clock.Now()})
	require.NoError(c.t, err)
	for _, entry := range c.append(record) {
		c.d.JobChanged(c.clock.Now(), entry)
	}
}

func (c *cell) cancel(id describer.JobID) {
	record, err := journaler.NewCancel(id, journaler.Cancel{At: c.clock.Now()})
	require.NoError(c.t, err)
	for _, entry := range c.append(record) {
		c.d.JobChanged(c.clock.Now(), entry)
	}
}

// run lets time pass.
func (c *cell) run(duration time.Duration) {
	for end := c.clock.Now().Add(duration); c.clock.Now().Before(end); {
		c.step()
		c.clock.Advance(step)
	}
}

func (c *cell) step() {
	listed := c.listed
	if listed == nil {
		listed = c.fleet.Infos()
	}
	c.d.SetWorkers(c.clock.Now(), listed)
	for id := range c.d.WorkerIDs() {
		c.look(id)
	}
	if c.steps++; c.machines != nil && c.steps%10 == 0 && c.d.NeedsMachines() {
		machines, err := c.machines.List(context.Background())
		require.NoError(c.t, err)
		c.d.SetMachines(c.clock.Now(), machines)
	}
	c.d.Tick(c.clock.Now())
	for _, order := range c.d.TakeOrders() {
		c.carryOut(order)
	}
	c.save()
}

func (c *cell) look(id string) {
	look, isKnown := c.d.NextLook(c.clock.Now(), id)
	if !isKnown {
		return
	}
	look.Wait = 0
	inventory, verdict := c.fleet.Look(context.Background(), look)
	c.d.Looked(c.clock.Now(), look, inventory, verdict)
}

func (c *cell) carryOut(order dispatcher.Order) {
	ctx, now := context.Background(), c.clock.Now()
	switch o := order.(type) {
	case orderer.Start:
		c.starts = append(c.starts, o)
		c.d.StartAnswered(now, o, c.fleet.Start(ctx, o))
	case orderer.Stop:
		c.d.StopAnswered(now, o, c.fleet.Stop(ctx, o))
	case orderer.Upkeep:
		c.d.UpkeepAnswered(now, o, c.machines.Upkeep(ctx, o))
	case orderer.WaveReport:
		require.NoError(c.t, c.machines.ReportWave(ctx, o))
	case orderer.Pace:
		c.d.PaceAnswered(now, o, c.fleet.Pace(ctx, o))
	case orderer.Look:
		inventory, verdict := c.fleet.Look(ctx, o)
		c.d.Looked(now, o, inventory, verdict)
	case orderer.Advise:
		c.d.Advised(now, o, c.advice(o), true)
	}
}

func (c *cell) advice(q orderer.Advise) orderer.Advice {
	if c.advise != nil {
		return c.advise(q)
	}
	tickets := make(map[string]string)
	for _, id := range q.Workers {
		tickets[id] = "ticket"
	}
	return orderer.Advice{Tickets: tickets}
}

func (c *cell) save() {
	if c.isStoreDown || !c.d.HasProgress() {
		return
	}
	records, batch := c.d.TakeProgress()
	c.append(records...)
	c.d.Saved(batch)
}

func (c *cell) stateOf(id describer.JobID) describer.JobState {
	entry, found := c.state.Jobs[id]
	require.True(c.t, found)
	return entry.JobState()
}

// requireSound checks that no task ran twice at a time and no worker was over its capacity.
// atWork counts the tasks that run on workers.
func (c *cell) atWork() int {
	count := 0
	for _, w := range c.fleet.Infos() {
		count += len(c.fleet.Running(w.ID))
	}
	return count
}

func (c *cell) requireSound() {
	overlaps, overfull := c.fleet.Faults()
	require.Empty(c.t, overlaps, "tasks ran twice")
	require.Empty(c.t, overfull, "workers were over their capacity")
}

// requireStartedOnce checks that no task was started again.
func (c *cell) requireStartedOnce() {
	for _, s := range c.starts {
		require.Equal(c.t, 1, c.fleet.Starts(s.Task.String()), s.Task)
	}
}

func tasks(count int) describer.Step {
	return describer.Step{Count: count, Need: describer.Resources{MilliCPU: 1000, MemoryMB: 1000}, Estimate: workTime}
}
