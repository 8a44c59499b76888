// Package linker calls the workers: one link each, so that a slow worker holds up no other.
//
// # Usage
//
//	l := linker.New(linker.Options{Workers: workers, Clock: clock, Core: core})
//	go l.Run(ctx)
//	l.Send(action)
package linker

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/container/buffer"
	"lentilrock.example/internal/core/signaller"
	"lentilrock.example/internal/platform/connector"
	"lentilrock.example/internal/platform/messages"
)

const (
	// callRing bounds the calls that wait to be spread.
	callRing = 16_384
	// linkRing bounds the calls that wait for one worker.
	linkRing    = 256
	linkTimeout = time.Second
	// linkIdle is how long a link without calls is kept.
	linkIdle = time.Minute
)

// Core takes events.
type Core interface {
	// Offer hands over an event, or reports false where there is no room.
	Offer(event signaller.Event) bool
	// Put hands over an event, waiting for room.
	Put(ctx context.Context, event signaller.Event) bool
}

// Options are what a linker works with.
type Options struct {
	Workers connector.Workers
	Clock   clockwork.Clock
	Core    Core
}

// Linker is the duty that calls workers.
type Linker struct {
	options    Options
	ring       *buffer.Ring[signaller.Action]
	links      map[string]*buffer.Ring[signaller.Action]
	ended      *buffer.Ring[string]
	starts     atomic.Uint64
	heartbeats atomic.Uint64
}

// New returns a linker without links.
func New(options Options) *Linker {
	return &Linker{
		options: options,
		ring:    buffer.New[signaller.Action](callRing),
		links:   make(map[string]*buffer.Ring[signaller.Action]),
		ended:   buffer.New[string](callRing),
	}
}

// Starts returns how many starts were sent.
func (l *Linker) Starts() uint64 { return l.starts.Load() }

// Heartbeats returns how many heartbeats were sent.
func (l *Linker) Heartbeats() uint64 { return l.heartbeats.Load() }

// Send queues a call to a worker; where there is no room, the core hears that a start was
// never sent.
func (l *Linker) Send(action signaller.Action) {
	if !l.ring.Offer(action) {
		l.drop(action)
	}
}

// drop tells the core that a call was never made.
func (l *Linker) drop(action signaller.Action) {
	if a, isStart := action.(signaller.SendStart); isStart {
		l.options.Core.Offer(startAnswered(a, signaller.StartRefused, "the queue to the worker is full"))
	}
}

func workerOf(action signaller.Action) descriptor.Host {
	switch a := action.(type) {
	case signaller.SendHeartbeat:
		return a.Worker
	case signaller.SendStart:
		return a.Worker
	case signaller.SendStop:
		return a.Worker
	case signaller.SendThrottle:
		return a.Worker
	}
	return descriptor.Host{}
}

// Run spreads the calls over the links until ctx ends.
func (l *Linker) Run(ctx context.Context) {
	for {
		action, ok := l.ring.Take(ctx)
		if !ok {
			return
		}
		for name, found := l.ended.Poll(); found; name, found = l.ended.Poll() {
			delete(l.links, name)
		}
		name := workerOf(action).Name
		link, found := l.links[name]
		if !found {
			link = buffer.New[signaller.Action](linkRing)
			l.links[name] = link
			go l.serve(ctx, name, link)
		}
		if !link.Offer(action) {
			l.drop(action)
		}
	}
}

// serve makes the calls to one worker, in order.
func (l *Linker) serve(ctx context.Context, name string, link *buffer.Ring[signaller.Action]) {
	for {
		waiting, cancel := context.WithTimeout(ctx, linkIdle)
		action, ok := link.Take(waiting)
		cancel()
		if !ok {
			l.ended.Put(ctx, name)
			return
		}
		calling, cancel := context.WithTimeout(ctx, linkTimeout)
		l.call(ctx, calling, action)
		cancel()
	}
}

func (l *Linker) call(ctx, calling context.Context, action signaller.Action) {
	workers := l.options.Workers
	switch a := action.(type) {
	case signaller.SendHeartbeat:
		l.beat(ctx, calling, a)
	case signaller.SendStart:
		l.start(ctx, calling, a)
	case signaller.SendStop:
		// The inventory tells whether the stop came through; it is sent again if not.
		_ = workers.Stop(calling, a.Worker, a.Stop)
	case signaller.SendThrottle:
		// The use that is reported next tells whether the throttle came through.
		_ = workers.Throttle(calling, a.Worker, a.Throttle)
	}
}

func (l *Linker) beat(ctx, calling context.Context, a signaller.SendHeartbeat) {
	sentAt := l.options.Clock.Now()
	inventory, err := l.options.Workers.Heartbeat(calling, a.Worker, a.Heartbeat)
	l.heartbeats.Add(1)
	if err != nil {
		l.options.Core.Put(ctx, signaller.WorkerFailed{Worker: a.Worker.Name})
		return
	}
	l.options.Core.Put(ctx, signaller.WorkerAnswered{Worker: a.Worker.Name, SentAt: sentAt, Inventory: inventory})
}

func (l *Linker) start(ctx, calling context.Context, a signaller.SendStart) {
	err := l.options.Workers.Start(calling, a.Worker, a.Start)
	l.starts.Add(1)
	switch {
	case err == nil:
		l.options.Core.Put(ctx, startAnswered(a, signaller.StartTaken, ""))
	case errors.Is(err, connector.ErrNotDone):
		l.options.Core.Put(ctx, startAnswered(a, signaller.StartRefused, err.Error()))
	default:
		l.options.Core.Put(ctx, startAnswered(a, signaller.StartUnknown, err.Error()))
	}
}

func startAnswered(a signaller.SendStart, result signaller.StartResult, reason string) signaller.StartAnswered {
	return signaller.StartAnswered{
		Attempt: messages.AttemptID{Task: a.Start.Task, Attempt: a.Start.Attempt},
		Worker:  a.Worker.Name, Result: result, Reason: reason,
	}
}
