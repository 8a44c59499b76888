// Package runner runs the decision core of an entry host: duties feed events into it and
// carry its actions out, each in a goroutine of its own, joined by bounded rings.
//
// # Usage
//
//	r := runner.New(runner.Options{Settings: settings, Log: log, ...})
//	go r.Run(ctx)
//	answer := r.Request(ctx, request)
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
	"lentilrock.example/internal/node/linker"
	"lentilrock.example/internal/peer/messenger"
	"lentilrock.example/internal/platform/connector"
	"lentilrock.example/internal/settings/checker"
)

const (
	// eventRing bounds the events that wait for the core.
	eventRing = 16_384
	tickTime  = 25 * time.Millisecond
)

// Options are what a runner works with.
type Options struct {
	Settings    checker.Settings
	Incarnation string
	Clock       clockwork.Clock
	Logger      *zap.Logger
	Log         connector.Log
	List        connector.List
	Workers     connector.Workers
	Upstreams   connector.Upstreams
	Messenger   *messenger.Messenger
	// Trace takes each event before the core does; nil takes none.
	Trace func(now time.Time, event signaller.Event)
}

// input is what the core's goroutine takes: an event, or a look at the core.
type input struct {
	event signaller.Event
	look  func(*decider.Decider)
}

// Runner is a running entry host without its doors.
type Runner struct {
	options Options
	self    descriptor.HostID
	core    *decider.Decider
	inputs  *buffer.Ring[input]
	appends *appender.Appender
	links   *linker.Linker
	reads   *follower.Follower
	nextRef atomic.Uint64
	routes  atomic.Pointer[Routes]
	events  atomic.Uint64
	dropped atomic.Uint64

	mu sync.Mutex
	// calls are the callers that wait for an answer, by ref.
	calls map[uint64]*pendingCall
	// settles are the proposals that wait for their offset, by record.
	settles map[string]chan signaller.Settled
	// words are the peers' questions that wait for the core, by ref.
	words map[uint64]chan bool
}

// Counts are totals since the start.
type Counts struct {
	Events        uint64
	DroppedEvents uint64
	Starts        uint64
	Heartbeats    uint64
	Appends       uint64
	Reads         uint64
}

// New returns a runner that does nothing yet.
func New(options Options) *Runner {
	self := descriptor.HostID{Name: options.Settings.Name, Incarnation: options.Incarnation}
	r := &Runner{
		options: options, self: self,
		core: decider.New(decider.Options{
			Self: self, DataCentre: options.Settings.DataCentre, Layout: options.Settings.Layout,
			Claims: options.Settings.Claims, Tracker: options.Settings.Tracker,
			Requests: options.Settings.Requests, SnapshotEvery: options.Settings.SnapshotEvery,
		}),
		inputs:  buffer.New[input](eventRing),
		calls:   make(map[uint64]*pendingCall),
		settles: make(map[string]chan signaller.Settled),
		words:   make(map[uint64]chan bool),
	}
	r.appends = appender.New(appender.Options{
		Log: options.Log, Clock: options.Clock, Logger: options.Logger, Core: r, Self: self,
		Batch: options.Settings.AppendBatch,
	})
	r.links = linker.New(linker.Options{Workers: options.Workers, Clock: options.Clock, Core: r})
	r.reads = follower.New(follower.Options{
		Log: options.Log, List: options.List, Clock: options.Clock, Logger: options.Logger, Core: r,
		DataCentre: options.Settings.DataCentre, Listed: r.updatePeers,
	})
	r.routes.Store(&Routes{})
	r.handlePeers()
	return r
}

// Self returns the identity of this life of the host.
func (r *Runner) Self() descriptor.HostID { return r.self }

// Run runs all duties until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	duties := []func(context.Context){
		r.decide, r.tick, r.reads.FollowConfig, r.reads.FollowLocal, r.reads.List, r.greetPeers,
		r.appends.Run, r.links.Run,
	}
	var group sync.WaitGroup
	for _, duty := range duties {
		group.Go(func() { duty(ctx) })
	}
	group.Wait()
}

// Offer hands an event to the core. It reports false, and drops the event, where there is
// no room.
func (r *Runner) Offer(event signaller.Event) bool {
	ok := r.inputs.Offer(input{event: event})
	if !ok {
		r.dropped.Add(1)
	}
	return ok
}

// Put hands an event to the core, waiting for room; for events that must not be lost.
func (r *Runner) Put(ctx context.Context, event signaller.Event) bool {
	return r.inputs.Put(ctx, input{event: event})
}

// Counts returns the totals.
func (r *Runner) Counts() Counts {
	return Counts{
		Events: r.events.Load(), DroppedEvents: r.dropped.Load(), Starts: r.links.Starts(),
		Heartbeats: r.links.Heartbeats(), Appends: r.appends.Appends(), Reads: r.reads.Reads(),
	}
}

// Look runs a function on the core between two events. It reports false where ctx ended
// first.
func (r *Runner) Look(ctx context.Context, look func(*decider.Decider)) bool {
	done := make(chan struct{})
	isIn := r.inputs.Put(ctx, input{look: func(d *decider.Decider) {
		look(d)
		close(done)
	}})
	if !isIn {
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// decide is the duty of the core.
func (r *Runner) decide(ctx context.Context) {
	var out signaller.Outbox
	for {
		in, ok := r.inputs.Take(ctx)
		if !ok {
			return
		}
		if in.look != nil {
			in.look(r.core)
			continue
		}
		now := r.options.Clock.Now()
		if r.options.Trace != nil {
			r.options.Trace(now, in.event)
		}
		r.core.Step(now, in.event, &out)
		for _, action := range out.Take() {
			r.carryOut(ctx, action)
		}
		r.events.Add(1)
		r.publishRoutes(in.event)
	}
}

func (r *Runner) tick(ctx context.Context) {
	ticker := r.options.Clock.NewTicker(tickTime)
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

// carryOut hands an action to the duty that it belongs to.
func (r *Runner) carryOut(ctx context.Context, action signaller.Action) {
	switch a := action.(type) {
	case signaller.Answer:
		r.answer(a)
	case signaller.AnswerDispatcher:
		r.answerWord(a.Ref, a.Ended)
	case signaller.AnswerHeir:
		r.answerWord(a.Ref, a.OK)
	case signaller.Append:
		r.appends.Add(ctx, a)
	case signaller.AskDispatcher:
		go r.askDispatcher(ctx, a)
	case signaller.AskHeir:
		go r.askHeir(ctx, a)
	case signaller.AskLoad:
		go r.askLoad(ctx, a)
	case signaller.AskOutcome:
		go r.askOutcome(ctx, a)
	case signaller.Dispatch:
		go r.dispatch(ctx, a)
	case signaller.Report:
		r.report(a)
	case signaller.SaveSnapshot:
		r.appends.Save(ctx, a)
	case signaller.SendHeartbeat, signaller.SendStart, signaller.SendStop, signaller.SendThrottle:
		r.links.Send(a)
	case signaller.Settled:
		r.settled(a)
	}
}

func (r *Runner) report(a signaller.Report) {
	fields := make([]zap.Field, 0, len(a.Fields))
	for name, value := range a.Fields {
		fields = append(fields, zap.String(name, value))
	}
	r.options.Logger.Info("core: "+a.Text, fields...)
}

func (r *Runner) settled(a signaller.Settled) {
	r.mu.Lock()
	waiting, found := r.settles[a.RecordID]
	delete(r.settles, a.RecordID)
	r.mu.Unlock()
	if found {
		waiting <- a
	}
}

func (r *Runner) answerWord(ref uint64, ok bool) {
	r.mu.Lock()
	waiting, found := r.words[ref]
	delete(r.words, ref)
	r.mu.Unlock()
	if found {
		waiting <- ok
	}
}

// ask hands a peer's question to the core and waits for its word.
func (r *Runner) ask(ctx context.Context, event func(ref uint64) signaller.Event) bool {
	ref := r.nextRef.Add(1)
	word := make(chan bool, 1)
	r.mu.Lock()
	r.words[ref] = word
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.words, ref)
		r.mu.Unlock()
	}()
	if !r.Put(ctx, event(ref)) {
		return false
	}
	select {
	case ok := <-word:
		return ok
	case <-ctx.Done():
		return false
	}
}

// Leave tells the core to finish what it has and to release its shards.
func (r *Runner) Leave(ctx context.Context) {
	r.Put(ctx, signaller.Left{})
}
