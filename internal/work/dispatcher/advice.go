package dispatcher

import (
	"slices"
	"time"

	"lentilrock.example/internal/work/orderer"
)

const (
	// priorGoodShare is the assumed share of workers that advice names before the first answer.
	priorGoodShare = 0.5
	// goodShareWeight is that of a new answer in the moving average.
	goodShareWeight = 0.1
	// minAsked and maxAsked bound the workers that a question names.
	minAsked = 12
	maxAsked = 40
	// ticketMargin is taken off a ticket's life for the way of a start.
	ticketMargin = 300 * time.Millisecond
	// adviceRetry is the pause after a question that was not answered.
	adviceRetry = 250 * time.Millisecond
	// adviceTimeout is when a question counts as lost.
	adviceTimeout = 4 * time.Second
)

// ticket lets tasks of a step start on one life of a worker.
type ticket struct {
	value       string
	incarnation int64
	until       time.Time
}

// advice is what is known of the workers that may run a step.
type advice struct {
	tickets map[string]ticket
	// good and bad are the workers whose answer is known; it does not change.
	good, bad map[string]bool
	askedAt   time.Time
	pending   bool
	notBefore time.Time
}

// ticketFor returns the valid ticket of a step at a worker.
func (s *step) ticketFor(w *worker, now time.Time) (string, bool) {
	t, found := s.advice.tickets[w.info.ID]
	if !found || t.incarnation != w.incarnation || !now.Before(t.until) {
		return "", false
	}
	return t.value, true
}

// askAdvice asks about the likeliest workers for a step that has tasks left without a place.
func (d *Dispatcher) askAdvice(s *step) {
	a := &s.advice
	if a.pending && d.now.Sub(a.askedAt) < adviceTimeout || d.now.Before(a.notBefore) {
		return
	}
	asked := d.candidates(s)
	if len(asked) == 0 {
		return
	}
	a.pending, a.askedAt = true, d.now
	d.order(orderer.Advise{Step: s.ref(), Workers: asked, Terms: s.job.queue.Advice})
}

// candidates returns the workers to ask about: known good ones first, then those with the
// most room, as many as are needed to find places for all tasks.
func (d *Dispatcher) candidates(s *step) []string {
	share, found := d.goodShare[s.job.queue.Name]
	if !found {
		share = priorGoodShare
	}
	want := int(float64(s.waitingTasks(d.now))/max(share, 0.1)) + 4
	want = min(max(want, minAsked), maxAsked)
	type scored struct {
		id    string
		score float64
	}
	var suitable []scored
	for _, w := range d.ordered {
		if s.advice.bad[w.info.ID] || !d.takesWork(w) || !d.suits(s, w) || !s.spec.Charge().Fits(w.room()) {
			continue
		}
		if _, valid := s.ticketFor(w, d.now); valid {
			continue
		}
		score := d.score(s, w)
		if s.advice.good[w.info.ID] {
			score -= 100
		}
		suitable = append(suitable, scored{w.info.ID, score})
	}
	slices.SortStableFunc(suitable, func(a, b scored) int {
		switch {
		case a.score < b.score:
			return -1
		case a.score > b.score:
			return 1
		}
		return 0
	})
	ids := make([]string, 0, want)
	for i := 0; i < len(suitable) && i < want; i++ {
		ids = append(ids, suitable[i].id)
	}
	return ids
}

// Advised takes in the answer to a question; ok is false where there was none.
func (d *Dispatcher) Advised(now time.Time, asked orderer.Advise, sentAt time.Time, answer orderer.Advice, ok bool) {
	d.now = now
	j, found := d.jobs[asked.Step.Job]
	if !found {
		return
	}
	s := j.step(asked.Step.Occurrence, asked.Step.Step)
	a := &s.advice
	a.pending = false
	if !ok {
		a.notBefore = now.Add(adviceRetry)
		return
	}
	if a.tickets == nil {
		a.tickets = make(map[string]ticket)
		a.good = make(map[string]bool)
		a.bad = make(map[string]bool)
	}
	// The life of a ticket counts from the answer, which left the service after most of the
	// time since the question.
	valid := asked.Terms.Valid
	if answer.Valid > 0 {
		valid = answer.Valid
	}
	until := now.Add(valid - ticketMargin)
	good := 0
	for _, id := range asked.Workers {
		value, isGood := answer.Tickets[id]
		if !isGood {
			a.bad[id] = true
			continue
		}
		good++
		a.good[id] = true
		if w, known := d.workers[id]; known {
			a.tickets[id] = ticket{value: value, incarnation: w.incarnation, until: until}
		}
	}
	d.learnShare(s, good, len(asked.Workers))
}

func (d *Dispatcher) learnShare(s *step, good, asked int) {
	name := s.job.queue.Name
	share, found := d.goodShare[name]
	if !found {
		share = priorGoodShare
	}
	d.goodShare[name] = share + goodShareWeight*(float64(good)/float64(asked)-share)
}
