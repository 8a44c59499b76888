// Package registrar holds the state of the claim holder: the jobs that have not ended, the workers
// with their runs, the changes to persist, and the orders that have not been sent. The other packages
// of the dispatcher share this state, and each of them implements one concern.
//
// The claim is the record in the log that makes one host the leader.
//
// # Usage
//
//	r := registrar.New(options, state, now)
//	r.Order(orderer.Stop{...})
//	orders := r.TakeOrders()
package registrar

import (
	"cmp"
	"time"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/monitor"
	"lentilrock.example/internal/fleet/persister"
	"lentilrock.example/internal/fleet/tasker"
)

// Defaults of the options.
const (
	// defaultLease is longer than the detection of a dead holder and a takeover together.
	defaultLease = 3500 * time.Millisecond
	// defaultPollWait is short enough to renew each lease several times before it expires.
	defaultPollWait = 700 * time.Millisecond
	// defaultMaxLease is the longest lease that a worker accepts.
	defaultMaxLease = 6 * time.Second
	// defaultHistory is how long the state of ended jobs can be queried: the time that callers
	// are promised, and a margin for submissions that are repeated and still in flight.
	defaultHistory = 3 * time.Minute
)

// Options are the settings of the dispatcher of a cell.
type Options struct {
	// Epoch is the epoch of the claim, and the fencing token of all orders.
	Epoch int64
	// Host is the name of the claim holder.
	Host     string
	Lease    time.Duration
	PollWait time.Duration
	// MaxLease is the longest lease that a worker accepts.
	MaxLease time.Duration
	// FormerLease is the longest lease that former holders may have granted.
	FormerLease time.Duration
	// ClaimSentAt is when the append of the claim was first sent; zero if it is unknown.
	ClaimSentAt time.Time
	// FormerSeenAt is when the last record of a former holder was read, which was sent before that; zero if
	// it is unknown.
	FormerSeenAt time.Time
	// History is how long the state of ended jobs can be queried.
	History time.Duration
	// RemoteFactor is how many times slower a task is on another rack than its data.
	RemoteFactor float64
	// MaxRuns is how many runs the holder may have active; 0 means any number.
	MaxRuns int
	// Observe adds a duration to the metric with the given name, and Count increments the
	// counter with the given name.
	Observe func(metric string, sample time.Duration)
	Count   func(metric string)
	// Report writes a log line: a message and pairs of key and value.
	Report func(message string, fields ...any)
}

// LongestLease returns the longest lease that a holder with these options, or a former holder,
// grants.
func (o Options) LongestLease() time.Duration {
	o = o.withDefaults()
	return max(o.Lease, o.FormerLease)
}

// OwnLease returns the longest lease that a holder with these options grants.
func (o Options) OwnLease() time.Duration { return o.withDefaults().Lease }

func (o Options) withDefaults() Options {
	o.Lease = cmp.Or(o.Lease, defaultLease)
	o.PollWait = cmp.Or(o.PollWait, defaultPollWait)
	o.MaxLease = cmp.Or(o.MaxLease, defaultMaxLease)
	o.History = cmp.Or(o.History, defaultHistory)
	o.Lease = min(o.Lease, o.MaxLease)
	if o.FormerLease <= 0 || o.FormerLease > o.MaxLease {
		o.FormerLease = o.MaxLease
	}
	o.RemoteFactor = max(o.RemoteFactor, 1)
	if o.Observe == nil {
		o.Observe = func(string, time.Duration) {}
	}
	if o.Count == nil {
		o.Count = func(string) {}
	}
	if o.Report == nil {
		o.Report = func(string, ...any) {}
	}
	return o
}

// Order is one of the order types of package orderer.
type Order any

// Registrar holds the state of the holder of one claim.
type Registrar struct {
	Options   Options
	Now       time.Time
	ClaimedAt time.Time
	// State is the result of applying the records of the log. It includes jobs that have ended.
	State   *journaler.State
	Queues  map[string]describer.Queue
	Workers map[string]*monitor.Worker
	// Ordered are the workers, sorted by ID.
	Ordered   []*monitor.Worker
	Jobs      map[describer.JobID]*tasker.Job
	Persister persister.Persister
	// IsFenced reports that a worker or the platform refused an order because it has seen a later
	// fencing token, so that a later holder exists.
	IsFenced bool
	orders   []Order
}

// New returns a registrar without jobs and workers.
func New(options Options, state *journaler.State, now time.Time) *Registrar {
	return &Registrar{
		Options: options.withDefaults(), Now: now, ClaimedAt: now, State: state,
		Queues: make(map[string]describer.Queue), Workers: make(map[string]*monitor.Worker),
		Jobs: make(map[describer.JobID]*tasker.Job),
	}
}

// Report writes a log line.
func (r *Registrar) Report(message string, fields ...any) { r.Options.Report(message, fields...) }

// Order adds an order to those that are to be sent.
func (r *Registrar) Order(o Order) { r.orders = append(r.orders, o) }

// TakeOrders returns and clears the orders that were added since the last call.
func (r *Registrar) TakeOrders() []Order {
	orders := r.orders
	r.orders = nil
	return orders
}

// RunAt returns a worker and a run on it. The run is nil if it is already resolved, and both
// are nil if the worker is unknown.
func (r *Registrar) RunAt(id string, ref describer.TaskRef, number int64) (*monitor.Worker, *tasker.Run) {
	w, found := r.Workers[id]
	if !found {
		return nil, nil
	}
	return w, w.Runs[monitor.RunKey{Ref: ref, Number: number}]
}
