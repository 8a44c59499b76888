// Package placer starts the tasks of steps that are ready, in the order of their ranks, on the
// workers that the placement policy selects, and requests the advice that they need.
//
// # Usage
//
//	p := placer.New(r, reconciler)
//	p.SetAdviceHosts(hosts)
//	p.Place()
//	p.AdviceAnswered(now, request, response, isAnswered)
package placer

import (
	"time"

	"lentilrock.example/internal/container/rotator"
	"lentilrock.example/internal/fleet/bookkeeper"
	"lentilrock.example/internal/fleet/delayer"
	"lentilrock.example/internal/fleet/mitigator"
	"lentilrock.example/internal/fleet/monitor"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/fleet/pacer"
	"lentilrock.example/internal/fleet/preempter"
	"lentilrock.example/internal/fleet/reconciler"
	"lentilrock.example/internal/fleet/registrar"
	"lentilrock.example/internal/fleet/reporter"
	"lentilrock.example/internal/fleet/requester"
	"lentilrock.example/internal/fleet/selector"
	"lentilrock.example/internal/fleet/sharer"
	"lentilrock.example/internal/fleet/tasker"
)

// maxOffered bounds the steps that are placed in one round. Half of them are those with the best ranks, the others
// are taken in rotation.
const maxOffered = 1024

// Placer starts tasks.
type Placer struct {
	*registrar.Registrar
	reconciler *reconciler.Reconciler
	bookkeeper *bookkeeper.Bookkeeper
	reporter   *reporter.Reporter
	selector   selector.Selector
	requests   requester.Requester
	preempter  preempter.Preempter
	delayer    delayer.Delayer
	rotation   rotator.Rotator
	// round is the current round.
	round *round
	// budget bounds the answers to stragglers.
	budget mitigator.Budget
	// shares order the steps that wait by the shares of their workspaces.
	shares *sharer.Sharer
	// preempted counts the runs that were preempted since the log line at preemptedAt.
	preempted   int
	preemptedAt time.Time
	// delayedAt is when the last log line on a delay was written.
	delayedAt time.Time
}

// New returns a placer for the jobs of a registrar.
func New(r *registrar.Registrar, s *reconciler.Reconciler) *Placer {
	return &Placer{
		Registrar: r, reconciler: s, bookkeeper: bookkeeper.New(r, s), reporter: reporter.New(r),
		selector: selector.Selector{RemoteFactor: r.Options.RemoteFactor}, shares: sharer.New(),
	}
}

// HasNewlyNoRuns reports whether no run of a job that has ended is left, which is not recorded yet and matters for a limit.
func (p *Placer) HasNewlyNoRuns(j *tasker.Job) bool {
	return !j.HasNoRuns && p.bookkeeper.IsCountedAfterEnd(j) && p.bookkeeper.HasNoRuns(j)
}

// placement is a task and the worker selected for it.
type placement struct {
	task   *tasker.Task
	worker *monitor.Worker
	ticket string
}

// Place starts the waiting tasks for which there is capacity, in the order of the ranks of their
// steps.
func (p *Placer) Place() {
	hasUnknownRuns, hasUnlistedRuns := p.MayHaveUnknownRuns()
	p.round = p.newRound()
	p.Estimator.Observe(p.Now)
	for _, w := range p.Ordered {
		w.SpeedScore = selector.SpeedScore(p.Estimator.Speed(w.Info.ID))
	}
	p.preempter.Begin(p.Now)
	p.delayer.Begin(p.Now)
	hasOmittedStarts := p.Persister.MayHaveOmittedStart(p.Now)
	mayHaveUnknown := func(s *tasker.Step) bool {
		mayStartLate := hasOmittedStarts && s.Job.MayHaveUnknownRuns && s.Spec.HasHarmfulStarts(s.Job.Queue)
		return mayStartLate || hasUnknownRuns && s.Job.MayHaveUnknownRuns || hasUnlistedRuns && s.Job.MayHaveUnlistedRuns
	}
	steps, held := p.bookkeeper.WithinLimits(tasker.ReadyStepsIn(p.Jobs, p.round.flows, p.Now), p.round.limits, maxStartsPerJob, func(s *tasker.Step) bool {
		return !mayHaveUnknown(s) && p.hasDurableProgress(s.Job)
	})
	p.releaseRoom(held)
	p.reporter.ReportHeld(held, p.round.limits)
	for _, s := range held.Unadvised {
		p.requestAdvice(s)
	}
	for _, s := range rotator.Select(&p.rotation, p.byShare(steps), maxOffered) {
		if mayHaveUnknown(s) {
			continue
		}
		switch {
		case p.round.isImpossible(s):
			if p.hasDurableProgress(s.Job) {
				p.preempt(s)
			}
		case s.Spec.Gang:
			p.placeGang(s)
		default:
			p.placeStep(s)
		}
	}
	if !hasUnknownRuns {
		p.placeCopies()
		p.moveStragglers()
	}
	p.reporter.ReportIdle(reporter.Round{
		HasUnknownRuns: hasUnknownRuns, HasUnlistedRuns: hasUnlistedRuns, Ledger: p.round.limits, Shares: p.shares, Requests: &p.requests,
	})
}

// candidates returns the workers on which a task of a step may be placed at all: all of them, or
// those with a ticket if the queue needs advice.
func (p *Placer) candidates(s *tasker.Step) []*monitor.Worker {
	if !s.Job.Queue.NeedsAdvice() {
		return p.Ordered
	}
	ids := s.Advice.TicketedWorkers()
	candidates := make([]*monitor.Worker, 0, len(ids))
	for _, id := range ids {
		if w, found := p.Workers[id]; found {
			candidates = append(candidates, w)
		}
	}
	return candidates
}

// hasDurableProgress reports whether tasks of a job may start: the job's first progress record is
// durable, so a successor learns that the job may have runs.
func (p *Placer) hasDurableProgress(j *tasker.Job) bool {
	return j.FirstProgressBatch <= p.Persister.LastDurable()
}

// placeStep starts the tasks of a step until no worker is found for one.
func (p *Placer) placeStep(s *tasker.Step) {
	if !p.hasDurableProgress(s.Job) {
		p.requestAdvice(s)
		return
	}
	candidates := p.candidates(s)
	delayed, isDelayed := 0, false
	var w *monitor.Worker
	var ticket string
	for t := range s.Waiting(p.Now) {
		if p.round.startedByJob[s.Job] >= maxStartsPerJob || !p.round.mayStart(s, 1) {
			return
		}
		// After a delay the same worker is the best one for another task.
		isConfined := t.Confiner.IsPending(p.Now)
		if !isDelayed || len(t.FailedAt) > 0 || t.IsMoving(p.Now) || isConfined {
			w, ticket = p.selector.Best(t, candidates, selector.Plan{}, p.Now)
		}
		if w == nil && (t.IsMoving(p.Now) || isConfined) {
			// Other tasks of the step may start on workers on which this one may not.
			p.requestAdvice(s)
			isDelayed = false
			continue
		}
		if w == nil {
			if s.Spec.LongRunning {
				p.reserve(t)
			}
			p.preempt(s)
			p.round.recordImpossible(s)
			p.requestAdvice(s)
			return
		}
		if isDelayed = !isConfined && p.isDelayed(s, w); isDelayed {
			if delayed++; delayed < maxDelayed {
				continue
			}
			break
		}
		if p.reconciler.AwaitsReply(s, w) {
			break
		}
		p.start(t, w, ticket, t.NextRun(p.Options.Epoch))
	}
	if delayed > 0 {
		// There may be room on the rack for which advice is missing.
		p.requestAdvice(s)
	}
}

// placeGang starts all tasks of a gang, or none.
func (p *Placer) placeGang(s *tasker.Step) {
	if !p.hasDurableProgress(s.Job) {
		p.requestAdvice(s)
		return
	}
	if s.WaitingTasks(p.Now) < s.Spec.Count || !p.round.mayStart(s, s.Spec.Count) {
		return
	}
	candidates, isDelayed := p.gangCandidates(s, p.candidates(s))
	if isDelayed || !selector.HasRoom(s, candidates, p.Now) {
		p.requestAdvice(s)
		return
	}
	var planned []placement
	var plan selector.Plan
	number := int64(0)
	var last *monitor.Worker
	for _, t := range selector.GangMembers(s, p.Now) {
		w, ticket := p.selector.Next(last, t, candidates, plan, p.Now)
		if w == nil {
			p.requestAdvice(s)
			return
		}
		if last = w; len(t.FailedAt) > 0 || t.Confiner.IsPending(p.Now) {
			last = nil
		}
		plan.Add(s, w)
		planned = append(planned, placement{t, w, ticket})
		number = max(number, t.NextRun(p.Options.Epoch))
	}
	isAwaited := false
	for _, chosen := range planned {
		isAwaited = p.reconciler.AwaitsReply(s, chosen.worker) || isAwaited
	}
	if isAwaited {
		return
	}
	for _, chosen := range planned {
		p.start(chosen.task, chosen.worker, chosen.ticket, number)
	}
}

// start orders a worker to run a task.
func (p *Placer) start(t *tasker.Task, w *monitor.Worker, ticket string, number int64) {
	j := t.Step.Job
	t.UnplacedSince, t.MovedUntil = time.Time{}, time.Time{}
	if waited := t.Confiner.Waited(p.Now); waited > 0 {
		p.Options.Observe("confined_wait_seconds", waited)
	}
	t.Confiner.Started()
	if w.Reserved.Step == t.Step {
		if w.Reserved.Charge = w.Reserved.Charge.Minus(t.Step.Spec.Charge()); !t.Step.Spec.Charge().Fits(w.Reserved.Charge) {
			w.Reserved = monitor.Reservation{}
		}
	}
	r := &tasker.Run{
		Task: t, Ref: t.Ref(), Job: j, Number: number, Worker: w.Info.ID, Charge: t.Step.Spec.Charge(), Owner: j.Spec.Owner(t.Step.Index), SentAt: p.Now,
		Percent: pacer.FullPercent, IsPartial: t.Checkpoint() != "",
	}
	t.Run, t.LastRun = r, number
	w.Add(r)
	w.StartSent()
	j.AddRun(r)
	p.round.recordStart(r)
	if line, found := p.round.lines[placeOf(w)]; found {
		line.Join(t.Step.Spec, 1)
	}
	if t.Step.Spec.HasHarmfulStarts(j.Queue) {
		p.Persister.MarkLateStartsChanged()
	}
	if !j.Begun {
		p.Options.Observe("first_start_seconds", p.Now.Sub(j.Spec.Received))
		j.Begun = true
		p.Persister.MarkChanged(j)
	}
	p.Order(orderer.Start{
		Worker: w.Info, Task: r.Ref, Run: number, Token: p.Options.Epoch, Spec: j.Spec.Spec,
		Deadline: w.Lease.Extend(p.Now, p.Options.Lease), Checkpoint: t.Checkpoint(), Ticket: ticket,
		MinClock: w.Lease.MinClock(p.Now), Timeout: w.StartTimeout(), SentAt: p.Now,
	})
}

// requestAdvice requests advice about the best-rated workers for a step with tasks that could not
// be placed.
func (p *Placer) requestAdvice(s *tasker.Step) {
	if request, isNeeded := p.requests.NextRequest(s, p.Ordered, p.selector, p.Now); isNeeded {
		p.Order(request)
	}
}

// SetAdviceHosts sets the number of hosts that can request advice concurrently.
func (p *Placer) SetAdviceHosts(count int) { p.requests.MaxConcurrent = count }

// AdviceAnswered applies the response to an advice request; isAnswered is false if there was none.
func (p *Placer) AdviceAnswered(now time.Time, request orderer.AdviceRequest, response orderer.Advice, isAnswered bool) {
	p.Now = now
	p.requests.Finish(request)
	j, found := p.Jobs[request.Step.Job]
	if !found {
		return
	}
	s := j.Step(request.Step.Occurrence, request.Step.Step)
	if s == nil || s.RemainingTasks == 0 {
		return
	}
	s.Keep()
	if !isAnswered {
		s.Advice.QueryFailed(now)
		return
	}
	incarnations := make(map[string]int64, len(request.Workers))
	for _, id := range request.Workers {
		if w, known := p.Workers[id]; known {
			incarnations[id] = w.Incarnation
		}
	}
	p.requests.RecordResponse(s, request, response, incarnations, now)
}
