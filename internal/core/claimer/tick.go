package claimer

import (
	"slices"
	"time"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/cell/recorder"
)

// Membership is the availability of the platform's log and of the entry hosts of the data centre, as
// known to this host.
type Membership struct {
	// Live lists the hosts with a recent heartbeat and this host itself, sorted by name.
	Live []descriptor.HostID
	// CanAppend reports whether the log counts as up.
	CanAppend bool
}

// IsLive reports whether this incarnation of a host has sent a heartbeat recently.
func (v Membership) IsLive(host descriptor.HostID) bool {
	return slices.Contains(v.Live, host)
}

// HasEnded reports whether an incarnation of a host has ended: another incarnation of the same
// host is live, which the platform allows only after the former one has ended.
func (v Membership) HasEnded(host descriptor.HostID) bool {
	return slices.ContainsFunc(v.Live, func(other descriptor.HostID) bool {
		return other.Name == host.Name && other.Incarnation != host.Incarnation
	})
}

// Command is an action that the caller of Tick must carry out. Exactly one field is set.
type Command struct {
	// Claim is a record to append.
	Claim recorder.Claim
	// QueryHeir is the heir to query for a confirmation. The query must carry the time that
	// was passed to Tick, from which the window is extended.
	QueryHeir descriptor.HostID
	// Release is a record to append.
	Release recorder.Release
}

// Tick advances the state to now and returns the commands to carry out.
func (c *Claimer) Tick(now time.Time, view Membership) []Command {
	if c.machine.Is(StateWaiting) && !now.Before(c.readyAt) {
		c.fire(eventWaitOver)
	}
	switch {
	case !c.hasReadTail:
		return nil
	case c.mustRelease:
		return c.release()
	case c.IsHolder():
		return c.tickHolder(now, view)
	case c.machine.Is(StateIdle) && view.CanAppend:
		return c.tickIdle(now, view)
	}
	return nil
}

// tickHolder replaces a failed or missing heir, claims the next epoch once to clear Long, and extends the
// window once the last read of the log is older than half a window.
func (c *Claimer) tickHolder(now time.Time, view Membership) []Command {
	if !c.machine.Is(StateHolding) {
		return nil
	}
	heir := c.claim.Heir
	isHeirLive := !heir.IsZero() && view.IsLive(heir)
	if !isHeirLive && view.CanAppend {
		return c.replaceHeir(view)
	}
	if c.claim.Long && view.CanAppend {
		return c.reclaim(heir)
	}
	isReadStale := now.Sub(c.lastRead) > c.options.Window/2
	switch {
	case isReadStale && isHeirLive:
		return []Command{{QueryHeir: heir}}
	case isReadStale && heir.IsZero():
		c.extendWithoutHeir(now)
	}
	return nil
}

// extendWithoutHeir extends the window without a confirmation if there is no heir. This is
// safe up to the cap, since without an heir every claimant waits for the cap.
func (c *Claimer) extendWithoutHeir(now time.Time) {
	until := now.Add(c.options.Window)
	limit := c.lastRead.Add(c.options.MaxExtension)
	if until.After(limit) {
		until = limit
	}
	c.extendWindow(until)
}

// replaceHeir claims the next epoch with another live host as the heir, if there is one.
func (c *Claimer) replaceHeir(view Membership) []Command {
	next := c.chooseHeir(view)
	if next == c.claim.Heir || next.IsZero() {
		return nil
	}
	return c.reclaim(next)
}

// reclaim claims the next epoch for this host, which holds the shard, with the given heir. The new claim is
// not Long, so that a later claimant does not have to wait for the cap because of it.
func (c *Claimer) reclaim(heir descriptor.HostID) []Command {
	c.fire(eventHeirClaimSent)
	return []Command{{Claim: c.newClaim(heir, false)}}
}

// tickIdle claims the shard if it is free or its holder has failed, after a delay by rank.
func (c *Claimer) tickIdle(now time.Time, view Membership) []Command {
	holder := c.claim.Holder
	isFree := c.claim.Epoch == 0 || c.claim.Released
	if !isFree && view.IsLive(holder) {
		c.vacantSince = time.Time{}
		return nil
	}
	if c.vacantSince.IsZero() {
		c.vacantSince = now
	}
	if now.Sub(c.vacantSince) < c.claimDelay(view, isFree) {
		return nil
	}
	c.fire(eventClaimSent)
	isLong := !isFree && c.mustWaitCap(view)
	c.takeoverWait = c.options.Window + c.options.Drift
	switch {
	case isFree:
		c.takeoverWait = 0
	case isLong:
		c.takeoverWait = c.options.MaxExtension + c.options.Drift
	}
	return []Command{{Claim: c.newClaim(c.chooseHeir(view), isLong)}}
}

// mustWaitCap reports whether this host must wait for the cap after it has won the claim: an
// heir other than this host may still extend the former holder's window, or the former
// holder's claim is Long, that is, it had to wait for the cap itself.
func (c *Claimer) mustWaitCap(view Membership) bool {
	hasEnded := view.HasEnded(c.claim.Holder) || c.claim.Holder.Name == c.self.Name
	return c.claim.Long || (!c.IsHeir() && !hasEnded)
}

// claimDelay returns how long this host waits before it claims a vacant shard, so that the heir
// and then the hosts with a lower rank can claim first.
func (c *Claimer) claimDelay(view Membership, isFree bool) time.Duration {
	rank := c.rank(view)
	if isFree {
		return time.Duration(rank) * c.options.Stagger
	}
	if c.IsHeir() {
		return 0
	}
	if view.IsLive(c.claim.Heir) {
		return c.options.FailureTimeout + time.Duration(rank+1)*c.options.Stagger + c.options.Window
	}
	return c.options.FailureTimeout + time.Duration(rank)*c.options.Stagger
}

// rank returns this host's position, from 0, in the order in which the live hosts should hold
// the shard. The order results from rendezvous hashing.
func (c *Claimer) rank(view Membership) int {
	names := liveNames(view)
	for rank := 0; len(names) > 0; rank++ {
		first := descriptor.Rendezvous(c.shard.String(), names)
		if first == c.self.Name {
			return rank
		}
		names = slices.DeleteFunc(names, func(name string) bool { return name == first })
	}
	return 0
}

// chooseHeir returns the live host other than this one that rendezvous hashing selects as the
// heir, or the zero value if there is none.
func (c *Claimer) chooseHeir(view Membership) descriptor.HostID {
	names := slices.DeleteFunc(liveNames(view), func(name string) bool { return name == c.self.Name })
	name := descriptor.Rendezvous(c.shard.String()+"/heir", names)
	for _, host := range view.Live {
		if host.Name == name {
			return host
		}
	}
	return descriptor.HostID{}
}

// liveNames lists the names of the live hosts, each one once.
func liveNames(view Membership) []string {
	var names []string
	for _, host := range view.Live {
		if !slices.Contains(names, host.Name) {
			names = append(names, host.Name)
		}
	}
	return names
}

// newClaim sets the pending claim to one for the next epoch and returns it.
func (c *Claimer) newClaim(heir descriptor.HostID, isLong bool) recorder.Claim {
	c.pendingClaim = recorder.Claim{
		Shard: c.shard, Epoch: c.claim.Epoch + 1, Holder: c.self, Heir: heir, Long: isLong,
	}
	return c.pendingClaim
}

// ClaimFailed discards this host's pending claim of an epoch, which will never take effect: the log refused
// it, or it had no effect at its offset.
func (c *Claimer) ClaimFailed(epoch int64) {
	if c.pendingClaim.Epoch != epoch {
		return
	}
	c.pendingClaim = recorder.Claim{}
	c.vacantSince = time.Time{}
	c.fire(eventClaimFailed)
}

// SetLeaving makes the host release the shard and stop claiming it, or allows claims again. It
// must be set to true only while no request of the shard is in flight.
func (c *Claimer) SetLeaving(leaving bool) {
	c.mustRelease = leaving
}

// release releases the shard, if this host holds it, and ends the window at once.
func (c *Claimer) release() []Command {
	if !c.IsHolder() || !c.machine.Can(eventReleaseSent) {
		return nil
	}
	c.fire(eventReleaseSent)
	c.windowEnd = time.Time{}
	return []Command{{Release: recorder.Release{Shard: c.shard, Epoch: c.claim.Epoch}}}
}
