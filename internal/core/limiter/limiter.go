// Package limiter holds the limits of callers' requests.
//
// # Usage
//
//	limits := limiter.Options{MaxQueued: 100}.WithDefaults()
package limiter

import (
	"cmp"
	"time"
)

// Options are the limits of requests. A zero field takes its default.
type Options struct {
	// MaxQueued bounds the requests that wait for a slot of one service.
	MaxQueued int
	// MaxAttempts bounds the dispatches of a request that may be repeated.
	MaxAttempts int
	// Candidates is how many upstreams an intent names.
	Candidates int
	// Settle is how long after the end of a connection an upstream may still begin the
	// request that was sent on it.
	Settle time.Duration
	// RefuseInOutage refuses requests that may not be repeated while the log is down,
	// in place of leaving their intents with the heir.
	RefuseInOutage bool
	// RetryTokens is how many retries a service may have in reserve; each answered
	// request earns a tenth of one.
	RetryTokens float64
}

// Defaults of Options.
const (
	DefaultMaxQueued   = 2048
	DefaultMaxAttempts = 3
	DefaultCandidates  = 3
	DefaultSettle      = 2 * time.Second
	DefaultRetryTokens = 50
)

// WithDefaults returns the options with each zero field set to its default.
func (o Options) WithDefaults() Options {
	o.MaxQueued = cmp.Or(o.MaxQueued, DefaultMaxQueued)
	o.MaxAttempts = cmp.Or(o.MaxAttempts, DefaultMaxAttempts)
	o.Candidates = cmp.Or(o.Candidates, DefaultCandidates)
	o.Settle = cmp.Or(o.Settle, DefaultSettle)
	o.RetryTokens = cmp.Or(o.RetryTokens, DefaultRetryTokens)
	return o
}
