// Package claimant appends claims of a host to the log. A claim is the record that makes one host the
// leader of the cell; the log shows which claim of an epoch won.
//
// # Usage
//
//	c := claimant.New(claimant.Options{Self: name, Incarnation: id, Appender: appender, Clock: clock, Logger: logger})
//	mayHaveTakenEffect := c.Claim(ctx, journaler.Claim{Epoch: epoch, Lease: lease, Authority: authority}, reason)
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
)

// claimTimeout bounds the append of a claim.
const claimTimeout = time.Second

// Options configure a Claimant.
type Options struct {
	// Self is this host's name.
	Self        string
	Incarnation string
	Appender    storer.Appender
	Clock       clockwork.Clock
	Logger      *zap.Logger
}

// Claimant appends claims. It is safe for concurrent use.
type Claimant struct {
	options Options

	mu sync.Mutex
	// sentEpoch is the epoch of the last claim, and sentAt when it was first sent.
	sentEpoch int64
	sentAt    time.Time
}

// New returns a Claimant.
func New(options Options) *Claimant { return &Claimant{options: options} }

// Claim appends a claim in the name of this host. It returns false if the store refused the append, so that the
// epoch may be tried again.
func (c *Claimant) Claim(ctx context.Context, claim journaler.Claim, reason string) bool {
	claim.Host, claim.Incarnation = c.options.Self, c.options.Incarnation
	record, err := journaler.NewClaim(claim)
	if err != nil {
		c.options.Logger.Error("claim: Encoding the claim failed; the cell is not claimed.", zap.String("error", err.Error()))
		return false
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
	return !errors.Is(err, storer.ErrRefused)
}

// recordSent records that a claim is about to be sent. An earlier attempt at the same epoch was refused.
func (c *Claimant) recordSent(epoch int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sentEpoch, c.sentAt = epoch, c.options.Clock.Now()
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
