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
	return d.isCaretaker(now, c) && d.renounced[worker] != c.Epoch()
}

// isCaretaker reports whether this host renews the leases of a silent holder: only the
// heir does, only while the log is down, and not beyond the cap.
func (d *Decider) isCaretaker(now time.Time, c *claimer.Claimer) bool {
	return c.IsHeir() && !c.Claim().Released && !d.CanAppend() &&
		!d.View(now).IsLive(c.Claim().Holder) &&
		now.Sub(c.LastRead()) < d.options.Claims.Cap
}

// MayDeclareLost implements authorizer.Authority: the heir must have renounced the worker for
// as long as a lease runs.
func (d *Decider) MayDeclareLost(now time.Time, shard descriptor.ShardID, worker string) bool {
	c := d.claimer(shard)
	if c == nil || (!c.CanAct(now) && c.State() != claimer.StateReading) {
		return false
	}
	if now.Before(d.formerHeirUntil[shard]) {
		return false
	}
	if c.Claim().Heir.IsZero() {
		return true
	}
	at, found := d.promises[promiseKey(c, worker)]
	return found && now.Sub(at) > d.options.Tracker.Lease
}

// promiseKey names a worker together with the heir that renounced it.
func promiseKey(c *claimer.Claimer, worker string) string {
	return c.Shard().String() + " " + c.Claim().Heir.String() + " " + worker
}

// MayDispatch implements admitter.Authority.
func (d *Decider) MayDispatch(now time.Time, shard descriptor.ShardID) bool {
	c := d.claimer(shard)
	return c != nil && c.CanAct(now)
}

// MayAdmit implements admitter.Authority.
func (d *Decider) MayAdmit(now time.Time, shard descriptor.ShardID) bool {
	return !d.isGoing() && d.MayDispatch(now, shard)
}

// isGoing reports whether this host is to hold no shard: it leaves, or is drained.
func (d *Decider) isGoing() bool { return d.isLeaving || d.isDrained }

// Epoch implements authorizer.Authority and admitter.Authority.
func (d *Decider) Epoch(shard descriptor.ShardID) int64 {
	if c := d.claimer(shard); c != nil {
		return c.Epoch()
	}
	return 0
}

// CanAppend implements admitter.Authority.
func (d *Decider) CanAppend() bool {
	return d.readOK && !d.now.Before(d.appendBlocked)
}

// HasHeir implements admitter.Authority.
func (d *Decider) HasHeir(shard descriptor.ShardID) bool {
	c := d.claimer(shard)
	return c != nil && !c.Claim().Heir.IsZero() && d.View(d.now).IsLive(c.Claim().Heir)
}

// Job implements authorizer.Jobs.
func (d *Decider) Job(id descriptor.JobID) *applier.JobRecord {
	return d.local.Jobs[id]
}

// Request implements admitter.Requests: an intent that this host holds as an heir counts
// like one in the log.
func (d *Decider) Request(key string) *applier.Request {
	if known, found := d.local.Requests[key]; found {
		return known
	}
	if intent, found := d.held[key]; found {
		return &applier.Request{Intent: intent, HasIntent: true}
	}
	return nil
}

// View returns what this host knows of the others of its data centre.
func (d *Decider) View(now time.Time) claimer.View {
	return claimer.View{CanAppend: d.CanAppend(), Live: d.peers.Live(now)}
}

// tickClaims moves the claims of this host forward.
func (d *Decider) tickClaims(now time.Time, out *signaller.Outbox) {
	view := d.View(now)
	for _, c := range d.claimers {
		c.SetLeaving(d.isGoing() && d.admitter.InFlight(d.CanAppend()) == 0)
		for _, move := range c.Tick(now, view) {
			d.carryOut(now, c, move, out)
		}
		d.askAboutMatters(now, c, out)
	}
}

func (d *Decider) carryOut(now time.Time, c *claimer.Claimer, move claimer.Move, out *signaller.Outbox) {
	stream := recorder.DataCentreStream(d.options.DataCentre)
	switch {
	case move.Claim.Epoch > 0:
		d.noteFormerHeir(now, c, move.Claim.Heir)
		id := "claim." + c.Shard().String() + "." + d.options.Self.String() + "." + now.UTC().Format(time.RFC3339Nano)
		out.Add(signaller.Append{Stream: stream, Records: []recorder.Record{
			recorder.New(id, now, d.author, move.Claim),
		}})
	case move.Release.Epoch > 0:
		id := "release." + c.Shard().String() + "." + d.options.Self.String()
		out.Add(signaller.Append{Stream: stream, Records: []recorder.Record{
			recorder.New(id, now, d.author, move.Release),
		}})
	case !move.AskHeir.IsZero():
		out.Add(d.question(now, c))
	}
}

// noteFormerHeir remembers how long an heir that is replaced may renew leases.
func (d *Decider) noteFormerHeir(now time.Time, c *claimer.Claimer, next descriptor.HostID) {
	former := c.Claim().Heir
	if former.IsZero() || former == next || former == d.options.Self || d.View(now).HasEnded(former) {
		return
	}
	d.formerHeirUntil[c.Shard()] = now.Add(d.options.Claims.Cap + d.options.Tracker.Lease)
}

// askAboutMatters asks the heir to hold intents that the log lacks, and to renounce
// workers that are silent.
func (d *Decider) askAboutMatters(now time.Time, c *claimer.Claimer, out *signaller.Outbox) {
	canAsk := c.CanAct(now) || c.State() == claimer.StateReading
	if !canAsk || !d.HasHeir(c.Shard()) {
		return
	}
	question := d.question(now, c)
	if len(question.Held) > 0 || len(question.Renounce) > 0 {
		out.Add(question)
	}
}

func (d *Decider) question(now time.Time, c *claimer.Claimer) signaller.AskHeir {
	question := signaller.AskHeir{
		Heir: c.Claim().Heir, Shard: c.Shard(), Epoch: c.Epoch(), AskedAt: now,
		Held: d.admitter.Unheld(c.Shard()),
	}
	for _, worker := range d.tracker.Silent(c.Shard()) {
		if _, promised := d.promises[promiseKey(c, worker)]; !promised {
			question.Renounce = append(question.Renounce, worker)
		}
	}
	return question
}

// heirAsked gives this host's word as an heir.
func (d *Decider) heirAsked(e signaller.HeirAsked, out *signaller.Outbox) {
	c := d.claimer(e.Shard)
	ok := c != nil && c.GiveWord(e.Holder, e.Epoch)
	if ok {
		for _, intent := range e.Held {
			d.held[intent.Key] = intent
		}
		for _, worker := range e.Renounce {
			d.renounced[worker] = e.Epoch
		}
	}
	out.Add(signaller.AnswerHeir{Ref: e.Ref, OK: ok})
}

func (d *Decider) heirAnswered(now time.Time, e signaller.HeirAnswered, out *signaller.Outbox) {
	c := d.claimer(e.Shard)
	if c == nil || !e.OK || c.Epoch() != e.Epoch || c.Claim().Heir != e.Heir {
		return
	}
	c.HeirWord(e.AskedAt, e.Heir, e.Epoch)
	for _, worker := range e.Renounced {
		d.promises[promiseKey(c, worker)] = now
	}
	d.admitter.Held(now, e.Shard, e.HeldKeys, out)
}

// syncShards brings the tracker and the admitter in line with the claims.
func (d *Decider) syncShards(now time.Time, out *signaller.Outbox) {
	for _, c := range d.claimers {
		d.syncShard(now, c, out)
	}
	d.admitter.Drop(d.mayKeepRequests, out)
}

// mayKeepRequests reports whether a shard, given as "data_centre/index", is this host's.
func (d *Decider) mayKeepRequests(shard string) bool {
	for _, c := range d.claimers {
		if c.Shard().String() == shard {
			return c.IsHolder()
		}
	}
	return false
}

func (d *Decider) syncShard(now time.Time, c *claimer.Claimer, out *signaller.Outbox) {
	shard := c.Shard()
	switch {
	case c.NeedsInventory():
		d.takeOver(now, c, out)
	case c.IsHolder() && d.tracker.IsAcquired(shard):
		// The shard is held; a lapsed window changes nothing for what runs.
	case c.State() == claimer.StateWaiting || d.isCaretaker(now, c):
		d.follow(shard)
	case d.tracker.IsFollowed(shard):
		out.Report("A shard was given up.", "shard", shard.String())
		d.tracker.Drop(shard)
	}
}

func (d *Decider) follow(shard descriptor.ShardID) {
	if d.tracker.IsFollowed(shard) {
		return
	}
	d.tracker.Follow(shard)
	d.setWorkers(d.now, time.Time{})
}

// takeOver reads the inventory of a shard and then adopts its jobs.
func (d *Decider) takeOver(now time.Time, c *claimer.Claimer, out *signaller.Outbox) {
	shard := c.Shard()
	if !d.tracker.IsAcquired(shard) {
		d.tracker.Acquire(now, shard)
		d.writeHeld(now, c, out)
		out.Report("A shard is being taken over.", "shard", shard.String())
	}
	if !d.tracker.IsRead(now, shard) || !d.CanAppend() {
		return
	}
	c.InventoryRead()
	d.admitter.ForgetLoads()
	for _, job := range d.local.JobsInOrder() {
		id := job.Job.ID
		if job.IsOpen() && d.options.Layout.ShardOf(string(id)) == shard {
			d.adopt(now, shard, job, out)
		}
	}
	out.Report("A shard is held.", "shard", shard.String())
}

// writeHeld puts the intents that this host held as an heir into the log.
func (d *Decider) writeHeld(now time.Time, c *claimer.Claimer, out *signaller.Outbox) {
	for _, key := range sorter.Keys(d.held) {
		intent := d.held[key]
		if intent.Shard != c.Shard() {
			continue
		}
		intent.Epoch = c.Epoch()
		id := "intent." + key + "." + d.options.Self.String()
		out.Add(signaller.Append{Stream: recorder.DataCentreStream(d.options.DataCentre),
			Records: []recorder.Record{recorder.New(id, now, d.author, intent)}})
	}
}

// Holders returns the present claim of each shard of the data centre.
func (d *Decider) Holders() map[descriptor.ShardID]applier.Claim {
	holders := make(map[descriptor.ShardID]applier.Claim, len(d.claimers))
	for _, c := range d.claimers {
		holders[c.Shard()] = d.local.Claim(c.Shard())
	}
	return holders
}
