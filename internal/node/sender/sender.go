// Package sender sends calls to workers. Each worker has a queue and a goroutine of its own, so
// that a slow worker does not delay the calls to others.
//
// # Usage
//
//	l := sender.New(sender.Options{Workers: workers, Clock: clock, Core: core})
//	go l.Run(ctx)
//	l.Send(action)
package sender

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
	// callQueueSize bounds the calls that are not yet assigned to a worker's queue.
	callQueueSize = 16_384
	// workerQueueSize bounds the queued calls to one worker.
	workerQueueSize = 256
	callTimeout     = time.Second
	// workerIdleTimeout is how long the goroutine of a worker waits for a call before it ends.
	workerIdleTimeout = time.Minute
)

// Core receives the events that the sender produces.
type Core interface {
	// Offer queues an event without blocking; it returns false if the queue is full.
	Offer(event signaller.Event) bool
	// Put queues an event and blocks while the queue is full; it returns false if ctx ends.
	Put(ctx context.Context, event signaller.Event) bool
}

// Options supply the dependencies of a Sender.
type Options struct {
	Workers connector.Workers
	Clock   clockwork.Clock
	Core    Core
}

// Sender distributes calls to the queues of the workers.
type Sender struct {
	options Options
	calls   *buffer.Ring[signaller.Action]
	// workerQueues maps the names of workers to their queues; only Run uses it.
	workerQueues map[string]*buffer.Ring[signaller.Action]
	// idleWorkers holds the names of workers whose goroutine has ended.
	idleWorkers *buffer.Ring[string]
	starts      atomic.Uint64
	heartbeats  atomic.Uint64
}

// New returns a sender without queued calls; Run starts it.
func New(options Options) *Sender {
	return &Sender{
		options:      options,
		calls:        buffer.New[signaller.Action](callQueueSize),
		workerQueues: make(map[string]*buffer.Ring[signaller.Action]),
		idleWorkers:  buffer.New[string](callQueueSize),
	}
}

// Starts returns the number of task starts sent to workers.
func (l *Sender) Starts() uint64 { return l.starts.Load() }

// Heartbeats returns the number of heartbeats sent to workers.
func (l *Sender) Heartbeats() uint64 { return l.heartbeats.Load() }

// Send queues a call to a worker. If the queue is full, the call is dropped; for a start, the
// core receives StartAnswered with StartRefused.
func (l *Sender) Send(action signaller.Action) {
	if !l.calls.Offer(action) {
		l.drop(action)
	}
}

// drop notifies the core that a start was never sent. Other calls are dropped without notice.
func (l *Sender) drop(action signaller.Action) {
	if a, isStart := action.(signaller.SendStart); isStart {
		l.options.Core.Offer(toStartAnswered(a, signaller.StartRefused, "the queue to the worker is full"))
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

// Run distributes the queued calls to the queues of the workers until ctx ends.
func (l *Sender) Run(ctx context.Context) {
	for {
		action, ok := l.calls.Take(ctx)
		if !ok {
			return
		}
		for name, found := l.idleWorkers.Poll(); found; name, found = l.idleWorkers.Poll() {
			delete(l.workerQueues, name)
		}
		name := workerOf(action).Name
		queue, found := l.workerQueues[name]
		if !found {
			queue = buffer.New[signaller.Action](workerQueueSize)
			l.workerQueues[name] = queue
			go l.runWorkerQueue(ctx, name, queue)
		}
		if !queue.Offer(action) {
			l.drop(action)
		}
	}
}

// runWorkerQueue sends the queued calls to one worker in order and ends when the queue stays
// empty for workerIdleTimeout.
func (l *Sender) runWorkerQueue(ctx context.Context, name string, queue *buffer.Ring[signaller.Action]) {
	for {
		waitCtx, cancel := context.WithTimeout(ctx, workerIdleTimeout)
		action, ok := queue.Take(waitCtx)
		cancel()
		if !ok {
			l.idleWorkers.Put(ctx, name)
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		l.sendToWorker(ctx, callCtx, action)
		cancel()
	}
}

// sendToWorker makes one call to a worker. callCtx bounds the call, ctx the delivery of its result to the
// core.
func (l *Sender) sendToWorker(ctx, callCtx context.Context, action signaller.Action) {
	workers := l.options.Workers
	switch a := action.(type) {
	case signaller.SendHeartbeat:
		l.sendHeartbeat(ctx, callCtx, a)
	case signaller.SendStart:
		l.sendStart(ctx, callCtx, a)
	case signaller.SendStop:
		// The next inventory shows whether the worker received the stop; otherwise the core
		// sends it again.
		_ = workers.Stop(callCtx, a.Worker, a.Stop)
	case signaller.SendThrottle:
		// The next usage report shows whether the worker received the throttle.
		_ = workers.Throttle(callCtx, a.Worker, a.Throttle)
	}
}

// sendHeartbeat renews the leases of a worker and passes the inventory in its reply to the core.
func (l *Sender) sendHeartbeat(ctx, callCtx context.Context, a signaller.SendHeartbeat) {
	sentAt := l.options.Clock.Now()
	inventory, err := l.options.Workers.Heartbeat(callCtx, a.Worker, a.Heartbeat)
	l.heartbeats.Add(1)
	if err != nil {
		l.options.Core.Put(ctx, signaller.WorkerFailed{Worker: a.Worker.Name})
		return
	}
	l.options.Core.Put(ctx, signaller.WorkerAnswered{Worker: a.Worker.Name, SentAt: sentAt, Inventory: inventory})
}

// sendStart starts a task on a worker. An error that does not rule out that the worker received
// the start is passed on as StartUnknown.
func (l *Sender) sendStart(ctx, callCtx context.Context, a signaller.SendStart) {
	err := l.options.Workers.Start(callCtx, a.Worker, a.Start)
	l.starts.Add(1)
	switch {
	case err == nil:
		l.options.Core.Put(ctx, toStartAnswered(a, signaller.StartTaken, ""))
	case errors.Is(err, connector.ErrNoEffect):
		l.options.Core.Put(ctx, toStartAnswered(a, signaller.StartRefused, err.Error()))
	default:
		l.options.Core.Put(ctx, toStartAnswered(a, signaller.StartUnknown, err.Error()))
	}
}

func toStartAnswered(a signaller.SendStart, result signaller.StartResult, reason string) signaller.StartAnswered {
	return signaller.StartAnswered{
		Attempt: messages.AttemptID{Task: a.Start.Task, Attempt: a.Start.Attempt},
		Worker:  a.Worker.Name, Result: result, Reason: reason,
	}
}
