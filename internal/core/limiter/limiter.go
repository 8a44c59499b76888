// Package limiter holds the limits and timeouts for callers' requests.
//
// # Usage
//
//	limits := limiter.Options{MaxQueued: 100}.WithDefaults()
package limiter

import (
	"cmp"
	"time"
)

// Options are the limits of requests. A zero field takes its default value.
type Options struct {
	// MaxQueued is the maximum number of requests of one service that wait for a slot.
	MaxQueued int
	// MaxAttempts is the maximum number of dispatches of one request.
	MaxAttempts int
	// Candidates is the maximum number of upstreams that an intent lists.
	Candidates int
	// LateStart is the time after the end of a connection during which an upstream may
	// still begin the request that was sent on it.
	LateStart time.Duration
	// RefuseInOutage refuses non-repeatable requests while the platform's log is down. By
	// default their intents are held by the heir, the shard's designated successor.
	RefuseInOutage bool
	// RetryTokens is the maximum retry budget of a service. Each retry costs one token,
	// and each answered request earns a tenth of one.
	RetryTokens float64
}

// Defaults of Options.
const (
	DefaultMaxQueued   = 2048
	DefaultMaxAttempts = 3
	DefaultCandidates  = 3
	DefaultLateStart   = 2 * time.Second
	DefaultRetryTokens = 50
)

// WithDefaults returns the options with each zero field set to its default.
func (o Options) WithDefaults() Options {
	o.MaxQueued = cmp.Or(o.MaxQueued, DefaultMaxQueued)
	o.MaxAttempts = cmp.Or(o.MaxAttempts, DefaultMaxAttempts)
	o.Candidates = cmp.Or(o.Candidates, DefaultCandidates)
	o.LateStart = cmp.Or(o.LateStart, DefaultLateStart)
	o.RetryTokens = cmp.Or(o.RetryTokens, DefaultRetryTokens)
	return o
}
