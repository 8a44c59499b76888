// Package fencer stands in, in memory, for a platform with fences: workers that obey no
// fencing token below the highest they saw, and a store that refuses writers of an older
// epoch. Faults are set on the values: silence, lost answers, orders carried out late.
//
// # Usage
//
//	fleet := fencer.NewFleet(clock, work, needs)
//	w := fleet.Add("w-1", describer.Resources{MilliCPU: 16000, MemoryMB: 64000})
//	w.IsSilent = true
//	store := fencer.NewStore(clock)
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
)

// run is a run at a worker.
type run struct {
	orderer.Running
	endsAt  time.Time
	fails   bool
	percent int
}

// Worker is a worker that keeps a fencing token.
type Worker struct {
	Info describer.Worker
	// IsSilent drops what arrives without an answer.
	IsSilent bool
	// LosesAnswers carries orders out and answers nothing.
	LosesAnswers bool
	// Fails makes every run end as failed.
	Fails bool
	// Slowness multiplies how long runs take; 0 means 1.
	Slowness int
	// LosesStops drops stops without an answer.
	LosesStops bool
	// IsReplaced answers that another worker has the address.
	IsReplaced bool

	token    int64
	started  time.Time
	deadline time.Duration
	runs     map[string]*run
	highest  map[string]int64
	ends     []orderer.Ended
	lastEnd  int64
}

// Overlap is two runs of one task at a time.
type Overlap struct {
	Task string
	At   time.Time
}

// Fleet are the workers of a cell. It checks that no task runs twice at a time and that no
// worker is over its capacity.
type Fleet struct {
	clock clockwork.Clock

	mu      sync.Mutex
	workers map[string]*Worker
	// work is how long a task runs.
	work func(ref describer.TaskRef) time.Duration
	// Starts counts the runs of each task.
	starts map[string]int
	done   map[string]bool
	// noted are the tasks of which an end as done was acknowledged.
	noted    map[string]bool
	overlaps []Overlap
	// overfull are workers that had more than their capacity.
	overfull []string
	needs    func(ref describer.TaskRef) describer.Resources
	// MayCopy reports whether a task may run twice at a time; nil means that none may.
	MayCopy func(ref describer.TaskRef) bool
	// Usage returns the reading of a task beside others that work at percents which add up to
	// a sum; nil means 0.
	Usage func(ref describer.TaskRef, beside int) int64
}

// NewFleet returns a fleet without workers. Work says how long a task runs, needs what it
// takes.
func NewFleet(clock clockwork.Clock, work func(ref describer.TaskRef) time.Duration, needs func(ref describer.TaskRef) describer.Resources) *Fleet {
	return &Fleet{
		clock: clock, work: work, workers: make(map[string]*Worker), starts: make(map[string]int),
		done: make(map[string]bool), noted: make(map[string]bool), needs: needs,
	}
}

// Add adds a worker.
func (f *Fleet) Add(info describer.Worker) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &Worker{Info: info}
	f.workers[info.ID] = w
	f.restart(w, info.Incarnation)
	return w
}

// Restart begins a new life of a worker.
func (f *Fleet) Restart(id string, incarnation int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.restart(f.workers[id], incarnation)
}

func (f *Fleet) restart(w *Worker, incarnation int64) {
	w.Info.Incarnation = incarnation
	w.token, w.started, w.deadline, w.lastEnd, w.ends = 0, f.clock.Now(), 0, 0, nil
	w.runs, w.highest = make(map[string]*run), make(map[string]int64)
}

// Set changes a worker under the fleet's lock.
func (f *Fleet) Set(id string, change func(w *Worker)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f.workers[id])
}

// Infos returns the entries of the workers, by name.
func (f *Fleet) Infos() []describer.Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	var infos []describer.Worker
	for _, id := range sorter.Keys(f.workers) {
		infos = append(infos, f.workers[id].Info)
	}
	return infos
}

// Starts returns how often a task was started.
func (f *Fleet) Starts(task string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts[task]
}

// IsDone reports whether a task has ended as done.
func (f *Fleet) IsDone(task string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.done[task]
}

// Done counts the tasks that ended as done.
func (f *Fleet) Done() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.done)
}

// Faults returns the tasks that ran twice at a time and the workers that were over capacity.
func (f *Fleet) Faults() ([]Overlap, []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.overlaps, f.overfull
}

// Running returns the names of what runs at a worker.
func (f *Fleet) Running(id string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	f.settle(w)
	return sorter.Keys(w.runs)
}

func (f *Fleet) clockOf(w *Worker) time.Duration { return f.clock.Since(w.started) }

// ClockOf returns a worker's steady clock.
func (f *Fleet) ClockOf(id string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w, found := f.workers[id]; found {
		return f.clockOf(w)
	}
	return 0
}

// settle ends what is done and what has lapsed.
func (f *Fleet) settle(w *Worker) {
	now := f.clock.Now()
	for name, r := range w.runs {
		switch {
		case f.clockOf(w) > w.deadline && w.deadline > 0 && w.started.Add(w.deadline).Before(r.endsAt):
			f.end(w, name, r, orderer.EndLapsed)
		case !now.Before(r.endsAt) && r.fails:
			f.end(w, name, r, orderer.EndFailed)
		case !now.Before(r.endsAt):
			f.done[name] = true
			f.end(w, name, r, orderer.EndDone)
		}
	}
}

func (f *Fleet) end(w *Worker, name string, r *run, kind orderer.EndKind) {
	delete(w.runs, name)
	w.lastEnd++
	w.ends = append(w.ends, orderer.Ended{Number: w.lastEnd, Task: r.Task, Run: r.Run, Kind: kind, Checkpoint: r.Checkpoint})
}

// reach returns the worker that an order reaches.
func (f *Fleet) reach(id string, token int64) (*Worker, orderer.Verdict) {
	w, found := f.workers[id]
	switch {
	case !found:
		return nil, orderer.NotSent
	case w.IsSilent:
		return nil, orderer.Unknown
	case w.IsReplaced:
		return nil, orderer.OtherIncarnation
	}
	f.settle(w)
	if token < w.token {
		return nil, orderer.Fenced
	}
	w.token = token
	return w, orderer.Accepted
}

func (w *Worker) answer() orderer.Verdict {
	if w.LosesAnswers {
		return orderer.Unknown
	}
	return orderer.Accepted
}

// Start carries a start out.
func (f *Fleet) Start(_ context.Context, s orderer.Start) orderer.Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, verdict := f.reach(s.Worker.ID, s.Token)
	if verdict != orderer.Accepted {
		return verdict
	}
	name := s.Task.String()
	w.deadline = max(w.deadline, s.Deadline)
	switch r, isThere := w.runs[name]; {
	case isThere && r.Run == s.Run:
		return w.answer()
	case s.Run <= w.highest[name]:
		return orderer.Superseded
	case s.Deadline <= f.clockOf(w):
		return orderer.Lapsed
	}
	w.highest[name] = s.Run
	f.check(w, name, s.Task)
	w.runs[name] = &run{
		Running: orderer.Running{Task: s.Task, Run: s.Run, Checkpoint: s.Checkpoint},
		endsAt:  f.clock.Now().Add(time.Duration(max(w.Slowness, 1)) * f.work(s.Task)), fails: w.Fails, percent: 100,
	}
	f.starts[name]++
	return w.answer()
}

// check notes overlaps and overfull workers.
func (f *Fleet) check(w *Worker, name string, ref describer.TaskRef) {
	used := f.needs(ref)
	for _, r := range w.runs {
		used = used.Plus(f.needs(r.Task))
	}
	if !used.Fits(w.Info.Capacity) {
		f.overfull = append(f.overfull, w.Info.ID)
	}
	if f.MayCopy != nil && f.MayCopy(ref) {
		return
	}
	for _, other := range f.workers {
		f.settle(other)
		if _, isThere := other.runs[name]; isThere || f.noted[name] {
			f.overlaps = append(f.overlaps, Overlap{Task: name, At: f.clock.Now()})
			return
		}
	}
}

// Stop carries a stop out.
func (f *Fleet) Stop(_ context.Context, s orderer.Stop) orderer.Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, verdict := f.reach(s.Worker.ID, s.Token)
	if verdict != orderer.Accepted {
		return verdict
	}
	if w.LosesStops {
		return orderer.Unknown
	}
	name := s.Task.String()
	w.highest[name] = max(w.highest[name], s.Run)
	if r, isThere := w.runs[name]; isThere && r.Run <= s.Run {
		f.end(w, name, r, orderer.EndStopped)
	}
	return w.answer()
}

// Pace has a run work at a share of its speed, which only the readings of others show.
func (f *Fleet) Pace(_ context.Context, p orderer.Pace) orderer.Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, verdict := f.reach(p.Worker.ID, p.Token)
	if verdict != orderer.Accepted {
		return verdict
	}
	if r, isThere := w.runs[p.Task.String()]; isThere && r.Run == p.Run {
		r.percent = p.Percent
	}
	return w.answer()
}

// Percent returns the share at which a task works on a worker; -1 where it does not run.
func (f *Fleet) Percent(id, task string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r, isThere := f.workers[id].runs[task]; isThere {
		return r.percent
	}
	return -1
}

// usage returns the reading of a run.
func (f *Fleet) usage(w *Worker, r *run) int64 {
	if f.Usage == nil {
		return 0
	}
	beside := 0
	for _, other := range w.runs {
		if other != r {
			beside += other.percent
		}
	}
	return f.Usage(r.Task, beside)
}

// lookStep is how often a look that waits sees whether something ended.
const lookStep = 10 * time.Millisecond

// Look answers what runs and what ended, after an end or the wait.
func (f *Fleet) Look(ctx context.Context, l orderer.Look) (orderer.Inventory, orderer.Verdict) {
	until := f.clock.Now().Add(l.Wait)
	for {
		inventory, verdict := f.look(l)
		if verdict != orderer.Accepted || len(inventory.Ended) > 0 || !f.clock.Now().Before(until) {
			return inventory, verdict
		}
		select {
		case <-ctx.Done():
			return orderer.Inventory{}, orderer.Unknown
		case <-f.clock.After(lookStep):
		}
	}
}

func (f *Fleet) look(l orderer.Look) (orderer.Inventory, orderer.Verdict) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, verdict := f.reach(l.Worker.ID, l.Token)
	if verdict != orderer.Accepted {
		return orderer.Inventory{}, verdict
	}
	w.deadline = max(w.deadline, l.Deadline)
	w.ends = slices.DeleteFunc(w.ends, func(e orderer.Ended) bool {
		if e.Number > l.Acknowledged {
			return false
		}
		if e.Kind == orderer.EndDone {
			f.noted[e.Task.String()] = true
		}
		return true
	})
	inventory := orderer.Inventory{Incarnation: w.Info.Incarnation, Clock: f.clockOf(w), Ended: slices.Clone(w.ends)}
	for _, r := range w.runs {
		running := r.Running
		// Only lasting tasks are asked for it, which are at work from their start.
		running.Percent = 100
		running.Usage = f.usage(w, r)
		inventory.Running = append(inventory.Running, running)
	}
	return inventory, w.answer()
}
