package keeper

import (
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"lentilrock.example/internal/entry/follower"
	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
)

const (
	// jobsPause separates the reads of the jobs by hosts that only answer for them.
	jobsPause = 700 * time.Millisecond
	// claimsPause separates the reads of the claims by hosts that ask the holder about jobs that
	// have not ended.
	claimsPause = 600 * time.Millisecond
	// holderClaimsPause is that of the holder, which wrote the records itself.
	holderClaimsPause = 250 * time.Millisecond
	// operatorsPause gathers configurations that come in quick succession.
	operatorsPause = 100 * time.Millisecond
	// holderListPause bounds how late the holder hears of a worker's change.
	holderListPause = 300 * time.Millisecond
	// listPause is that of the other hosts, which need the list only after a claim.
	listPause = time.Second
	// relistEvery is how often the host list is read as a whole.
	relistEvery = 3 * time.Second
)

func (k *Keeper) followers() []*follower.Follower {
	followers := []*follower.Follower{
		{Topic: storer.Jobs, Reset: k.applyJobs, Apply: k.applyJobs, Pause: k.pause(0, jobsPause)},
		{Topic: storer.Claims, Reset: k.applyClaims, Apply: k.applyClaims, Failed: k.claimsFailed, Pause: k.pause(holderClaimsPause, claimsPause), Wake: k.wakeClaims},
		{Topic: storer.Operators, Reset: k.applyOperators, Apply: k.applyOperators, Pause: k.pause(operatorsPause, operatorsPause)},
		{Topic: storer.Workers, Reset: k.resetWorkers, Apply: k.applyWorkers, Pause: k.pause(holderListPause, listPause), Relist: relistEvery},
	}
	for _, f := range followers {
		f.Store, f.Clock, f.Logger = k.options.Store, k.options.Clock, k.options.Logger
	}
	return followers
}

// pause returns how long to wait between reads, for the holder and for the other hosts.
func (k *Keeper) pause(holds, other time.Duration) func() time.Duration {
	return func() time.Duration {
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.holder != nil {
			return holds
		}
		return other
	}
}

func (k *Keeper) claimsFailed() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.failedAt = k.now()
}

// applyJobs folds what callers handed in and hands changed jobs to the dispatcher.
func (k *Keeper) applyJobs(entries []storer.Entry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.jobsAt = k.now()
	for _, e := range entries {
		if name, found := journaler.HostOf(e.Record); found {
			k.announcer.Heard(name, k.jobsAt)
		}
		k.applyRecord(k.jobsAt, e)
		k.nextJob = max(k.nextJob, e.Offset+1)
	}
	if k.holder != nil {
		k.dispatcher.SetAskers(len(k.liveHosts()))
	}
}

// applyClaims folds what the holders wrote.
func (k *Keeper) applyClaims(entries []storer.Entry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	for _, e := range entries {
		k.applyRecord(now, e)
	}
	if k.state.HolderOffset > k.heardTo || k.claimsAt.IsZero() {
		k.heardTo, k.beatAt = k.state.HolderOffset, now
	}
	k.claimsAt = now
	k.followClaim()
}

func (k *Keeper) applyRecord(now time.Time, e storer.Entry) {
	changed, err := k.state.Apply(e.Record, e.Offset)
	if err != nil {
		k.options.Logger.Warn("log: A record was ignored.", zap.String("key", e.Key), zap.Int64("offset", e.Offset), zap.String("error", err.Error()))
		return
	}
	if k.holder != nil && changed != nil {
		k.dispatcher.JobChanged(now, changed)
		k.holder.Kick()
	}
}

func (k *Keeper) applyOperators(entries []storer.Entry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range entries {
		if err := errors.Join(k.applyConfig(e), k.applyWave(e)); err != nil {
			k.options.Logger.Warn("config: An entry was ignored.", zap.String("key", e.Key), zap.String("error", err.Error()))
		}
	}
}

// applyConfig takes in a later configuration; the caller has the lock.
func (k *Keeper) applyConfig(e storer.Entry) error {
	config, found, err := k.options.Decoder.Config(e.Key, e.Value)
	if err != nil || !found || config.Version <= k.config.Version {
		return err
	}
	k.config = config
	k.options.Logger.Info("config: In force.", zap.Int64("version", config.Version), zap.Int("queues", len(config.Queues)))
	if k.holder != nil {
		k.dispatcher.SetConfig(config)
		k.holder.Kick()
	}
	return nil
}

// applyWave takes in a wave of upkeep; the caller has the lock.
func (k *Keeper) applyWave(e storer.Entry) error {
	wave, found, err := k.options.Decoder.Wave(e.Key, e.Value)
	if _, isKnown := k.waves[wave.Number]; err != nil || !found || isKnown {
		return err
	}
	k.waves[wave.Number] = wave
	k.options.Logger.Info("upkeep: A wave was asked for.", zap.Int64("wave", wave.Number), zap.Int("machines", len(wave.Machines)),
		zap.Duration("duration", wave.Duration), zap.Int("max_down", wave.MaxDown))
	if k.holder != nil {
		k.dispatcher.SetWave(k.now(), wave)
		k.holder.Kick()
	}
	return nil
}

func (k *Keeper) resetWorkers(entries []storer.Entry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	// Under one lock with what follows: a host that takes the cell up must not see no workers.
	clear(k.listed)
	k.listWorkers(entries)
}

func (k *Keeper) applyWorkers(entries []storer.Entry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.listWorkers(entries)
}

// listWorkers takes in entries of the host list; the caller has the lock.
func (k *Keeper) listWorkers(entries []storer.Entry) {
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
		k.dispatcher.SetWorkers(k.now(), k.workerList())
		k.holder.Kick()
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
