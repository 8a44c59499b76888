// Package questioner decides which questions for advice are asked: for which steps, about
// which workers, and how many at a time, as each host is answered one after the other.
//
// # Usage
//
//	q := questioner.Questioner{MaxAskers: 7}
//	if question, isAsked := q.Ask(step, workers, chooser, now); isAsked {
//		// send it, then q.End() and q.Answer(...)
//	}
package questioner

import (
	"time"

	"lentilrock.example/internal/fleet/adviser"
	"lentilrock.example/internal/fleet/chooser"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/minder"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/fleet/tasker"
)

const (
	// quickDecision is below what the advice of batch queues takes.
	quickDecision = 100 * time.Millisecond
	// queuedQuestions may wait for a host, so that none is idle between two.
	queuedQuestions = 2
	// keptForQuick is the part of the hosts that slow questions leave free: one in three.
	keptForQuick = 3
)

// Questioner bounds and words the questions. The zero value asks one at a time.
type Questioner struct {
	// MaxAskers is how many hosts can ask side by side.
	MaxAskers int
	underWay  int
	shares    adviser.Shares
}

// Ask returns a question for a step that has tasks left without a place.
func (q *Questioner) Ask(s *tasker.Step, workers []*minder.Worker, c chooser.Chooser, now time.Time) (orderer.Advise, bool) {
	terms := s.Job.Queue.Advice
	if !s.Job.Queue.NeedsAdvice() || !s.Advice.MayAsk(now) || !q.mayAsk(terms) {
		return orderer.Advise{}, false
	}
	var candidates []adviser.Candidate
	for _, w := range workers {
		if s.Advice.IsBad(w.Info.ID) || !w.TakesWork(now) || !chooser.Suits(s, w) || !isWorthAsking(s, w, now) {
			continue
		}
		if _, isValid := s.Advice.Ticket(w.Info.ID, w.Incarnation, now); !isValid {
			candidates = append(candidates, adviser.Candidate{ID: w.Info.ID, Score: c.Score(s, w)})
		}
	}
	if len(candidates) == 0 {
		return orderer.Advise{}, false
	}
	asked := s.Advice.Choose(candidates, q.shares.Want(s.Job.Queue.Name, s.WaitingTasks(now)))
	s.Advice.Asked(now)
	q.underWay++
	return orderer.Advise{Step: s.Ref(), Workers: asked, Terms: terms}, true
}

// mayAsk reports whether a host is free to ask. Slow questions leave hosts for quick ones.
func (q *Questioner) mayAsk(terms describer.AdviceTerms) bool {
	askers := max(q.MaxAskers, 1)
	if terms.Decide < quickDecision {
		return q.underWay < askers+queuedQuestions
	}
	return q.underWay < max(askers-askers/keptForQuick, 1)
}

// isWorthAsking reports whether a task of a step could start on a worker soon. Lasting tasks
// may have room made for them, so it counts which workers are allowed at all.
func isWorthAsking(s *tasker.Step, w *minder.Worker, now time.Time) bool {
	if s.Spec.LongRunning && !s.Advice.IsGood(w.Info.ID) {
		return s.Spec.Charge().Fits(w.Info.Capacity)
	}
	return s.Spec.Charge().Fits(w.RoomFor(s, now))
}

// End notes that a question is no longer under way.
func (q *Questioner) End() { q.underWay-- }

// Answer takes in the answer to a question of a step.
func (q *Questioner) Answer(s *tasker.Step, asked orderer.Advise, answer orderer.Advice, incarnations map[string]int64, now time.Time) {
	valid := asked.Terms.Valid
	if answer.Valid > 0 {
		valid = answer.Valid
	}
	good := s.Advice.Answered(now, asked.Workers, answer.Tickets, incarnations, valid)
	q.shares.Learn(s.Job.Queue.Name, good, len(asked.Workers))
}
