// Package holder runs the control loops of the host that holds the claim. The claim is the
// record in the log that makes one host the leader of the cell; its epoch is the fencing token
// of all orders and appends. The holder ticks the dispatcher, sends its orders, polls the
// workers and persists the progress of jobs.
//
// # Usage
//
//	h := holder.New(holder.Options{Epoch: claim.Epoch, Update: update, Store: store, Workers: workers})
//	h.Run(ctx)
//	h.ScheduleTick()
package holder

import (
	"context"
	"iter"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"lentilrock.example/internal/container/buffer"
	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/dispatcher"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/node/pauser"
)

const (
	// heartbeatInterval is how often a holder without other records to append writes a heartbeat.
	heartbeatInterval = 400 * time.Millisecond
	// tickInterval is how long the dispatcher waits for an event before it ticks anyway.
	tickInterval = 30 * time.Millisecond
	// minTickPause is the shortest pause after a tick, so that one tick handles events that
	// arrive close together. The pause grows to tickPauseFactor times the duration of the tick,
	// which leaves most of a busy host's processor to sending orders.
	minTickPause    = 3 * time.Millisecond
	tickPauseFactor = 4
	// maxTickPause bounds the pause after a tick.
	maxTickPause = 40 * time.Millisecond
	// saveDelay is how long progress is collected for one append.
	saveDelay = 15 * time.Millisecond
	// maxAppendBytes bounds the records of an append, apart from a submission of at most MaxSubmissionBytes at its
	// end. The store accepts 2 MiB.
	maxAppendBytes = 1 << 20
	// saveTimeout bounds an append; after it, an append of progress is retried.
	saveTimeout = 1500 * time.Millisecond
	// saveRetryPause is the pause before a failed append of progress is retried.
	saveRetryPause = 100 * time.Millisecond
	// pollRetryPause is the pause after a poll that the worker did not accept or reply to.
	pollRetryPause = 200 * time.Millisecond
	// endedRunsPause is the pause after a poll that lists results of ended runs, so that they are
	// persisted, and acknowledged in the next poll.
	endedRunsPause = 45 * time.Millisecond
	// pollTimeoutMargin is added to the wait of a poll to get its timeout.
	pollTimeoutMargin = 600 * time.Millisecond
	// appendValidity is how long after a successful append the store counts as reachable. It
	// allows for the pause before the next append and for that append at a slow store.
	appendValidity = 1200 * time.Millisecond
	// maxFailingTime is how long the store may refuse the holder's appends, or reset their connections,
	// before another host should claim the cell.
	maxFailingTime = 400 * time.Millisecond
	// purgeInterval is how often the records of jobs that ended long ago are removed.
	purgeInterval = 5 * time.Second
	// machineListInterval is how often the machines are listed while a wave of upkeep, a rolling
	// maintenance, is open.
	machineListInterval = time.Second
	// machineTimeout bounds a list of all machines.
	machineTimeout = 2 * time.Second
	// machineOrderTimeout bounds an order about a machine and a report on a wave. With confirmer.Validity
	// before it, such an order arrives before a successor sends its first one, 3 s after its claim.
	machineOrderTimeout = 1500 * time.Millisecond
	// orderTimeout bounds an order to a worker, except a start, which has its own timeout.
	orderTimeout = 500 * time.Millisecond
)

// Workers sends orders to workers and returns their verdicts. Poll requests the inventory of a worker;
// Pace limits the speed of a run.
type Workers interface {
	Poll(ctx context.Context, poll orderer.Poll) (orderer.Inventory, orderer.Verdict)
	Pace(ctx context.Context, pace orderer.Pace) orderer.Verdict
	Start(ctx context.Context, start orderer.Start) orderer.Verdict
	Stop(ctx context.Context, stop orderer.Stop) orderer.Verdict
}

// Machines lists the platform's machines and sends orders about them.
type Machines interface {
	List(ctx context.Context) ([]describer.Machine, error)
	// ReportWave publishes the progress of a wave for operators.
	ReportWave(ctx context.Context, report orderer.WaveReport) error
	Upkeep(ctx context.Context, order orderer.Upkeep) orderer.UpkeepVerdict
}

// Options configure a holder.
type Options struct {
	// Epoch is the epoch of the claim, which fences the holder's appends.
	Epoch int64
	Store storer.Store
	// Appender appends records under the claim. It may repeat an append whose reply is late.
	Appender storer.Appender
	Workers  Workers
	// Machines may be nil on a platform without machine maintenance.
	Machines Machines
	Clock    clockwork.Clock
	Logger   *zap.Logger
	// Update calls change with the dispatcher under the host's lock. It returns false, without
	// calling change, once the holder no longer has the claim.
	Update func(h *Holder, change func(now time.Time, d *dispatcher.Dispatcher)) bool
	// OnFenced is called within Update when a worker or the store has accepted a later holder.
	OnFenced func(reason string)
	// OnAppended is called after a successful append, with its records and the offset of the first.
	OnAppended func(records []journaler.Record, offset int64)
	// StoreReplies asks the store for a reply. It is called while an append has had none for long.
	StoreReplies func(ctx context.Context) bool
	// RequestAdvice asks the advice service which workers may run a step.
	RequestAdvice func(ctx context.Context, request orderer.AdviceRequest) (orderer.Advice, error)
}

// Holder runs the control loops of a host for one claim.
type Holder struct {
	options        Options
	cancel         context.CancelFunc
	tickWaker      pauser.Waker
	saveWaker      pauser.Waker
	appendSequence int64
	// polled has the IDs of the workers that have a poll loop; guarded by Options.Update.
	polled map[string]bool
	// submissions are the submissions that wait to be appended.
	submissions *buffer.Ring[*submission]
	// repeated are taken submissions that repeat one of the batch before, for the next one. Only saveProgress uses it.
	repeated []*submission
	// saveStopped is closed when saveProgress has returned.
	saveStopped chan struct{}

	mu sync.Mutex
	// appendedAt is when the last append succeeded, or when the holder was created.
	// failingSince is when the first append after that failed; zero if none did.
	// appendingSince is when the append in flight was first sent; zero if there is none.
	appendedAt     time.Time
	failingSince   time.Time
	appendingSince time.Time
}

// New returns a holder that is idle until Run.
func New(options Options) *Holder {
	return &Holder{
		options: options, tickWaker: pauser.NewWaker(), saveWaker: pauser.NewWaker(),
		polled: make(map[string]bool), appendedAt: options.Clock.Now(),
		submissions: buffer.New[*submission](submissionQueueSize), saveStopped: make(chan struct{}),
	}
}

// Epoch returns the epoch of the claim.
func (h *Holder) Epoch() int64 { return h.options.Epoch }

// HasStoreAccess reports whether the store has recently accepted this holder's appends. If the
// store refuses only this host, another host should take over.
func (h *Holder) HasStoreAccess() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.options.Clock.Now()
	isFailing := !h.failingSince.IsZero() && now.Sub(h.failingSince) > maxFailingTime
	return !isFailing && now.Sub(h.appendedAt) < appendValidity
}

// recordAppending records since when an append is in flight; the zero time means that none is.
func (h *Holder) recordAppending(since time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.appendingSince = since
}

// recordAppend records the result of an append for HasStoreAccess.
func (h *Holder) recordAppend(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.options.Clock.Now()
	switch {
	case err == nil:
		if !h.failingSince.IsZero() {
			h.options.Logger.Info("claim: Appends under the claim succeed again.", zap.Int64("epoch", h.options.Epoch), zap.Duration("failed_for", now.Sub(h.failingSince)))
		}
		h.appendedAt, h.failingSince = now, time.Time{}
	case h.failingSince.IsZero():
		h.failingSince = now
		h.options.Logger.Warn("claim: Appends under the claim fail. They are repeated.", zap.Int64("epoch", h.options.Epoch), zap.String("error", err.Error()))
	}
}

// Run starts the holder's background loops, which stop when ctx ends or Cancel is called.
func (h *Holder) Run(ctx context.Context) {
	ctx, h.cancel = context.WithCancel(ctx)
	go h.runDispatcher(ctx)
	go h.saveProgress(ctx)
	go h.purgeJobs(ctx)
	if h.options.Machines != nil {
		go h.listMachines(ctx)
	}
	h.ScheduleTick()
}

// Cancel stops the background loops.
func (h *Holder) Cancel() { h.cancel() }

// ScheduleTick triggers a tick of the dispatcher without waiting for the tick interval.
func (h *Holder) ScheduleTick() { h.tickWaker.Wake() }

func (h *Holder) update(change func(now time.Time, d *dispatcher.Dispatcher)) bool {
	return h.options.Update(h, change)
}

// runDispatcher ticks the dispatcher, sends its orders, and starts a poll loop for each new
// worker.
func (h *Holder) runDispatcher(ctx context.Context) {
	clock := h.options.Clock
	for ctx.Err() == nil {
		h.tickWaker.Pause(ctx, clock, tickInterval)
		tickStart := clock.Now()
		var orders []dispatcher.Order
		var hasProgress, isFenced bool
		var newWorkers []string
		h.update(func(now time.Time, d *dispatcher.Dispatcher) {
			d.Tick(now)
			orders = d.TakeOrders()
			hasProgress, isFenced = d.HasProgress() || d.NeedsConfirmation(), d.IsFenced()
			newWorkers = h.unpolledWorkers(d)
			if isFenced {
				h.options.OnFenced("A worker has accepted the fencing token of a later holder.")
			}
		})
		if isFenced {
			return
		}
		for _, id := range newWorkers {
			go h.pollWorker(ctx, id)
		}
		for _, order := range orders {
			go h.sendOrder(ctx, order)
		}
		if hasProgress {
			h.saveWaker.Wake()
		}
		pauser.Pause(ctx, clock, min(max(minTickPause, tickPauseFactor*clock.Since(tickStart)), maxTickPause))
	}
}

// unpolledWorkers returns the workers without a poll loop and marks them as polled.
func (h *Holder) unpolledWorkers(d *dispatcher.Dispatcher) []string {
	var ids []string
	for id := range d.WorkerIDs() {
		if !h.polled[id] {
			h.polled[id] = true
			ids = append(ids, id)
		}
	}
	return ids
}

// pollWorker polls a worker until the dispatcher no longer lists it.
func (h *Holder) pollWorker(ctx context.Context, id string) {
	for ctx.Err() == nil {
		var poll orderer.Poll
		isKnown := false
		h.update(func(now time.Time, d *dispatcher.Dispatcher) {
			poll, isKnown = d.NextPoll(now, id)
			if !isKnown {
				delete(h.polled, id)
			}
		})
		if !isKnown {
			return
		}
		pollCtx, cancel := context.WithTimeout(ctx, poll.Wait+pollTimeoutMargin)
		inventory, verdict := h.options.Workers.Poll(pollCtx, poll)
		cancel()
		h.update(func(now time.Time, d *dispatcher.Dispatcher) { d.PollAnswered(now, poll, inventory, verdict) })
		h.ScheduleTick()
		switch {
		case verdict != orderer.Accepted:
			pauser.Pause(ctx, h.options.Clock, pollRetryPause)
		case len(inventory.Results) > 0:
			// The worker replies at once while it lists results that are not acknowledged.
			pauser.Pause(ctx, h.options.Clock, endedRunsPause)
		}
	}
}

// sendOrder sends an order and passes the verdict to the dispatcher.
func (h *Holder) sendOrder(ctx context.Context, order dispatcher.Order) {
	workers := h.options.Workers
	timeout := orderTimeout
	switch o := order.(type) {
	case orderer.AdviceRequest:
		h.requestAdvice(ctx, o)
		return
	case orderer.Upkeep, orderer.WaveReport:
		h.sendMachineOrder(ctx, o)
		return
	case orderer.Start:
		timeout = o.Timeout
	}
	orderCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	switch o := order.(type) {
	case orderer.Poll:
		inventory, verdict := workers.Poll(orderCtx, o)
		h.update(func(now time.Time, d *dispatcher.Dispatcher) { d.PollAnswered(now, o, inventory, verdict) })
	case orderer.Pace:
		verdict := workers.Pace(orderCtx, o)
		h.update(func(now time.Time, d *dispatcher.Dispatcher) { d.PaceAnswered(now, o, verdict) })
	case orderer.Start:
		verdict := workers.Start(orderCtx, o)
		h.update(func(now time.Time, d *dispatcher.Dispatcher) { d.StartAnswered(now, o, verdict) })
	case orderer.Stop:
		verdict := workers.Stop(orderCtx, o)
		h.update(func(now time.Time, d *dispatcher.Dispatcher) { d.StopAnswered(now, o, verdict) })
	}
	h.ScheduleTick()
}

// saveProgress appends submissions and progress to the log, or a heartbeat if there is neither.
func (h *Holder) saveProgress(ctx context.Context) {
	defer close(h.saveStopped)
	clock := h.options.Clock
	for ctx.Err() == nil {
		isWoken := h.saveWaker.Pause(ctx, clock, heartbeatInterval)
		if isWoken {
			pauser.Pause(ctx, clock, saveDelay)
		}
		var submissions []*submission
		var records []journaler.Record
		batch := int64(0)
		isHolder := h.update(func(_ time.Time, d *dispatcher.Dispatcher) {
			submissions, records = h.takeSubmissions(d)
			if d.HasProgress() || !isWoken && d.HasOutdatedProgress() {
				var progress []journaler.Record
				progress, batch = d.TakeProgress()
				records = append(records, progress...)
			}
		})
		if !isHolder || ctx.Err() != nil {
			return
		}
		if len(records) == 0 {
			heartbeat, err := journaler.NewHeartbeat(journaler.Heartbeat{Epoch: h.options.Epoch})
			if err != nil {
				h.options.Logger.Error("claim: Encoding a heartbeat failed; none is appended.", zap.String("error", err.Error()))
				continue
			}
			records = []journaler.Record{heartbeat}
		}
		rejected := make(map[string]bool)
		for part := range appendParts(records) {
			if !h.persist(ctx, part, rejected) {
				return
			}
		}
		h.update(func(now time.Time, d *dispatcher.Dispatcher) {
			// Results in progress that is not persisted must not be acknowledged: the batch becomes durable with
			// the next one, which has the outcome of these jobs.
			if !d.FailRejected(now, rejected) {
				d.MarkDurable(batch)
			}
		})
		for _, s := range submissions {
			if rejected[s.record.Key] {
				s.reply <- errors.Errorf("submit job %s: %w", s.id, storer.ErrRefused)
				continue
			}
			s.reply <- nil
		}
	}
}

// persist appends records and applies them. It returns false if the holder can append no more. Records that
// the store does not take by themselves are left out, so that they hold up no others, and their keys are added
// to rejected. A roster is not left out: its workers must not get tasks before it is durable.
func (h *Holder) persist(ctx context.Context, records []journaler.Record, rejected map[string]bool) bool {
	offset, err := h.appendFenced(ctx, records)
	switch {
	case err == nil:
		h.options.OnAppended(records, offset)
		return true
	case !errors.Is(err, storer.ErrInvalid):
		return false
	case len(records) > 1:
		half := len(records) / 2
		return h.persist(ctx, records[:half], rejected) && h.persist(ctx, records[half:], rejected)
	}
	h.options.Logger.Error("claim: The store does not take a record. It is left out.", zap.String("key", records[0].Key),
		zap.Int("bytes", len(records[0].Value)), zap.String("error", err.Error()))
	rejected[records[0].Key] = true
	return true
}

// appendParts returns the records in parts that the store accepts in one append each. A submission stays
// beside the record before it, the beginning of its progress.
func appendParts(records []journaler.Record) iter.Seq[[]journaler.Record] {
	return func(yield func([]journaler.Record) bool) {
		begin, size := 0, 0
		for i, r := range records {
			_, isSubmission := journaler.JobOf(r)
			if size += len(r.Key) + len(r.Value); size > maxAppendBytes && i > begin && !isSubmission {
				if !yield(records[begin:i]) {
					return
				}
				begin, size = i, len(r.Key)+len(r.Value)
			}
		}
		yield(records[begin:])
	}
}

// purgeJobs removes the records of jobs that ended long ago. A job's submission is removed
// before its progress record, so that no host reads a submission without the outcome and runs the
// job again.
func (h *Holder) purgeJobs(ctx context.Context) {
	for ctx.Err() == nil {
		pauser.Pause(ctx, h.options.Clock, purgeInterval)
		var ids []describer.JobID
		h.update(func(now time.Time, d *dispatcher.Dispatcher) { ids = d.RemovableJobs(now) })
		if len(ids) == 0 {
			continue
		}
		var records []journaler.Record
		for _, id := range ids {
			records = append(records, journaler.RemoveJob(id)...)
		}
		appendCtx, cancel := context.WithTimeout(ctx, saveTimeout)
		offset, err := h.options.Store.Append(appendCtx, storer.Append{Topic: storer.Jobs, Records: records})
		cancel()
		if err != nil {
			h.options.Logger.Info("history: Removing the records of ended jobs failed; retrying at the next purge.",
				zap.Int("jobs", len(ids)), zap.String("error", err.Error()))
			continue
		}
		h.options.OnAppended(records, offset)
		h.update(func(_ time.Time, d *dispatcher.Dispatcher) { d.JobsRemoved(ids) })
	}
}

// appendFenced appends records with the claim's epoch and retries until they are persisted. It returns an
// error if a later holder has appended, ctx ends or the store does not take the records (storer.ErrInvalid),
// unless they are a roster. A retry has the same sequence number, so an append whose reply was lost takes
// effect only once.
func (h *Holder) appendFenced(ctx context.Context, records []journaler.Record) (int64, error) {
	h.appendSequence++
	call := storer.Append{Topic: storer.Claims, Records: records, Epoch: h.options.Epoch, Sequence: h.appendSequence}
	isRoster := len(records) == 1 && journaler.IsRoster(records[0])
	sentAt, mayHaveTakenEffect := h.options.Clock.Now(), false
	h.recordAppending(sentAt)
	defer h.recordAppending(time.Time{})
	for ctx.Err() == nil {
		appendCtx, cancel := context.WithTimeout(ctx, saveTimeout)
		offset, err := h.options.Appender.Append(appendCtx, call)
		cancel()
		h.recordAppend(err)
		switch {
		case err == nil:
			h.update(func(_ time.Time, d *dispatcher.Dispatcher) { d.Confirm(sentAt) })
			return offset, nil
		case errors.Is(err, storer.ErrFenced):
			h.update(func(time.Time, *dispatcher.Dispatcher) {
				h.options.OnFenced("The store has accepted an append of a later holder.")
			})
			return 0, errors.Wrap(err, "append under the claim")
		case errors.Is(err, storer.ErrInvalid) && !isRoster:
			h.appendSequence--
			return 0, errors.Wrap(err, "append under the claim")
		}
		pauser.Pause(ctx, h.options.Clock, saveRetryPause)
		// The attempt that takes effect may be any one that was not refused, and a successor may claim the cell after it.
		if mayHaveTakenEffect = mayHaveTakenEffect || !errors.Is(err, storer.ErrRefused); !mayHaveTakenEffect {
			sentAt = h.options.Clock.Now()
		}
	}
	return 0, errors.Wrap(ctx.Err(), "append under the claim")
}

// Release marks the claim as released after the holder's last append has ended, so that another
// host takes over at once. The release is fenced by the epoch like other appends, so it never
// overwrites a later claim. The last records of the holder come before it in the same append.
func (h *Holder) Release(ctx context.Context, claim journaler.Claim, last []journaler.Record) {
	select {
	case <-h.saveStopped:
	case <-ctx.Done():
		return
	}
	claim.Released = true
	record, err := journaler.NewClaim(claim)
	if err != nil {
		h.options.Logger.Error("claim: Encoding the release failed; the claim stays in force.", zap.String("error", err.Error()))
		return
	}
	call := storer.Append{Topic: storer.Claims, Records: append(last, record), Epoch: h.options.Epoch, Sequence: h.appendSequence + 1}
	if _, err := h.options.Appender.Append(ctx, call); err != nil {
		h.options.Logger.Warn("claim: Appending the release failed; other hosts may have to wait for the heartbeat timeout.",
			zap.Int64("epoch", h.options.Epoch), zap.String("error", err.Error()))
	}
}

// requestAdvice queries the advice service and passes its reply to the dispatcher.
func (h *Holder) requestAdvice(ctx context.Context, request orderer.AdviceRequest) {
	reply, err := h.options.RequestAdvice(ctx, request)
	if err != nil && ctx.Err() == nil {
		h.options.Logger.Warn("advice: The request failed; the dispatcher gets no advice for the step.",
			zap.String("step", request.Step.String()), zap.String("error", err.Error()))
	}
	h.update(func(now time.Time, d *dispatcher.Dispatcher) { d.AdviceAnswered(now, request, reply, err == nil) })
	h.ScheduleTick()
}
