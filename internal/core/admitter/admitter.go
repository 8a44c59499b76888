// Package admitter queues callers' requests and dispatches them to the upstreams of its data centre. A dispatch needs a
// free slot of an upstream, urgent requests go first, and a non-repeatable request is delivered at most once.
//
// Before a non-repeatable request is dispatched, an intent for its key (a write-ahead record) must take effect in the
// platform's log under this host's epoch. While the log is down, the heir, which is the designated successor of the
// shard's holder, must hold the intent instead. The reply of its upstream decides whether such a request ran. The
// caller receives "not run" only after an outcome record has closed the key in the log, and "not known yet" while the
// outcome is unresolved.
//
// # Usage
//
//	a := admitter.New(limiter.Options{}, self, layout, authority, log)
//	a.SetUpstreams(hosts)
//	a.Arrive(now, event, &out)
//	a.DispatchEnded(now, dispatchEnded, &out)
//	a.Tick(now, &out)
package admitter

import (
	_ "embed"
	"time"

	"lentilrock.example/internal/cell/applier"
	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/cell/recorder"
	"lentilrock.example/internal/chart/interpreter"
	"lentilrock.example/internal/container/prioritizer"
	"lentilrock.example/internal/core/budgeter"
	"lentilrock.example/internal/core/limiter"
	"lentilrock.example/internal/core/signaller"
	"lentilrock.example/internal/core/slotter"
)

// States of a request:
//
//   - stateClosed: the outcome is known; a non-repeatable request stays until the log has recorded it.
//   - stateClosing: a record that closes the key as not run was appended.
//   - stateDispatched: the request was sent to an upstream.
//   - stateAwaitingHeir: the log is down, and the heir must acknowledge the intent first.
//   - stateQueued: the request waits for a free slot.
//   - stateRecording: the intent was appended and has not reached its offset yet.
//   - stateResolving: a reply was lost, and the upstreams are queried for the outcome.
const (
	stateClosed       interpreter.State = "closed"
	stateClosing      interpreter.State = "closing"
	stateDispatched   interpreter.State = "dispatched"
	stateAwaitingHeir interpreter.State = "holding_out"
	stateQueued       interpreter.State = "queued"
	stateRecording    interpreter.State = "recording"
	stateResolving    interpreter.State = "settling"
)

// Events of a request.
const (
	eventAnswered          interpreter.Event = "answered"
	eventCloseRecorded     interpreter.Event = "close_recorded"
	eventGivenUp           interpreter.Event = "given_up"      // The deadline passed before the request had an intent.
	eventIntentFailed      interpreter.Event = "intent_failed" // The log can't record the intent.
	eventIntentHeld        interpreter.Event = "intent_held"   // The heir holds the intent.
	eventIntentRecorded    interpreter.Event = "intent_recorded"
	eventIntentVoid        interpreter.Event = "intent_void" // The intent had no effect at its offset.
	eventNeverRun          interpreter.Event = "never_run"   // No candidate upstream ran the request or still can.
	eventNoneLeft          interpreter.Event = "none_left"   // The request will no longer be dispatched.
	eventNotSent           interpreter.Event = "not_sent"    // The request is queued again for another upstream.
	eventReplyLost         interpreter.Event = "reply_lost"
	eventSlotTakenNoIntent interpreter.Event = "slot_direct" // A slot was taken; no new intent is needed.
	eventSlotTaken         interpreter.Event = "slot_taken"  // A slot was taken; the intent comes first.
)

//go:embed request.chart
var chartText string

var chart = interpreter.MustParse("request", chartText)

const (
	queryInterval = 500 * time.Millisecond // Time between two queries for the outcome of the same request.
	// retryAfter is the delay before a caller may resend a request that was refused or has an unresolved outcome.
	retryAfter = time.Second
)

// Authority reports what this host may do for a shard.
type Authority interface {
	// MayDispatch reports whether this host may dispatch requests of a shard at now.
	MayDispatch(now time.Time, shard descriptor.ShardID) bool
	// MayAdmit reports whether this host accepts new requests of a shard. It does not while shutting down or drained.
	MayAdmit(now time.Time, shard descriptor.ShardID) bool
	// Epoch returns the epoch (fencing token) of the shard's newest known claim.
	Epoch(shard descriptor.ShardID) int64
	// CanAppend reports whether the platform's log counts as up: the last read succeeded, and no append was refused
	// within the last second.
	CanAppend() bool
	// HasHeir reports whether the shard has a live heir, which can hold intents.
	HasHeir(shard descriptor.ShardID) bool
}

// RequestLog looks up requests in the state that results from applying the log's records.
type RequestLog interface {
	// Request returns the request with the key, or nil if it is not known.
	Request(key string) *applier.Request
}

// request is a request that this host has not closed yet.
type request struct {
	key          string
	shard        descriptor.ShardID
	service      string
	bodyHash     uint64
	isRepeatable bool
	isUrgent     bool
	deadline     time.Time
	arrived      time.Time
	sequence     uint64
	machine      interpreter.Machine
	callerRefs   []uint64 // Connections of the callers that wait for a reply.
	bodyRef      uint64   // The caller whose body is dispatched.
	attempt      int
	upstream     string
	// candidates are the upstreams that the intent lists; the request may be sent to these only.
	candidates   []string
	tried        []string
	isHeldByHeir bool // The heir holds the intent; the log may lack it.
	isLogged     bool // The log holds an intent for the key.
	isInFlight   bool // A dispatch has not ended yet.
	// mayHaveRun reports that a dispatch of a repeatable request was sent and its reply was lost.
	mayHaveRun bool
	// lostAt is the start of the period in which an upstream may still begin the request: when the dispatch with a lost
	// reply ended, or when this host learned that the dispatcher will not send the request.
	lostAt    time.Time
	nextQuery time.Time
	// dispatcher is the host that dispatches the request or, for a resumed one, the host that wrote its intent.
	dispatcher         descriptor.HostID
	hasDispatcherEnded bool                 // The dispatcher will no longer send the request.
	unknownAt          map[string]time.Time // When each upstream last replied that it does not know the request.
	result             []byte               // The reply to a request that ran, until the log holds it.
}

// fire applies an event to the state. An event that the chart does not list for the state is ignored.
func (r *request) fire(event interpreter.Event) { r.machine.Try(event) }

func (r *request) is(states ...interpreter.State) bool { return r.machine.Is(states...) }

// service holds the queued requests and the retry budget of a service.
type service struct {
	queue   *prioritizer.Queue[*request]
	retries budgeter.Budget
}

// Admitter holds the open requests of the shards that a host holds, and the upstreams of its data centre.
type Admitter struct {
	options   limiter.Options
	self      descriptor.HostID
	layout    descriptor.Layout
	authority Authority
	log       RequestLog

	slots    slotter.Slots
	services map[string]*service
	requests map[string]*request
	sequence uint64
	counts   Counts
}

// Counts are totals of requests and replies since the start of the process.
type Counts struct {
	Arrived          uint64
	Done             uint64
	Refused          uint64
	Retried          uint64
	NotKnown         uint64
	NotRun           uint64
	DeadlineExceeded uint64
	Duplicates       uint64
}

// New returns an admitter without upstreams.
func New(options limiter.Options, self descriptor.HostID, layout descriptor.Layout, authority Authority, log RequestLog) *Admitter {
	options = options.WithDefaults()
	return &Admitter{
		options: options, self: self, layout: layout, authority: authority, log: log,
		services: make(map[string]*service), requests: make(map[string]*request),
	}
}

// Counts returns the totals since the start of the process.
func (a *Admitter) Counts() Counts { return a.counts }

// InFlight returns the number of requests that this host must still complete: those with a waiting caller or a dispatch
// in flight, and, if canAppend is set, also those whose outcome is not in the log yet.
func (a *Admitter) InFlight(canAppend bool) int {
	count := 0
	for _, r := range a.requests {
		if len(r.callerRefs) > 0 || r.isInFlight || canAppend {
			count++
		}
	}
	return count
}

func (a *Admitter) service(name string) *service {
	s, found := a.services[name]
	if !found {
		s = &service{retries: budgeter.New(a.options.RetryTokens), queue: prioritizer.New(isBefore)}
		a.services[name] = s
	}
	return s
}

// isBefore orders the queue: urgent requests first, then by order of arrival.
func isBefore(a, b *request) bool {
	if a.isUrgent != b.isUrgent {
		return a.isUrgent
	}
	return a.sequence < b.sequence
}

// Arrive refuses a caller's request, answers it from the log, joins it to the open request with its key, or queues it.
func (a *Admitter) Arrive(now time.Time, e signaller.RequestArrived, out *signaller.Outbox) {
	a.counts.Arrived++
	shard := a.layout.ShardOf(e.Key)
	if !a.authority.MayDispatch(now, shard) {
		a.refuse(e.Ref, e.Key, "this host may not dispatch for shard "+shard.String()+" now", out)
		return
	}
	if known, found := a.requests[e.Key]; found {
		a.addCaller(known, e, out)
		return
	}
	if !a.authority.MayAdmit(now, shard) {
		a.refuse(e.Ref, e.Key, "this host may not dispatch for shard "+shard.String()+" since it leaves", out)
		return
	}
	if !e.Repeatable && a.answerFromRecord(now, shard, e, out) {
		return
	}
	a.admit(now, shard, e, out)
}

func (a *Admitter) addCaller(known *request, e signaller.RequestArrived, out *signaller.Outbox) {
	if known.bodyHash != e.BodyHash || known.service != e.Service {
		a.refusePermanently(e.Ref, e.Key, "key "+e.Key+" was used with another body or service", out)
		return
	}
	a.counts.Duplicates++
	if known.is(stateClosed) {
		out.Add(signaller.Answer{Ref: e.Ref, Key: e.Key, State: signaller.AnswerDone, Body: known.result})
		return
	}
	known.callerRefs = append(known.callerRefs, e.Ref)
	if e.Deadline.After(known.deadline) {
		known.deadline = e.Deadline
	}
}

// answerFromRecord handles a request whose key is in the log. It reports false if the key is new.
func (a *Admitter) answerFromRecord(now time.Time, shard descriptor.ShardID, e signaller.RequestArrived, out *signaller.Outbox) bool {
	record := a.log.Request(e.Key)
	if record == nil {
		return false
	}
	if record.HasIntent && record.Intent.BodyHash != e.BodyHash {
		a.refusePermanently(e.Ref, e.Key, "key "+e.Key+" was used with another body", out)
		return true
	}
	if record.Closed {
		a.counts.Duplicates++
		out.Add(answerFromOutcome(e.Ref, record.Outcome))
		return true
	}
	a.addCaller(a.resume(now, shard, record), e, out)
	return true
}

func answerFromOutcome(ref uint64, outcome recorder.Outcome) signaller.Answer {
	answer := signaller.Answer{Ref: ref, Key: outcome.Key, Reason: outcome.Reason}
	if outcome.End == recorder.RequestNotRun {
		answer.State = signaller.AnswerNotRun
		return answer
	}
	answer.State = signaller.AnswerDone
	answer.Body = outcome.Result
	return answer
}

// resume reopens a request whose intent is in the log or held by this host as heir, because another host or this one
// may have dispatched it. Its outcome must be resolved first.
func (a *Admitter) resume(now time.Time, shard descriptor.ShardID, record *applier.Request) *request {
	r := &request{
		key: record.Intent.Key, shard: shard, service: record.Intent.Service, bodyHash: record.Intent.BodyHash,
		deadline: record.Intent.Deadline, arrived: now, machine: chart.Machine(), candidates: record.Intent.Upstreams,
		isLogged: true, dispatcher: record.Intent.Dispatcher, lostAt: now,
	}
	for _, event := range []interpreter.Event{eventSlotTaken, eventIntentRecorded, eventReplyLost} {
		r.fire(event)
	}
	r.hasDispatcherEnded = r.dispatcher == a.self
	a.requests[r.key] = r
	return r
}

// admit queues a new request, or refuses it at once if no upstream serves it, the queue is full or the deadline has
// passed.
func (a *Admitter) admit(now time.Time, shard descriptor.ShardID, e signaller.RequestArrived, out *signaller.Outbox) {
	s := a.service(e.Service)
	if len(a.slots.Names(e.Service)) == 0 {
		a.refuse(e.Ref, e.Key, "no upstream serves "+e.Service+" in "+shard.DataCentre, out)
		return
	}
	if s.queue.Len() >= a.options.MaxQueued {
		a.refuse(e.Ref, e.Key, "the queue of "+e.Service+" is full", out)
		return
	}
	if !e.Deadline.After(now) {
		a.answerUnadmitted(e, signaller.AnswerDeadline, "the deadline was past on arrival", out)
		return
	}
	a.sequence++
	r := &request{
		key: e.Key, shard: shard, service: e.Service, bodyHash: e.BodyHash,
		isRepeatable: e.Repeatable, isUrgent: e.Urgent, deadline: e.Deadline, arrived: now,
		sequence: a.sequence, machine: chart.Machine(), callerRefs: []uint64{e.Ref}, bodyRef: e.Ref, dispatcher: a.self,
	}
	a.requests[r.key] = r
	s.queue.Push(r)
	a.dispatchQueued(now, s, out)
}

// refuse refuses a request that the caller may send again after retryAfter.
func (a *Admitter) refuse(ref uint64, key, reason string, out *signaller.Outbox) {
	a.counts.Refused++
	out.Add(signaller.Answer{
		Ref: ref, Key: key, State: signaller.AnswerRefused, Reason: reason, RetryAfter: retryAfter,
	})
}

// refusePermanently refuses a request that the caller should not send again.
func (a *Admitter) refusePermanently(ref uint64, key, reason string, out *signaller.Outbox) {
	a.counts.Refused++
	out.Add(signaller.Answer{Ref: ref, Key: key, State: signaller.AnswerRefused, Reason: reason})
}

// answerUnadmitted answers a request that arrived after its deadline and was not queued.
func (a *Admitter) answerUnadmitted(e signaller.RequestArrived, state signaller.AnswerState, reason string, out *signaller.Outbox) {
	a.counts.DeadlineExceeded++
	out.Add(signaller.Answer{Ref: e.Ref, Key: e.Key, State: state, Reason: reason})
}

func (a *Admitter) answerCallers(r *request, state signaller.AnswerState, body []byte, reason string, out *signaller.Outbox) {
	retryDelay := time.Duration(0)
	switch state {
	case signaller.AnswerDeadline:
		a.counts.DeadlineExceeded += uint64(len(r.callerRefs))
	case signaller.AnswerDone:
		a.counts.Done += uint64(len(r.callerRefs))
	case signaller.AnswerNotKnownYet:
		a.counts.NotKnown += uint64(len(r.callerRefs))
		retryDelay = retryAfter
	case signaller.AnswerNotRun:
		a.counts.NotRun += uint64(len(r.callerRefs))
	case signaller.AnswerRefused:
		a.counts.Refused += uint64(len(r.callerRefs))
		retryDelay = retryAfter
	}
	for _, ref := range r.callerRefs {
		out.Add(signaller.Answer{
			Ref: ref, Key: r.key, State: state, Body: body, Reason: reason, RetryAfter: retryDelay,
		})
	}
	r.callerRefs = nil
}

func (a *Admitter) forget(r *request) {
	delete(a.requests, r.key)
}
