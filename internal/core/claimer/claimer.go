// Package claimer elects the holder of a shard and decides until when that host may act for the shard.
//
// A shard changes holder only by a claim record that takes effect at its offset in the
// platform's log. The epoch of the claim is the fencing token. The holder acts only within
// its window, a lease that starts when it sent the last read of the log's tail that showed
// its own epoch as the newest. Each claim may name an heir, the designated successor, which
// is the only host that may take over after one window. While the log can't be read, a
// confirmation of the heir that it has not claimed the shard extends the window like a read,
// but no further than Options.MaxExtension after the last read. A new holder waits until the former
// window has ended before it acts, or for the cap if it is not the heir.
// docs/design/claims.md has the reasons and spec/claims.pml the model.
//
// All times are those of the host's own monotonic clock. Options.Drift covers the difference
// between the rates of two hosts' clocks over one wait.
//
// # Usage
//
//	c := claimer.New(shard, self, claimer.Options{})
//	c.ObserveRead(now, sentAt, state.Claim(shard))
//	for _, command := range c.Tick(now, view) {
//		// append command.Claim or command.Release, or query command.QueryHeir
//	}
//	if c.CanAct(now) {
//		// dispatch
//	}
package claimer

import (
	_ "embed"
	"time"

	"lentilrock.example/internal/cell/applier"
	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/cell/recorder"
	"lentilrock.example/internal/chart/interpreter"
)

// States of a shard's claim on a host.
const (
	// StateClaiming means that a claim was sent and its result is not known.
	StateClaiming interpreter.State = "claiming"
	// StateHolding means that this host holds the shard and may act within its window.
	StateHolding interpreter.State = "holding"
	// StateIdle means that this host neither holds nor claims the shard.
	StateIdle interpreter.State = "idle"
	// StateLeaving means that a release was sent; this host acts no more.
	StateLeaving interpreter.State = "leaving"
	// StateReading means that the wait is over, and the inventories of the workers are
	// being read.
	StateReading interpreter.State = "reading"
	// StateRenaming means that this host holds the shard and has sent a claim for the next epoch, which names
	// another heir or clears Claim.Long (set if the claimant had to wait for Cap).
	StateRenaming interpreter.State = "renaming"
	// StateWaiting means that the claim took effect, and the former window may still be open.
	StateWaiting interpreter.State = "waiting"
)

// Events of a shard's claim.
const (
	// eventClaimFailed means that this host's claim will never take effect.
	eventClaimFailed interpreter.Event = "claim_failed"
	// eventClaimLost means that a claim other than the pending one took effect.
	eventClaimLost interpreter.Event = "claim_lost"
	eventClaimSent interpreter.Event = "claim_sent"
	eventClaimWon  interpreter.Event = "claim_won"
	// eventHeirClaimSent means that the holder has sent a claim for the next epoch.
	eventHeirClaimSent interpreter.Event = "heir_sent"
	eventInventoryRead interpreter.Event = "inventory_read"
	eventReleaseSent   interpreter.Event = "release_sent"
	eventReleased      interpreter.Event = "released"
	eventWaitOver      interpreter.Event = "wait_over"
)

//go:embed claim.chart
var chartText string

var chart = interpreter.MustParse("claim", chartText)

// Options are the timeouts of the claim protocol. A zero field takes its default value. All
// hosts of a cell must have the same options.
type Options struct {
	// Window is how long a holder may act after it sent a read of the log's tail.
	Window time.Duration
	// Drift is the maximum difference that two hosts' clocks accumulate over one wait.
	Drift time.Duration
	// MaxExtension is the time after the last read of the log up to which a window can be extended
	// without another read.
	MaxExtension time.Duration
	// FailureTimeout is the time without a heartbeat after which a host counts as failed.
	FailureTimeout time.Duration
	// Stagger is the delay between the claims of hosts with successive ranks, which keeps
	// them from claiming at the same time.
	Stagger time.Duration
}

// Defaults of Options.
const (
	DefaultWindow         = 2 * time.Second
	DefaultDrift          = 100 * time.Millisecond
	DefaultMaxExtension   = 10 * time.Minute
	DefaultFailureTimeout = 1500 * time.Millisecond
	DefaultStagger        = 500 * time.Millisecond
)

// WithDefaults returns the options with each zero field set to its default.
func (o Options) WithDefaults() Options {
	setDefault(&o.Window, DefaultWindow)
	setDefault(&o.Drift, DefaultDrift)
	setDefault(&o.MaxExtension, DefaultMaxExtension)
	setDefault(&o.FailureTimeout, DefaultFailureTimeout)
	setDefault(&o.Stagger, DefaultStagger)
	return o
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// Claimer is the state of one shard's claim on one host.
type Claimer struct {
	shard   descriptor.ShardID
	self    descriptor.HostID
	options Options

	machine interpreter.Machine
	// claim is the newest claim that a read of the log showed.
	claim applier.Claim
	// hasReadTail reports whether a read has reached the log's tail at least once.
	hasReadTail bool
	// lastRead is when the last read that reached the tail was sent.
	lastRead time.Time
	// windowEnd is the end of the window in which this host may act, if it holds the shard.
	windowEnd time.Time
	// readyAt is when the wait ends after the claim took effect.
	readyAt time.Time
	// pendingClaim is the claim that was sent and whose result is unknown; its epoch is 0 if
	// there is none.
	pendingClaim recorder.Claim
	// vacantSince is when this host first found that the shard needs a new holder.
	vacantSince time.Time
	// takeoverWait is how long this host waits once the pending claim has taken effect.
	takeoverWait time.Duration
	// mustRelease prevents new claims and makes a holder release the shard.
	mustRelease bool
}

// New returns a claimer that has not read the log yet.
func New(shard descriptor.ShardID, self descriptor.HostID, options Options) *Claimer {
	return &Claimer{shard: shard, self: self, options: options.WithDefaults(), machine: chart.Machine()}
}

// Shard returns the shard.
func (c *Claimer) Shard() descriptor.ShardID { return c.shard }

// State returns the current state, one of the State constants.
func (c *Claimer) State() interpreter.State { return c.machine.State() }

// Claim returns the newest claim that a read of the log showed.
func (c *Claimer) Claim() applier.Claim { return c.claim }

// Epoch returns the epoch of the newest known claim.
func (c *Claimer) Epoch() int64 { return c.claim.Epoch }

// WindowEnd returns the end of the window in which this host may act. It may be in the past.
func (c *Claimer) WindowEnd() time.Time { return c.windowEnd }

// LastRead returns when the last read that reached the tail was sent.
func (c *Claimer) LastRead() time.Time { return c.lastRead }

// IsHeir reports whether the newest known claim names this host as the heir.
func (c *Claimer) IsHeir() bool { return c.hasReadTail && c.claim.Heir == c.self }

// IsHolder reports whether the newest known claim names this host as the holder and has not
// been released. Unlike CanAct, it doesn't depend on the window.
func (c *Claimer) IsHolder() bool {
	return c.hasReadTail && c.claim.Epoch > 0 && c.claim.Holder == c.self && !c.claim.Released
}

// NeedsInventory reports whether the takeover waits only for the inventories of the shard's
// workers.
func (c *Claimer) NeedsInventory() bool { return c.machine.Is(StateReading) }

// CanAct reports whether this host may dispatch for the shard at now.
func (c *Claimer) CanAct(now time.Time) bool {
	return c.machine.Is(StateHolding, StateRenaming) && now.Before(c.windowEnd)
}

// ObserveRead applies the claim found by a read that was sent at sentAt and reached the tail
// of the log. If the claim is this host's own, the window is extended to sentAt plus
// Options.Window.
func (c *Claimer) ObserveRead(now, sentAt time.Time, claim applier.Claim) {
	if sentAt.After(c.lastRead) {
		c.lastRead = sentAt
	}
	c.hasReadTail = true
	if claim.Epoch >= c.claim.Epoch {
		c.observeClaim(now, claim)
	}
	isOwn := c.IsHolder() && c.machine.Is(StateHolding, StateRenaming, StateReading, StateWaiting)
	if isOwn && claim.Epoch == c.claim.Epoch {
		c.extendWindow(sentAt.Add(c.options.Window))
	}
}

// observeClaim replaces the newest known claim and handles a change of epoch or a release.
func (c *Claimer) observeClaim(now time.Time, claim applier.Claim) {
	isNew := claim.Epoch > c.claim.Epoch
	former := c.claim
	c.claim = claim
	switch {
	case isNew && claim.Holder == c.self && claim.Epoch == c.pendingClaim.Epoch:
		c.claimWon(now, former)
	case isNew && claim.Holder == c.self:
		// A claim of this host that it had discarded as failed took effect nevertheless.
		c.fire(eventClaimLost)
		c.pendingClaim = recorder.Claim{}
	case isNew:
		c.claimLost()
	case claim.Released && claim.Holder == c.self:
		c.fire(eventReleased)
	}
}

// claimWon handles the pending claim taking effect. A holder that has reclaimed its shard
// keeps its window. Any other host waits for takeoverWait before it acts.
func (c *Claimer) claimWon(now time.Time, former applier.Claim) {
	isReclaim := former.Holder == c.self && c.machine.Is(StateRenaming)
	c.pendingClaim = recorder.Claim{}
	c.vacantSince = time.Time{}
	c.fire(eventClaimWon)
	if isReclaim {
		return
	}
	c.windowEnd = time.Time{}
	c.readyAt = now.Add(c.takeoverWait)
}

// claimLost handles the claim of another host taking effect.
func (c *Claimer) claimLost() {
	if !c.machine.Is(StateIdle) {
		c.fire(eventClaimLost)
	}
	c.pendingClaim = recorder.Claim{}
	c.vacantSince = time.Time{}
	c.windowEnd = time.Time{}
}

// extendWindow moves the end of the window forward, never back.
func (c *Claimer) extendWindow(until time.Time) {
	if until.After(c.windowEnd) {
		c.windowEnd = until
	}
}

// fire applies an event to the state. An event that the chart does not list for the state is
// ignored.
func (c *Claimer) fire(event interpreter.Event) { c.machine.Try(event) }

// HeirConfirmed extends the window after the heir has confirmed, in reply to a query sent at
// askedAt, that it has neither sent nor won a claim that follows the epoch. The window ends
// at askedAt plus Options.Window, but no later than Options.MaxExtension after the last read. It
// reports whether the end of the window has moved.
func (c *Claimer) HeirConfirmed(askedAt time.Time, heir descriptor.HostID, epoch int64) bool {
	isUsable := c.machine.Is(StateHolding) && c.IsHolder() &&
		epoch == c.claim.Epoch && heir == c.claim.Heir
	if !isUsable {
		return false
	}
	until := askedAt.Add(c.options.Window)
	limit := c.lastRead.Add(c.options.MaxExtension)
	if until.After(limit) {
		until = limit
	}
	before := c.windowEnd
	c.extendWindow(until)
	return c.windowEnd.After(before)
}

// CanConfirm reports whether this host, as the heir, can confirm to the holder that it has
// neither sent nor won a claim that follows the epoch.
func (c *Claimer) CanConfirm(holder descriptor.HostID, epoch int64) bool {
	return c.IsHeir() && c.machine.Is(StateIdle) && c.pendingClaim.Epoch == 0 &&
		c.claim.Epoch == epoch && c.claim.Holder == holder
}

// InventoryRead completes the takeover: the inventories of the shard's workers are known.
func (c *Claimer) InventoryRead() {
	c.fire(eventInventoryRead)
}
