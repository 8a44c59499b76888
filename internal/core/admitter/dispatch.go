package admitter

import (
	"slices"
	"time"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/cell/recorder"
	"lentilrock.example/internal/container/sorter"
	"lentilrock.example/internal/core/signaller"
)

// SetUpstreams replaces the list of upstreams of the data centre.
func (a *Admitter) SetUpstreams(hosts []descriptor.Host) { a.slots.Set(hosts) }

// InvalidateLoads discards the known load of every upstream. An upstream is not used again until its load has been
// read. This is needed after a takeover, since dispatches of the former holder may still use slots.
func (a *Admitter) InvalidateLoads() { a.slots.InvalidateLoads() }

// LoadAnswered records the number of requests that an upstream runs, or marks it as down if the query failed.
func (a *Admitter) LoadAnswered(now time.Time, e signaller.LoadAnswered, out *signaller.Outbox) {
	if e.Failed {
		a.slots.MarkDown(now, e.Upstream)
		return
	}
	if name, found := a.slots.RecordLoad(e.Upstream, e.Load.Busy); found {
		a.dispatchQueued(now, a.service(name), out)
	}
}

func (a *Admitter) dispatchQueued(now time.Time, s *service, out *signaller.Outbox) {
	for {
		r, found := s.queue.Peek()
		if !found {
			return
		}
		if !r.is(stateQueued) {
			s.queue.Pop()
			continue
		}
		upstream, hasSlot := a.chooseUpstream(now, r)
		if !hasSlot || !a.authority.MayDispatch(now, r.shard) {
			return
		}
		s.queue.Pop()
		a.startDispatch(now, r, upstream.Name, out)
	}
}

// chooseUpstream returns an upstream with a free slot. A request with an intent goes only to the upstreams it lists.
func (a *Admitter) chooseUpstream(now time.Time, r *request) (descriptor.Host, bool) {
	names := a.slots.Names(r.service)
	if len(r.candidates) > 0 {
		names = r.candidates
	}
	return a.slots.Choose(now, names, r.tried)
}

// startDispatch takes a slot of an upstream and dispatches the request, or first appends its intent if it needs one.
func (a *Admitter) startDispatch(now time.Time, r *request, upstream string, out *signaller.Outbox) {
	a.slots.Acquire(upstream)
	r.upstream = upstream
	if r.isRepeatable || r.isLogged || r.isHeldByHeir {
		r.fire(eventSlotTakenNoIntent)
		a.dispatch(r, out)
		return
	}
	r.candidates = a.listCandidates(now, r)
	r.fire(eventSlotTaken)
	if a.authority.CanAppend() {
		out.Add(a.appendIntent(now, r))
		return
	}
	a.awaitHeir(r, out)
}

// listCandidates lists the upstreams that the intent of a request names, the chosen one first.
func (a *Admitter) listCandidates(now time.Time, r *request) []string {
	list := []string{r.upstream}
	for _, name := range a.slots.Names(r.service) {
		if len(list) >= a.options.Candidates {
			break
		}
		if name != r.upstream && a.slots.IsUp(now, name) {
			list = append(list, name)
		}
	}
	return list
}

func (a *Admitter) intent(r *request) recorder.Intent {
	return recorder.Intent{
		Shard: r.shard, Epoch: a.authority.Epoch(r.shard), Key: r.key, BodyHash: r.bodyHash,
		Service: r.service, Upstreams: r.candidates, Dispatcher: a.self, Deadline: r.deadline,
	}
}

func (a *Admitter) appendIntent(now time.Time, r *request) signaller.Append {
	record := recorder.New("intent."+r.key+"."+a.self.String(), now, recorder.Author{}, a.intent(r))
	return signaller.Append{
		Stream: recorder.DataCentreStream(r.shard.DataCentre), Records: []recorder.Record{record},
	}
}

// awaitHeir waits until the heir holds the intent. It refuses if there is no live heir or RefuseInOutage is set.
func (a *Admitter) awaitHeir(r *request, out *signaller.Outbox) {
	if a.options.RefuseInOutage || !a.authority.HasHeir(r.shard) {
		// The request has no intent that took effect and was never dispatched, so it has not run.
		a.slots.Release(r.upstream)
		a.answerCallers(r, signaller.AnswerRefused, nil, "the platform's log is down", out)
		a.forget(r)
		return
	}
	r.fire(eventIntentFailed)
}

// IntentsForHeir returns the intents of a shard that the heir must hold while the log is down, in order of arrival.
func (a *Admitter) IntentsForHeir(shard descriptor.ShardID) []recorder.Intent {
	var intents []recorder.Intent
	for _, r := range a.requests {
		if r.shard == shard && r.is(stateAwaitingHeir) {
			intents = append(intents, a.intent(r))
		}
	}
	slices.SortFunc(intents, func(x, y recorder.Intent) int {
		return a.requests[x.Key].arrived.Compare(a.requests[y.Key].arrived)
	})
	return intents
}

// IntentsHeld dispatches requests whose intents the heir acknowledged, if this host may still dispatch for the shard.
func (a *Admitter) IntentsHeld(now time.Time, shard descriptor.ShardID, keys []string, out *signaller.Outbox) {
	for _, key := range keys {
		r, found := a.requests[key]
		if !found || !r.is(stateAwaitingHeir) {
			continue
		}
		r.isHeldByHeir = true
		if !a.authority.MayDispatch(now, shard) {
			continue
		}
		r.fire(eventIntentHeld)
		a.dispatch(r, out)
	}
}

// LogRecovered appends the intents that the log lacks, once it accepts appends again.
func (a *Admitter) LogRecovered(now time.Time, out *signaller.Outbox) {
	for _, key := range sorter.Keys(a.requests) {
		r := a.requests[key]
		if r.is(stateAwaitingHeir) || (r.isHeldByHeir && !r.isLogged) {
			out.Add(a.appendIntent(now, r))
		}
	}
}

func (a *Admitter) dispatch(r *request, out *signaller.Outbox) {
	r.attempt++
	r.isInFlight = true
	r.tried = append(r.tried, r.upstream)
	host, _ := a.slots.Host(r.upstream)
	out.Add(signaller.Dispatch{
		Ref: r.bodyRef, Key: r.key, Attempt: r.attempt, Upstream: host, Deadline: r.deadline,
	})
}

// IntentRecorded handles an intent of this host that has reached its offset in the log. applied reports whether it took
// effect, and reason why it did not.
func (a *Admitter) IntentRecorded(now time.Time, b recorder.Intent, applied bool, reason string, out *signaller.Outbox) {
	r, found := a.requests[b.Key]
	if !found || b.Dispatcher != a.self {
		return
	}
	if applied || r.isLogged {
		a.intentApplied(now, r, out)
		return
	}
	if r.isInFlight || r.isHeldByHeir {
		// The request was dispatched, or the heir holds its intent, and the log has another intent for the key. The
		// dispatch stays valid.
		r.isLogged = true
		return
	}
	a.slots.Release(r.upstream)
	r.fire(eventIntentVoid)
	a.answerCallers(r, signaller.AnswerNotKnownYet, nil, reason, out)
	a.forget(r)
}

// intentApplied dispatches a request whose intent took effect. It closes the request as not run if the deadline or the
// window of the claim has passed meanwhile.
func (a *Admitter) intentApplied(now time.Time, r *request, out *signaller.Outbox) {
	r.isLogged = true
	if !r.is(stateRecording, stateAwaitingHeir) {
		return
	}
	r.fire(eventIntentRecorded)
	if !a.authority.MayDispatch(now, r.shard) || !r.deadline.After(now) {
		a.closeUndispatched(now, r, "the deadline or the window passed before the dispatch", out)
		return
	}
	a.dispatch(r, out)
}

// closeUndispatched closes a request whose intent is in the log as not run, without dispatching it.
func (a *Admitter) closeUndispatched(now time.Time, r *request, reason string, out *signaller.Outbox) {
	a.slots.Release(r.upstream)
	r.fire(eventNoneLeft)
	a.closeNotRun(now, r, reason, out)
}

// IntentFailed handles an intent that the log has definitely refused: the heir must hold it instead.
func (a *Admitter) IntentFailed(key string, out *signaller.Outbox) {
	if r, found := a.requests[key]; found && r.is(stateRecording) {
		a.awaitHeir(r, out)
	}
}
