// Package claimant claims the cell for a host, by appending claims to the log. A claim is the record that makes one host the
// leader of the cell; the log shows which claim of an epoch won.
//
// # Usage
//
//	c := claimant.New(claimant.Options{
//		Self: name, Incarnation: id, Appender: appender, Clock: clock, Logger: logger,
//		Decide: decide, Terms: terms, OnAttempted: readClaims,
//	})
//	go c.Run(ctx)
//	attemptedEpoch, attemptedAt := c.Attempted()
//	sentAt := c.SentAt(epoch)
package claimant

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/node/pauser"
)

const (
	// claimTimeout bounds the append of a claim.
	claimTimeout = time.Second
	// electionInterval is how often a host checks whether to claim the cell.
	electionInterval = 50 * time.Millisecond
	// claimRetryPause is the pause after an attempt to claim the cell, so that a claim that the store
	// refused is not retried at once.
	claimRetryPause = 400 * time.Millisecond
)

// Options configure a Claimant.
type Options struct {
	// Self is this host's name.
	Self        string
	Incarnation string
	Appender    storer.Appender
	Clock       clockwork.Clock
	Logger      *zap.Logger
	// Decide returns the epoch to claim and the reason, or an empty reason if this host must not claim.
	Decide func() (int64, string)
	// Terms returns the claim of an epoch without the names of this host.
	Terms func(epoch int64) journaler.Claim
	// OnAttempted is called after each attempt, whether the store refused it or not.
	OnAttempted func()
}

// Claimant appends claims. It is safe for concurrent use.
type Claimant struct {
	options Options

	mu sync.Mutex
	// sentEpoch is the epoch of the last claim, and sentAt when it was first sent.
	sentEpoch int64
	sentAt    time.Time
	// attemptedEpoch is the highest epoch of a claim that was not refused, and attemptedAt when the reply to its
	// append arrived.
	attemptedEpoch int64
	attemptedAt    time.Time
}

// New returns a Claimant.
func New(options Options) *Claimant { return &Claimant{options: options} }

// Run periodically checks whether this host must claim the cell, and claims it, until ctx ends.
func (c *Claimant) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pauser.Pause(ctx, c.options.Clock, electionInterval)
		epoch, reason := c.options.Decide()
		if reason == "" {
			continue
		}
		c.Claim(ctx, c.options.Terms(epoch), reason)
		c.options.OnAttempted()
		pauser.Pause(ctx, c.options.Clock, claimRetryPause)
	}
}

// Claim appends a claim in the name of this host. Whether it won is read from the log. An epoch counts as
// attempted unless the store refused the append, after which it may be tried again.
func (c *Claimant) Claim(ctx context.Context, claim journaler.Claim, reason string) {
	claim.Host, claim.Incarnation = c.options.Self, c.options.Incarnation
	record, err := journaler.NewClaim(claim)
	if err != nil {
		c.options.Logger.Error("claim: Encoding the claim failed; the cell is not claimed.", zap.String("error", err.Error()))
		return
	}
	c.recordSent(claim.Epoch)
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	_, err = c.options.Appender.Append(claimCtx, storer.Append{Topic: storer.Claims, Records: []journaler.Record{record}, Epoch: claim.Epoch})
	outcome := "appended"
	if err != nil {
		outcome = err.Error()
	}
	c.options.Logger.Info("claim: Attempted to claim the cell.", zap.Int64("epoch", claim.Epoch),
		zap.String("reason", reason), zap.String("outcome", outcome))
	if !errors.Is(err, storer.ErrRefused) {
		c.recordAttempted(claim.Epoch)
	}
}

// recordSent records that a claim is about to be sent. An earlier attempt at the same epoch was refused.
func (c *Claimant) recordSent(epoch int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sentEpoch, c.sentAt = epoch, c.options.Clock.Now()
}

// recordAttempted records that the reply to the append of a claim arrived, and that it is not a refusal.
func (c *Claimant) recordAttempted(epoch int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attemptedEpoch, c.attemptedAt = epoch, c.options.Clock.Now()
}

// Attempted returns the highest epoch of a claim that the store did not refuse, and when the reply to its append,
// or the error that leaves its outcome open, arrived. Both are zero before the first.
func (c *Claimant) Attempted() (int64, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attemptedEpoch, c.attemptedAt
}

// SentAt returns when the claim of an epoch was first sent; zero if that was not the last claim.
func (c *Claimant) SentAt(epoch int64) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sentEpoch != epoch {
		return time.Time{}
	}
	return c.sentAt
}
