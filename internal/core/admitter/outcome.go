package admitter

import (
	"slices"
	"time"

	"lentilrock.example/internal/cell/recorder"
	"lentilrock.example/internal/container/sorter"
	"lentilrock.example/internal/core/signaller"
	"lentilrock.example/internal/platform/messages"
)

// DispatchEnded handles the end of a dispatch: it releases the slot, unless the result is unknown, and completes,
// retries or resolves the request, depending on the result.
func (a *Admitter) DispatchEnded(now time.Time, e signaller.DispatchEnded, out *signaller.Outbox) {
	r, found := a.requests[e.Key]
	if !found || r.attempt != e.Attempt || !r.isInFlight {
		a.releaseStaleSlot(now, e, out)
		return
	}
	r.isInFlight = false
	switch e.Result {
	case signaller.DispatchDone:
		a.slots.Release(e.Upstream)
		a.service(r.service).retries.Earn()
		a.complete(now, r, e.Answer, out)
	case signaller.DispatchLeaving:
		a.slots.Release(e.Upstream)
		a.slots.MarkLeaving(e.Upstream)
		a.retryOrClose(now, r, e.Reason, out)
	case signaller.DispatchNotSent:
		a.slots.Release(e.Upstream)
		a.slots.MarkDown(now, e.Upstream)
		a.retryOrClose(now, r, e.Reason, out)
	case signaller.DispatchUnknown:
		a.slots.MarkUnconfirmed(now, e.Upstream)
		a.handleLostReply(now, r, e.Reason, out)
	}
	a.dispatchQueued(now, a.service(r.service), out)
}

// releaseStaleSlot releases the slot of a dispatch whose request was closed meanwhile or has a later attempt. If the
// result is unknown, the slot stays taken until the upstream's load shows that it is free.
func (a *Admitter) releaseStaleSlot(now time.Time, e signaller.DispatchEnded, out *signaller.Outbox) {
	if e.Result == signaller.DispatchUnknown {
		a.slots.MarkUnconfirmed(now, e.Upstream)
		return
	}
	a.slots.Release(e.Upstream)
	if host, found := a.slots.Host(e.Upstream); found {
		a.dispatchQueued(now, a.service(host.Service), out)
	}
}

// complete answers the callers of a request that ran, and records the outcome of a non-repeatable one.
func (a *Admitter) complete(now time.Time, r *request, body []byte, out *signaller.Outbox) {
	r.fire(eventAnswered)
	r.result = body
	a.answerCallers(r, signaller.AnswerDone, body, "", out)
	if r.isRepeatable {
		a.forget(r)
		return
	}
	a.appendOutcome(now, r, recorder.Outcome{Key: r.key, End: recorder.RequestRun, Result: body}, out)
}

func (a *Admitter) appendOutcome(now time.Time, r *request, outcome recorder.Outcome, out *signaller.Outbox) {
	record := recorder.New("outcome."+r.key+"."+a.self.String(), now, recorder.Author{}, outcome)
	out.Add(signaller.Append{
		Stream: recorder.DataCentreStream(r.shard.DataCentre), Records: []recorder.Record{record},
	})
}

// retryOrClose queues a request again for another upstream. If no attempt, upstream, time or retry budget is left, it
// answers or closes the request. The caller must know that a non-repeatable request did not run.
func (a *Admitter) retryOrClose(now time.Time, r *request, reason string, out *signaller.Outbox) {
	canRetry := r.attempt < a.options.MaxAttempts && r.deadline.After(now) && a.hasUntriedUpstream(r)
	if canRetry && a.service(r.service).retries.Spend() {
		a.counts.Retried++
		r.fire(eventNotSent)
		a.service(r.service).queue.Push(r)
		return
	}
	r.fire(eventNoneLeft)
	if r.isRepeatable {
		state := signaller.AnswerRefused
		if r.mayHaveRun {
			state = signaller.AnswerNotKnownYet
		}
		a.answerCallers(r, state, nil, "no upstream answered the request: "+reason, out)
		a.forget(r)
		return
	}
	a.closeNotRun(now, r, "no upstream took the request: "+reason, out)
}

func (a *Admitter) hasUntriedUpstream(r *request) bool {
	names := r.candidates
	if len(names) == 0 {
		names = a.slots.Names(r.service)
	}
	return slices.ContainsFunc(names, func(name string) bool { return !slices.Contains(r.tried, name) })
}

// handleLostReply handles a dispatch whose reply was lost; the request may or may not have run. A repeatable request is
// retried; the outcome of any other is resolved with its upstreams.
func (a *Admitter) handleLostReply(now time.Time, r *request, reason string, out *signaller.Outbox) {
	if r.isRepeatable {
		r.mayHaveRun = true
		a.retryOrClose(now, r, reason, out)
		return
	}
	r.fire(eventReplyLost)
	r.lostAt = now
	r.hasDispatcherEnded = true
	r.nextQuery = now
	a.queryOutcome(now, r, out)
}

// queryOutcome asks the candidate upstreams for the outcome, and the dispatcher whether it may still send the request.
func (a *Admitter) queryOutcome(now time.Time, r *request, out *signaller.Outbox) {
	r.nextQuery = now.Add(queryInterval)
	for _, name := range r.candidates {
		if host, found := a.slots.Host(name); found {
			out.Add(signaller.AskOutcome{Key: r.key, Upstream: host})
		}
	}
	if !r.hasDispatcherEnded {
		out.Add(signaller.AskDispatcher{Host: r.dispatcher, Key: r.key})
	}
}

// OutcomeAnswered handles an upstream's reply about a request whose outcome is unresolved.
func (a *Admitter) OutcomeAnswered(now time.Time, e signaller.OutcomeAnswered, out *signaller.Outbox) {
	r, found := a.requests[e.Key]
	if !found || !r.is(stateResolving) || e.Failed {
		return
	}
	switch e.Outcome.State {
	case messages.OutcomeRun:
		a.complete(now, r, e.Outcome.Result, out)
	case messages.OutcomeRunning:
		delete(r.unknownAt, e.Upstream)
	case messages.OutcomeUnknown:
		if r.unknownAt == nil {
			r.unknownAt = make(map[string]time.Time)
		}
		r.unknownAt[e.Upstream] = now
		a.closeIfNeverRun(now, r, out)
	}
}

// closeIfNeverRun closes a request as not run once its dispatcher can no longer send it and every candidate upstream
// has replied that it does not know the request. Only replies after lostAt plus Options.LateStart count, since an
// upstream may begin the request until then.
func (a *Admitter) closeIfNeverRun(now time.Time, r *request, out *signaller.Outbox) {
	if !r.hasDispatcherEnded {
		return
	}
	lateStartEnd := r.lostAt.Add(a.options.LateStart)
	for _, name := range r.candidates {
		if !r.unknownAt[name].After(lateStartEnd) {
			return
		}
	}
	r.fire(eventNeverRun)
	a.closeNotRun(now, r, "its upstreams never began it", out)
}

// DispatcherAnswered handles another host's reply on whether it may still dispatch a request. If it may not, the
// late-start period of Options.LateStart begins at now.
func (a *Admitter) DispatcherAnswered(now time.Time, e signaller.DispatcherAnswered) {
	r, found := a.requests[e.Key]
	if !found || !e.Ended || r.dispatcher != e.Host || r.hasDispatcherEnded {
		return
	}
	r.hasDispatcherEnded = true
	r.lostAt = now
}

// MayStillDispatch reports whether this host may still dispatch a request whose outcome another host resolves.
func (a *Admitter) MayStillDispatch(key string) bool {
	r, found := a.requests[key]
	return found && r.dispatcher == a.self && !r.is(stateResolving, stateClosed, stateClosing)
}

// MarkEndedDispatchers marks the requests whose dispatcher can no longer send them because that incarnation of the host
// has ended. hasEnded takes a host as "name@incarnation".
func (a *Admitter) MarkEndedDispatchers(now time.Time, hasEnded func(host string) bool) {
	for _, r := range a.requests {
		if !r.hasDispatcherEnded && r.dispatcher != a.self && hasEnded(r.dispatcher.String()) {
			r.hasDispatcherEnded = true
			r.lostAt = now
		}
	}
}

// closeNotRun appends the record that closes a request as not run. The callers are answered once it reaches its offset.
func (a *Admitter) closeNotRun(now time.Time, r *request, reason string, out *signaller.Outbox) {
	a.appendOutcome(now, r, recorder.Outcome{Key: r.key, End: recorder.RequestNotRun, Reason: reason}, out)
}

// OutcomeRecorded answers the callers of a request whose key the log has closed, and removes the request.
func (a *Admitter) OutcomeRecorded(outcome recorder.Outcome, out *signaller.Outbox) {
	r, found := a.requests[outcome.Key]
	if !found {
		return
	}
	if outcome.End == recorder.RequestNotRun {
		a.answerCallers(r, signaller.AnswerNotRun, nil, outcome.Reason, out)
	} else {
		a.answerCallers(r, signaller.AnswerDone, outcome.Result, "", out)
	}
	r.fire(eventCloseRecorded)
	a.forget(r)
}

// Tick answers the requests whose deadline has passed, repeats the queries for unresolved outcomes and for the load of
// upstreams, and dispatches queued requests.
func (a *Admitter) Tick(now time.Time, out *signaller.Outbox) {
	for _, key := range sorter.Keys(a.requests) {
		a.tickRequest(now, a.requests[key], out)
	}
	for _, host := range a.slots.DueLoadQueries(now) {
		out.Add(signaller.AskLoad{Upstream: host})
	}
	for _, name := range sorter.Keys(a.services) {
		a.dispatchQueued(now, a.services[name], out)
	}
}

// tickRequest repeats the outcome query of a request and handles its deadline.
func (a *Admitter) tickRequest(now time.Time, r *request, out *signaller.Outbox) {
	if r.is(stateResolving) && !now.Before(r.nextQuery) {
		a.queryOutcome(now, r, out)
	}
	if r.deadline.After(now) {
		return
	}
	switch {
	case r.is(stateQueued) && !r.isHeldByHeir && !r.isLogged:
		r.fire(eventGivenUp)
		a.answerCallers(r, signaller.AnswerDeadline, nil, "no slot was free in time", out)
		a.forget(r)
	case r.is(stateQueued):
		r.fire(eventSlotTakenNoIntent)
		r.fire(eventNoneLeft)
		a.closeNotRun(now, r, "no slot was free in time", out)
	case r.isRepeatable:
		a.answerCallers(r, signaller.AnswerDeadline, nil, "the upstream did not answer in time", out)
	default:
		a.answerCallers(r, signaller.AnswerNotKnownYet, nil, "the outcome was not known in time", out)
	}
}

// Drop removes the requests of shards that this host no longer holds, except those with a dispatch in flight. isHeld
// takes a shard as "data_centre/index". Callers of queued requests without an intent are refused with a retry delay;
// all others receive "not known yet".
func (a *Admitter) Drop(isHeld func(shard string) bool, out *signaller.Outbox) {
	for _, key := range sorter.Keys(a.requests) {
		r := a.requests[key]
		if isHeld(r.shard.String()) || r.isInFlight {
			continue
		}
		state := signaller.AnswerNotKnownYet
		if r.is(stateQueued) && !r.isHeldByHeir && !r.isLogged {
			state = signaller.AnswerRefused
		}
		a.answerCallers(r, state, nil, "the shard has another holder now", out)
		if !r.is(stateQueued, stateResolving, stateClosing, stateClosed) {
			a.slots.Release(r.upstream)
		}
		a.forget(r)
	}
}
