// Package runner runs the decision core of an entry host. Background loops queue events for the core and execute its
// actions. Each loop has a goroutine of its own, and they communicate through bounded queues.
//
// # Usage
//
//	r := runner.New(runner.Options{Settings: settings, Log: log, ...})
//	go r.Run(ctx)
//	reply := r.Request(ctx, request)
package runner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/container/buffer"
	"lentilrock.example/internal/core/decider"
	"lentilrock.example/internal/core/signaller"
	"lentilrock.example/internal/node/appender"
	"lentilrock.example/internal/node/follower"
	"lentilrock.example/internal/node/sender"
	"lentilrock.example/internal/peer/messenger"
	"lentilrock.example/internal/platform/connector"
	"lentilrock.example/internal/settings/checker"
)

const (
	eventQueueSize = 16_384
	tickInterval   = 25 * time.Millisecond
)

// Options configure a Runner and supply its dependencies.
type Options struct {
	Settings    checker.Settings
	Incarnation string
	Clock       clockwork.Clock
	Logger      *zap.Logger
	Log         connector.Log
	List        connector.HostList
	Workers     connector.Workers
	Upstreams   connector.Upstreams
	Messenger   *messenger.Messenger
	// Trace is called with each event before the core processes it; nil disables tracing.
	Trace func(now time.Time, event signaller.Event)
}

// input is an item of the core's queue: an event to process or, if inspect is set, a function to call with the core.
type input struct {
	event   signaller.Event
	inspect func(*decider.Decider)
}

// Runner runs an entry host except for its HTTP handlers.
type Runner struct {
	options Options
	self    descriptor.HostID
	// core is used only by the goroutine of runCore.
	core          *decider.Decider
	inputs        *buffer.Ring[input]
	appender      *appender.Appender
	sender        *sender.Sender
	follower      *follower.Follower
	nextRef       atomic.Uint64
	routes        atomic.Pointer[Routes]
	events        atomic.Uint64
	droppedEvents atomic.Uint64

	mu          sync.Mutex
	calls       map[uint64]*pendingCall           // The callers' requests that wait for a reply, by ref.
	proposals   map[string]chan signaller.Settled // The proposals that wait for their result, by record ID.
	peerQueries map[uint64]chan bool              // The peers' queries that wait for a reply of the core, by ref.
}

// Counts are totals since the start of the process.
type Counts struct {
	Events        uint64
	DroppedEvents uint64
	Starts        uint64
	Heartbeats    uint64
	Appends       uint64
	Reads         uint64
}

// New returns a runner and registers its handlers for calls of peers. Run starts it.
func New(options Options) *Runner {
	self := descriptor.HostID{Name: options.Settings.Name, Incarnation: options.Incarnation}
	r := &Runner{
		options: options, self: self,
		core: decider.New(decider.Options{
			Self: self, DataCentre: options.Settings.DataCentre, Layout: options.Settings.Layout,
			Claims: options.Settings.Claims, Tracker: options.Settings.Tracker,
			Requests: options.Settings.Requests, SnapshotEvery: options.Settings.SnapshotEvery,
		}),
		inputs:      buffer.New[input](eventQueueSize),
		calls:       make(map[uint64]*pendingCall),
		proposals:   make(map[string]chan signaller.Settled),
		peerQueries: make(map[uint64]chan bool),
	}
	r.appender = appender.New(appender.Options{
		Log: options.Log, Clock: options.Clock, Logger: options.Logger, Core: r, Self: self,
		Batch: options.Settings.AppendBatch,
	})
	r.sender = sender.New(sender.Options{Workers: options.Workers, Clock: options.Clock, Core: r})
	r.follower = follower.New(follower.Options{
		Log: options.Log, List: options.List, Clock: options.Clock, Logger: options.Logger, Core: r,
		DataCentre: options.Settings.DataCentre, OnHosts: r.updateEntries,
	})
	r.routes.Store(&Routes{})
	r.registerPeerHandlers()
	return r
}

// Self returns the host's name and the incarnation of this process.
func (r *Runner) Self() descriptor.HostID { return r.self }

// Run runs all background loops until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	loops := []func(context.Context){
		r.runCore, r.tick, r.follower.FollowConfig, r.follower.FollowDataCentre, r.follower.PollHosts, r.sendHeartbeats,
		r.appender.Run, r.sender.Run,
	}
	var group sync.WaitGroup
	for _, loop := range loops {
		group.Go(func() { loop(ctx) })
	}
	group.Wait()
}

// Offer queues an event without blocking. If the queue is full, it drops and counts the event and returns false.
func (r *Runner) Offer(event signaller.Event) bool {
	ok := r.inputs.Offer(input{event: event})
	if !ok {
		r.droppedEvents.Add(1)
	}
	return ok
}

// Put queues an event that must not be lost: it blocks while the queue is full, or returns false if ctx ends.
func (r *Runner) Put(ctx context.Context, event signaller.Event) bool {
	return r.inputs.Put(ctx, input{event: event})
}

// Counts returns the totals since the start of the process.
func (r *Runner) Counts() Counts {
	return Counts{
		Events: r.events.Load(), DroppedEvents: r.droppedEvents.Load(), Starts: r.sender.Starts(),
		Heartbeats: r.sender.Heartbeats(), Appends: r.appender.Appends(), Reads: r.follower.Reads(),
	}
}

// Inspect calls inspect with the core between two events and waits until inspect returns. It returns false if ctx ends
// first; inspect may then still be called later.
func (r *Runner) Inspect(ctx context.Context, inspect func(*decider.Decider)) bool {
	done := make(chan struct{})
	isQueued := r.inputs.Put(ctx, input{inspect: func(d *decider.Decider) {
		inspect(d)
		close(done)
	}})
	if !isQueued {
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// runCore passes the queued events to the core, one at a time, and executes the resulting actions.
func (r *Runner) runCore(ctx context.Context) {
	var out signaller.Outbox
	for {
		in, ok := r.inputs.Take(ctx)
		if !ok {
			return
		}
		if in.inspect != nil {
			in.inspect(r.core)
			continue
		}
		now := r.options.Clock.Now()
		if r.options.Trace != nil {
			r.options.Trace(now, in.event)
		}
		r.core.Step(now, in.event, &out)
		for _, action := range out.Take() {
			r.execute(ctx, action)
		}
		r.events.Add(1)
		r.publishRoutes(in.event)
	}
}

// tick sends the core a Tick every tickInterval, from which the core learns that time passes.
func (r *Runner) tick(ctx context.Context) {
	ticker := r.options.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
			r.Offer(signaller.Tick{})
		case <-ctx.Done():
			return
		}
	}
}

// execute performs an action. It runs on the core's goroutine, so network calls get goroutines of their own.
func (r *Runner) execute(ctx context.Context, action signaller.Action) {
	switch a := action.(type) {
	case signaller.Answer:
		r.completeCall(a)
	case signaller.AnswerDispatcher:
		r.completePeerQuery(a.Ref, a.Ended)
	case signaller.AnswerHeir:
		r.completePeerQuery(a.Ref, a.OK)
	case signaller.Append:
		r.appender.Add(ctx, a)
	case signaller.AskDispatcher:
		go r.queryDispatcher(ctx, a)
	case signaller.AskHeir:
		go r.queryHeir(ctx, a)
	case signaller.AskLoad:
		go r.queryLoad(ctx, a)
	case signaller.AskOutcome:
		go r.queryOutcome(ctx, a)
	case signaller.Dispatch:
		go r.dispatch(ctx, a)
	case signaller.Report:
		r.report(a)
	case signaller.SaveSnapshot:
		r.appender.AddSnapshot(ctx, a)
	case signaller.SendHeartbeat, signaller.SendStart, signaller.SendStop, signaller.SendThrottle:
		r.sender.Send(a)
	case signaller.Settled:
		r.completeProposal(a)
	}
}

func (r *Runner) report(a signaller.Report) {
	fields := make([]zap.Field, 0, len(a.Fields))
	for name, value := range a.Fields {
		fields = append(fields, zap.String(name, value))
	}
	r.options.Logger.Info("core: "+a.Text, fields...)
}

// completeProposal passes the result of a record to the proposal that waits for it, if any.
func (r *Runner) completeProposal(a signaller.Settled) {
	r.mu.Lock()
	result, found := r.proposals[a.RecordID]
	delete(r.proposals, a.RecordID)
	r.mu.Unlock()
	if found {
		result <- a
	}
}

// completePeerQuery passes the core's reply to the peer's query that waits for it, if any.
func (r *Runner) completePeerQuery(ref uint64, ok bool) {
	r.mu.Lock()
	reply, found := r.peerQueries[ref]
	delete(r.peerQueries, ref)
	r.mu.Unlock()
	if found {
		reply <- ok
	}
}

// queryCore passes a peer's query, built by event, to the core and waits for the reply, or returns false if ctx ends.
func (r *Runner) queryCore(ctx context.Context, event func(ref uint64) signaller.Event) bool {
	ref := r.nextRef.Add(1)
	reply := make(chan bool, 1)
	r.mu.Lock()
	r.peerQueries[ref] = reply
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.peerQueries, ref)
		r.mu.Unlock()
	}()
	if !r.Put(ctx, event(ref)) {
		return false
	}
	select {
	case ok := <-reply:
		return ok
	case <-ctx.Done():
		return false
	}
}

// Leave tells the core to finish its work in progress and to release its shards.
func (r *Runner) Leave(ctx context.Context) {
	r.Put(ctx, signaller.Left{})
}
