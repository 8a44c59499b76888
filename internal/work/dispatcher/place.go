package dispatcher

import (
	"slices"
	"time"

	"lentilrock.example/internal/work/describer"
	"lentilrock.example/internal/work/orderer"
	"lentilrock.example/internal/work/ranker"
)

// placement is a task and the worker that it goes to.
type placement struct {
	task   *task
	worker *worker
	ticket string
}

// place starts the waiting tasks that fit, in the order of their ranks.
func (d *Dispatcher) place() {
	isBlocked := d.mayRunElsewhere()
	for _, s := range d.waiting() {
		if isBlocked && s.job.offset < d.claimOffset {
			continue
		}
		d.placeStep(s)
	}
}

// mayRunElsewhere reports whether a task of a former holder could be at a worker that has
// not answered yet.
func (d *Dispatcher) mayRunElsewhere() bool {
	for _, w := range d.ordered {
		if w.mayHoldOld(d.now) {
			return true
		}
	}
	return len(d.ordered) == 0
}

// waiting returns the steps whose turn has come and that have tasks to start, best first.
func (d *Dispatcher) waiting() []*step {
	var steps []*step
	for _, j := range d.jobs {
		for _, s := range j.steps {
			if s.isReady(d.now) && s.waitingTasks(d.now) > 0 {
				s.rank = ranker.Of(ranker.Candidate{
					Priority: j.queue.Priority, LongRunning: s.spec.LongRunning,
					Objective: j.objective, Remaining: j.chain(), Work: j.work(), Offset: j.offset,
				}, d.now)
				steps = append(steps, s)
			}
		}
	}
	slices.SortFunc(steps, func(a, b *step) int { return a.rank.Compare(b.rank) })
	return steps
}

func (d *Dispatcher) placeStep(s *step) {
	if s.spec.Gang {
		d.placeGang(s)
		return
	}
	lacksTickets := false
	for _, t := range s.tasks {
		if !t.isWaiting(d.now) {
			continue
		}
		w, value := d.best(t, nil)
		if w == nil {
			lacksTickets = true
			break
		}
		d.start(t, w, value, d.runNumber(t))
	}
	if lacksTickets && s.job.queue.NeedsAdvice() {
		d.askAdvice(s)
	}
}

// placeGang starts all tasks of a gang, or none.
func (d *Dispatcher) placeGang(s *step) {
	var planned []placement
	taken := make(map[*worker]describer.Resources)
	number := int64(0)
	for _, t := range s.tasks {
		if !t.isWaiting(d.now) {
			return
		}
		w, value := d.best(t, taken)
		if w == nil {
			if s.job.queue.NeedsAdvice() {
				d.askAdvice(s)
			}
			return
		}
		taken[w] = taken[w].Plus(s.spec.Charge())
		planned = append(planned, placement{t, w, value})
		number = max(number, d.runNumber(t))
	}
	for _, p := range planned {
		d.start(p.task, p.worker, p.ticket, number)
	}
}

// best returns the worker for a task with its ticket, or nil. taken is what was planned
// but not started yet.
func (d *Dispatcher) best(t *task, taken map[*worker]describer.Resources) (*worker, string) {
	var chosen *worker
	var value string
	lowest := 0.0
	s := t.step
	for _, w := range d.ordered {
		if !d.takesWork(w) || !d.suits(s, w) || !s.spec.Charge().Fits(w.room().Minus(taken[w])) {
			continue
		}
		if s.spec.MaxPerWorker > 0 && d.ofStep(s, w)+plannedOf(s, taken[w]) >= s.spec.MaxPerWorker {
			continue
		}
		ticketValue := ""
		if s.job.queue.NeedsAdvice() {
			known, found := s.ticketFor(w, d.now)
			if !found {
				continue
			}
			ticketValue = known
		}
		score := d.score(s, w)
		if t.failedAt[w.info.ID] {
			score += failedBeforePenalty
		}
		if chosen == nil || score < lowest {
			chosen, value, lowest = w, ticketValue, score
		}
	}
	return chosen, value
}

func plannedOf(s *step, taken describer.Resources) int {
	if s.spec.Need.MemoryMB == 0 {
		return 0
	}
	return int(taken.MemoryMB / s.spec.Need.MemoryMB)
}

// ofStep counts the tasks of a step's occurrence that may be on a worker.
func (d *Dispatcher) ofStep(s *step, w *worker) int {
	count := 0
	for r := range s.job.runs {
		if r.worker == w && r.task != nil && r.task.step == s {
			count++
		}
	}
	return count
}

const (
	// failedBeforePenalty keeps a task away from a worker where it failed.
	failedBeforePenalty = 50.0
	// mixPenalty keeps tasks that serve apart from those that fill.
	mixPenalty = 20.0
)

// suits reports whether a worker is of the right pool and kind for a step.
func (d *Dispatcher) suits(s *step, w *worker) bool {
	return w.info.Service == s.job.queue.Service && w.info.HasLabel(s.spec.Label)
}

// score rates a worker for a task of a step; lower is better. Workers near the data come
// first, then the fuller ones, so that room for large tasks stays.
func (d *Dispatcher) score(s *step, w *worker) float64 {
	score := 0.0
	if s.spec.DataRack != "" && w.info.Rack != s.spec.DataRack {
		score += d.options.RemoteFactor * 5
	}
	capacity := float64(max(w.info.Capacity.MilliCPU, 1))
	score -= float64(w.used.MilliCPU) / capacity
	if s.spec.TailTarget > 0 && w.hasFilling() || s.spec.Fills && w.hasServing() {
		score += mixPenalty
	}
	return score
}

func (w *worker) hasFilling() bool {
	for _, r := range w.runs {
		if r.task != nil && r.task.step.spec.Fills {
			return true
		}
	}
	return false
}

func (w *worker) hasServing() bool {
	for _, r := range w.runs {
		if r.task != nil && r.task.step.spec.TailTarget > 0 {
			return true
		}
	}
	return false
}

// runNumber returns the number of a task's next run, above those of former holders.
func (d *Dispatcher) runNumber(t *task) int64 {
	return max(t.lastRun+1, (d.options.Epoch-1)*runsPerEpoch+1)
}

// start orders a worker to run a task.
func (d *Dispatcher) start(t *task, w *worker, ticketValue string, number int64) {
	j := t.step.job
	r := &run{
		task: t, ref: t.ref(), job: j, number: number, worker: w,
		charge: t.step.spec.Charge(), sentAt: d.now,
	}
	t.run, t.lastRun = r, number
	w.runs[runKey{r.ref, number}] = r
	w.used = w.used.Plus(r.charge)
	j.runs[r] = true
	if !j.begun {
		j.begun = true
		d.dirty[j] = true
	}
	d.order(orderer.Start{
		Worker: w.info, Task: r.ref, Run: number, Token: d.options.Epoch, Spec: j.spec.Spec,
		Deadline: w.deadline(d.now, d.options.Lease), Checkpoint: t.resumeFrom(), Ticket: ticketValue,
	})
}

// NextDue returns when something is due without an event, at most a while from now.
func (d *Dispatcher) NextDue(now time.Time, atMost time.Duration) time.Time {
	return now.Add(atMost)
}
