// Package requester schedules the requests for advice on which workers may run a step: for which
// steps, about which workers, and how many at a time, since the service handles one
// request per host at a time.
//
// # Usage
//
//	q := requester.Requester{MaxConcurrent: 7}
//	if request, isNeeded := q.NextRequest(step, workers, selector, now); isNeeded {
//		// send it, then q.Finish(request) and q.RecordResponse(...)
//	}
package requester

import (
	"time"

	"lentilrock.example/internal/fleet/adviser"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/monitor"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/fleet/preempter"
	"lentilrock.example/internal/fleet/selector"
	"lentilrock.example/internal/fleet/tasker"
)

const (
	// quickDecision separates quick from slow decisions; advice for batch queues takes longer.
	quickDecision = 100 * time.Millisecond
	// namedPenalty separates workers that a pending request names from others. The capacity of a worker that many
	// requests name is gone when most of the responses arrive.
	namedPenalty = 1.0
	// quickReserve is a divisor: slow requests leave one in quickReserve hosts free for quick ones.
	quickReserve = 3
	// slowShare is a divisor: while quick requests take all hosts, slow ones may still take one in slowShare.
	slowShare = 8
)

// Requester creates advice requests and bounds their number. The zero value allows one slow
// request at a time.
type Requester struct {
	// MaxConcurrent is the number of hosts that can request advice concurrently.
	MaxConcurrent int
	// pending counts the requests that are pending, and slow those of them with slow decisions.
	pending, slow int
	shares        adviser.Shares
	// named counts the pending requests that name a worker, by its id.
	named map[string]int
}

// NextRequest returns the advice request for a step with tasks that could not be placed, or false
// if none is to be sent now.
func (q *Requester) NextRequest(s *tasker.Step, workers []*monitor.Worker, c selector.Selector, now time.Time) (orderer.AdviceRequest, bool) {
	terms := s.Job.Queue.Advice
	if !s.Job.Queue.NeedsAdvice() || !s.Advice.CanQuery(now) || !q.hasFreeSlot(terms) {
		return orderer.AdviceRequest{}, false
	}
	// Room can be made on preemptible workers; they matter only where no other worker has room.
	var candidates, preemptible []adviser.Candidate
	for _, w := range workers {
		if s.Advice.IsIneligible(w.Info.ID) || !w.AcceptsTasks(now) || !selector.Matches(s, w) {
			continue
		}
		_, isValid := s.Advice.Ticket(w.Info.ID, w.Incarnation, now)
		candidate := adviser.Candidate{ID: w.Info.ID, Score: c.Score(s, w) + namedPenalty*float64(q.named[w.Info.ID])}
		switch {
		case isValid:
		case isWorthQuerying(s, w, now):
			candidates = append(candidates, candidate)
		case len(candidates) == 0 && !s.Advice.IsEligible(w.Info.ID) && preempter.CanMakeRoom(s, w, now):
			preemptible = append(preemptible, candidate)
		}
	}
	if len(candidates) == 0 {
		candidates = preemptible
	}
	if len(candidates) == 0 {
		return orderer.AdviceRequest{}, false
	}
	queried := s.Advice.Choose(candidates, q.shares.QuerySize(s.Job.Queue.Name, s.WaitingTasks(now)))
	s.Advice.QuerySent(now)
	if q.named == nil {
		q.named = make(map[string]int)
	}
	for _, id := range queried {
		q.named[id]++
	}
	s.Keep()
	q.pending++
	if terms.Decide >= quickDecision {
		q.slow++
	}
	return orderer.AdviceRequest{Step: s.Ref(), Workers: queried, Terms: terms}, true
}

// hasFreeSlot reports whether one more request may be pending. Slow requests leave hosts free for
// quick ones.
func (q *Requester) hasFreeSlot(terms describer.AdviceTerms) bool {
	hosts := max(q.MaxConcurrent, 1)
	if terms.Decide < quickDecision {
		return q.pending < orderer.MaxPipelined*hosts
	}
	return q.pending < max(hosts-hosts/quickReserve, 1) || q.slow < max(hosts/slowShare, 1)
}

// isWorthQuerying reports whether a task of a step could start on a worker soon. Capacity may be
// freed for long-running tasks, so for them it also matters which workers are eligible at all.
func isWorthQuerying(s *tasker.Step, w *monitor.Worker, now time.Time) bool {
	isReserved := w.Reserved.Step == s && now.Before(w.Reserved.Until)
	if isReserved || s.Spec.LongRunning && !s.Advice.IsEligible(w.Info.ID) {
		return s.Spec.Charge().Fits(w.Info.Capacity)
	}
	return s.Spec.Charge().Fits(w.FreeCapacityFor(s, now))
}

// Pending returns the number of requests that are pending.
func (q *Requester) Pending() int { return q.pending }

// Finish records that a request is no longer pending.
func (q *Requester) Finish(request orderer.AdviceRequest) {
	q.pending--
	if request.Terms.Decide >= quickDecision {
		q.slow--
	}
	for _, id := range request.Workers {
		if q.named[id]--; q.named[id] <= 0 {
			delete(q.named, id)
		}
	}
}

// RecordResponse records the response to an advice request for a step.
func (q *Requester) RecordResponse(s *tasker.Step, request orderer.AdviceRequest, response orderer.Advice, incarnations map[string]int64, now time.Time) {
	valid := request.Terms.Valid
	if response.Valid > 0 {
		valid = response.Valid
	}
	eligible := s.Advice.RecordResponse(now, request.Workers, response.Tickets, incarnations, valid)
	q.shares.Update(s.Job.Queue.Name, eligible, len(request.Workers))
}
