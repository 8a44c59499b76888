package dispatcher

import (
	"time"

	"lentilrock.example/internal/fleet/chooser"
	"lentilrock.example/internal/fleet/minder"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/fleet/tasker"
)

// placement is a task and the worker that it goes to.
type placement struct {
	task   *tasker.Task
	worker *minder.Worker
	ticket string
}

// place starts the waiting tasks that fit, in the order of their ranks.
func (d *Dispatcher) place() {
	isBlocked := d.mayRunElsewhere()
	for _, s := range tasker.Waiting(d.jobs, d.now) {
		if isBlocked && s.Job.MayRunElsewhere {
			continue
		}
		if s.Spec.Gang {
			d.placeGang(s)
		} else {
			d.placeStep(s)
		}
	}
	if !isBlocked {
		d.placeCopies()
	}
}

// mayRunElsewhere reports whether a task of a former holder could be at a worker that has
// not answered yet.
func (d *Dispatcher) mayRunElsewhere() bool {
	for _, w := range d.ordered {
		if w.MayHoldOld(d.now) {
			return true
		}
	}
	return len(d.ordered) == 0
}

// placeStep starts as many tasks of a step as find a place.
func (d *Dispatcher) placeStep(s *tasker.Step) {
	for _, t := range s.Tasks {
		if !t.IsWaiting(d.now) {
			continue
		}
		w, ticket := d.chooser.Best(t, d.ordered, chooser.Plan{}, d.now)
		if w == nil {
			if s.Spec.LongRunning {
				d.reserve(t)
			}
			d.askAdvice(s)
			return
		}
		d.start(t, w, ticket, t.NextRun(d.options.Epoch))
	}
}

// placeGang starts all tasks of a gang, or none.
func (d *Dispatcher) placeGang(s *tasker.Step) {
	var planned []placement
	var p chooser.Plan
	number := int64(0)
	for _, t := range s.Tasks {
		if !t.IsWaiting(d.now) {
			return
		}
		w, ticket := d.chooser.Best(t, d.ordered, p, d.now)
		if w == nil {
			d.askAdvice(s)
			return
		}
		p.Add(s, w)
		planned = append(planned, placement{t, w, ticket})
		number = max(number, t.NextRun(d.options.Epoch))
	}
	for _, chosen := range planned {
		d.start(chosen.task, chosen.worker, chosen.ticket, number)
	}
}

// start orders a worker to run a task.
func (d *Dispatcher) start(t *tasker.Task, w *minder.Worker, ticket string, number int64) {
	j := t.Step.Job
	t.FreeSince = time.Time{}
	if w.Reserved.Step == t.Step {
		w.Reserved = minder.Reservation{}
	}
	r := &tasker.Run{
		Task: t, Ref: t.Ref(), Job: j, Number: number, Worker: w.Info.ID, Charge: t.Step.Spec.Charge(), SentAt: d.now,
		Percent: fullPercent,
	}
	t.Run, t.LastRun = r, number
	w.Add(r)
	j.Runs[r] = true
	if !j.Begun {
		j.Begun = true
		d.saver.Changed(j)
	}
	d.order(orderer.Start{
		Worker: w.Info, Task: r.Ref, Run: number, Token: d.options.Epoch, Spec: j.Spec.Spec,
		Deadline: w.Lease.Extend(d.now, d.options.Lease), Checkpoint: t.Checkpoint(), Ticket: ticket,
		Timeout: w.StartTimeout(),
	})
}

// askAdvice asks about the likeliest workers for a step that has tasks left without a place.
func (d *Dispatcher) askAdvice(s *tasker.Step) {
	if question, isAsked := d.questions.Ask(s, d.ordered, d.chooser, d.now); isAsked {
		d.order(question)
	}
}

// SetAskers says how many hosts can ask for advice side by side.
func (d *Dispatcher) SetAskers(count int) { d.questions.MaxAskers = count }

// Advised takes in the answer to a question; isAnswered is false where there was none.
func (d *Dispatcher) Advised(now time.Time, asked orderer.Advise, answer orderer.Advice, isAnswered bool) {
	d.now = now
	d.questions.End()
	j, found := d.jobs[asked.Step.Job]
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
		if w, known := d.workers[id]; known {
			incarnations[id] = w.Incarnation
		}
	}
	d.questions.Answer(s, asked, answer, incarnations, now)
}
