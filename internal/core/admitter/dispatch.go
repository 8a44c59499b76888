package admitter

import (
	"slices"
	"time"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/cell/recorder"
	"lentilrock.example/internal/container/sorter"
	"lentilrock.example/internal/core/signaller"
)

// SetUpstreams takes in the upstreams of the data centre.
func (a *Admitter) SetUpstreams(hosts []descriptor.Host) { a.slots.Set(hosts) }

// ForgetLoads makes the admitter ask each upstream for its load before it is used, as
// after taking a shard over.
func (a *Admitter) ForgetLoads() { a.slots.ForgetLoads() }

// LoadAnswered takes in how much of an upstream is in use.
func (a *Admitter) LoadAnswered(now time.Time, e signaller.LoadAnswered, out *signaller.Outbox) {
	if e.Failed {
		a.slots.MarkDown(now, e.Upstream)
		return
	}
	if name, found := a.slots.Loaded(e.Upstream, e.Load.Busy); found {
		a.serve(now, a.service(name), out)
	}
}

// serve gives free slots to the requests of a service that wait.
func (a *Admitter) serve(now time.Time, s *service, out *signaller.Outbox) {
	for {
		r, found := s.queue.Peek()
		if !found {
			return
		}
		if !r.is(stateQueued) {
			s.queue.Pop()
			continue
		}
		upstream, hasSlot := a.choose(now, r)
		if !hasSlot || !a.authority.MayDispatch(now, r.shard) {
			return
		}
		s.queue.Pop()
		a.begin(now, r, upstream.Name, out)
	}
}

// choose returns an upstream with a free slot for a request.
func (a *Admitter) choose(now time.Time, r *request) (descriptor.Host, bool) {
	names := a.slots.Names(r.service)
	if len(r.candidates) > 0 {
		names = r.candidates
	}
	return a.slots.Choose(now, names, r.tried)
}

// begin takes a slot and dispatches, after an intent where the request needs one.
func (a *Admitter) begin(now time.Time, r *request, upstream string, out *signaller.Outbox) {
	a.slots.Take(upstream)
	r.upstream = upstream
	if r.repeatable || r.logged || r.held {
		r.fire(eventSlotDirect)
		a.dispatch(r, out)
		return
	}
	r.candidates = a.candidates(now, r)
	r.fire(eventSlotTaken)
	if a.authority.CanAppend() {
		out.Add(a.appendIntent(now, r))
		return
	}
	a.holdOut(r, out)
}

// candidates lists where a request may be sent: the chosen upstream first.
func (a *Admitter) candidates(now time.Time, r *request) []string {
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
		Stream:  recorder.DataCentreStream(r.shard.DataCentre),
		Records: []recorder.Record{record},
	}
}

// holdOut waits for the heir to hold the intent, or refuses where it can't.
func (a *Admitter) holdOut(r *request, out *signaller.Outbox) {
	if a.options.RefuseInOutage || !a.authority.HasHeir(r.shard) {
		// No record of this request was ever sent, so it has not run.
		a.slots.Give(r.upstream)
		a.answer(r, signaller.AnswerRefused, nil, "the platform's log is down", out)
		a.forget(r)
		return
	}
	r.fire(eventIntentFailed)
}

// Unheld returns the intents of a shard that the heir must hold, since the log is down.
func (a *Admitter) Unheld(shard descriptor.ShardID) []recorder.Intent {
	var intents []recorder.Intent
	for _, r := range a.requests {
		if r.shard == shard && r.is(stateHoldingOut) {
			intents = append(intents, a.intent(r))
		}
	}
	slices.SortFunc(intents, func(x, y recorder.Intent) int {
		return a.requests[x.Key].arrived.Compare(a.requests[y.Key].arrived)
	})
	return intents
}

// Held takes in that the heir of a shard holds the intents of some keys.
func (a *Admitter) Held(now time.Time, shard descriptor.ShardID, keys []string, out *signaller.Outbox) {
	for _, key := range keys {
		r, found := a.requests[key]
		if !found || !r.is(stateHoldingOut) {
			continue
		}
		r.held = true
		if !a.authority.MayDispatch(now, shard) {
			continue
		}
		r.fire(eventIntentHeld)
		a.dispatch(r, out)
	}
}

// LogBack appends the intents that only the heir holds, once the log is back.
func (a *Admitter) LogBack(now time.Time, out *signaller.Outbox) {
	for _, key := range sorter.Keys(a.requests) {
		r := a.requests[key]
		if r.is(stateHoldingOut) || (r.held && !r.logged) {
			out.Add(a.appendIntent(now, r))
		}
	}
}

func (a *Admitter) dispatch(r *request, out *signaller.Outbox) {
	r.attempt++
	r.inFlight = true
	r.tried = append(r.tried, r.upstream)
	host, _ := a.slots.Host(r.upstream)
	out.Add(signaller.Dispatch{
		Ref: r.bodyRef, Key: r.key, Attempt: r.attempt, Upstream: host, Deadline: r.deadline,
	})
}

// IntentRecorded takes in what became of an intent of this host at its offset.
func (a *Admitter) IntentRecorded(now time.Time, b recorder.Intent, applied bool, reason string, out *signaller.Outbox) {
	r, found := a.requests[b.Key]
	if !found || b.Dispatcher != a.self {
		return
	}
	if applied || r.logged {
		a.intentApplied(now, r, out)
		return
	}
	if r.inFlight || r.held {
		// The heir held the intent and the log has another one; the dispatch stands.
		r.logged = true
		return
	}
	a.slots.Give(r.upstream)
	r.fire(eventIntentVoid)
	a.answer(r, signaller.AnswerNotKnownYet, nil, reason, out)
	a.forget(r)
}

func (a *Admitter) intentApplied(now time.Time, r *request, out *signaller.Outbox) {
	r.logged = true
	if !r.is(stateRecording, stateHoldingOut) {
		return
	}
	r.fire(eventIntentRecorded)
	if !a.authority.MayDispatch(now, r.shard) || !r.deadline.After(now) {
		a.noDispatch(now, r, "the deadline or the window passed before the dispatch", out)
		return
	}
	a.dispatch(r, out)
}

// noDispatch closes a request that was recorded and will not be sent.
func (a *Admitter) noDispatch(now time.Time, r *request, reason string, out *signaller.Outbox) {
	a.slots.Give(r.upstream)
	r.fire(eventNoneLeft)
	a.closeNotRun(now, r, reason, out)
}

// IntentFailed takes in that the log refused an intent for certain.
func (a *Admitter) IntentFailed(key string, out *signaller.Outbox) {
	if r, found := a.requests[key]; found && r.is(stateRecording) {
		a.holdOut(r, out)
	}
}
