package coordinator

import (
	"time"

	"go.uber.org/zap"

	"lentilrock.example/internal/entry/follower"
	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/fleet/journaler"
)

const (
	// relistInterval is how often the whole host list is read again.
	relistInterval = 3 * time.Second
	// minRemovalAge is less than the age at which a job is removed. A younger one is never taken for removed.
	minRemovalAge = time.Minute
)

// followers returns a follower for each topic that the host reads.
func (k *Coordinator) followers() []*follower.Follower {
	followers := []*follower.Follower{
		{Topic: storer.Jobs, Reset: k.resetJobs, ApplyPage: k.applyRoutes, Apply: k.applyJobs},
		{Topic: storer.Claims, Reset: k.resetClaims, ApplyPage: k.applyRoutes, Apply: k.applyClaims, OnFailure: k.recordClaimsFailure, Wake: k.claimsWaker},
		{Topic: storer.Operators, Reset: k.applyOperators, Apply: k.applyOperators},
		{Topic: storer.Workers, Reset: k.resetWorkers, Apply: k.applyWorkers, RelistInterval: relistInterval},
	}
	for _, f := range followers {
		f.Store, f.Clock, f.Logger = k.options.Store, k.options.Clock, k.options.Logger
		f.Pause = func() time.Duration { return follower.Pause(f.Topic, k.IsHolder()) }
	}
	return followers
}

// isHolderUnresponsive reports whether the holder does not reply to probes of this host.
func (k *Coordinator) isHolderUnresponsive() bool { return k.prober.View().IsUnresponsive }

func (k *Coordinator) recordClaimsFailure() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reads.ClaimsFailedAt = k.now()
}

// applyRoutes applies the records of a page that tell where requests can be sent. A host that has just
// started can then forward requests while it still reads the jobs.
func (k *Coordinator) applyRoutes(entries []storer.Entry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	k.reads.RecordReply(now)
	for _, e := range entries {
		if name, found := journaler.HostOf(e.Record); found {
			k.announcer.MarkSeen(name, now)
		}
		if journaler.IsRoute(e.Record) {
			k.applyRecord(now, e)
		}
	}
}

// resetJobs applies a list of the jobs topic. Jobs that it omits have been removed.
func (k *Coordinator) resetJobs(list storer.Batch) {
	k.mu.Lock()
	k.state.RemoveUnlistedJobs(list.Keys(), list.Next, k.now().Add(-minRemovalAge))
	k.mu.Unlock()
	k.applyJobs(list)
}

// resetClaims applies a list of the claims topic. Jobs whose progress it omits have been removed.
func (k *Coordinator) resetClaims(list storer.Batch) {
	k.mu.Lock()
	k.state.RemoveUnlistedProgress(list.Keys(), list.Next, k.now().Add(-minRemovalAge))
	// The list omits records that newer ones replaced.
	k.former.RecordRead(k.now())
	k.mu.Unlock()
	k.applyClaims(list)
}

// applyJobs applies records of the jobs topic and passes changed jobs to the dispatcher.
func (k *Coordinator) applyJobs(batch storer.Batch) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	for _, e := range k.reads.RecordJobs(now, batch) {
		if name, found := journaler.HostOf(e.Record); found {
			k.announcer.MarkSeen(name, now)
		}
		k.applyRecord(now, e)
	}
	if k.holder != nil {
		k.dispatcher.SetAdviceHosts(len(k.liveHosts()))
	}
}

// applyClaims applies records of the holders to the state and acts on a new claim.
func (k *Coordinator) applyClaims(batch storer.Batch) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	isFirst := k.reads.ClaimsAt.IsZero()
	for _, e := range k.reads.RecordClaims(now, batch) {
		k.applyRecord(now, e)
		if e.Offset == k.state.ClaimOffset {
			k.former.RecordClaim(k.state.Claim.Epoch)
		}
		k.former.RecordRead(now)
	}
	k.heartbeats.Record(now, k.state.HolderOffset, isFirst)
	k.applyClaim()
}

// applyRecord applies a record to the state and passes a changed job to the dispatcher. The
// caller has the lock.
func (k *Coordinator) applyRecord(now time.Time, e storer.Entry) {
	former := k.state.Claim
	changed, err := k.state.Apply(e.Record, e.Offset)
	k.formerHolders.Record(k.state.Claim, now)
	if k.state.Claim.Epoch > former.Epoch {
		k.prober.InformFormer(k.state, former)
	}
	if err != nil {
		k.options.Logger.Warn("log: A record could not be applied and is ignored.",
			zap.String("key", e.Key), zap.Int64("offset", e.Offset), zap.String("error", err.Error()))
		return
	}
	if k.holder != nil && changed != nil {
		k.dispatcher.JobChanged(now, changed)
		k.holder.ScheduleTick()
	}
}

func (k *Coordinator) applyOperators(batch storer.Batch) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reads.RecordReply(k.now())
	isNew := k.catalog.ApplyOperators(batch.Entries)
	k.Apply(k.catalog.Config)
	if !isNew || k.holder == nil {
		return
	}
	k.setOperatorEntries(k.now())
	k.holder.ScheduleTick()
}

// setOperatorEntries passes the configuration and the waves of upkeep to the dispatcher. The
// caller has the lock.
func (k *Coordinator) setOperatorEntries(now time.Time) {
	k.dispatcher.SetConfig(k.catalog.Config)
	for _, wave := range k.catalog.Waves {
		k.dispatcher.SetWave(now, wave)
	}
}

func (k *Coordinator) resetWorkers(list storer.Batch) {
	k.mu.Lock()
	defer k.mu.Unlock()
	// The reset and the update of the dispatcher share one critical section, so that a takeover
	// never starts with an empty host list.
	k.reads.RecordReply(k.now())
	k.catalog.ResetWorkers(list.Entries, k.now())
	k.setWorkers()
}

func (k *Coordinator) applyWorkers(batch storer.Batch) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reads.RecordReply(k.now())
	k.catalog.ApplyWorkers(batch.Entries, k.now())
	// If nothing changed, the dispatcher already has the list.
	if len(batch.Entries) > 0 {
		k.setWorkers()
	}
}

// setWorkers passes the host list to the dispatcher. The caller has the lock.
func (k *Coordinator) setWorkers() {
	if k.holder != nil {
		k.dispatcher.SetWorkers(k.now(), k.catalog.Workers())
		k.holder.ScheduleTick()
	}
}

// applyAppended applies records that this host appended, before they are read back.
func (k *Coordinator) applyAppended(records []journaler.Record, offset int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	for i, r := range records {
		k.applyRecord(now, storer.Entry{Offset: offset + int64(i), Record: r})
	}
}
