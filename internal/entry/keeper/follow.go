package keeper

import (
	"time"

	"go.uber.org/zap"

	"lentilrock.example/internal/entry/follower"
	"lentilrock.example/internal/entry/storer"
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
	if isNew := k.catalog.TakeOperators(entries); !isNew || k.holder == nil {
		return
	}
	k.tellOperators(k.now())
	k.holder.Kick()
}

// tellOperators tells the dispatcher what operators have set; the caller has the lock.
func (k *Keeper) tellOperators(now time.Time) {
	k.dispatcher.SetConfig(k.catalog.Config)
	for _, wave := range k.catalog.Waves {
		k.dispatcher.SetWave(now, wave)
	}
}

func (k *Keeper) resetWorkers(entries []storer.Entry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	// Under one lock with what follows: a host that takes the cell up must not see no workers.
	k.catalog.ResetWorkers(entries, k.now())
	k.workersListed()
}

func (k *Keeper) applyWorkers(entries []storer.Entry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.catalog.TakeWorkers(entries, k.now())
	// The dispatcher has the list already where nothing in it changed.
	if len(entries) > 0 {
		k.workersListed()
	}
}

// workersListed tells the dispatcher of the host list; the caller has the lock.
func (k *Keeper) workersListed() {
	if k.holder != nil {
		k.dispatcher.SetWorkers(k.now(), k.catalog.Workers())
		k.holder.Kick()
	}
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
