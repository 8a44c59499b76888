package dispatcher_test

import (
	"context"
	"fmt"
	"slices"
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
	tickInterval = 20 * time.Millisecond
	runTime      = 500 * time.Millisecond
	// usualLease is the lease that a holder grants if its options name none.
	usualLease = 3500 * time.Millisecond
	// leaseOfFormerHolder is until when the lease of a former holder may last that had granted the longest one.
	leaseOfFormerHolder = 7 * time.Second
)

// cell is a dispatcher with workers and a log in memory, driven by a fake clock.
type cell struct {
	t      testing.TB
	clock  *clockwork.FakeClock
	fleet  *fencer.Fleet
	state  *journaler.State
	d      *dispatcher.Dispatcher
	epoch  int64
	offset int64
	// isStoreDown prevents progress from being persisted.
	isStoreDown bool
	// listed overrides the host list.
	listed []describer.Worker
	// advise replies to requests for advice; nil allows every worker.
	advise func(request orderer.AdviceRequest) orderer.Advice
	starts []orderer.Start
	// isStaggered gives tasks different run times, so that they don't end together.
	isStaggered bool
	// runTimes overrides how long tasks run; nil does not.
	runTimes func(ref describer.TaskRef) time.Duration
	// machines are those of the workers; nil if the test needs none.
	machines *fencer.Machines
	ticks    int
	// upkeep overrides the replies to orders for the upkeep of machines; nil does not.
	upkeep func(order orderer.Upkeep) orderer.UpkeepVerdict
	// emptyLists is how many of the next lists of machines omit all of them.
	emptyLists int
	// omitted is a machine that all lists of machines omit, although it exists.
	omitted string
	// options are the settings of the next holder.
	options dispatcher.Options
	// maxResults is how many results of ended runs a worker lists at a time; 0 lists all.
	maxResults int
	// workspace is the one to which the jobs that are submitted next belong.
	workspace string
}

func newCell(t testing.TB, workers int) *cell {
	c := &cell{t: t, clock: clockwork.NewFakeClockAt(time.Unix(1_800_000_000, 0)), state: journaler.New()}
	c.fleet = fencer.NewFleet(c.clock, c.runTimeOf, c.chargeOf)
	c.fleet.IsLongRunning = func(ref describer.TaskRef) bool { return c.state.Jobs[ref.Job].Job.Steps[ref.Step].LongRunning }
	for i := range workers {
		c.fleet.Add(describer.Worker{
			ID: fmt.Sprintf("w-%d", i), Service: "kitchen", Capacity: describer.Resources{MilliCPU: 4000, MemoryMB: 8000},
			Incarnation: 1, Rack: "r1-1",
		})
	}
	c.claim()
	return c
}

// runTimeOf returns how long a task runs; long-running ones outlive the test.
func (c *cell) runTimeOf(ref describer.TaskRef) time.Duration {
	if c.runTimes != nil {
		return c.runTimes(ref)
	}
	if c.state.Jobs[ref.Job].Job.Steps[ref.Step].LongRunning {
		return time.Hour
	}
	if c.isStaggered {
		return runTime + time.Duration(ref.Index%7)*3*tickInterval
	}
	return runTime
}

// chargeOf returns the resources that a task uses according to its job.
func (c *cell) chargeOf(ref describer.TaskRef) describer.Resources {
	entry, found := c.state.Jobs[ref.Job]
	if !found || entry.Job == nil {
		return describer.Resources{}
	}
	return entry.Job.Steps[ref.Step].Charge()
}

// claim replaces the dispatcher by one of a new holder with the next epoch.
func (c *cell) claim() {
	c.epoch++
	record, err := journaler.NewClaim(journaler.Claim{Epoch: c.epoch, Host: "h", Incarnation: fmt.Sprint(c.epoch)})
	require.NoError(c.t, err)
	c.append(record)
	options := c.options
	options.Epoch, options.ClaimSentAt = c.epoch, c.clock.Now()
	c.d = dispatcher.New(options, c.state, c.clock.Now())
}

// newLongHeldCell returns a cell that has been held for a minute and whose workers accept longer leases than usual.
func newLongHeldCell(t testing.TB) *cell {
	c := newCell(t, 2)
	c.fleet.MaxLease = chaosMaxLease
	c.options = dispatcher.Options{MaxLease: chaosMaxLease, FormerLease: usualLease}
	c.claim()
	c.run(time.Minute)
	return c
}

// append adds records to the log, applies them to the state and returns the changed entries.
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

// submit submits a job with the given steps.
func (c *cell) submit(id describer.JobID, queue describer.Queue, steps ...describer.Step) {
	if queue.Service == "" {
		queue.Service = "kitchen"
	}
	if queue.MaxAttempts == 0 {
		queue.MaxAttempts = 2
	}
	record, err := journaler.NewJob(&describer.Job{ID: id, Queue: queue, Spec: "spec", Steps: steps, Received: c.clock.Now(), Workspace: c.workspace})
	require.NoError(c.t, err)
	for _, entry := range c.append(record) {
		c.d.JobChanged(c.clock.Now(), entry)
	}
}

// loseStart submits a job of one task and returns its start, which does not reach the worker and gets no reply. The order to
// stop the run comes next.
func (c *cell) loseStart() orderer.Start {
	c.submit("a", describer.Queue{}, tasks(1))
	c.save()
	c.d.Tick(c.clock.Now())
	orders := c.d.TakeOrders()
	require.Len(c.t, orders, 1)
	start, isStart := orders[0].(orderer.Start)
	require.True(c.t, isStart)
	c.d.StartAnswered(c.clock.Now(), start, orderer.Unknown)
	return start
}

func (c *cell) cancel(id describer.JobID) {
	record, err := journaler.NewCancel(id, journaler.Cancel{At: c.clock.Now()})
	require.NoError(c.t, err)
	for _, entry := range c.append(record) {
		c.d.JobChanged(c.clock.Now(), entry)
	}
}

// run ticks the cell for a duration.
func (c *cell) run(duration time.Duration) {
	for end := c.clock.Now().Add(duration); c.clock.Now().Before(end); {
		c.tick()
		c.clock.Advance(tickInterval)
	}
}

// runUntilUnconfirmed ticks the cell until the next poll of the first worker acknowledges results up to a number.
func (c *cell) runUntilUnconfirmed(number int64) {
	for range 1000 {
		if w, isKnown := c.d.Registrar().Workers["w-0"]; isKnown && w.Results.Unconfirmed() == number {
			return
		}
		c.run(tickInterval)
	}
	require.Fail(c.t, "no poll acknowledges the result", "result %d", number)
}

// tick polls all workers once, then ticks the dispatcher, carries out its orders and persists
// its progress.
func (c *cell) tick() {
	listed := c.listed
	if listed == nil {
		listed = c.fleet.Workers()
	}
	c.d.SetWorkers(c.clock.Now(), listed)
	for id := range c.d.WorkerIDs() {
		c.poll(id)
	}
	if c.ticks++; c.machines != nil && c.ticks%10 == 0 && c.d.NeedsMachines() {
		machines, err := c.machines.List(context.Background())
		require.NoError(c.t, err)
		if c.emptyLists > 0 {
			c.emptyLists--
			machines = nil
		}
		machines = slices.DeleteFunc(machines, func(m describer.Machine) bool { return m.ID == c.omitted })
		c.d.SetMachines(c.clock.Now(), machines)
	}
	c.decide()
	c.save()
}

// decide ticks the dispatcher and carries out its orders.
func (c *cell) decide() {
	c.d.Tick(c.clock.Now())
	for _, order := range c.d.TakeOrders() {
		c.execute(order)
	}
}

func (c *cell) poll(id string) {
	poll, isKnown := c.d.NextPoll(c.clock.Now(), id)
	if !isKnown {
		return
	}
	poll.Wait = 0
	inventory, verdict := c.inventory(poll)
	c.d.PollAnswered(c.clock.Now(), poll, inventory, verdict)
}

// inventory returns a worker's reply to a poll, with at most maxResults results.
func (c *cell) inventory(poll orderer.Poll) (orderer.Inventory, orderer.Verdict) {
	inventory, verdict := c.fleet.Poll(context.Background(), poll)
	if c.maxResults > 0 && len(inventory.Results) >= c.maxResults {
		inventory.Results, inventory.MayOmitResults = inventory.Results[:c.maxResults], true
	}
	return inventory, verdict
}

func (c *cell) execute(order dispatcher.Order) {
	ctx, now := context.Background(), c.clock.Now()
	switch o := order.(type) {
	case orderer.Start:
		c.starts = append(c.starts, o)
		c.d.StartAnswered(now, o, c.fleet.Start(ctx, o))
	case orderer.Stop:
		c.d.StopAnswered(now, o, c.fleet.Stop(ctx, o))
	case orderer.Upkeep:
		var verdict orderer.UpkeepVerdict
		if c.upkeep == nil {
			verdict = c.machines.Upkeep(ctx, o)
		} else {
			verdict = c.upkeep(o)
		}
		c.d.UpkeepAnswered(now, o, verdict)
		// The holder ticks after each reply, before the next poll returns.
		c.d.Tick(now)
		for _, next := range c.d.TakeOrders() {
			c.execute(next)
		}
	case orderer.WaveReport:
		require.NoError(c.t, c.machines.ReportWave(ctx, o))
	case orderer.Pace:
		c.d.PaceAnswered(now, o, c.fleet.Pace(ctx, o))
	case orderer.Poll:
		inventory, verdict := c.inventory(o)
		c.d.PollAnswered(now, o, inventory, verdict)
	case orderer.AdviceRequest:
		c.d.AdviceAnswered(now, o, c.advice(o), true)
	}
}

func (c *cell) advice(request orderer.AdviceRequest) orderer.Advice {
	if c.advise != nil {
		return c.advise(request)
	}
	tickets := make(map[string]string)
	for _, id := range request.Workers {
		tickets[id] = "ticket"
	}
	return orderer.Advice{Tickets: tickets}
}

func (c *cell) save() {
	if c.isStoreDown {
		return
	}
	c.d.Confirm(c.clock.Now())
	if !c.d.HasProgress() {
		return
	}
	records, batch := c.d.TakeProgress()
	c.append(records...)
	c.d.MarkDurable(batch)
}

func (c *cell) stateOf(id describer.JobID) describer.JobState {
	entry, found := c.state.Jobs[id]
	require.True(c.t, found)
	return entry.JobState()
}

// countRunning counts the tasks that run on workers.
func (c *cell) countRunning() int {
	count := 0
	for _, w := range c.fleet.Workers() {
		count += len(c.fleet.Running(w.ID))
	}
	return count
}

// requireInvariants checks that no task ran twice at a time and no worker was over its
// capacity.
func (c *cell) requireInvariants() {
	overlaps, overloaded := c.fleet.Violations()
	require.Empty(c.t, overlaps, "tasks ran twice at a time")
	require.Empty(c.t, overloaded, "workers were over their capacity")
}

// requireStartedOnce checks that every started task was started exactly once.
func (c *cell) requireStartedOnce() {
	for _, s := range c.starts {
		require.Equal(c.t, 1, c.fleet.Starts(s.Task.String()), s.Task)
	}
}

// tasks returns a step with a number of tasks that use one core and 1000 MB each.
func tasks(count int) describer.Step {
	return describer.Step{Count: count, Need: describer.Resources{MilliCPU: 1000, MemoryMB: 1000}, Estimate: runTime}
}
