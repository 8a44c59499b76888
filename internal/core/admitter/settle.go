package admitter

import (
	"slices"
	"time"

	"lentilrock.example/internal/cell/recorder"
	"lentilrock.example/internal/container/sorter"
	"lentilrock.example/internal/core/signaller"
	"lentilrock.example/internal/platform/messages"
)

// Ended takes in the end of a dispatch.
func (a *Admitter) Ended(now time.Time, e signaller.DispatchEnded, out *signaller.Outbox) {
	r, found := a.requests[e.Key]
	if !found || r.attempt != e.Attempt || !r.inFlight {
		a.endStale(now, e, out)
		return
	}
	r.inFlight = false
	switch e.Result {
	case signaller.DispatchDone:
		a.slots.Give(e.Upstream)
		a.service(r.service).retries.Earn()
		a.finish(now, r, e.Answer, out)
	case signaller.DispatchLeaving:
		a.slots.Give(e.Upstream)
		a.slots.MarkLeaving(e.Upstream)
		a.again(now, r, e.Reason, out)
	case signaller.DispatchNotSent:
		a.slots.Give(e.Upstream)
		a.slots.MarkDown(now, e.Upstream)
		a.again(now, r, e.Reason, out)
	case signaller.DispatchUnknown:
		a.slots.Lose(now, e.Upstream)
		a.lostReply(now, r, e.Reason, out)
	}
	a.serve(now, a.service(r.service), out)
}

// endStale gives back the slot of a dispatch whose request was closed meanwhile.
func (a *Admitter) endStale(now time.Time, e signaller.DispatchEnded, out *signaller.Outbox) {
	if e.Result == signaller.DispatchUnknown {
		a.slots.Lose(now, e.Upstream)
		return
	}
	a.slots.Give(e.Upstream)
	if host, found := a.slots.Host(e.Upstream); found {
		a.serve(now, a.service(host.Service), out)
	}
}

// finish answers a request that ran.
func (a *Admitter) finish(now time.Time, r *request, body []byte, out *signaller.Outbox) {
	r.fire(eventAnswered)
	r.result = body
	a.answer(r, signaller.AnswerDone, body, "", out)
	if r.repeatable {
		a.forget(r)
		return
	}
	a.appendOutcome(now, r, recorder.Outcome{Key: r.key, End: recorder.RequestRun, Result: body}, out)
}

func (a *Admitter) appendOutcome(now time.Time, r *request, outcome recorder.Outcome, out *signaller.Outbox) {
	record := recorder.New("outcome."+r.key+"."+a.self.String(), now, recorder.Author{}, outcome)
	out.Add(signaller.Append{
		Stream:  recorder.DataCentreStream(r.shard.DataCentre),
		Records: []recorder.Record{record},
	})
}

// again sends a request that certainly did not run to another upstream, or gives it up.
func (a *Admitter) again(now time.Time, r *request, reason string, out *signaller.Outbox) {
	canRetry := r.attempt < a.options.MaxAttempts && r.deadline.After(now) && a.hasUntried(r)
	if canRetry && a.service(r.service).retries.Spend() {
		a.counts.Retried++
		r.fire(eventNotSent)
		a.service(r.service).queue.Push(r)
		return
	}
	r.fire(eventNoneLeft)
	if r.repeatable {
		state := signaller.AnswerRefused
		if r.mayHaveRun {
			state = signaller.AnswerNotKnownYet
		}
		a.answer(r, state, nil, "no upstream answered the request: "+reason, out)
		a.forget(r)
		return
	}
	a.closeNotRun(now, r, "no upstream took the request: "+reason, out)
}

func (a *Admitter) hasUntried(r *request) bool {
	names := r.candidates
	if len(names) == 0 {
		names = a.slots.Names(r.service)
	}
	return slices.ContainsFunc(names, func(name string) bool { return !slices.Contains(r.tried, name) })
}

// lostReply takes in that nobody knows whether a dispatch ran.
func (a *Admitter) lostReply(now time.Time, r *request, reason string, out *signaller.Outbox) {
	if r.repeatable {
		r.mayHaveRun = true
		a.again(now, r, reason, out)
		return
	}
	r.fire(eventReplyLost)
	r.lostAt = now
	r.dispatcherEnded = true
	r.nextAsk = now
	a.ask(now, r, out)
}

// ask asks the upstreams of an unsettled request, and its dispatcher, what became of it.
func (a *Admitter) ask(now time.Time, r *request, out *signaller.Outbox) {
	r.nextAsk = now.Add(askInterval)
	for _, name := range r.candidates {
		if host, found := a.slots.Host(name); found {
			out.Add(signaller.AskOutcome{Key: r.key, Upstream: host})
		}
	}
	if !r.dispatcherEnded {
		out.Add(signaller.AskDispatcher{Host: r.dispatcher, Key: r.key})
	}
}

// OutcomeAnswered takes in an upstream's word on an unsettled request.
func (a *Admitter) OutcomeAnswered(now time.Time, e signaller.OutcomeAnswered, out *signaller.Outbox) {
	r, found := a.requests[e.Key]
	if !found || !r.is(stateSettling) || e.Failed {
		return
	}
	switch e.Outcome.State {
	case messages.OutcomeRun:
		a.finish(now, r, e.Outcome.Result, out)
	case messages.OutcomeRunning:
		delete(r.unknowns, e.Upstream)
	case messages.OutcomeUnknown:
		if r.unknowns == nil {
			r.unknowns = make(map[string]time.Time)
		}
		r.unknowns[e.Upstream] = now
		a.settleUnknown(now, r, out)
	}
}

// settleUnknown closes a request as not run once nobody can send it any more and no
// upstream that it may have been sent to knows of it.
func (a *Admitter) settleUnknown(now time.Time, r *request, out *signaller.Outbox) {
	if !r.dispatcherEnded {
		return
	}
	settledAt := r.lostAt.Add(a.options.Settle)
	for _, name := range r.candidates {
		if !r.unknowns[name].After(settledAt) {
			return
		}
	}
	r.fire(eventNeverRun)
	a.closeNotRun(now, r, "its upstreams never began it", out)
}

// DispatcherAnswered takes in another host's word on whether it may still dispatch.
func (a *Admitter) DispatcherAnswered(now time.Time, e signaller.DispatcherAnswered) {
	r, found := a.requests[e.Key]
	if !found || !e.Ended || r.dispatcher != e.Host || r.dispatcherEnded {
		return
	}
	r.dispatcherEnded = true
	r.lostAt = now
}

// MayStillDispatch reports whether this host may send a request, as another host asks.
func (a *Admitter) MayStillDispatch(key string) bool {
	r, found := a.requests[key]
	return found && r.dispatcher == a.self && !r.is(stateSettling, stateClosed, stateClosing)
}

// HostEnded takes in that a life of a host has ended.
func (a *Admitter) HostEnded(now time.Time, isEnded func(r string) bool) {
	for _, r := range a.requests {
		if !r.dispatcherEnded && r.dispatcher != a.self && isEnded(r.dispatcher.String()) {
			r.dispatcherEnded = true
			r.lostAt = now
		}
	}
}

func (a *Admitter) closeNotRun(now time.Time, r *request, reason string, out *signaller.Outbox) {
	a.appendOutcome(now, r, recorder.Outcome{Key: r.key, End: recorder.RequestNotRun, Reason: reason}, out)
}

// Closed takes in that a key is closed in the log.
func (a *Admitter) Closed(outcome recorder.Outcome, out *signaller.Outbox) {
	r, found := a.requests[outcome.Key]
	if !found {
		return
	}
	if outcome.End == recorder.RequestNotRun {
		a.answer(r, signaller.AnswerNotRun, nil, outcome.Reason, out)
	} else {
		a.answer(r, signaller.AnswerDone, outcome.Result, "", out)
	}
	r.fire(eventCloseRecorded)
	a.forget(r)
}

// Tick answers the requests whose deadline is past and asks on about what is unsettled.
func (a *Admitter) Tick(now time.Time, out *signaller.Outbox) {
	for _, key := range sorter.Keys(a.requests) {
		a.tickRequest(now, a.requests[key], out)
	}
	for _, host := range a.slots.Due(now) {
		out.Add(signaller.AskLoad{Upstream: host})
	}
	for _, name := range sorter.Keys(a.services) {
		a.serve(now, a.services[name], out)
	}
}

func (a *Admitter) tickRequest(now time.Time, r *request, out *signaller.Outbox) {
	if r.is(stateSettling) && !now.Before(r.nextAsk) {
		a.ask(now, r, out)
	}
	if r.deadline.After(now) {
		return
	}
	switch {
	case r.is(stateQueued) && !r.held && !r.logged:
		r.fire(eventGivenUp)
		a.answer(r, signaller.AnswerDeadline, nil, "no slot was free in time", out)
		a.forget(r)
	case r.is(stateQueued):
		r.fire(eventSlotDirect)
		r.fire(eventNoneLeft)
		a.closeNotRun(now, r, "no slot was free in time", out)
	case r.repeatable:
		a.answer(r, signaller.AnswerDeadline, nil, "the upstream did not answer in time", out)
	default:
		a.answer(r, signaller.AnswerNotKnownYet, nil, "the outcome was not known in time", out)
	}
}

// Drop forgets the requests of shards that this host holds no more. Callers of requests
// that were never recorded are told to try again; the others that it is not known yet.
func (a *Admitter) Drop(isHeld func(r string) bool, out *signaller.Outbox) {
	for _, key := range sorter.Keys(a.requests) {
		r := a.requests[key]
		if isHeld(r.shard.String()) || r.inFlight {
			continue
		}
		state := signaller.AnswerNotKnownYet
		if r.is(stateQueued) && !r.held && !r.logged {
			state = signaller.AnswerRefused
		}
		a.answer(r, state, nil, "the shard has another holder now", out)
		if !r.is(stateQueued, stateSettling, stateClosing, stateClosed) {
			a.slots.Give(r.upstream)
		}
		a.forget(r)
	}
}
