// Package registrar holds what the holder of the claim knows and has decided: the jobs that
// have not ended, the workers with their runs, what must be kept, and the orders that have
// not gone out. The packages beside it work on it, one matter each.
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
	"lentilrock.example/internal/fleet/minder"
	"lentilrock.example/internal/fleet/saver"
	"lentilrock.example/internal/fleet/tasker"
)

// Defaults of the options.
const (
	// defaultLease outlives the detection of a dead holder and a takeover.
	defaultLease = 3500 * time.Millisecond
	// defaultLookWait renews each lease several times before it ends.
	defaultLookWait = 700 * time.Millisecond
	// defaultHoldMax is the longest lease that a worker grants.
	defaultHoldMax = 6 * time.Second
	// defaultHistory is how long ended jobs are told of: what callers are promised, and time
	// for submissions that were sent again and are under way.
	defaultHistory = 3 * time.Minute
)

// Options are the settings of a cell's dispatch.
type Options struct {
	// Epoch is that of the claim, and the fencing token of all orders.
	Epoch int64
	// Host is the holder's name.
	Host     string
	Lease    time.Duration
	LookWait time.Duration
	// HoldMax is the longest lease that a worker grants.
	HoldMax time.Duration
	// FormerLease is the longest that former holders may have promised.
	FormerLease time.Duration
	// History is how long ended jobs are told of.
	History time.Duration
	// RemoteFactor is how much slower a task is away from its data.
	RemoteFactor float64
	// Observe takes in how long something took, and Count that something happened, for metrics.
	Observe func(what string, took time.Duration)
	Count   func(what string)
	// Report takes a line for the log: a message and pairs of key and value.
	Report func(message string, fields ...any)
}

// LongestLease returns the longest lease that a holder with these options, or one before it,
// promises.
func (o Options) LongestLease() time.Duration {
	o = o.withDefaults()
	return max(o.Lease, o.FormerLease)
}

func (o Options) withDefaults() Options {
	o.Lease = cmp.Or(o.Lease, defaultLease)
	o.LookWait = cmp.Or(o.LookWait, defaultLookWait)
	o.HoldMax = cmp.Or(o.HoldMax, defaultHoldMax)
	o.History = cmp.Or(o.History, defaultHistory)
	o.Lease = min(o.Lease, o.HoldMax)
	o.FormerLease = min(cmp.Or(o.FormerLease, o.HoldMax), o.HoldMax)
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

// Order is one of the orders of package orderer.
type Order any

// Registrar holds the state under one claim.
type Registrar struct {
	Options   Options
	Now       time.Time
	ClaimedAt time.Time
	// State is the fold of the log, which knows of jobs that have ended too.
	State   *journaler.State
	Queues  map[string]describer.Queue
	Workers map[string]*minder.Worker
	// Ordered are the workers by name.
	Ordered []*minder.Worker
	Jobs    map[describer.JobID]*tasker.Job
	Saver   saver.Saver
	// IsFenced reports that a worker has obeyed a later holder.
	IsFenced bool
	orders   []Order
}

// New returns a registrar without jobs and workers.
func New(options Options, state *journaler.State, now time.Time) *Registrar {
	return &Registrar{
		Options: options.withDefaults(), Now: now, ClaimedAt: now, State: state,
		Queues: make(map[string]describer.Queue), Workers: make(map[string]*minder.Worker),
		Jobs: make(map[describer.JobID]*tasker.Job),
	}
}

// Report writes a line into the log.
func (r *Registrar) Report(message string, fields ...any) { r.Options.Report(message, fields...) }

// Order adds an order to what goes out.
func (r *Registrar) Order(o Order) { r.orders = append(r.orders, o) }

// TakeOrders returns the orders since the last call.
func (r *Registrar) TakeOrders() []Order {
	orders := r.orders
	r.orders = nil
	return orders
}

// RunAt returns a run at a worker; the run is nil where it was settled, and both are where
// the worker is gone.
func (r *Registrar) RunAt(id string, ref describer.TaskRef, number int64) (*minder.Worker, *tasker.Run) {
	w, found := r.Workers[id]
	if !found {
		return nil, nil
	}
	return w, w.Runs[minder.RunKey{Ref: ref, Number: number}]
}
