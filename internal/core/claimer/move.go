package claimer

import (
	"slices"
	"time"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/cell/recorder"
)

// View is what a host knows of the other hosts of its data centre.
type View struct {
	// Live lists the hosts that were heard of lately, this one included, by name.
	Live []descriptor.HostID
	// CanAppend reports whether the log took the last append or read.
	CanAppend bool
}

// IsLive reports whether a host was heard of lately.
func (v View) IsLive(host descriptor.HostID) bool {
	return slices.Contains(v.Live, host)
}

// HasEnded reports whether another life of the same host is live, which the platform
// allows only after the former has ended.
func (v View) HasEnded(host descriptor.HostID) bool {
	return slices.ContainsFunc(v.Live, func(other descriptor.HostID) bool {
		return other.Name == host.Name && other.Incarnation != host.Incarnation
	})
}

// Move is something that a claimer wants done; one of its fields is set.
type Move struct {
	// Claim is a record to append.
	Claim recorder.Claim
	// AskHeir is a host to ask for its word; the question's time is the move's.
	AskHeir descriptor.HostID
	// Release is a record to append.
	Release recorder.Release
}

// Tick returns what to do at now.
func (c *Claimer) Tick(now time.Time, view View) []Move {
	if c.machine.Is(StateWaiting) && !now.Before(c.readyAt) {
		c.fire(eventWaitOver)
	}
	switch {
	case !c.known:
		return nil
	case c.isLeaving:
		return c.leave()
	case c.IsHolder():
		return c.tickHolder(now, view)
	case c.machine.Is(StateIdle) && view.CanAppend:
		return c.tickIdle(now, view)
	}
	return nil
}

// tickHolder keeps the window open without the log, and the heir's place filled.
func (c *Claimer) tickHolder(now time.Time, view View) []Move {
	if !c.machine.Is(StateHolding) {
		return nil
	}
	heir := c.claim.Heir
	isHeirLive := !heir.IsZero() && view.IsLive(heir)
	if !isHeirLive && view.CanAppend {
		return c.renameHeir(view)
	}
	if c.claim.Long && view.CanAppend {
		return c.rename(heir)
	}
	isReadStale := now.Sub(c.lastRead) > c.options.Window/2
	switch {
	case isReadStale && isHeirLive:
		return []Move{{AskHeir: heir}}
	case isReadStale && heir.IsZero():
		c.extendAlone(now)
	}
	return nil
}

// extendAlone keeps the window open where there is no heir: any claimant then waits out
// the cap.
func (c *Claimer) extendAlone(now time.Time) {
	until := now.Add(c.options.Window)
	limit := c.lastRead.Add(c.options.Cap)
	if until.After(limit) {
		until = limit
	}
	c.extend(until)
}

func (c *Claimer) renameHeir(view View) []Move {
	next := c.chooseHeir(view)
	if next == c.claim.Heir || next.IsZero() {
		return nil
	}
	return c.rename(next)
}

func (c *Claimer) rename(heir descriptor.HostID) []Move {
	c.fire(eventHeirSent)
	return []Move{{Claim: c.propose(heir, false)}}
}

// tickIdle claims a shard that nobody else is about to hold.
func (c *Claimer) tickIdle(now time.Time, view View) []Move {
	holder := c.claim.Holder
	isFree := c.claim.Epoch == 0 || c.claim.Released
	if !isFree && view.IsLive(holder) {
		c.vacantSince = time.Time{}
		return nil
	}
	if c.vacantSince.IsZero() {
		c.vacantSince = now
	}
	if now.Sub(c.vacantSince) < c.patience(view, isFree) {
		return nil
	}
	c.fire(eventClaimSent)
	isLong := !isFree && c.mustWaitCap(view)
	c.wait = c.options.Window + c.options.Drift
	switch {
	case isFree:
		c.wait = 0
	case isLong:
		c.wait = c.options.Cap + c.options.Drift
	}
	return []Move{{Claim: c.propose(c.chooseHeir(view), isLong)}}
}

// mustWaitCap reports whether the former holder's window may still be stretched by an
// heir that is not this host.
func (c *Claimer) mustWaitCap(view View) bool {
	hasEnded := view.HasEnded(c.claim.Holder) || c.claim.Holder.Name == c.self.Name
	return c.claim.Long || (!c.IsHeir() && !hasEnded)
}

// patience returns how long this host leaves the claim to those that rank before it.
func (c *Claimer) patience(view View, isFree bool) time.Duration {
	rank := c.rank(view)
	if isFree {
		return time.Duration(rank) * c.options.Stagger
	}
	if c.IsHeir() {
		return 0
	}
	if view.IsLive(c.claim.Heir) {
		return c.options.Suspect + time.Duration(rank+1)*c.options.Stagger + c.options.Window
	}
	return c.options.Suspect + time.Duration(rank)*c.options.Stagger
}

// rank returns this host's place in the order in which the live hosts should hold the
// shard, from 0.
func (c *Claimer) rank(view View) int {
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

func (c *Claimer) chooseHeir(view View) descriptor.HostID {
	names := slices.DeleteFunc(liveNames(view), func(name string) bool { return name == c.self.Name })
	name := descriptor.Rendezvous(c.shard.String()+"/heir", names)
	for _, host := range view.Live {
		if host.Name == name {
			return host
		}
	}
	return descriptor.HostID{}
}

func liveNames(view View) []string {
	var names []string
	for _, host := range view.Live {
		if !slices.Contains(names, host.Name) {
			names = append(names, host.Name)
		}
	}
	return names
}

func (c *Claimer) propose(heir descriptor.HostID, isLong bool) recorder.Claim {
	c.pending = recorder.Claim{
		Shard: c.shard, Epoch: c.claim.Epoch + 1, Holder: c.self, Heir: heir, Long: isLong,
	}
	return c.pending
}

// ClaimFailed says that this host's claim of an epoch will never take effect: the log
// refused it, or it reached its offset without effect.
func (c *Claimer) ClaimFailed(epoch int64) {
	if c.pending.Epoch != epoch {
		return
	}
	c.pending = recorder.Claim{}
	c.vacantSince = time.Time{}
	c.fire(eventClaimFailed)
}

// SetLeaving stops claims and asks for a release, or lets the host claim again. It must be
// set only while nothing of the shard is in flight.
func (c *Claimer) SetLeaving(leaving bool) {
	c.isLeaving = leaving
}

func (c *Claimer) leave() []Move {
	if !c.IsHolder() || !c.machine.Can(eventReleaseSent) {
		return nil
	}
	c.fire(eventReleaseSent)
	c.windowEnd = time.Time{}
	return []Move{{Release: recorder.Release{Shard: c.shard, Epoch: c.claim.Epoch}}}
}
