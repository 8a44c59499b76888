package keeper

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/fleet/dispatcher"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/node/pauser"
)

const (
	// tickEvery is how often the dispatcher looks at what is due without an event.
	tickEvery = 30 * time.Millisecond
	// tickGap gathers events that come close together.
	tickGap = 3 * time.Millisecond
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
	// orderTimeout bounds an order to a worker.
	orderTimeout = 500 * time.Millisecond
)

// holder is what a host runs while it has the claim.
type holder struct {
	keeper     *Keeper
	epoch      int64
	dispatcher *dispatcher.Dispatcher
	cancel     context.CancelFunc
	ctx        context.Context
	wake       chan struct{}
	saveWake   chan struct{}
	sequence   int64
	// lookers are the workers that a goroutine looks after.
	lookers map[string]bool
	saved   chan struct{}
}

// hold takes the cell up under a claim.
func (k *Keeper) hold(now time.Time, claim journaler.Claim) {
	options := k.options.Dispatch
	options.Epoch = claim.Epoch
	options.Report = k.report
	ctx, cancel := context.WithCancel(context.Background())
	h := &holder{
		keeper: k, epoch: claim.Epoch, cancel: cancel, ctx: ctx,
		dispatcher: dispatcher.New(options, k.state, now),
		wake:       make(chan struct{}, 1), saveWake: make(chan struct{}, 1),
		lookers: make(map[string]bool), saved: make(chan struct{}),
	}
	h.dispatcher.SetConfig(k.config)
	h.dispatcher.SetAskers(len(k.state.Hosts))
	h.dispatcher.SetWorkers(now, k.workerList())
	k.holder = h
	k.options.Logger.Info("claim: This host holds the cell.", zap.Int64("epoch", claim.Epoch),
		zap.Int("jobs", len(k.state.Jobs)), zap.Int("workers", len(k.listed)))
	go h.loop(ctx)
	go h.save(ctx)
	h.kick()
}

// report writes a line of the dispatcher's into the log.
func (k *Keeper) report(message string, fields ...any) {
	k.options.Logger.Sugar().Infow("dispatch: "+message, fields...)
}

// resign ends what runs under the claim.
func (k *Keeper) resign(reason string) {
	if k.holder == nil {
		return
	}
	k.options.Logger.Info("claim: This host holds the cell no more.", zap.Int64("epoch", k.holder.epoch), zap.String("reason", reason))
	k.holder.cancel()
	k.holder = nil
}

// kick has the dispatcher look at what is due soon.
func (h *holder) kick() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// with runs a change of the dispatcher, unless the claim is over.
func (h *holder) with(change func(now time.Time, d *dispatcher.Dispatcher)) bool {
	h.keeper.mu.Lock()
	defer h.keeper.mu.Unlock()
	if h.keeper.holder != h {
		return false
	}
	change(h.keeper.now(), h.dispatcher)
	return true
}

// loop lets the dispatcher decide and carries its orders out.
func (h *holder) loop(ctx context.Context) {
	clock := h.keeper.options.Clock
	for ctx.Err() == nil {
		timer := clock.NewTimer(tickEvery)
		select {
		case <-h.wake:
		case <-timer.Chan():
		case <-ctx.Done():
		}
		timer.Stop()
		var orders []dispatcher.Order
		var hasProgress, isFenced bool
		var started []string
		h.with(func(now time.Time, d *dispatcher.Dispatcher) {
			d.SetAskers(len(h.keeper.state.Hosts))
			d.Tick(now)
			orders = d.TakeOrders()
			hasProgress, isFenced = d.HasProgress(), d.IsFenced()
			started = h.newLookers()
			if isFenced {
				h.keeper.resign("A worker obeys a later holder.")
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
			select {
			case h.saveWake <- struct{}{}:
			default:
			}
		}
		pauser.Pause(ctx, clock, tickGap)
	}
}

// newLookers returns the workers that nothing looks after yet.
func (h *holder) newLookers() []string {
	var ids []string
	for _, id := range h.dispatcher.WorkerIDs() {
		if !h.lookers[id] {
			h.lookers[id] = true
			ids = append(ids, id)
		}
	}
	return ids
}

// lookAfter looks at a worker again and again until it is gone.
func (h *holder) lookAfter(ctx context.Context, id string) {
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
		inventory, verdict := h.keeper.options.Workers.Look(looking, look)
		cancel()
		h.with(func(now time.Time, d *dispatcher.Dispatcher) { d.Looked(now, look, inventory, verdict) })
		h.kick()
		switch {
		case verdict != orderer.Accepted:
			pauser.Pause(ctx, h.keeper.options.Clock, lookPause)
		case len(inventory.Ended) > 0:
			// The worker answers at once while it lists ends that were not acknowledged.
			pauser.Pause(ctx, h.keeper.options.Clock, endPause)
		}
	}
}

// carryOut sends an order and reports its answer.
func (h *holder) carryOut(ctx context.Context, order dispatcher.Order) {
	workers := h.keeper.options.Workers
	ordering, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	switch o := order.(type) {
	case orderer.Advise:
		h.advise(ctx, o)
		return
	case orderer.Look:
		inventory, verdict := workers.Look(ordering, o)
		h.with(func(now time.Time, d *dispatcher.Dispatcher) { d.Looked(now, o, inventory, verdict) })
	case orderer.Pace:
		workers.Pace(ordering, o)
	case orderer.Start:
		starting, cancel := context.WithTimeout(ctx, o.Timeout)
		defer cancel()
		verdict := workers.Start(starting, o)
		h.with(func(now time.Time, d *dispatcher.Dispatcher) { d.StartAnswered(now, o, verdict) })
	case orderer.Stop:
		verdict := workers.Stop(ordering, o)
		h.with(func(now time.Time, d *dispatcher.Dispatcher) { d.StopAnswered(now, o, verdict) })
	}
	h.kick()
}

// save keeps progress in the log, and shows that the holder lives.
func (h *holder) save(ctx context.Context) {
	defer close(h.saved)
	clock := h.keeper.options.Clock
	for ctx.Err() == nil {
		timer := clock.NewTimer(beatEvery)
		select {
		case <-h.saveWake:
			pauser.Pause(ctx, clock, saveLinger)
		case <-timer.Chan():
		case <-ctx.Done():
		}
		timer.Stop()
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
			beat, err := journaler.NewBeat(journaler.Beat{Epoch: h.epoch})
			if err != nil {
				h.keeper.options.Logger.Error("claim: A beat can't be encoded.", zap.String("error", err.Error()))
				continue
			}
			records = []journaler.Record{beat}
		}
		offset, ok := h.append(ctx, records)
		if !ok {
			return
		}
		h.keeper.applyOwn(records, offset)
		h.with(func(_ time.Time, d *dispatcher.Dispatcher) { d.Saved(batch) })
	}
}

// append appends records under the claim until they are kept; false means that the claim
// is over. An append without an answer is repeated as it was, and takes effect once.
func (h *holder) append(ctx context.Context, records []journaler.Record) (int64, bool) {
	h.sequence++
	call := storer.Append{Topic: storer.Claims, Records: records, Epoch: h.epoch, Sequence: h.sequence}
	for ctx.Err() == nil {
		appending, cancel := context.WithTimeout(ctx, saveTimeout)
		offset, err := h.keeper.options.Store.Append(appending, call)
		cancel()
		switch {
		case err == nil:
			return offset, true
		case errors.Is(err, storer.ErrFenced):
			h.keeper.mu.Lock()
			if h.keeper.holder == h {
				h.keeper.resign("The store obeys a later holder.")
			}
			h.keeper.mu.Unlock()
			return 0, false
		}
		pauser.Pause(ctx, h.keeper.options.Clock, savePause)
	}
	return 0, false
}

// release gives the claim back, so that another host takes over at once. It is fenced as
// the holder's other appends are, so it never hides a later claim.
func (h *holder) release(ctx context.Context) {
	k := h.keeper
	k.mu.Lock()
	if k.holder == h {
		k.resign("The host leaves.")
	}
	k.mu.Unlock()
	select {
	case <-h.saved:
	case <-ctx.Done():
		return
	}
	record, err := journaler.NewClaim(journaler.Claim{
		Epoch: h.epoch, Host: k.options.Name, Incarnation: k.options.Incarnation, Released: true,
	})
	if err != nil {
		k.options.Logger.Error("claim: A release can't be encoded.", zap.String("error", err.Error()))
		return
	}
	call := storer.Append{Topic: storer.Claims, Records: []journaler.Record{record}, Epoch: h.epoch, Sequence: h.sequence + 1}
	if _, err := k.options.Store.Append(ctx, call); err != nil {
		k.options.Logger.Warn("claim: Was not released.", zap.Int64("epoch", h.epoch), zap.String("error", err.Error()))
	}
}
