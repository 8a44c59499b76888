package keeper

import (
	"time"

	"go.uber.org/zap"

	"lentilrock.example/internal/entry/follower"
	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
)

const (
	// readPause separates the reads of a host that holds no claim.
	readPause = 80 * time.Millisecond
	// relistEvery is how often the host list is read as a whole.
	relistEvery = 3 * time.Second
)

func (k *Keeper) followers() []*follower.Follower {
	followers := []*follower.Follower{
		{Topic: storer.Cell, Reset: k.applyCell, Apply: k.applyCell, Failed: k.cellFailed, Pause: k.cellPause},
		{Topic: storer.Operators, Reset: k.applyOperators, Apply: k.applyOperators, Pause: func() time.Duration { return readPause }},
		{Topic: storer.Workers, Reset: k.resetWorkers, Apply: k.applyWorkers, Pause: k.workersPause, Relist: relistEvery},
	}
	for _, f := range followers {
		f.Store, f.Clock, f.Logger = k.options.Store, k.options.Clock, k.options.Logger
	}
	return followers
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
