package keeper

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/node/pauser"
	"lentilrock.example/internal/work/describer"
	"lentilrock.example/internal/work/journaler"
)

const (
	// readWait is how long the store may hold a read back for a record.
	readWait = time.Second
	// readSlack is how much longer an answer may take before the connection counts as dead.
	readSlack = 1500 * time.Millisecond
	// readPause separates the reads of a host that holds no claim.
	readPause = 80 * time.Millisecond
	// failurePause separates reads that fail.
	failurePause = 150 * time.Millisecond
	// relistEvery is how often the host list is read as a whole.
	relistEvery = 3 * time.Second
	// missingFor is how long a worker that left the list is remembered: longer than any lease.
	missingFor = 10 * time.Second
)

// follower reads a topic: first the newest record of each key, then all that come.
type follower struct {
	keeper *Keeper
	topic  storer.Topic
	// reset takes in the newest records; it may be called again after records were lost.
	reset func(entries []storer.Entry)
	// apply takes in records in their order; it is also called without any.
	apply  func(entries []storer.Entry)
	failed func()
	pause  func() time.Duration
	// relist is how often all is read again; 0 means never.
	relist time.Duration
}

func (k *Keeper) followers() []*follower {
	steady := func() time.Duration { return readPause }
	return []*follower{
		{keeper: k, topic: storer.Cell, reset: k.applyCell, apply: k.applyCell, failed: k.cellFailed, pause: k.cellPause},
		{keeper: k, topic: storer.Operators, reset: k.applyOperators, apply: k.applyOperators, pause: steady},
		{keeper: k, topic: storer.Workers, reset: k.resetWorkers, apply: k.applyWorkers, pause: k.workersPause, relist: relistEvery},
	}
}

func (f *follower) run(ctx context.Context) {
	log := f.keeper.options.Logger.With(zap.Stringer("topic", f.topic))
	isDown := false
	for ctx.Err() == nil {
		err := f.follow(ctx, func() {
			if isDown {
				isDown = false
				log.Info("store: The topic is read again.")
			}
		})
		if ctx.Err() != nil {
			return
		}
		if !isDown && err != nil {
			isDown = true
			log.Warn("store: The topic can't be read.", zap.String("error", err.Error()))
		}
		pauser.Pause(ctx, f.keeper.options.Clock, failurePause)
	}
}

// follow reads all newest records, then follows until the records are gone or it is time to
// read all again. Reads that fail are repeated from where they were.
func (f *follower) follow(ctx context.Context, succeeded func()) error {
	from, err := f.readNewest(ctx)
	if err != nil {
		f.fail()
		return errors.Errorf("read newest: %w", err)
	}
	succeeded()
	began := f.keeper.now()
	failures := 0
	for ctx.Err() == nil {
		if f.relist > 0 && f.keeper.now().Sub(began) > f.relist {
			return nil
		}
		entries, err := f.read(ctx, from)
		switch {
		case errors.Is(err, storer.ErrForgotten):
			return nil
		case err != nil:
			f.fail()
			failures++
			if failures == 1 {
				f.keeper.options.Logger.Warn("store: A read failed.", zap.Stringer("topic", f.topic), zap.String("error", err.Error()))
			}
			pauser.Pause(ctx, f.keeper.options.Clock, failurePause)
			continue
		}
		failures = 0
		if len(entries) > 0 {
			from = entries[len(entries)-1].Offset + 1
		}
		f.apply(entries)
		if wait := f.pause(); wait > 0 {
			pauser.Pause(ctx, f.keeper.options.Clock, wait)
		}
	}
	return ctx.Err()
}

func (f *follower) fail() {
	if f.failed != nil {
		f.failed()
	}
}

func (f *follower) read(ctx context.Context, from int64) ([]storer.Entry, error) {
	reading, cancel := context.WithTimeout(ctx, readWait+readSlack)
	defer cancel()
	return f.keeper.options.Store.Read(reading, f.topic, from, readWait)
}

// readNewest takes in the newest record of each key and returns where to go on: the end at
// the time of the first page, since pages are no snapshot.
func (f *follower) readNewest(ctx context.Context) (int64, error) {
	var entries []storer.Entry
	after, from := "", int64(-1)
	for {
		reading, cancel := context.WithTimeout(ctx, readWait+readSlack)
		page, err := f.keeper.options.Store.Newest(reading, f.topic, after)
		cancel()
		if err != nil {
			return 0, err
		}
		if from < 0 {
			from = page.End
		}
		entries = append(entries, page.Entries...)
		if page.After == "" {
			break
		}
		after = page.After
	}
	slices.SortFunc(entries, func(a, b storer.Entry) int { return cmp.Compare(a.Offset, b.Offset) })
	f.reset(entries)
	return from, nil
}

// cellPause keeps the holder's reads prompt.
func (k *Keeper) cellPause() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.holder != nil {
		return 0
	}
	return readPause
}

func (k *Keeper) workersPause() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.holder != nil {
		return holderListPause
	}
	return listPause
}

const (
	// holderListPause bounds how late the holder hears of a worker's change.
	holderListPause = 300 * time.Millisecond
	// listPause is that of the other hosts, which only remember the list.
	listPause = time.Second
)

func (k *Keeper) cellFailed() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.failedAt = k.now()
}

// applyCell folds records of the cell's log and hands changed jobs to the dispatcher.
func (k *Keeper) applyCell(entries []storer.Entry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	for _, e := range entries {
		k.applyRecord(now, e)
	}
	if k.state.HolderOffset > k.heardTo || k.freshAt.IsZero() {
		k.heardTo, k.beatAt = k.state.HolderOffset, now
	}
	k.freshAt = now
	k.followClaim(now)
}

func (k *Keeper) applyRecord(now time.Time, e storer.Entry) {
	changed, err := k.state.Apply(e.Record, e.Offset)
	if err != nil {
		k.options.Logger.Warn("log: A record was ignored.", zap.String("key", e.Key), zap.Int64("offset", e.Offset), zap.String("error", err.Error()))
		return
	}
	if k.holder != nil && changed != nil {
		k.holder.dispatcher.JobChanged(now, changed)
		k.holder.kick()
	}
}

func (k *Keeper) applyOperators(entries []storer.Entry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range entries {
		config, found, err := k.options.Decoder.Config(e.Key, e.Value)
		if err != nil {
			k.options.Logger.Warn("config: An entry was ignored.", zap.String("key", e.Key), zap.String("error", err.Error()))
			continue
		}
		if !found || config.Version <= k.config.Version {
			continue
		}
		k.config = config
		k.options.Logger.Info("config: In force.", zap.Int64("version", config.Version), zap.Int("queues", len(config.Queues)))
		if k.holder != nil {
			k.holder.dispatcher.SetConfig(config)
			k.holder.kick()
		}
	}
}

func (k *Keeper) resetWorkers(entries []storer.Entry) {
	k.mu.Lock()
	clear(k.listed)
	k.mu.Unlock()
	k.applyWorkers(entries)
}

func (k *Keeper) applyWorkers(entries []storer.Entry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range entries {
		if len(e.Value) == 0 {
			delete(k.listed, e.Key)
			continue
		}
		w, err := k.options.Decoder.Worker(e.Key, e.Value)
		if err != nil {
			delete(k.listed, e.Key)
			k.options.Logger.Warn("workers: An entry was ignored.", zap.String("worker", e.Key), zap.String("error", err.Error()))
			continue
		}
		k.listed[e.Key] = w
	}
	k.listedAt = k.now()
	if k.holder != nil {
		k.holder.dispatcher.SetWorkers(k.now(), k.workerList())
		k.holder.kick()
	}
}

func (k *Keeper) workerList() []describer.Worker {
	list := make([]describer.Worker, 0, len(k.listed))
	for _, w := range k.listed {
		list = append(list, w)
	}
	return list
}

// applyOwn takes in a record that this host appended, before it is read back.
func (k *Keeper) applyOwn(records []journaler.Record, offset int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	for i, r := range records {
		k.applyRecord(now, storer.Entry{Offset: offset + int64(i), Record: r})
	}
}
