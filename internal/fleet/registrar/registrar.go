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
	"slices"
	"time"

	"lentilrock.example/internal/fleet/confirmer"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/estimator"
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
	// maxAuthority bounds what a claim in the log may say of the authority of former holders.
	maxAuthority = time.Minute
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
	// FormerAuthority is the longest time after the sending of their last append for which the leases of former
	// holders last.
	FormerAuthority time.Duration
	// ClaimSentAt is when the append of the claim was first sent; zero if it is unknown. FormerSeenAt is when the last
	// record of a former holder was read; if it is zero, the time of New counts.
	ClaimSentAt  time.Time
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

// LongestAuthority returns the longest time after the sending of its last append for which the leases of a holder with
// these options, or of a former holder, last.
func (o Options) LongestAuthority() time.Duration { return o.withDefaults().FormerAuthority }

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
	o.FormerAuthority = min(max(o.FormerAuthority, confirmer.Authority), maxAuthority)
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
	State  *journaler.State
	Queues map[string]describer.Queue
	// Workspaces are those of the newest configuration, by name.
	Workspaces map[string]describer.Workspace
	Workers    map[string]*monitor.Worker
	// Ordered are the workers, sorted by ID.
	Ordered []*monitor.Worker
	Jobs    map[describer.JobID]*tasker.Job
	// Estimator has what was learned of durations and speeds since the claim.
	Estimator *estimator.Estimator
	Persister persister.Persister
	// Claim tells for how long the holder may act.
	Claim confirmer.Confirmer
	// FormerSeenAt is when the last record of a former holder was read, which was sent before that.
	FormerSeenAt time.Time
	// FormerRosterEpoch is the epoch of the roster that was taken over.
	FormerRosterEpoch int64
	// IsFenced reports that a worker or the platform refused an order because it has seen a later
	// fencing token, so that a later holder exists.
	IsFenced bool
	orders   []Order
	// held are the tasks that wait for an append that is sent after their run was lost. needsConfirmation reports
	// that another decision waits for one.
	held              []heldTask
	needsConfirmation bool
}

// heldTask is a task whose run was lost at a time.
type heldTask struct {
	task  *tasker.Task
	since time.Time
}

// New returns a registrar without jobs and workers.
func New(options Options, state *journaler.State, now time.Time) *Registrar {
	r := &Registrar{
		Options: options.withDefaults(), Now: now, ClaimedAt: now, FormerSeenAt: options.FormerSeenAt, State: state,
		FormerRosterEpoch: state.RosterEpoch(),
		Queues:            make(map[string]describer.Queue), Workspaces: make(map[string]describer.Workspace),
		Workers: make(map[string]*monitor.Worker), Estimator: &estimator.Estimator{},
		Jobs: make(map[describer.JobID]*tasker.Job),
	}
	if r.FormerSeenAt.IsZero() {
		r.FormerSeenAt = now
	}
	r.Claim.Observe(now)
	if !options.ClaimSentAt.IsZero() {
		r.Claim.Confirm(options.ClaimSentAt)
	}
	return r
}

// MayDecide reports whether the holder may start tasks and send other orders: leases that it grants now may last as
// long as usual.
func (r *Registrar) MayDecide() bool { return r.Claim.Remaining(r.Now) >= r.Options.Lease }

// GrantableLease returns how long a lease that is granted now may last; 0 if none may be granted.
func (r *Registrar) GrantableLease() time.Duration {
	return min(r.Options.Lease, r.Claim.Remaining(r.Now))
}

// Hold prevents a task whose run was lost from starting until the claim is confirmed. The task may be nil.
func (r *Registrar) Hold(t *tasker.Task) {
	if t == nil {
		return
	}
	t.IsHeld = true
	r.held = append(r.held, heldTask{t, r.Now})
}

// RequestConfirmation records that a decision waits for an append that is sent from now on.
func (r *Registrar) RequestConfirmation() { r.needsConfirmation = true }

// NeedsConfirmation reports whether a decision waits for the next append.
func (r *Registrar) NeedsConfirmation() bool {
	return r.needsConfirmation || len(r.held) > 0 || !r.MayDecide()
}

// Confirm records that an append under the claim, which was sent at sentAt, has succeeded.
func (r *Registrar) Confirm(sentAt time.Time) {
	r.Claim.Confirm(sentAt)
	r.needsConfirmation = false
	released := slices.IndexFunc(r.held, func(h heldTask) bool { return !h.since.Before(sentAt) })
	if released < 0 {
		released = len(r.held)
	}
	for _, h := range r.held[:released] {
		h.task.IsHeld = false
	}
	r.held = slices.Delete(r.held, 0, released)
	for _, h := range r.held {
		h.task.IsHeld = true
	}
}

// MayHaveUnknownRuns reports whether a task that a former holder started could be on a worker that
// has not replied yet, and whether that could be one that the persisted progress leaves out for its size. Both
// are true while no worker is known.
func (r *Registrar) MayHaveUnknownRuns() (isUnknown, isUnlisted bool) {
	isUnknown, isUnlisted = len(r.Ordered) == 0, len(r.Ordered) == 0
	for _, w := range r.Ordered {
		isUnknown = isUnknown || w.MayHaveUnknownRuns(r.Claim.ConfirmedAt())
		isUnlisted = isUnlisted || w.MayHaveUnlistedRuns(r.Claim.ConfirmedAt())
	}
	return isUnknown, isUnlisted
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
