package decider

import (
	"time"

	"lentilrock.example/internal/cell/applier"
	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/cell/recorder"
	"lentilrock.example/internal/container/sorter"
	"lentilrock.example/internal/core/claimer"
	"lentilrock.example/internal/core/signaller"
)

// claimer returns the claimer of a shard, or nil if the shard is of another data centre.
func (d *Decider) claimer(shard descriptor.ShardID) *claimer.Claimer {
	for _, c := range d.claimers {
		if c.Shard() == shard {
			return c
		}
	}
	return nil
}

// StartUntil implements authorizer.Authority.
func (d *Decider) StartUntil(now time.Time, shard descriptor.ShardID) time.Time {
	c := d.claimer(shard)
	if c == nil || !c.CanAct(now) {
		return time.Time{}
	}
	return c.WindowEnd()
}

// MayRenew implements authorizer.Authority.
func (d *Decider) MayRenew(now time.Time, shard descriptor.ShardID, worker string) bool {
	c := d.claimer(shard)
	if c == nil {
		return false
	}
	isTakingOver := c.State() == claimer.StateWaiting || c.State() == claimer.StateReading
	if c.CanAct(now) || isTakingOver {
		return true
	}
	return d.canRenewAsHeir(now, c) && d.renouncedWorkers[worker] != c.Epoch()
}

// canRenewAsHeir reports whether this host renews the leases of a shard whose holder is unresponsive. Only the heir
// does, only while the log is down, and no longer than the cap after the last read.
func (d *Decider) canRenewAsHeir(now time.Time, c *claimer.Claimer) bool {
	return c.IsHeir() && !c.Claim().Released && !d.CanAppend() &&
		!d.Membership(now).IsLive(c.Claim().Holder) &&
		now.Sub(c.LastRead()) < d.options.Claims.MaxExtension
}

// MayDeclareLost implements authorizer.Authority. The present heir must have renounced the worker (stopped renewing its
// leases) more than one lease duration ago, and no former heir may still be able to renew them.
func (d *Decider) MayDeclareLost(now time.Time, shard descriptor.ShardID, worker string) bool {
	c := d.claimer(shard)
	if c == nil || (!c.CanAct(now) && c.State() != claimer.StateReading) {
		return false
	}
	if now.Before(d.formerHeirExpiry[shard]) {
		return false
	}
	if c.Claim().Heir.IsZero() {
		return true
	}
	at, found := d.renunciations[renunciationKey(c, worker)]
	return found && now.Sub(at) > d.options.Tracker.Lease
}

// renunciationKey returns the key of renunciations for a worker and the present heir of the shard.
func renunciationKey(c *claimer.Claimer, worker string) string {
	return c.Shard().String() + " " + c.Claim().Heir.String() + " " + worker
}

// MayDispatch implements admitter.Authority.
func (d *Decider) MayDispatch(now time.Time, shard descriptor.ShardID) bool {
	c := d.claimer(shard)
	return c != nil && c.CanAct(now)
}

// MayAdmit implements admitter.Authority.
func (d *Decider) MayAdmit(now time.Time, shard descriptor.ShardID) bool {
	return !d.isReleasingShards() && d.MayDispatch(now, shard)
}

// isReleasingShards reports whether this host must release its shards: it shuts down or is drained.
func (d *Decider) isReleasingShards() bool { return d.isShuttingDown || d.isDrained }

// Epoch implements authorizer.Authority and admitter.Authority.
func (d *Decider) Epoch(shard descriptor.ShardID) int64 {
	if c := d.claimer(shard); c != nil {
		return c.Epoch()
	}
	return 0
}

// CanAppend implements admitter.Authority.
func (d *Decider) CanAppend() bool {
	return d.isLogReadable && !d.now.Before(d.appendBlockedUntil)
}

// HasHeir implements admitter.Authority.
func (d *Decider) HasHeir(shard descriptor.ShardID) bool {
	c := d.claimer(shard)
	return c != nil && !c.Claim().Heir.IsZero() && d.Membership(d.now).IsLive(c.Claim().Heir)
}

// Job implements authorizer.Jobs.
func (d *Decider) Job(id descriptor.JobID) *applier.JobState {
	return d.local.Jobs[id]
}

// Request implements admitter.RequestLog. An intent that this host holds as an heir counts like one in the log.
func (d *Decider) Request(key string) *applier.Request {
	if known, found := d.local.Requests[key]; found {
		return known
	}
	if intent, found := d.heldIntents[key]; found {
		return &applier.Request{Intent: intent, HasIntent: true}
	}
	return nil
}

// Membership returns which hosts of the data centre are live, and whether the log is up.
func (d *Decider) Membership(now time.Time) claimer.Membership {
	return claimer.Membership{CanAppend: d.CanAppend(), Live: d.peers.Live(now)}
}

func (d *Decider) tickClaims(now time.Time, out *signaller.Outbox) {
	view := d.Membership(now)
	for _, c := range d.claimers {
		c.SetLeaving(d.isReleasingShards() && d.admitter.InFlight(d.CanAppend()) == 0)
		for _, command := range c.Tick(now, view) {
			d.execute(now, c, command, out)
		}
		d.queryHeir(now, c, out)
	}
}

func (d *Decider) execute(now time.Time, c *claimer.Claimer, command claimer.Command, out *signaller.Outbox) {
	stream := recorder.DataCentreStream(d.options.DataCentre)
	switch {
	case command.Claim.Epoch > 0:
		d.recordFormerHeir(now, c, command.Claim.Heir)
		id := "claim." + c.Shard().String() + "." + d.options.Self.String() + "." + now.UTC().Format(time.RFC3339Nano)
		out.Add(signaller.Append{Stream: stream, Records: []recorder.Record{
			recorder.New(id, now, d.author, command.Claim),
		}})
	case command.Release.Epoch > 0:
		id := "release." + c.Shard().String() + "." + d.options.Self.String()
		out.Add(signaller.Append{Stream: stream, Records: []recorder.Record{
			recorder.New(id, now, d.author, command.Release),
		}})
	case !command.QueryHeir.IsZero():
		out.Add(d.heirQuery(now, c))
	}
}

// recordFormerHeir records until when an heir that is being replaced may renew leases: for the cap, plus the duration
// of its last lease.
func (d *Decider) recordFormerHeir(now time.Time, c *claimer.Claimer, next descriptor.HostID) {
	former := c.Claim().Heir
	if former.IsZero() || former == next || former == d.options.Self || d.Membership(now).HasEnded(former) {
		return
	}
	d.formerHeirExpiry[c.Shard()] = now.Add(d.options.Claims.MaxExtension + d.options.Tracker.Lease)
}

// queryHeir queries the heir if it must hold intents that the log lacks, or renounce unresponsive workers, that is,
// stop renewing their leases.
func (d *Decider) queryHeir(now time.Time, c *claimer.Claimer, out *signaller.Outbox) {
	canQuery := c.CanAct(now) || c.State() == claimer.StateReading
	if !canQuery || !d.HasHeir(c.Shard()) {
		return
	}
	query := d.heirQuery(now, c)
	if len(query.Held) > 0 || len(query.Renounce) > 0 {
		out.Add(query)
	}
}

// heirQuery returns a query to the heir of a shard, with the intents that it must hold and the unresponsive workers
// that it has not renounced yet.
func (d *Decider) heirQuery(now time.Time, c *claimer.Claimer) signaller.AskHeir {
	query := signaller.AskHeir{
		Heir: c.Claim().Heir, Shard: c.Shard(), Epoch: c.Epoch(), AskedAt: now,
		Held: d.admitter.IntentsForHeir(c.Shard()),
	}
	for _, worker := range d.tracker.Unresponsive(c.Shard()) {
		if _, isRenounced := d.renunciations[renunciationKey(c, worker)]; !isRenounced {
			query.Renounce = append(query.Renounce, worker)
		}
	}
	return query
}

// handleHeirAsked replies to a query of a holder to this host as its heir. If this host can confirm that it has not
// claimed the shard, it also holds the intents and renounces the workers of the query.
func (d *Decider) handleHeirAsked(e signaller.HeirAsked, out *signaller.Outbox) {
	c := d.claimer(e.Shard)
	ok := c != nil && c.CanConfirm(e.Holder, e.Epoch)
	if ok {
		for _, intent := range e.Held {
			d.heldIntents[intent.Key] = intent
		}
		for _, worker := range e.Renounce {
			d.renouncedWorkers[worker] = e.Epoch
		}
	}
	out.Add(signaller.AnswerHeir{Ref: e.Ref, OK: ok})
}

// handleHeirAnswered applies the heir's reply, unless it concerns an earlier epoch or heir.
func (d *Decider) handleHeirAnswered(now time.Time, e signaller.HeirAnswered, out *signaller.Outbox) {
	c := d.claimer(e.Shard)
	if c == nil || !e.OK || c.Epoch() != e.Epoch || c.Claim().Heir != e.Heir {
		return
	}
	c.HeirConfirmed(e.AskedAt, e.Heir, e.Epoch)
	for _, worker := range e.Renounced {
		d.renunciations[renunciationKey(c, worker)] = now
	}
	d.admitter.IntentsHeld(now, e.Shard, e.HeldKeys, out)
}

// syncShards updates the tracker and the admitter to match the claims.
func (d *Decider) syncShards(now time.Time, out *signaller.Outbox) {
	for _, c := range d.claimers {
		d.syncShard(now, c, out)
	}
	d.admitter.Drop(d.isHolderOf, out)
}

// isHolderOf reports whether this host holds a shard, given as "data_centre/index".
func (d *Decider) isHolderOf(shard string) bool {
	for _, c := range d.claimers {
		if c.Shard().String() == shard {
			return c.IsHolder()
		}
	}
	return false
}

// syncShard takes a shard over, starts to renew its leases or drops it, as the state of its claim requires.
func (d *Decider) syncShard(now time.Time, c *claimer.Claimer, out *signaller.Outbox) {
	shard := c.Shard()
	switch {
	case c.NeedsInventory():
		d.takeOver(now, c, out)
	case c.IsHolder() && d.tracker.IsAcquired(shard):
		// The shard is held already. An expired window does not affect running tasks.
	case c.State() == claimer.StateWaiting || d.canRenewAsHeir(now, c):
		d.followShard(shard)
	case d.tracker.IsRenewed(shard):
		out.Report("Shard dropped; this host no longer renews its leases.", "shard", shard.String())
		d.tracker.Drop(shard)
	}
}

// followShard makes the tracker renew the leases of a shard without starting tasks.
func (d *Decider) followShard(shard descriptor.ShardID) {
	if d.tracker.IsRenewed(shard) {
		return
	}
	d.tracker.RenewLeases(shard)
	d.setWorkers(d.now, time.Time{})
}

// takeOver reads the inventories of a shard's workers and then adopts its open jobs.
func (d *Decider) takeOver(now time.Time, c *claimer.Claimer, out *signaller.Outbox) {
	shard := c.Shard()
	if !d.tracker.IsAcquired(shard) {
		d.tracker.Acquire(now, shard)
		d.appendHeldIntents(now, c, out)
		out.Report("Takeover of shard started; tasks start once its workers' inventories are known.", "shard", shard.String())
	}
	if !d.tracker.HasInventories(now, shard) || !d.CanAppend() {
		return
	}
	c.InventoryRead()
	d.admitter.InvalidateLoads()
	for _, job := range d.local.JobsByOffset() {
		id := job.Job.ID
		if job.IsOpen() && d.options.Layout.ShardOf(string(id)) == shard {
			d.adopt(now, shard, job, out)
		}
	}
	out.Report("Takeover of shard completed; this host schedules its jobs and requests.", "shard", shard.String())
}

// appendHeldIntents appends the intents of a shard that this host held as an heir to the log, under the new epoch.
func (d *Decider) appendHeldIntents(now time.Time, c *claimer.Claimer, out *signaller.Outbox) {
	for _, key := range sorter.Keys(d.heldIntents) {
		intent := d.heldIntents[key]
		if intent.Shard != c.Shard() {
			continue
		}
		intent.Epoch = c.Epoch()
		id := "intent." + key + "." + d.options.Self.String()
		out.Add(signaller.Append{Stream: recorder.DataCentreStream(d.options.DataCentre),
			Records: []recorder.Record{recorder.New(id, now, d.author, intent)}})
	}
}

// Claims returns the current claim of each shard of the data centre.
func (d *Decider) Claims() map[descriptor.ShardID]applier.Claim {
	holders := make(map[descriptor.ShardID]applier.Claim, len(d.claimers))
	for _, c := range d.claimers {
		holders[c.Shard()] = d.local.Claim(c.Shard())
	}
	return holders
}
