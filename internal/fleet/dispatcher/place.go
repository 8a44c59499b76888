package dispatcher

import (
	"slices"
	"time"

	"lentilrock.example/internal/fleet/adviser"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/fleet/ranker"
	"lentilrock.example/internal/fleet/tasker"
)

const (
	// failedBeforePenalty keeps a task away from a worker where it failed.
	failedBeforePenalty = 50.0
	// mixPenalty keeps tasks that serve apart from those that fill.
	mixPenalty = 20.0
	// quickDecision is below what the advice of batch queues takes.
	quickDecision = 100 * time.Millisecond
	// queuedQuestions may wait for a host, so that none is idle between two.
	queuedQuestions = 2
	// keptForQuick is the part of the hosts that slow questions leave free: one in three.
	keptForQuick = 3
	// remoteWeight makes a worker near the data win over a fuller one.
	remoteWeight = 5.0
)

// placement is a task and the worker that it goes to.
type placement struct {
	task   *tasker.Task
	worker *worker
	ticket string
}

// plan is what was planned for a gang and not started yet.
type plan struct {
	room  map[*worker]describer.Resources
	count map[*worker]int
}

// place starts the waiting tasks that fit, in the order of their ranks.
func (d *Dispatcher) place() {
	isBlocked := d.mayRunElsewhere()
	for _, s := range d.waiting() {
		if isBlocked && s.Job.MayRunElsewhere {
			continue
		}
		if s.Spec.Gang {
			d.placeGang(s)
		} else {
			d.placeStep(s)
		}
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
func (d *Dispatcher) waiting() []*tasker.Step {
	var steps []*tasker.Step
	for _, j := range d.jobs {
		for _, s := range j.Steps {
			if s.IsReady(d.now) && s.WaitingTasks(d.now) > 0 {
				s.Rank = ranker.Of(ranker.Candidate{
					Priority: j.Queue.Priority, LongRunning: s.Spec.LongRunning,
					Objective: j.Objective, Remaining: j.Chain(), Work: j.Work(), Offset: j.Offset,
				}, d.now)
				steps = append(steps, s)
			}
		}
	}
	slices.SortFunc(steps, func(a, b *tasker.Step) int { return a.Rank.Compare(b.Rank) })
	return steps
}

// placeStep starts as many tasks of a step as find a place.
func (d *Dispatcher) placeStep(s *tasker.Step) {
	for _, t := range s.Tasks {
		if !t.IsWaiting(d.now) {
			continue
		}
		w, ticket := d.best(t, plan{})
		if w == nil {
			if s.Spec.LongRunning {
				d.reserve(t)
			}
			d.askAdvice(s)
			return
		}
		d.start(t, w, ticket, d.runNumber(t))
	}
}

// placeGang starts all tasks of a gang, or none.
func (d *Dispatcher) placeGang(s *tasker.Step) {
	var planned []placement
	p := plan{room: make(map[*worker]describer.Resources), count: make(map[*worker]int)}
	number := int64(0)
	for _, t := range s.Tasks {
		if !t.IsWaiting(d.now) {
			return
		}
		w, ticket := d.best(t, p)
		if w == nil {
			d.askAdvice(s)
			return
		}
		p.room[w] = p.room[w].Plus(s.Spec.Charge())
		p.count[w]++
		planned = append(planned, placement{t, w, ticket})
		number = max(number, d.runNumber(t))
	}
	for _, chosen := range planned {
		d.start(chosen.task, chosen.worker, chosen.ticket, number)
	}
}

// best returns the worker for a task with its ticket, or nil.
func (d *Dispatcher) best(t *tasker.Task, p plan) (*worker, string) {
	var chosen *worker
	var value string
	lowest := 0.0
	for _, w := range d.ordered {
		ticket, isAllowed := d.allows(t.Step, w, p)
		if !isAllowed {
			continue
		}
		score := d.score(t.Step, w)
		if t.FailedAt[w.info.ID] {
			score += failedBeforePenalty
		}
		if chosen == nil || score < lowest {
			chosen, value, lowest = w, ticket, score
		}
	}
	return chosen, value
}

// allows reports whether a worker can take a task of a step, and with which ticket.
func (d *Dispatcher) allows(s *tasker.Step, w *worker, p plan) (string, bool) {
	if !d.takesWork(w) || !d.suits(s, w) || !s.Spec.Charge().Fits(w.roomFor(s, d.now).Minus(p.room[w])) {
		return "", false
	}
	if s.Spec.MaxPerWorker > 0 && s.RunsAt(w.info.ID)+p.count[w] >= s.Spec.MaxPerWorker {
		return "", false
	}
	if !s.Job.Queue.NeedsAdvice() {
		return "", true
	}
	return s.Advice.Ticket(w.info.ID, w.incarnation, d.now)
}

// suits reports whether a worker is of the right pool and kind for a step.
func (d *Dispatcher) suits(s *tasker.Step, w *worker) bool {
	return w.info.Service == s.Job.Queue.Service && w.info.HasLabel(s.Spec.Label)
}

// score rates a worker for a task of a step; lower is better. Workers near the data come
// first, then the fuller ones, so that room for large tasks stays.
func (d *Dispatcher) score(s *tasker.Step, w *worker) float64 {
	score := 0.0
	if s.Spec.DataRack != "" && w.info.Rack != s.Spec.DataRack {
		score += d.options.RemoteFactor * remoteWeight
	}
	score -= float64(w.used.MilliCPU) / float64(max(w.info.Capacity.MilliCPU, 1))
	if s.Spec.TailTarget > 0 && w.has(isFilling) || s.Spec.Fills && w.has(isServing) {
		score += mixPenalty
	}
	return score
}

func isFilling(r *tasker.Run) bool { return r.Task != nil && r.Task.Step.Spec.Fills }

func isServing(r *tasker.Run) bool { return r.Task != nil && r.Task.Step.Spec.TailTarget > 0 }

// has reports whether a worker has a run of a kind.
func (w *worker) has(isKind func(*tasker.Run) bool) bool {
	for _, r := range w.runs {
		if isKind(r) {
			return true
		}
	}
	return false
}

// runNumber returns the number of a task's next run, above those of former holders.
func (d *Dispatcher) runNumber(t *tasker.Task) int64 {
	return max(t.LastRun+1, (d.options.Epoch-1)*runsPerEpoch+1)
}

// start orders a worker to run a task.
func (d *Dispatcher) start(t *tasker.Task, w *worker, ticket string, number int64) {
	j := t.Step.Job
	t.FreeSince = time.Time{}
	if w.reserved.step == t.Step {
		w.reserved = reservation{}
	}
	r := &tasker.Run{
		Task: t, Ref: t.Ref(), Job: j, Number: number, Worker: w.info.ID, Charge: t.Step.Spec.Charge(), SentAt: d.now,
	}
	t.Run, t.LastRun = r, number
	w.runs[keyOf(r)] = r
	w.used = w.used.Plus(r.Charge)
	j.Runs[r] = true
	if !j.Begun {
		j.Begun = true
		d.dirty[j] = true
	}
	d.order(orderer.Start{
		Worker: w.info, Task: r.Ref, Run: number, Token: d.options.Epoch, Spec: j.Spec.Spec,
		Deadline: w.lease.Extend(d.now, d.options.Lease), Checkpoint: t.Checkpoint(), Ticket: ticket,
		Timeout: w.startTimeout(),
	})
}

// askAdvice asks about the likeliest workers for a step that has tasks left without a place.
func (d *Dispatcher) askAdvice(s *tasker.Step) {
	if !s.Job.Queue.NeedsAdvice() || !s.Advice.MayAsk(d.now) || !d.mayAsk(s.Job.Queue.Advice) {
		return
	}
	var candidates []adviser.Candidate
	for _, w := range d.ordered {
		if s.Advice.IsBad(w.info.ID) || !d.takesWork(w) || !d.suits(s, w) || !d.isWorthAsking(s, w) {
			continue
		}
		if _, isValid := s.Advice.Ticket(w.info.ID, w.incarnation, d.now); !isValid {
			candidates = append(candidates, adviser.Candidate{ID: w.info.ID, Score: d.score(s, w)})
		}
	}
	if len(candidates) == 0 {
		return
	}
	want := d.shares.Want(s.Job.Queue.Name, s.WaitingTasks(d.now))
	asked := s.Advice.Choose(candidates, want)
	s.Advice.Asked(d.now)
	d.questions++
	d.order(orderer.Advise{Step: s.Ref(), Workers: asked, Terms: s.Job.Queue.Advice})
}

// isWorthAsking reports whether a task of a step could start on a worker soon. Lasting tasks
// may have room made for them, so it counts which workers are allowed at all.
func (d *Dispatcher) isWorthAsking(s *tasker.Step, w *worker) bool {
	if s.Spec.LongRunning && !s.Advice.IsGood(w.info.ID) {
		return s.Spec.Charge().Fits(w.info.Capacity)
	}
	return s.Spec.Charge().Fits(w.roomFor(s, d.now))
}

// SetAskers says how many hosts can ask for advice side by side.
func (d *Dispatcher) SetAskers(count int) { d.maxQuestions = max(count, 1) }

// mayAsk reports whether a host is free to ask. Slow questions leave hosts for quick ones.
func (d *Dispatcher) mayAsk(terms describer.AdviceTerms) bool {
	if terms.Decide < quickDecision {
		return d.questions < d.maxQuestions+queuedQuestions
	}
	return d.questions < max(d.maxQuestions-d.maxQuestions/keptForQuick, 1)
}

// Advised takes in the answer to a question; isAnswered is false where there was none.
func (d *Dispatcher) Advised(now time.Time, asked orderer.Advise, answer orderer.Advice, isAnswered bool) {
	d.now = now
	d.questions--
	j, found := d.jobs[asked.Step.Job]
	if !found {
		return
	}
	s := j.Step(asked.Step.Occurrence, asked.Step.Step)
	if !isAnswered {
		s.Advice.Failed(now)
		return
	}
	valid := asked.Terms.Valid
	if answer.Valid > 0 {
		valid = answer.Valid
	}
	incarnations := make(map[string]int64, len(asked.Workers))
	for _, id := range asked.Workers {
		if w, known := d.workers[id]; known {
			incarnations[id] = w.incarnation
		}
	}
	good := s.Advice.Answered(now, asked.Workers, answer.Tickets, incarnations, valid)
	d.shares.Learn(j.Queue.Name, good, len(asked.Workers))
}
