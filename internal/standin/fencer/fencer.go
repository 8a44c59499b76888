// Package fencer simulates, in memory, workers and machines of a platform that enforces fencing tokens. Workers
// reject orders with a token below the highest one that they received. The epoch of the claim, the record that makes
// one host the leader, is the fencing token. Tests inject faults such as unresponsive workers, lost replies and slow
// runs.
//
// # Usage
//
//	fleet := fencer.NewFleet(clock, runTime, demand)
//	capacity := describer.Resources{MilliCPU: 16000, MemoryMB: 64000}
//	w := fleet.Add(describer.Worker{ID: "w-1", Capacity: capacity})
//	w.IsUnresponsive = true
package fencer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"lentilrock.example/internal/container/sorter"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/standin/auditor"
)

// run is a run of a task on a worker.
type run struct {
	orderer.Running
	startedAt time.Time
	endsAt    time.Time
	isFailing bool
	percent   int
	audited   *auditor.Run
}

// result is the result of an ended run.
type result struct {
	orderer.RunResult
	audited *auditor.Run
}

// Worker is a simulated worker that checks fencing tokens. Its fields inject faults.
type Worker struct {
	Info describer.Worker
	// IsUnresponsive makes the worker drop every order without a reply.
	IsUnresponsive bool
	// LosesReplies makes the worker execute orders without a reply.
	LosesReplies bool
	// Fails makes every run that starts from now on end as failed.
	Fails bool
	// Slowness is the factor by which runs take longer; 0 means 1.
	Slowness int
	// LosesStops makes the worker drop stop orders without a reply.
	LosesStops bool
	// IsReplaced makes the worker reply that its address belongs to another incarnation.
	IsReplaced bool
	// HasExited makes the worker's address refuse connections.
	HasExited bool

	token     int64
	startedAt time.Time
	// leaseDeadline is when the lease of the worker's runs expires, as the time since startedAt;
	// it is 0 before the first lease.
	leaseDeadline time.Duration
	runs          map[string]*run
	highestRuns   map[string]int64
	results       []result
	lastResult    int64
	// lapsedResult is the number of the last result before the worker's lease expired for the last time.
	lapsedResult int64
}

// Fleet is the set of workers of a cell. At each start it checks two invariants. A task has no
// concurrent runs and does not restart after a result of kind EndDone was acknowledged, unless
// MaySpeculate allows it to have copies. The tasks on a worker never need more than its capacity.
type Fleet struct {
	clock clockwork.Clock

	mu      sync.Mutex
	workers map[string]*Worker
	// runTime returns how long a run of a task takes.
	runTime func(ref describer.TaskRef) time.Duration
	// starts counts the runs of each task.
	starts map[string]int
	done   map[string]bool
	// auditor does not hear of an acknowledged result if the worker's lease expired before, as the task
	// may have started elsewhere.
	auditor *auditor.Auditor
	// overcommitted lists the IDs of workers whose tasks needed more than their capacity.
	overcommitted []string
	demand        func(ref describer.TaskRef) describer.Resources
	// MaxLease is the longest lease that workers accept, from the arrival of the order on; 0 means any.
	MaxLease time.Duration
	// MaySpeculate reports whether a task may have speculative copies, that is, concurrent runs; nil
	// means that no task may. The checks for concurrent runs and restarts exempt these tasks.
	MaySpeculate func(ref describer.TaskRef) bool
	// IsLongRunning reports whether a task is long-running, so that it is up from its start; nil means that all are.
	IsLongRunning func(ref describer.TaskRef) bool
	// Usage returns the usage that a worker reports for a task, given the sum of the speeds, in
	// percent, of the other runs on that worker; nil means 0.
	Usage func(ref describer.TaskRef, otherPercent int) int64
}

// NewFleet returns a fleet without workers. The function runTime returns how long a run of a
// task takes, and demand which resources it uses.
func NewFleet(clock clockwork.Clock, runTime func(ref describer.TaskRef) time.Duration, demand func(ref describer.TaskRef) describer.Resources) *Fleet {
	return &Fleet{
		clock: clock, runTime: runTime, workers: make(map[string]*Worker), starts: make(map[string]int),
		done: make(map[string]bool), auditor: auditor.New(), demand: demand,
	}
}

// Add adds a worker in the incarnation that info names.
func (f *Fleet) Add(info describer.Worker) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &Worker{Info: info}
	f.workers[info.ID] = w
	f.restart(w, info.Incarnation)
	return w
}

// Restart replaces a worker by a new incarnation, which has no runs, results or token.
func (f *Fleet) Restart(id string, incarnation int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.restart(f.workers[id], incarnation)
}

func (f *Fleet) restart(w *Worker, incarnation int64) {
	w.Info.Incarnation = incarnation
	w.token, w.startedAt, w.leaseDeadline, w.lastResult, w.lapsedResult, w.results = 0, f.clock.Now(), 0, 0, 0, nil
	w.runs, w.highestRuns = make(map[string]*run), make(map[string]int64)
}

// EndRuns ends all runs of a worker as failed, as a process does that ends its runs before itself.
func (f *Fleet) EndRuns(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	f.updateRuns(w)
	for _, name := range sorter.Keys(w.runs) {
		f.endRun(w, name, w.runs[name], orderer.EndFailed, f.clock.Now())
	}
}

// Update changes a worker: it locks the fleet and calls change with the worker.
func (f *Fleet) Update(id string, change func(w *Worker)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f.workers[id])
}

// Workers returns the descriptions of all workers, sorted by ID.
func (f *Fleet) Workers() []describer.Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	var infos []describer.Worker
	for _, id := range sorter.Keys(f.workers) {
		infos = append(infos, f.workers[id].Info)
	}
	return infos
}

// Starts returns how many runs of a task were started.
func (f *Fleet) Starts(task string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts[task]
}

// IsDone reports whether a run of a task has ended as done.
func (f *Fleet) IsDone(task string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.done[task]
}

// Done returns the number of tasks that have ended as done.
func (f *Fleet) Done() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.done)
}

// Violations returns the violations of the invariants so far: the starts of tasks that ran twice, and the
// IDs of the workers that were over capacity.
func (f *Fleet) Violations() ([]auditor.Violation, []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.auditor.Violations(), f.overcommitted
}

// Running returns the names of the tasks that run on a worker.
func (f *Fleet) Running(id string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	f.updateRuns(w)
	return sorter.Keys(w.runs)
}

func (f *Fleet) uptime(w *Worker) time.Duration { return f.clock.Since(w.startedAt) }

// Uptime returns a worker's monotonic clock, the time since its start; 0 for an unknown worker.
func (f *Fleet) Uptime(id string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w, found := f.workers[id]; found {
		return f.uptime(w)
	}
	return 0
}

// updateRuns ends the runs of a worker that are complete or whose lease has expired.
func (f *Fleet) updateRuns(w *Worker) {
	now := f.clock.Now()
	// Results have the same numbers in each run of a test.
	for _, name := range sorter.Keys(w.runs) {
		r := w.runs[name]
		switch {
		case f.uptime(w) > w.leaseDeadline && w.leaseDeadline > 0 && w.startedAt.Add(w.leaseDeadline).Before(r.endsAt):
			f.endRun(w, name, r, orderer.EndLapsed, w.startedAt.Add(w.leaseDeadline))
		case !now.Before(r.endsAt) && r.isFailing:
			f.endRun(w, name, r, orderer.EndFailed, r.endsAt)
		case !now.Before(r.endsAt):
			f.done[name] = true
			f.endRun(w, name, r, orderer.EndDone, r.endsAt)
		}
	}
}

func (f *Fleet) endRun(w *Worker, name string, r *run, kind orderer.EndKind, at time.Time) {
	delete(w.runs, name)
	// A long-running task must be restarted however it ends.
	lasts := f.IsLongRunning != nil && f.IsLongRunning(r.Task)
	r.audited.End(at, kind == orderer.EndDone && !lasts)
	w.lastResult++
	ended := orderer.RunResult{Number: w.lastResult, Task: r.Task, Run: r.Run, Kind: kind, Checkpoint: r.Checkpoint}
	w.results = append(w.results, result{ended, r.audited})
}

// deliver returns the worker that accepts an order with a fencing token, and raises the
// worker's token to it; otherwise it returns the verdict of the order.
func (f *Fleet) deliver(id string, token int64) (*Worker, orderer.Verdict) {
	w, found := f.workers[id]
	switch {
	case !found:
		return nil, orderer.NotSent
	case w.HasExited:
		return nil, orderer.NoListener
	case w.IsUnresponsive:
		return nil, orderer.Unknown
	case w.IsReplaced:
		return nil, orderer.OtherIncarnation
	}
	f.updateRuns(w)
	if token < w.token {
		return nil, orderer.Fenced
	}
	w.token = token
	return w, orderer.Accepted
}

// extendLease extends the lease of a worker's runs, which never shortens.
func (f *Fleet) extendLease(w *Worker, deadline time.Duration) {
	if f.uptime(w) > w.leaseDeadline {
		w.lapsedResult = w.lastResult
	}
	if f.MaxLease > 0 {
		deadline = min(deadline, f.uptime(w)+f.MaxLease)
	}
	w.leaseDeadline = max(w.leaseDeadline, deadline)
}

func (w *Worker) reply() orderer.Verdict {
	if w.LosesReplies {
		return orderer.Unknown
	}
	return orderer.Accepted
}

// Start starts a run on a worker. A repeated order has no further effect.
func (f *Fleet) Start(_ context.Context, s orderer.Start) orderer.Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, verdict := f.deliver(s.Worker.ID, s.Token)
	if verdict != orderer.Accepted {
		return verdict
	}
	name := s.Task.String()
	f.extendLease(w, s.Deadline)
	switch r, isRunning := w.runs[name]; {
	case isRunning && r.Run == s.Run:
		return w.reply()
	case s.Run <= w.highestRuns[name]:
		return orderer.Superseded
	case s.Deadline <= f.uptime(w):
		return orderer.Lapsed
	}
	w.highestRuns[name] = s.Run
	f.checkCapacity(w, s.Task)
	w.runs[name] = &run{
		Running:   orderer.Running{Task: s.Task, Run: s.Run, Checkpoint: s.Checkpoint},
		startedAt: f.clock.Now(), endsAt: f.clock.Now().Add(time.Duration(max(w.Slowness, 1)) * f.runTime(s.Task)), isFailing: w.Fails, percent: 100,
		audited: f.audit(w, name, s),
	}
	f.starts[name]++
	if verdict = w.reply(); verdict == orderer.Accepted && f.uptime(w) < s.MinClock {
		return orderer.Restarted
	}
	return verdict
}

// checkCapacity records an overcommitted worker that a start causes.
func (f *Fleet) checkCapacity(w *Worker, ref describer.TaskRef) {
	used := f.demand(ref)
	for _, r := range w.runs {
		used = used.Plus(f.demand(r.Task))
	}
	if !used.Fits(w.Info.Capacity) {
		f.overcommitted = append(f.overcommitted, w.Info.ID)
	}
}

// audit records a start with the auditor.
func (f *Fleet) audit(w *Worker, name string, s orderer.Start) *auditor.Run {
	started := auditor.Run{
		Task: name, Worker: w.Info.ID, Number: s.Run, Token: s.Token, StartedAt: f.clock.Now(),
		MaySpeculate: f.MaySpeculate != nil && f.MaySpeculate(s.Task),
	}
	var running *auditor.Run
	for _, id := range sorter.Keys(f.workers) {
		other := f.workers[id]
		f.updateRuns(other)
		if r, isRunning := other.runs[name]; isRunning && running == nil {
			running = r.audited
		}
	}
	return f.auditor.Start(started, running)
}

// Stop ends the runs of a task up to and including the named one, and prevents their start.
func (f *Fleet) Stop(_ context.Context, s orderer.Stop) orderer.Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, verdict := f.deliver(s.Worker.ID, s.Token)
	if verdict != orderer.Accepted {
		return verdict
	}
	if w.LosesStops {
		return orderer.Unknown
	}
	name := s.Task.String()
	w.highestRuns[name] = max(w.highestRuns[name], s.Run)
	if r, isRunning := w.runs[name]; isRunning && r.Run <= s.Run {
		f.endRun(w, name, r, orderer.EndStopped, f.clock.Now())
	}
	return w.reply()
}

// Pace limits a run to a percentage of its speed. The limit has no effect on the duration of the
// run; it shows only in the usage that other runs on the worker report.
func (f *Fleet) Pace(_ context.Context, p orderer.Pace) orderer.Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, verdict := f.deliver(p.Worker.ID, p.Token)
	if verdict != orderer.Accepted {
		return verdict
	}
	if r, isRunning := w.runs[p.Task.String()]; isRunning && r.Run == p.Run {
		r.percent = p.Percent
	}
	return w.reply()
}

// Percent returns the speed of a task on a worker in percent, or -1 if it does not run there.
func (f *Fleet) Percent(id, task string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r, isRunning := f.workers[id].runs[task]; isRunning {
		return r.percent
	}
	return -1
}

// usage returns the usage that a worker reports for a run.
func (f *Fleet) usage(w *Worker, r *run) int64 {
	if f.Usage == nil {
		return 0
	}
	otherPercent := 0
	for _, other := range w.runs {
		if other != r {
			otherPercent += other.percent
		}
	}
	return f.Usage(r.Task, otherPercent)
}

// pollInterval is how often a waiting poll checks for results of ended runs.
const pollInterval = 10 * time.Millisecond

// Poll requests a worker's inventory: its runs and the results of ended runs. It returns as soon
// as there is a result, or after the wait of the request. The worker drops the results that the
// request acknowledges.
func (f *Fleet) Poll(ctx context.Context, l orderer.Poll) (orderer.Inventory, orderer.Verdict) {
	pollDeadline := f.clock.Now().Add(l.Wait)
	for {
		inventory, verdict := f.pollOnce(l)
		if verdict != orderer.Accepted || len(inventory.Results) > 0 || !f.clock.Now().Before(pollDeadline) {
			return inventory, verdict
		}
		select {
		case <-ctx.Done():
			return orderer.Inventory{}, orderer.Unknown
		case <-f.clock.After(pollInterval):
		}
	}
}

func (f *Fleet) pollOnce(l orderer.Poll) (orderer.Inventory, orderer.Verdict) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, verdict := f.deliver(l.Worker.ID, l.Token)
	if verdict != orderer.Accepted {
		return orderer.Inventory{}, verdict
	}
	f.extendLease(w, l.Deadline)
	w.results = slices.DeleteFunc(w.results, func(e result) bool {
		if e.Number > l.Acknowledged {
			return false
		}
		if e.Number > w.lapsedResult {
			f.auditor.Acknowledge(e.audited, f.clock.Now())
		}
		return true
	})
	inventory := orderer.Inventory{Incarnation: w.Info.Incarnation, Clock: f.uptime(w)}
	for _, e := range w.results {
		inventory.Results = append(inventory.Results, e.RunResult)
	}
	for _, name := range sorter.Keys(w.runs) {
		r := w.runs[name]
		running := r.Running
		running.Percent = f.progress(r)
		running.Usage = f.usage(w, r)
		inventory.Running = append(inventory.Running, running)
	}
	return inventory, w.reply()
}

// progress returns the share of a run's work that is done, in percent; 100 if the task is long-running.
func (f *Fleet) progress(r *run) int {
	if f.IsLongRunning == nil || f.IsLongRunning(r.Task) {
		return 100
	}
	return int(100 * f.clock.Since(r.startedAt) / r.endsAt.Sub(r.startedAt))
}
