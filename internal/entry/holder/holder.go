// Package holder runs what a host does while it holds the claim: it lets the dispatcher
// decide, carries its orders to the workers, looks after them and keeps the progress.
//
// # Usage
//
//	h := holder.New(holder.Options{Epoch: claim.Epoch, With: with, Store: store, Workers: workers})
//	h.Run(ctx)
//	h.Kick()
package holder

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/dispatcher"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/node/pauser"
)

const (
	// beatEvery is how often a holder without other records shows that it lives.
	beatEvery = 400 * time.Millisecond
	// tickEvery is how often the dispatcher looks at what is due without an event.
	tickEvery = 30 * time.Millisecond
	// tickGap gathers events that come close together, as do tickShare times what a tick took:
	// decisions then leave most of a busy host's processor to the orders.
	tickGap   = 3 * time.Millisecond
	tickShare = 4
	// maxTickGap bounds the gap.
	maxTickGap = 40 * time.Millisecond
	// saveLinger gathers progress into one append.
	saveLinger = 15 * time.Millisecond
	// saveTimeout bounds an append of progress before it is repeated.
	saveTimeout = 1500 * time.Millisecond
	// savePause separates appends that the store refuses.
	savePause = 100 * time.Millisecond
	// lookPause separates looks at a worker that does not answer.
	lookPause = 200 * time.Millisecond
	// endPause lets the ends that a worker listed be kept before the next look.
	endPause = 45 * time.Millisecond
	// lookSlack is how much longer than its wait a look may take.
	lookSlack = 600 * time.Millisecond
	// canKeepFor is how long an append vouches for the holder's way to the store: one at a slow
	// store, and the pause before it, fit in.
	canKeepFor = 1200 * time.Millisecond
	// refusedFor is how long the store may refuse the holder before another host should try.
	refusedFor = 400 * time.Millisecond
	// forgetEvery is how often the records of jobs that ended long ago are removed.
	forgetEvery = 5 * time.Second
	// machinesEvery is how often the machines are listed while a wave of upkeep is open.
	machinesEvery = time.Second
	// dutyTimeout bounds an order about a machine, or a list of all.
	dutyTimeout = 2 * time.Second
	// orderTimeout bounds an order to a worker.
	orderTimeout = 500 * time.Millisecond
)

// Workers carries orders to workers.
type Workers interface {
	Look(ctx context.Context, look orderer.Look) (orderer.Inventory, orderer.Verdict)
	Pace(ctx context.Context, pace orderer.Pace) orderer.Verdict
	Start(ctx context.Context, start orderer.Start) orderer.Verdict
	Stop(ctx context.Context, stop orderer.Stop) orderer.Verdict
}

// Machines lists the platform's machines and carries orders about them.
type Machines interface {
	List(ctx context.Context) ([]describer.Machine, error)
	// ReportWave tells operators how far a wave is.
	ReportWave(ctx context.Context, report orderer.WaveReport) error
	Upkeep(ctx context.Context, order orderer.Upkeep) orderer.DutyVerdict
}

// Options are what a holder is made from.
type Options struct {
	Epoch   int64
	Store   storer.Store
	Workers Workers
	// Machines may be nil where the platform has none to look after.
	Machines Machines
	Clock    clockwork.Clock
	Logger   *zap.Logger
	// With runs a change of the dispatcher under the host's lock; it reports false, and runs
	// nothing, once the claim is over.
	With func(h *Holder, change func(now time.Time, d *dispatcher.Dispatcher)) bool
	// Fenced is called within With when a later holder is in force.
	Fenced func(reason string)
	// Kept is told of records that were appended, with the offset of the first.
	Kept func(records []journaler.Record, offset int64)
	// Ask asks for advice.
	Ask func(ctx context.Context, asked orderer.Advise) (orderer.Advice, error)
}

// Holder is what a host runs while it holds the claim.
type Holder struct {
	options  Options
	cancel   context.CancelFunc
	wake     pauser.Waker
	saveWake pauser.Waker
	sequence int64
	// lookers are the workers that a goroutine looks after; With guards them.
	lookers map[string]bool
	saved   chan struct{}

	mu sync.Mutex
	// keptAt is when the newest append was answered; refusedSince when the store began to
	// refuse those after it, zero where it does not.
	keptAt       time.Time
	refusedSince time.Time
}

// New returns a holder that does nothing yet.
func New(options Options) *Holder {
	return &Holder{
		options: options, wake: pauser.NewWaker(), saveWake: pauser.NewWaker(),
		lookers: make(map[string]bool), keptAt: options.Clock.Now(),
		saved: make(chan struct{}),
	}
}

// Epoch returns that of the claim.
func (h *Holder) Epoch() int64 { return h.options.Epoch }

// CanKeep reports whether the store takes this holder's appends, as far as it knows. A holder
// that the store refuses alone should be replaced.
func (h *Holder) CanKeep() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.options.Clock.Now()
	isRefused := !h.refusedSince.IsZero() && now.Sub(h.refusedSince) > refusedFor
	return !isRefused && now.Sub(h.keptAt) < canKeepFor
}

// noteAppend takes in the outcome of an append.
func (h *Holder) noteAppend(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.options.Clock.Now()
	switch {
	case err == nil:
		h.keptAt, h.refusedSince = now, time.Time{}
	case errors.Is(err, storer.ErrRefused) && h.refusedSince.IsZero():
		h.refusedSince = now
	}
}

// Run begins the holder's duties, which end with ctx or Cancel.
func (h *Holder) Run(ctx context.Context) {
	ctx, h.cancel = context.WithCancel(ctx)
	go h.loop(ctx)
	go h.save(ctx)
	go h.forget(ctx)
	if h.options.Machines != nil {
		go h.listMachines(ctx)
	}
	h.Kick()
}

// Cancel ends the duties.
func (h *Holder) Cancel() { h.cancel() }

// Kick has the dispatcher look at what is due soon.
func (h *Holder) Kick() { h.wake.Wake() }

func (h *Holder) with(change func(now time.Time, d *dispatcher.Dispatcher)) bool {
	return h.options.With(h, change)
}

// loop lets the dispatcher decide and carries its orders out.
func (h *Holder) loop(ctx context.Context) {
	clock := h.options.Clock
	for ctx.Err() == nil {
		h.wake.Pause(ctx, clock, tickEvery)
		began := clock.Now()
		var orders []dispatcher.Order
		var hasProgress, isFenced bool
		var started []string
		h.with(func(now time.Time, d *dispatcher.Dispatcher) {
			d.Tick(now)
			orders = d.TakeOrders()
			hasProgress, isFenced = d.HasProgress(), d.IsFenced()
			started = h.newLookers(d)
			if isFenced {
				h.options.Fenced("A worker obeys a later holder.")
			}
		})
		if isFenced {
			return
		}
		for _, id := range started {
			go h.lookAfter(ctx, id)
		}
		for _, order := range orders {
			go h.carryOut(ctx, order)
		}
		if hasProgress {
			h.saveWake.Wake()
		}
		pauser.Pause(ctx, clock, min(max(tickGap, tickShare*clock.Since(began)), maxTickGap))
	}
}

// newLookers returns the workers that nothing looks after yet.
func (h *Holder) newLookers(d *dispatcher.Dispatcher) []string {
	var ids []string
	for id := range d.WorkerIDs() {
		if !h.lookers[id] {
			h.lookers[id] = true
			ids = append(ids, id)
		}
	}
	return ids
}

// lookAfter looks at a worker again and again until it is gone.
func (h *Holder) lookAfter(ctx context.Context, id string) {
	for ctx.Err() == nil {
		var look orderer.Look
		known := false
		h.with(func(now time.Time, d *dispatcher.Dispatcher) {
			look, known = d.NextLook(now, id)
			if !known {
				delete(h.lookers, id)
			}
		})
		if !known {
			return
		}
		looking, cancel := context.WithTimeout(ctx, look.Wait+lookSlack)
		inventory, verdict := h.options.Workers.Look(looking, look)
		cancel()
		h.with(func(now time.Time, d *dispatcher.Dispatcher) { d.Looked(now, look, inventory, verdict) })
		h.Kick()
		switch {
		case verdict != orderer.Accepted:
			pauser.Pause(ctx, h.options.Clock, lookPause)
		case len(inventory.Ended) > 0:
			// The worker answers at once while it lists ends that were not acknowledged.
			pauser.Pause(ctx, h.options.Clock, endPause)
		}
	}
}

// carryOut sends an order and reports its answer.
func (h *Holder) carryOut(ctx context.Context, order dispatcher.Order) {
	workers := h.options.Workers
	timeout := orderTimeout
	switch o := order.(type) {
	case orderer.Advise:
		h.advise(ctx, o)
		return
	case orderer.Upkeep, orderer.WaveReport:
		h.carryOutDuty(ctx, o)
		return
	case orderer.Start:
		timeout = o.Timeout
	}
	ordering, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	switch o := order.(type) {
	case orderer.Look:
		inventory, verdict := workers.Look(ordering, o)
		h.with(func(now time.Time, d *dispatcher.Dispatcher) { d.Looked(now, o, inventory, verdict) })
	case orderer.Pace:
		verdict := workers.Pace(ordering, o)
		h.with(func(now time.Time, d *dispatcher.Dispatcher) { d.PaceAnswered(now, o, verdict) })
	case orderer.Start:
		verdict := workers.Start(ordering, o)
		h.with(func(now time.Time, d *dispatcher.Dispatcher) { d.StartAnswered(now, o, verdict) })
	case orderer.Stop:
		verdict := workers.Stop(ordering, o)
		h.with(func(now time.Time, d *dispatcher.Dispatcher) { d.StopAnswered(now, o, verdict) })
	}
	h.Kick()
}

// save keeps progress in the log, and shows that the holder lives.
func (h *Holder) save(ctx context.Context) {
	defer close(h.saved)
	clock := h.options.Clock
	for ctx.Err() == nil {
		if h.saveWake.Pause(ctx, clock, beatEvery) {
			pauser.Pause(ctx, clock, saveLinger)
		}
		var records []journaler.Record
		batch := int64(0)
		isHolder := h.with(func(_ time.Time, d *dispatcher.Dispatcher) {
			if d.HasProgress() {
				records, batch = d.TakeProgress()
			}
		})
		if !isHolder || ctx.Err() != nil {
			return
		}
		if len(records) == 0 {
			beat, err := journaler.NewBeat(journaler.Beat{Epoch: h.options.Epoch})
			if err != nil {
				h.options.Logger.Error("claim: A beat can't be encoded.", zap.String("error", err.Error()))
				continue
			}
			records = []journaler.Record{beat}
		}
		offset, ok := h.append(ctx, records)
		if !ok {
			return
		}
		h.options.Kept(records, offset)
		h.with(func(_ time.Time, d *dispatcher.Dispatcher) { d.Saved(batch) })
	}
}

// forget removes the records of jobs that ended long ago: their submissions first, so that
// none is ever read without its end.
func (h *Holder) forget(ctx context.Context) {
	for ctx.Err() == nil {
		pauser.Pause(ctx, h.options.Clock, forgetEvery)
		var ids []describer.JobID
		h.with(func(now time.Time, d *dispatcher.Dispatcher) { ids = d.Forgettable(now) })
		if len(ids) == 0 {
			continue
		}
		var records []journaler.Record
		for _, id := range ids {
			records = append(records, journaler.ForgetJob(id)...)
		}
		appending, cancel := context.WithTimeout(ctx, saveTimeout)
		offset, err := h.options.Store.Append(appending, storer.Append{Topic: storer.Jobs, Records: records})
		cancel()
		if err != nil {
			h.options.Logger.Info("history: Ended jobs are kept for now.", zap.Int("jobs", len(ids)), zap.String("error", err.Error()))
			continue
		}
		h.options.Kept(records, offset)
		h.with(func(_ time.Time, d *dispatcher.Dispatcher) { d.Forgotten(ids) })
	}
}

// append appends records under the claim until they are kept; false means that the claim
// is over. An append without an answer is repeated as it was, and takes effect once.
func (h *Holder) append(ctx context.Context, records []journaler.Record) (int64, bool) {
	h.sequence++
	call := storer.Append{Topic: storer.Claims, Records: records, Epoch: h.options.Epoch, Sequence: h.sequence}
	for ctx.Err() == nil {
		appending, cancel := context.WithTimeout(ctx, saveTimeout)
		offset, err := h.options.Store.Append(appending, call)
		cancel()
		h.noteAppend(err)
		switch {
		case err == nil:
			return offset, true
		case errors.Is(err, storer.ErrFenced):
			h.with(func(time.Time, *dispatcher.Dispatcher) { h.options.Fenced("The store obeys a later holder.") })
			return 0, false
		}
		pauser.Pause(ctx, h.options.Clock, savePause)
	}
	return 0, false
}

// Release gives the claim back once the holder's last append is over, so that another host
// takes over at once. It is fenced as the others are, so it never hides a later claim.
func (h *Holder) Release(ctx context.Context, claim journaler.Claim) {
	select {
	case <-h.saved:
	case <-ctx.Done():
		return
	}
	claim.Released = true
	record, err := journaler.NewClaim(claim)
	if err != nil {
		h.options.Logger.Error("claim: A release can't be encoded.", zap.String("error", err.Error()))
		return
	}
	call := storer.Append{Topic: storer.Claims, Records: []journaler.Record{record}, Epoch: h.options.Epoch, Sequence: h.sequence + 1}
	if _, err := h.options.Store.Append(ctx, call); err != nil {
		h.options.Logger.Warn("claim: Was not released.", zap.Int64("epoch", h.options.Epoch), zap.String("error", err.Error()))
	}
}

// advise asks a question and reports the answer.
func (h *Holder) advise(ctx context.Context, asked orderer.Advise) {
	answer, err := h.options.Ask(ctx, asked)
	if err != nil && ctx.Err() == nil {
		h.options.Logger.Warn("advice: No answer.", zap.String("step", asked.Step.String()), zap.String("error", err.Error()))
	}
	h.with(func(now time.Time, d *dispatcher.Dispatcher) { d.Advised(now, asked, answer, err == nil) })
	h.Kick()
}
