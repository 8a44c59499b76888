package runner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/container/buffer"
	"lentilrock.example/internal/core/signaller"
	"lentilrock.example/internal/platform/connector"
	"lentilrock.example/internal/platform/messages"
)

const (
	// linkRing bounds the calls that wait for one worker.
	linkRing    = 256
	linkTimeout = time.Second
	// linkIdle is how long a link without calls is kept.
	linkIdle = time.Minute
)

// linker is the duty that calls workers: one link each, so that a slow worker holds up
// no other.
type linker struct {
	runner *Runner
	ring   *buffer.Ring[signaller.Action]
	links  map[string]*buffer.Ring[signaller.Action]
	ended  *buffer.Ring[string]
}

func newLinker(r *Runner) *linker {
	return &linker{
		runner: r,
		ring:   buffer.New[signaller.Action](eventRing),
		links:  make(map[string]*buffer.Ring[signaller.Action]),
		ended:  buffer.New[string](eventRing),
	}
}

func (l *linker) send(_ context.Context, action signaller.Action) {
	if !l.ring.Offer(action) {
		l.drop(action)
	}
}

// drop tells the core that a call was never made.
func (l *linker) drop(action signaller.Action) {
	if a, isStart := action.(signaller.SendStart); isStart {
		l.runner.offer(startAnswered(a, signaller.StartRefused, "the queue to the worker is full"))
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

// run spreads the calls over the links.
func (l *linker) run(ctx context.Context) {
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
func (l *linker) serve(ctx context.Context, name string, link *buffer.Ring[signaller.Action]) {
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

func (l *linker) call(ctx, calling context.Context, action signaller.Action) {
	workers := l.runner.options.Workers
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

func (l *linker) beat(ctx, calling context.Context, a signaller.SendHeartbeat) {
	sentAt := l.runner.options.Clock.Now()
	inventory, err := l.runner.options.Workers.Heartbeat(calling, a.Worker, a.Heartbeat)
	l.runner.count(func(c *Counts) { c.Heartbeats++ })
	if err != nil {
		l.runner.put(ctx, signaller.WorkerFailed{Worker: a.Worker.Name})
		return
	}
	l.runner.put(ctx, signaller.WorkerAnswered{Worker: a.Worker.Name, SentAt: sentAt, Inventory: inventory})
}

func (l *linker) start(ctx, calling context.Context, a signaller.SendStart) {
	err := l.runner.options.Workers.Start(calling, a.Worker, a.Start)
	l.runner.count(func(c *Counts) { c.Starts++ })
	switch {
	case err == nil:
		l.runner.put(ctx, startAnswered(a, signaller.StartTaken, ""))
	case errors.Is(err, connector.ErrNotDone):
		l.runner.put(ctx, startAnswered(a, signaller.StartRefused, err.Error()))
	default:
		l.runner.put(ctx, startAnswered(a, signaller.StartUnknown, err.Error()))
	}
}

func startAnswered(a signaller.SendStart, result signaller.StartResult, reason string) signaller.StartAnswered {
	return signaller.StartAnswered{
		Attempt: messages.AttemptID{Task: a.Start.Task, Attempt: a.Start.Attempt},
		Worker:  a.Worker.Name, Result: result, Reason: reason,
	}
}
