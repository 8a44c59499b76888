package runner

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/core/signaller"
	"lentilrock.example/internal/node/pauser"
	"lentilrock.example/internal/peer/messenger"
	"lentilrock.example/internal/peer/speaker"
	"lentilrock.example/internal/platform/connector"
)

// pendingCall is a caller of this host that waits for an answer.
type pendingCall struct {
	body   []byte
	answer chan signaller.Answer
}

const (
	// routePause is the time between two tries to reach the holder of a shard.
	routePause = 50 * time.Millisecond
	// answerGrace is how long after its deadline the core's answer may take.
	answerGrace = 500 * time.Millisecond
)

// Request serves a caller: here where this host holds the key's shard, else through the
// holder. It tries until the deadline; the key makes a second try safe.
func (r *Runner) Request(ctx context.Context, request speaker.CallerRequest) speaker.CallerAnswer {
	home := r.options.Settings.Layout.Home(request.Key)
	isHome := home == r.options.Settings.DataCentre
	last := speaker.CallerAnswer{
		Key: request.Key, State: signaller.AnswerRefused, RetryAfter: time.Second,
		Reason: "no host holds the shard of the key in " + home,
	}
	mayHaveRun := false
	for r.options.Clock.Now().Before(request.Deadline) && ctx.Err() == nil {
		var answer speaker.CallerAnswer
		var err error
		if isHome {
			answer, err = r.requestAtHome(ctx, request)
		} else {
			answer, err = r.requestElsewhere(ctx, home, request)
		}
		if err == nil && !shouldRouteAgain(answer) {
			return answer
		}
		if err == nil {
			last = answer
		}
		mayHaveRun = mayHaveRun || errors.Is(err, messenger.ErrLost)
		pauser.Pause(ctx, r.options.Clock, routePause)
	}
	if mayHaveRun || !isHome {
		last.State = signaller.AnswerNotKnownYet
		last.Reason = "the home data centre " + home + " did not answer in time; ask again under the same key"
	}
	return last
}

// reasonNotHolder marks the answer of a host that does not hold the key's shard.
const reasonNotHolder = "this host may not dispatch"

// shouldRouteAgain reports whether the request came to a host that may not serve it.
func shouldRouteAgain(answer speaker.CallerAnswer) bool {
	return answer.State == signaller.AnswerRefused &&
		len(answer.Reason) >= len(reasonNotHolder) && answer.Reason[:len(reasonNotHolder)] == reasonNotHolder
}

func (r *Runner) requestAtHome(ctx context.Context, request speaker.CallerRequest) (speaker.CallerAnswer, error) {
	shard := r.options.Settings.Layout.ShardOf(request.Key)
	holder := r.routes.Load().Holders[shard].Holder
	if holder == r.self {
		return r.requestHere(ctx, request), nil
	}
	entry, found := r.routes.Load().Entries[holder.Name]
	if !found {
		return speaker.CallerAnswer{}, errors.New("the holder is not listed")
	}
	return r.forward(ctx, entry, request)
}

func (r *Runner) forward(ctx context.Context, entry descriptor.Host, request speaker.CallerRequest) (speaker.CallerAnswer, error) {
	waiting, cancel := context.WithDeadline(ctx, request.Deadline.Add(answerGrace))
	defer cancel()
	answer, err := messenger.Call[speaker.CallerRequest, speaker.CallerAnswer](
		waiting, r.options.Messenger, entry.Address, speaker.CallRequest, request)
	if err != nil {
		return speaker.CallerAnswer{}, errors.Errorf("forward to %s: %w", entry.Name, err)
	}
	return answer, nil
}

// requestElsewhere forwards to a host of the home data centre.
func (r *Runner) requestElsewhere(ctx context.Context, home string, request speaker.CallerRequest) (speaker.CallerAnswer, error) {
	for _, entry := range r.entriesOf(home) {
		answer, err := r.forward(ctx, entry, request)
		if err == nil || errors.Is(err, messenger.ErrLost) {
			return answer, err
		}
	}
	return speaker.CallerAnswer{}, errors.Newf("no host of %s can be reached", home)
}

// requestHere hands a request to this host's core.
func (r *Runner) requestHere(ctx context.Context, request speaker.CallerRequest) speaker.CallerAnswer {
	ref := r.nextRef.Add(1)
	call := &pendingCall{body: request.Body, answer: make(chan signaller.Answer, 1)}
	r.mu.Lock()
	r.calls[ref] = call
	r.mu.Unlock()
	event := signaller.RequestArrived{
		Ref: ref, Key: request.Key, Service: request.Service,
		BodyHash: xxhash.Sum64(request.Body), Repeatable: request.Repeatable,
		Urgent: request.Urgent, Deadline: request.Deadline,
	}
	if !r.inputs.Offer(input{event: event}) {
		r.dropCall(ref)
		return speaker.CallerAnswer{
			Key: request.Key, State: signaller.AnswerRefused, RetryAfter: time.Second,
			Reason: "this host has too many events to decide on",
		}
	}
	select {
	case a := <-call.answer:
		return speaker.CallerAnswer{
			Key: a.Key, State: a.State, Body: a.Body, Reason: a.Reason, RetryAfter: a.RetryAfter,
		}
	case <-ctx.Done():
		// The caller is gone; the core's answer ends the call.
		return speaker.CallerAnswer{
			Key: request.Key, State: signaller.AnswerNotKnownYet, Reason: "the caller left",
		}
	}
}

func (r *Runner) dropCall(ref uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.calls, ref)
}

func (r *Runner) answer(a signaller.Answer) {
	r.mu.Lock()
	call, found := r.calls[a.Ref]
	delete(r.calls, a.Ref)
	r.mu.Unlock()
	if found {
		call.answer <- a
	}
}

// dispatch sends a request to an upstream. The call outlives its caller.
func (r *Runner) dispatch(ctx context.Context, a signaller.Dispatch) {
	ended := signaller.DispatchEnded{Key: a.Key, Attempt: a.Attempt, Upstream: a.Upstream.Name}
	body, found := r.bodyOf(a.Ref)
	if !found {
		ended.Result = signaller.DispatchNotSent
		ended.Reason = "the body is gone"
		r.Put(ctx, ended)
		return
	}
	calling, cancel := context.WithDeadline(ctx, a.Deadline)
	defer cancel()
	answer, err := r.options.Upstreams.Run(calling, a.Upstream, a.Key, a.Attempt, body)
	ended.Answer = answer
	ended.Result = resultOf(err)
	if err != nil {
		ended.Reason = err.Error()
	}
	r.Put(ctx, ended)
}

func resultOf(err error) signaller.DispatchResult {
	switch {
	case err == nil:
		return signaller.DispatchDone
	case errors.Is(err, connector.ErrLeaving):
		return signaller.DispatchLeaving
	case errors.Is(err, connector.ErrNotDone):
		return signaller.DispatchNotSent
	}
	return signaller.DispatchUnknown
}

func (r *Runner) bodyOf(ref uint64) ([]byte, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	call, found := r.calls[ref]
	if !found {
		return nil, false
	}
	return call.body, true
}

const askTimeout = time.Second

func (r *Runner) askOutcome(ctx context.Context, a signaller.AskOutcome) {
	asking, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	outcome, err := r.options.Upstreams.Outcome(asking, a.Upstream, a.Key)
	r.Put(ctx, signaller.OutcomeAnswered{
		Key: a.Key, Upstream: a.Upstream.Name, Failed: err != nil, Outcome: outcome,
	})
}

func (r *Runner) askLoad(ctx context.Context, a signaller.AskLoad) {
	asking, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	load, err := r.options.Upstreams.Load(asking, a.Upstream)
	r.Put(ctx, signaller.LoadAnswered{Upstream: a.Upstream.Name, Failed: err != nil, Load: load})
}
