// Package placer starts the tasks whose turn has come, in the order of their ranks, on the
// workers that the policy chooses, and asks for the advice that they need.
//
// # Usage
//
//	p := placer.New(r, settler)
//	p.SetAskers(hosts)
//	p.Place()
//	p.Advised(now, question, answer, isAnswered)
package placer

import (
	"time"

	"lentilrock.example/internal/fleet/chooser"
	"lentilrock.example/internal/fleet/minder"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/fleet/questioner"
	"lentilrock.example/internal/fleet/registrar"
	"lentilrock.example/internal/fleet/settler"
	"lentilrock.example/internal/fleet/tasker"
)

// Placer starts tasks.
type Placer struct {
	*registrar.Registrar
	settler   *settler.Settler
	chooser   chooser.Chooser
	questions questioner.Questioner
}

// New returns a placer of the jobs that a registrar holds.
func New(r *registrar.Registrar, s *settler.Settler) *Placer {
	return &Placer{Registrar: r, settler: s, chooser: chooser.Chooser{RemoteFactor: r.Options.RemoteFactor}}
}

// placement is a task and the worker that it goes to.
type placement struct {
	task   *tasker.Task
	worker *minder.Worker
	ticket string
}

// Place starts the waiting tasks that fit, in the order of their ranks.
func (p *Placer) Place() {
	isBlocked := p.mayRunElsewhere()
	for _, s := range tasker.Waiting(p.Jobs, p.Now) {
		if isBlocked && s.Job.MayRunElsewhere {
			continue
		}
		if s.Spec.Gang {
			p.placeGang(s)
		} else {
			p.placeStep(s)
		}
	}
	if !isBlocked {
		p.placeCopies()
	}
}

// mayRunElsewhere reports whether a task of a former holder could be at a worker that has
// not answered yet.
func (p *Placer) mayRunElsewhere() bool {
	for _, w := range p.Ordered {
		if w.MayHoldOld(p.Now) {
			return true
		}
	}
	return len(p.Ordered) == 0
}

// candidates returns the workers on which a task of a step could start at all.
func (p *Placer) candidates(s *tasker.Step) []*minder.Worker {
	if !s.Job.Queue.NeedsAdvice() {
		return p.Ordered
	}
	holders := s.Advice.Holders()
	candidates := make([]*minder.Worker, 0, len(holders))
	for _, id := range holders {
		if w, found := p.Workers[id]; found {
			candidates = append(candidates, w)
		}
	}
	return candidates
}

// isOpen reports whether tasks of a job may start: a successor knows of the job's progress.
func (p *Placer) isOpen(j *tasker.Job) bool { return j.OpenBatch <= p.Saver.LastSaved() }

// placeStep starts as many tasks of a step as find a place.
func (p *Placer) placeStep(s *tasker.Step) {
	if !p.isOpen(s.Job) {
		p.askAdvice(s)
		return
	}
	candidates := p.candidates(s)
	for _, t := range s.Tasks {
		if !t.IsWaiting(p.Now) {
			continue
		}
		w, ticket := p.chooser.Best(t, candidates, chooser.Plan{}, p.Now)
		if w == nil {
			if s.Spec.LongRunning {
				p.reserve(t)
			}
			p.askAdvice(s)
			return
		}
		p.start(t, w, ticket, t.NextRun(p.Options.Epoch))
	}
}

// placeGang starts all tasks of a gang, or none.
func (p *Placer) placeGang(s *tasker.Step) {
	if !p.isOpen(s.Job) {
		p.askAdvice(s)
		return
	}
	var planned []placement
	var plan chooser.Plan
	number := int64(0)
	candidates := p.candidates(s)
	for _, t := range s.Tasks {
		if !t.IsWaiting(p.Now) {
			return
		}
		w, ticket := p.chooser.Best(t, candidates, plan, p.Now)
		if w == nil {
			p.askAdvice(s)
			return
		}
		plan.Add(s, w)
		planned = append(planned, placement{t, w, ticket})
		number = max(number, t.NextRun(p.Options.Epoch))
	}
	for _, chosen := range planned {
		p.start(chosen.task, chosen.worker, chosen.ticket, number)
	}
}

// start orders a worker to run a task.
func (p *Placer) start(t *tasker.Task, w *minder.Worker, ticket string, number int64) {
	j := t.Step.Job
	t.FreeSince = time.Time{}
	if w.Reserved.Step == t.Step {
		w.Reserved = minder.Reservation{}
	}
	r := &tasker.Run{
		Task: t, Ref: t.Ref(), Job: j, Number: number, Worker: w.Info.ID, Charge: t.Step.Spec.Charge(), SentAt: p.Now,
		Percent: tasker.FullPercent,
	}
	t.Run, t.LastRun = r, number
	w.Add(r)
	j.Runs[r] = true
	if !j.Begun {
		p.Options.Observe("first_start_seconds", p.Now.Sub(j.Spec.Received))
		j.Begun = true
		p.Saver.Changed(j)
	}
	p.Order(orderer.Start{
		Worker: w.Info, Task: r.Ref, Run: number, Token: p.Options.Epoch, Spec: j.Spec.Spec,
		Deadline: w.Lease.Extend(p.Now, p.Options.Lease), Checkpoint: t.Checkpoint(), Ticket: ticket,
		Timeout: w.StartTimeout(),
	})
}

// askAdvice asks about the likeliest workers for a step that has tasks left without a place.
func (p *Placer) askAdvice(s *tasker.Step) {
	if question, isAsked := p.questions.Ask(s, p.Ordered, p.chooser, p.Now); isAsked {
		p.Order(question)
	}
}

// SetAskers says how many hosts can ask for advice side by side.
func (p *Placer) SetAskers(count int) { p.questions.MaxAskers = count }

// Advised takes in the answer to a question; isAnswered is false where there was none.
func (p *Placer) Advised(now time.Time, asked orderer.Advise, answer orderer.Advice, isAnswered bool) {
	p.Now = now
	p.questions.End()
	j, found := p.Jobs[asked.Step.Job]
	if !found {
		return
	}
	s := j.Step(asked.Step.Occurrence, asked.Step.Step)
	if !isAnswered {
		s.Advice.Failed(now)
		return
	}
	incarnations := make(map[string]int64, len(asked.Workers))
	for _, id := range asked.Workers {
		if w, known := p.Workers[id]; known {
			incarnations[id] = w.Incarnation
		}
	}
	p.questions.Answer(s, asked, answer, incarnations, now)
}
