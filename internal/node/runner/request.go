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

// pendingCall is a caller's request that waits for the reply of the core.
type pendingCall struct {
	body  []byte
	reply chan signaller.Answer
}

const (
	// routeRetryInterval is the time between two tries to reach the holder of a shard.
	routeRetryInterval = 50 * time.Millisecond
	// replyGrace is how long after a request's deadline the reply to a forwarded request may still arrive.
	replyGrace = 500 * time.Millisecond
)

// Request serves a caller's request: on this host if it holds the shard of the key, otherwise by forwarding it to the
// holder or to the key's home data centre. It retries until the deadline, which is safe because the key makes the
// request idempotent. Failures are returned in the reply.
func (r *Runner) Request(ctx context.Context, request speaker.CallerRequest) speaker.CallerReply {
	home := r.options.Settings.Layout.Home(request.Key)
	isHome := home == r.options.Settings.DataCentre
	lastReply := speaker.CallerReply{
		Key: request.Key, State: signaller.AnswerRefused, RetryAfter: time.Second,
		Reason: "no host holds the shard of the key in " + home,
	}
	mayHaveRun := false
	for r.options.Clock.Now().Before(request.Deadline) && ctx.Err() == nil {
		var reply speaker.CallerReply
		var err error
		if isHome {
			reply, err = r.serveFromHome(ctx, request)
		} else {
			reply, err = r.forwardToHome(ctx, home, request)
		}
		if err == nil && !isNotHolderReply(reply) {
			return reply
		}
		if err == nil {
			lastReply = reply
		}
		mayHaveRun = mayHaveRun || errors.Is(err, messenger.ErrLost)
		pauser.Pause(ctx, r.options.Clock, routeRetryInterval)
	}
	if mayHaveRun || !isHome {
		lastReply.State = signaller.AnswerNotKnownYet
		lastReply.Reason = "the home data centre " + home + " did not answer in time; ask again under the same key"
	}
	return lastReply
}

// reasonNotHolder is the prefix of package admitter's reasons for a refusal if a host may not dispatch for a shard.
const reasonNotHolder = "this host may not dispatch"

// isNotHolderReply reports whether a host refused because it may not dispatch for the shard, so another must be tried.
func isNotHolderReply(reply speaker.CallerReply) bool {
	return reply.State == signaller.AnswerRefused &&
		len(reply.Reason) >= len(reasonNotHolder) && reply.Reason[:len(reasonNotHolder)] == reasonNotHolder
}

func (r *Runner) serveFromHome(ctx context.Context, request speaker.CallerRequest) (speaker.CallerReply, error) {
	shard := r.options.Settings.Layout.ShardOf(request.Key)
	holder := r.routes.Load().Holders[shard].Holder
	if holder == r.self {
		return r.submitToCore(ctx, request), nil
	}
	entry, found := r.routes.Load().Entries[holder.Name]
	if !found {
		return speaker.CallerReply{}, errors.New("the holder of the key's shard is not on the host list")
	}
	return r.forward(ctx, entry, request)
}

// forward sends a request to an entry host and waits for the reply; messenger.ErrLost means that it may have run there.
func (r *Runner) forward(ctx context.Context, entry descriptor.Host, request speaker.CallerRequest) (speaker.CallerReply, error) {
	waitCtx, cancel := context.WithDeadline(ctx, request.Deadline.Add(replyGrace))
	defer cancel()
	reply, err := messenger.Call[speaker.CallerRequest, speaker.CallerReply](
		waitCtx, r.options.Messenger, entry.Address, speaker.CallRequest, request)
	if err != nil {
		return speaker.CallerReply{}, errors.Errorf("forward request to host %s: %w", entry.Name, err)
	}
	return reply, nil
}

// forwardToHome tries the entry hosts of the home data centre in turn until one may have run the request.
func (r *Runner) forwardToHome(ctx context.Context, home string, request speaker.CallerRequest) (speaker.CallerReply, error) {
	for _, entry := range r.entriesOf(home) {
		reply, err := r.forward(ctx, entry, request)
		if err == nil || errors.Is(err, messenger.ErrLost) {
			return reply, err
		}
	}
	return speaker.CallerReply{}, errors.Newf("no entry host of data centre %s is reachable", home)
}

func (r *Runner) submitToCore(ctx context.Context, request speaker.CallerRequest) speaker.CallerReply {
	ref := r.nextRef.Add(1)
	call := &pendingCall{body: request.Body, reply: make(chan signaller.Answer, 1)}
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
		return speaker.CallerReply{
			Key: request.Key, State: signaller.AnswerRefused, RetryAfter: time.Second,
			Reason: "this host has too many events to decide on",
		}
	}
	select {
	case a := <-call.reply:
		return speaker.CallerReply{
			Key: a.Key, State: a.State, Body: a.Body, Reason: a.Reason, RetryAfter: a.RetryAfter,
		}
	case <-ctx.Done():
		// The caller has disconnected. The call stays until the core replies: dispatch needs its body.
		return speaker.CallerReply{
			Key: request.Key, State: signaller.AnswerNotKnownYet, Reason: "the caller left",
		}
	}
}

func (r *Runner) dropCall(ref uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.calls, ref)
}

func (r *Runner) completeCall(a signaller.Answer) {
	r.mu.Lock()
	call, found := r.calls[a.Ref]
	delete(r.calls, a.Ref)
	r.mu.Unlock()
	if found {
		call.reply <- a
	}
}

// dispatch sends a request to an upstream and reports the result to the core, even if the caller disconnects.
func (r *Runner) dispatch(ctx context.Context, a signaller.Dispatch) {
	event := signaller.DispatchEnded{Key: a.Key, Attempt: a.Attempt, Upstream: a.Upstream.Name}
	body, found := r.bodyOf(a.Ref)
	if !found {
		event.Result = signaller.DispatchNotSent
		event.Reason = "the body is gone"
		r.Put(ctx, event)
		return
	}
	callCtx, cancel := context.WithDeadline(ctx, a.Deadline)
	defer cancel()
	reply, err := r.options.Upstreams.Run(callCtx, a.Upstream, a.Key, a.Attempt, body)
	event.Answer = reply
	event.Result = resultOf(err)
	if err != nil {
		event.Reason = err.Error()
	}
	r.Put(ctx, event)
}

// resultOf classifies the error of a dispatch: DispatchUnknown unless the error rules out that the request ran.
func resultOf(err error) signaller.DispatchResult {
	switch {
	case err == nil:
		return signaller.DispatchDone
	case errors.Is(err, connector.ErrLeaving):
		return signaller.DispatchLeaving
	case errors.Is(err, connector.ErrNoEffect):
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

const queryTimeout = time.Second

func (r *Runner) queryOutcome(ctx context.Context, a signaller.AskOutcome) {
	callCtx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	outcome, err := r.options.Upstreams.Outcome(callCtx, a.Upstream, a.Key)
	r.Put(ctx, signaller.OutcomeAnswered{
		Key: a.Key, Upstream: a.Upstream.Name, Failed: err != nil, Outcome: outcome,
	})
}

func (r *Runner) queryLoad(ctx context.Context, a signaller.AskLoad) {
	callCtx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	load, err := r.options.Upstreams.Load(callCtx, a.Upstream)
	r.Put(ctx, signaller.LoadAnswered{Upstream: a.Upstream.Name, Failed: err != nil, Load: load})
}
