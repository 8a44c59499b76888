// Package claimer decides which host may dispatch for a shard, and until when.
//
// A shard changes holder only by a claim record at its offset in the log. The holder
// acts only inside its window, which counts from the moment when it sent the last
// read of the log's tail that showed its own epoch as the newest. While the log can't
// be read, the word of the heir, the only host that may claim next after one window,
// stands in for a read, up to a cap. A claimant waits out the former window, or the cap
// where it is not the heir, before it acts. docs/design/claims.md has the reasons and
// spec/claims.pml the model.
//
// All times are of one monotonic clock of the host; the options' Drift covers the
// difference between the rates of two hosts' clocks over one wait.
//
// # Usage
//
//	c := claimer.New(shard, self, claimer.Options{})
//	c.ObserveRead(now, sentAt, state.Claim(shard))
//	for _, move := range c.Tick(now, view) {
//		// append move.Claim, or ask move.AskHeir for its word
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

// States of a shard on a host.
const (
	StateClaiming interpreter.State = "claiming"
	StateHolding  interpreter.State = "holding"
	StateIdle     interpreter.State = "idle"
	StateLeaving  interpreter.State = "leaving"
	StateReading  interpreter.State = "reading"
	StateRenaming interpreter.State = "renaming"
	StateWaiting  interpreter.State = "waiting"
)

const (
	eventClaimFailed   interpreter.Event = "claim_failed"
	eventClaimLost     interpreter.Event = "claim_lost"
	eventClaimSent     interpreter.Event = "claim_sent"
	eventClaimWon      interpreter.Event = "claim_won"
	eventHeirSent      interpreter.Event = "heir_sent"
	eventInventoryRead interpreter.Event = "inventory_read"
	eventReleaseSent   interpreter.Event = "release_sent"
	eventReleased      interpreter.Event = "released"
	eventWaitOver      interpreter.Event = "wait_over"
)

//go:embed claim.chart
var chartText string

var chart = interpreter.MustParse("claim", chartText)

// Options are the times of the protocol. A zero field takes its default. All hosts of a
// cell must have the same ones.
type Options struct {
	// Window is how long a host may act after it sent a read of the log's tail.
	Window time.Duration
	// Drift covers the difference of two clocks' rates over a wait.
	Drift time.Duration
	// Cap is how long a window can live on the heir's word without a read of the log.
	Cap time.Duration
	// Suspect is the silence after which a host counts as gone.
	Suspect time.Duration
	// Stagger is the delay between the claims of hosts that rank one after the other.
	Stagger time.Duration
}

// Defaults of Options.
const (
	DefaultWindow  = 2 * time.Second
	DefaultDrift   = 100 * time.Millisecond
	DefaultCap     = 10 * time.Minute
	DefaultSuspect = 1500 * time.Millisecond
	DefaultStagger = 500 * time.Millisecond
)

// WithDefaults returns the options with each zero field set to its default.
func (o Options) WithDefaults() Options {
	setDefault(&o.Window, DefaultWindow)
	setDefault(&o.Drift, DefaultDrift)
	setDefault(&o.Cap, DefaultCap)
	setDefault(&o.Suspect, DefaultSuspect)
	setDefault(&o.Stagger, DefaultStagger)
	return o
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// Claimer is the life of one shard on one host.
type Claimer struct {
	shard   descriptor.ShardID
	self    descriptor.HostID
	options Options

	machine interpreter.Machine
	// claim is the newest claim that a read of the log showed.
	claim applier.Claim
	// known reports whether the log's tail was read at least once.
	known bool
	// lastRead is when the last read that reached the tail was sent.
	lastRead time.Time
	// windowEnd is the end of the right to act, where the shard is held.
	windowEnd time.Time
	// readyAt is when a claimant that won may act.
	readyAt time.Time
	// pending is the claim whose fate is unknown; its epoch is 0 where there is none.
	pending recorder.Claim
	// vacantSince is when this host first saw that the shard needs a new holder.
	vacantSince time.Time
	// wait is how long this host holds back once the pending claim is won.
	wait time.Duration
	// isLeaving stops new claims.
	isLeaving bool
}

// New returns a claimer that knows nothing of the log yet.
func New(shard descriptor.ShardID, self descriptor.HostID, options Options) *Claimer {
	return &Claimer{shard: shard, self: self, options: options.WithDefaults(), machine: chart.Machine()}
}

// Shard returns the shard.
func (c *Claimer) Shard() descriptor.ShardID { return c.shard }

// State returns the present state of the chart.
func (c *Claimer) State() interpreter.State { return c.machine.State() }

// Claim returns the newest claim that a read of the log showed.
func (c *Claimer) Claim() applier.Claim { return c.claim }

// Epoch returns the epoch of the newest known claim.
func (c *Claimer) Epoch() int64 { return c.claim.Epoch }

// WindowEnd returns the end of the right to act; it may be past.
func (c *Claimer) WindowEnd() time.Time { return c.windowEnd }

// LastRead returns when the last read that reached the tail was sent.
func (c *Claimer) LastRead() time.Time { return c.lastRead }

// IsHeir reports whether this host may claim next after one window.
func (c *Claimer) IsHeir() bool { return c.known && c.claim.Heir == c.self }

// IsHolder reports whether the log names this host as the holder.
func (c *Claimer) IsHolder() bool {
	return c.known && c.claim.Epoch > 0 && c.claim.Holder == c.self && !c.claim.Released
}

// NeedsInventory reports whether the claimant waits only for its workers' inventory.
func (c *Claimer) NeedsInventory() bool { return c.machine.Is(StateReading) }

// CanAct reports whether this host may dispatch for the shard at now.
func (c *Claimer) CanAct(now time.Time) bool {
	return c.machine.Is(StateHolding, StateRenaming) && now.Before(c.windowEnd)
}

// ObserveRead takes in what a read of the log showed that reached the tail and was sent
// at sentAt.
func (c *Claimer) ObserveRead(now, sentAt time.Time, claim applier.Claim) {
	if sentAt.After(c.lastRead) {
		c.lastRead = sentAt
	}
	c.known = true
	if claim.Epoch >= c.claim.Epoch {
		c.observeClaim(now, claim)
	}
	isOwn := c.IsHolder() && c.machine.Is(StateHolding, StateRenaming, StateReading, StateWaiting)
	if isOwn && claim.Epoch == c.claim.Epoch {
		c.extend(sentAt.Add(c.options.Window))
	}
}

func (c *Claimer) observeClaim(now time.Time, claim applier.Claim) {
	isNew := claim.Epoch > c.claim.Epoch
	former := c.claim
	c.claim = claim
	switch {
	case isNew && claim.Holder == c.self && claim.Epoch == c.pending.Epoch:
		c.win(now, former)
	case isNew && claim.Holder == c.self:
		// A claim of this host that was given up for lost took effect after all.
		c.fire(eventClaimLost)
		c.pending = recorder.Claim{}
	case isNew:
		c.lose()
	case claim.Released && claim.Holder == c.self:
		c.fire(eventReleased)
	}
}

func (c *Claimer) win(now time.Time, former applier.Claim) {
	isOwnBefore := former.Holder == c.self && c.machine.Is(StateRenaming)
	c.pending = recorder.Claim{}
	c.vacantSince = time.Time{}
	c.fire(eventClaimWon)
	if isOwnBefore {
		return
	}
	c.windowEnd = time.Time{}
	c.readyAt = now.Add(c.wait)
}

func (c *Claimer) lose() {
	if !c.machine.Is(StateIdle) {
		c.fire(eventClaimLost)
	}
	c.pending = recorder.Claim{}
	c.vacantSince = time.Time{}
	c.windowEnd = time.Time{}
}

// extend moves the end of the window forward, never back.
func (c *Claimer) extend(until time.Time) {
	if until.After(c.windowEnd) {
		c.windowEnd = until
	}
}

func (c *Claimer) fire(event interpreter.Event) { c.machine.Try(event) }

// HeirWord takes in the heir's word, asked for at askedAt, that it has no claim on the
// epoch made or under way. It reports whether the window moved.
func (c *Claimer) HeirWord(askedAt time.Time, heir descriptor.HostID, epoch int64) bool {
	isUsable := c.machine.Is(StateHolding) && c.IsHolder() &&
		epoch == c.claim.Epoch && heir == c.claim.Heir
	if !isUsable {
		return false
	}
	until := askedAt.Add(c.options.Window)
	limit := c.lastRead.Add(c.options.Cap)
	if until.After(limit) {
		until = limit
	}
	before := c.windowEnd
	c.extend(until)
	return c.windowEnd.After(before)
}

// GiveWord answers a holder that asks whether this host has no claim on its epoch made
// or under way.
func (c *Claimer) GiveWord(holder descriptor.HostID, epoch int64) bool {
	return c.IsHeir() && c.machine.Is(StateIdle) && c.pending.Epoch == 0 &&
		c.claim.Epoch == epoch && c.claim.Holder == holder
}

// InventoryRead says that the workers' inventory of the shard is known.
func (c *Claimer) InventoryRead() {
	c.fire(eventInventoryRead)
}
