// Package admitter takes callers' requests to the upstreams of its data centre: in slots,
// urgent ones first, and at most once where a request may not be repeated.
//
// A request that may not be repeated is dispatched only after its intent took effect in
// the log under this host's epoch, or, while the log is down, after the heir holds the
// intent. Whether it ran is settled by its upstream's word; "not run" is answered only
// after the key is closed in the log. What can't be settled yet is answered as not known.
//
// # Usage
//
//	a := admitter.New(limiter.Options{}, self, layout, authority, log)
//	a.SetUpstreams(hosts)
//	a.Arrive(now, event, &out)
//	a.Ended(now, dispatchEnded, &out)
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

// States of a request.
const (
	stateClosed     interpreter.State = "closed"
	stateClosing    interpreter.State = "closing"
	stateDispatched interpreter.State = "dispatched"
	stateHoldingOut interpreter.State = "holding_out"
	stateQueued     interpreter.State = "queued"
	stateRecording  interpreter.State = "recording"
	stateSettling   interpreter.State = "settling"
)

const (
	eventAnswered       interpreter.Event = "answered"
	eventCloseRecorded  interpreter.Event = "close_recorded"
	eventGivenUp        interpreter.Event = "given_up"
	eventIntentFailed   interpreter.Event = "intent_failed"
	eventIntentHeld     interpreter.Event = "intent_held"
	eventIntentRecorded interpreter.Event = "intent_recorded"
	eventIntentVoid     interpreter.Event = "intent_void"
	eventNeverRun       interpreter.Event = "never_run"
	eventNoneLeft       interpreter.Event = "none_left"
	eventNotSent        interpreter.Event = "not_sent"
	eventReplyLost      interpreter.Event = "reply_lost"
	eventSlotDirect     interpreter.Event = "slot_direct"
	eventSlotTaken      interpreter.Event = "slot_taken"
)

//go:embed request.chart
var chartText string

var chart = interpreter.MustParse("request", chartText)

const (
	// askInterval is the time between two questions about the same matter.
	askInterval = 500 * time.Millisecond
	// retryAfter is when a refused caller may try again.
	retryAfter = time.Second
)

// Authority says what this host may do for a shard.
type Authority interface {
	// MayDispatch reports whether this host may dispatch for a shard.
	MayDispatch(now time.Time, shard descriptor.ShardID) bool
	// MayAdmit reports whether this host takes new requests for a shard: not while it
	// leaves.
	MayAdmit(now time.Time, shard descriptor.ShardID) bool
	// Epoch returns the epoch under which this host holds the shard.
	Epoch(shard descriptor.ShardID) int64
	// CanAppend reports whether the log took the last append and answered the last read.
	CanAppend() bool
	// HasHeir reports whether a live heir can hold the intents of a shard.
	HasHeir(shard descriptor.ShardID) bool
}

// Requests is the state of requests in the log.
type Requests interface {
	// Request returns a request, or nil where the log knows none.
	Request(key string) *applier.Request
}

// request is a request that this host has not closed.
type request struct {
	key        string
	shard      descriptor.ShardID
	service    string
	bodyHash   uint64
	repeatable bool
	urgent     bool
	deadline   time.Time
	arrived    time.Time
	sequence   uint64
	machine    interpreter.Machine
	refs       []uint64
	// bodyRef is the caller whose body is dispatched.
	bodyRef  uint64
	attempt  int
	upstream string
	// candidates are the upstreams that the intent names.
	candidates []string
	tried      []string
	// held reports that the heir has the intent, which the log may lack.
	held     bool
	logged   bool
	inFlight bool
	// mayHaveRun reports that a dispatch was lost after it was sent.
	mayHaveRun bool
	// lostAt is when the connection of the unsettled dispatch ended.
	lostAt  time.Time
	nextAsk time.Time
	// dispatcher is the host that may have dispatched the request.
	dispatcher descriptor.HostID
	// dispatcherEnded reports that the dispatcher will not send any more.
	dispatcherEnded bool
	unknowns        map[string]time.Time
	// result is the answer of a request that ran, until the log holds it.
	result []byte
}

func (r *request) fire(event interpreter.Event) { r.machine.Try(event) }

func (r *request) is(states ...interpreter.State) bool { return r.machine.Is(states...) }

type service struct {
	queue   *prioritizer.Queue[*request]
	retries budgeter.Budget
}

// Admitter holds the requests and upstreams of the shards of a host.
type Admitter struct {
	options   limiter.Options
	self      descriptor.HostID
	layout    descriptor.Layout
	authority Authority
	log       Requests

	slots    slotter.Slots
	services map[string]*service
	requests map[string]*request
	sequence uint64
	counts   Counts
}

// Counts are totals since the start of the process.
type Counts struct {
	Arrived    uint64
	Done       uint64
	Refused    uint64
	Retried    uint64
	NotKnown   uint64
	NotRun     uint64
	Deadline   uint64
	Duplicates uint64
}

// New returns an admitter without upstreams.
func New(options limiter.Options, self descriptor.HostID, layout descriptor.Layout, authority Authority, log Requests) *Admitter {
	options = options.WithDefaults()
	return &Admitter{
		options: options, self: self, layout: layout, authority: authority, log: log,
		services: make(map[string]*service),
		requests: make(map[string]*request),
	}
}

// Counts returns the totals.
func (a *Admitter) Counts() Counts { return a.counts }

// InFlight returns how many requests this host must still see to: those with a caller
// that waits or a dispatch under way, and, where the log can take them, those whose
// outcome it lacks.
func (a *Admitter) InFlight(canAppend bool) int {
	count := 0
	for _, r := range a.requests {
		if len(r.refs) > 0 || r.inFlight || canAppend {
			count++
		}
	}
	return count
}

func (a *Admitter) service(name string) *service {
	s, found := a.services[name]
	if !found {
		s = &service{retries: budgeter.New(a.options.RetryTokens), queue: prioritizer.New(goesBefore)}
		a.services[name] = s
	}
	return s
}

// goesBefore puts urgent requests first, then those that arrived first.
func goesBefore(a, b *request) bool {
	if a.urgent != b.urgent {
		return a.urgent
	}
	return a.sequence < b.sequence
}

// Arrive takes in a caller's request.
func (a *Admitter) Arrive(now time.Time, e signaller.RequestArrived, out *signaller.Outbox) {
	a.counts.Arrived++
	shard := a.layout.ShardOf(e.Key)
	if !a.authority.MayDispatch(now, shard) {
		a.refuse(e.Ref, e.Key, "this host may not dispatch for shard "+shard.String()+" now", out)
		return
	}
	if known, found := a.requests[e.Key]; found {
		a.join(known, e, out)
		return
	}
	if !a.authority.MayAdmit(now, shard) {
		a.refuse(e.Ref, e.Key, "this host may not dispatch for shard "+shard.String()+" since it leaves", out)
		return
	}
	if !e.Repeatable && a.answerFromLog(now, shard, e, out) {
		return
	}
	a.admit(now, shard, e, out)
}

// join adds a caller to a request that is under way.
func (a *Admitter) join(known *request, e signaller.RequestArrived, out *signaller.Outbox) {
	if known.bodyHash != e.BodyHash || known.service != e.Service {
		a.refuseFinally(e.Ref, e.Key, "key "+e.Key+" was used with another body or service", out)
		return
	}
	a.counts.Duplicates++
	if known.is(stateClosed) {
		out.Add(signaller.Answer{Ref: e.Ref, Key: e.Key, State: signaller.AnswerDone, Body: known.result})
		return
	}
	known.refs = append(known.refs, e.Ref)
	if e.Deadline.After(known.deadline) {
		known.deadline = e.Deadline
	}
}

// answerFromLog answers a request whose key the log knows. It reports false for a new key.
func (a *Admitter) answerFromLog(now time.Time, shard descriptor.ShardID, e signaller.RequestArrived, out *signaller.Outbox) bool {
	record := a.log.Request(e.Key)
	if record == nil {
		return false
	}
	if record.HasIntent && record.Intent.BodyHash != e.BodyHash {
		a.refuseFinally(e.Ref, e.Key, "key "+e.Key+" was used with another body", out)
		return true
	}
	if record.Closed {
		a.counts.Duplicates++
		out.Add(answerOf(e.Ref, record.Outcome))
		return true
	}
	a.join(a.resume(now, shard, record), e, out)
	return true
}

// answerOf turns a closed key into an answer.
func answerOf(ref uint64, outcome recorder.Outcome) signaller.Answer {
	answer := signaller.Answer{Ref: ref, Key: outcome.Key, Reason: outcome.Reason}
	if outcome.End == recorder.RequestNotRun {
		answer.State = signaller.AnswerNotRun
		return answer
	}
	answer.State = signaller.AnswerDone
	answer.Body = outcome.Result
	return answer
}

// resume takes up a request that another host, or this one, may have dispatched before.
func (a *Admitter) resume(now time.Time, shard descriptor.ShardID, record *applier.Request) *request {
	r := &request{
		key: record.Intent.Key, shard: shard, service: record.Intent.Service,
		bodyHash: record.Intent.BodyHash, deadline: record.Intent.Deadline, arrived: now,
		machine: chart.Machine(), candidates: record.Intent.Upstreams, logged: true,
		dispatcher: record.Intent.Dispatcher, lostAt: now,
	}
	for _, event := range []interpreter.Event{eventSlotTaken, eventIntentRecorded, eventReplyLost} {
		r.fire(event)
	}
	r.dispatcherEnded = r.dispatcher == a.self
	a.requests[r.key] = r
	return r
}

// admit queues a new request, or refuses it early.
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
		a.answerNew(e, signaller.AnswerDeadline, "the deadline was past on arrival", out)
		return
	}
	a.sequence++
	r := &request{
		key: e.Key, shard: shard, service: e.Service, bodyHash: e.BodyHash,
		repeatable: e.Repeatable, urgent: e.Urgent, deadline: e.Deadline, arrived: now,
		sequence: a.sequence, machine: chart.Machine(), refs: []uint64{e.Ref}, bodyRef: e.Ref,
		dispatcher: a.self,
	}
	a.requests[r.key] = r
	s.queue.Push(r)
	a.serve(now, s, out)
}

func (a *Admitter) refuse(ref uint64, key, reason string, out *signaller.Outbox) {
	a.counts.Refused++
	out.Add(signaller.Answer{
		Ref: ref, Key: key, State: signaller.AnswerRefused, Reason: reason, RetryAfter: retryAfter,
	})
}

func (a *Admitter) refuseFinally(ref uint64, key, reason string, out *signaller.Outbox) {
	a.counts.Refused++
	out.Add(signaller.Answer{Ref: ref, Key: key, State: signaller.AnswerRefused, Reason: reason})
}

func (a *Admitter) answerNew(e signaller.RequestArrived, state signaller.AnswerState, reason string, out *signaller.Outbox) {
	a.counts.Deadline++
	out.Add(signaller.Answer{Ref: e.Ref, Key: e.Key, State: state, Reason: reason})
}

// answer ends the wait of all callers of a request.
func (a *Admitter) answer(r *request, state signaller.AnswerState, body []byte, reason string, out *signaller.Outbox) {
	after := time.Duration(0)
	switch state {
	case signaller.AnswerDeadline:
		a.counts.Deadline += uint64(len(r.refs))
	case signaller.AnswerDone:
		a.counts.Done += uint64(len(r.refs))
	case signaller.AnswerNotKnownYet:
		a.counts.NotKnown += uint64(len(r.refs))
		after = retryAfter
	case signaller.AnswerNotRun:
		a.counts.NotRun += uint64(len(r.refs))
	case signaller.AnswerRefused:
		a.counts.Refused += uint64(len(r.refs))
		after = retryAfter
	}
	for _, ref := range r.refs {
		out.Add(signaller.Answer{
			Ref: ref, Key: r.key, State: state, Body: body, Reason: reason, RetryAfter: after,
		})
	}
	r.refs = nil
}

// forget drops a closed request.
func (a *Admitter) forget(r *request) {
	delete(a.requests, r.key)
}
