// Package dispatcher is the core of the host that holds the claim on a cell's workers: it
// follows what runs, decides what starts where, and says what must be kept.
//
// It does no input or output and takes the time from its caller. What the workers say goes
// in, orders come out. A task starts only after every worker that could still run it has
// answered under the present fencing token, has begun a new life, or has lost its lease.
//
// # Usage
//
//	d := dispatcher.New(options, state, now)
//	d.SetConfig(config)
//	d.SetWorkers(now, workers)
//	look, ok := d.NextLook(now, worker.ID)
//	d.Looked(now, look, inventory, orderer.Accepted)
//	d.Tick(now)
//	for _, order := range d.TakeOrders() {
//		// carry it out and report the answer
//	}
package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"lentilrock.example/internal/fleet/chooser"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/forgetter"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/minder"
	"lentilrock.example/internal/fleet/questioner"
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
	// renewalSlack is how long a former holder may go on renewing until a worker refuses it.
	renewalSlack = 2 * time.Second
	// silentAfter is when the runs at a worker that does not answer are kept.
	silentAfter = 800 * time.Millisecond
	// retryPause is the pause before an order without an answer is sent again.
	retryPause = 300 * time.Millisecond
	// refusedPause is the pause before a task is placed again that a worker refused.
	refusedPause = 50 * time.Millisecond
	// defaultHistory is how long ended jobs are told of: what callers are promised, and time
	// for submissions that were sent again and are under way.
	defaultHistory = 3 * time.Minute
	// maxForgotten bounds the jobs that are forgotten at a time.
	maxForgotten = 200
	// unknownGrace is how long a run of a job that is not known is left alone.
	unknownGrace = 2 * time.Second
)

// Options are the settings of a dispatcher.
type Options struct {
	// Epoch is that of the claim, and the fencing token of all orders.
	Epoch    int64
	Lease    time.Duration
	LookWait time.Duration
	HoldMax  time.Duration
	// History is how long ended jobs are told of.
	History time.Duration
	// RemoteFactor is how much slower a task is away from its data.
	RemoteFactor float64
	// Report takes a line for the log: a message and pairs of key and value.
	Report func(message string, fields ...any)
}

// Order is one of the orders of package orderer.
type Order any

// Dispatcher decides for a cell under one claim.
type Dispatcher struct {
	options   Options
	now       time.Time
	claimedAt time.Time
	// state is the fold of the log, which knows of jobs that have ended too.
	state *journaler.State

	queues  map[string]describer.Queue
	workers map[string]*minder.Worker
	// ordered are the workers by name.
	ordered []*minder.Worker
	jobs    map[describer.JobID]*tasker.Job
	chooser chooser.Chooser

	saver     saver.Saver
	questions questioner.Questioner
	forgetter forgetter.Forgetter
	orders    []Order
	isFenced  bool
}

// New returns a dispatcher that takes over the jobs of a state.
func New(options Options, state *journaler.State, now time.Time) *Dispatcher {
	options.Lease = cmp.Or(options.Lease, defaultLease)
	options.LookWait = cmp.Or(options.LookWait, defaultLookWait)
	options.HoldMax = cmp.Or(options.HoldMax, defaultHoldMax)
	options.History = cmp.Or(options.History, defaultHistory)
	options.Lease = min(options.Lease, options.HoldMax)
	options.RemoteFactor = max(options.RemoteFactor, 1)
	if options.Report == nil {
		options.Report = func(string, ...any) {}
	}
	d := &Dispatcher{
		options: options, now: now, claimedAt: now, state: state,
		queues: make(map[string]describer.Queue), workers: make(map[string]*minder.Worker),
		jobs: make(map[describer.JobID]*tasker.Job), chooser: chooser.Chooser{RemoteFactor: options.RemoteFactor},
	}
	ids := make([]describer.JobID, 0, len(state.Jobs))
	for id := range state.Jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		d.JobChanged(now, state.Jobs[id])
	}
	for _, member := range state.Roster.Members {
		w := d.addWorker(describer.Worker{ID: member.ID, Address: member.Address})
		w.IsSilent, w.IsEnrolled = member.IsSilent, !member.IsSilent
	}
	for _, id := range ids {
		d.adoptSilent(state.Jobs[id])
	}
	return d
}

// IsFenced reports that a worker has obeyed a later holder.
func (d *Dispatcher) IsFenced() bool { return d.isFenced }

// SetConfig takes in a configuration. Jobs of queues that are no longer listed keep their
// terms.
func (d *Dispatcher) SetConfig(config describer.Config) {
	clear(d.queues)
	for _, q := range config.Queues {
		d.queues[q.Name] = q
	}
	for _, j := range d.jobs {
		if q, found := d.queues[j.Queue.Name]; found {
			j.Queue = q
		}
	}
}

// JobChanged takes in a job that was accepted or cancelled.
func (d *Dispatcher) JobChanged(now time.Time, entry *journaler.Entry) {
	d.now = now
	if entry == nil || entry.Job == nil {
		return
	}
	j, found := d.jobs[entry.ID]
	if !found && (entry.Cancelled || entry.Progress.Outcome != journaler.OutcomeNone) {
		d.forgetter.Ended(entry.ID, now)
		return
	}
	if entry.Progress.Outcome != journaler.OutcomeNone {
		return
	}
	if !found {
		j = tasker.NewJob(entry)
		if q, listed := d.queues[j.Queue.Name]; listed {
			j.Queue = q
		}
		// A former holder that does not know of the claim yet could have started it too.
		j.MayRunElsewhere = now.Sub(d.claimedAt) < renewalSlack
		d.jobs[entry.ID] = j
	}
	if entry.Cancelled && !j.Cancelled {
		j.Cancelled = true
		d.endJob(j)
	}
}

// endJob stops what a job runs. The job is forgotten once nothing of it runs.
func (d *Dispatcher) endJob(j *tasker.Job) {
	for r := range j.Runs {
		d.stop(r)
	}
}

// Tick does what is due: settles silent workers, repeats orders and places tasks.
func (d *Dispatcher) Tick(now time.Time) {
	d.now = now
	for _, w := range d.ordered {
		d.tickWorker(w)
	}
	d.forgetWorkers()
	d.place()
	d.forgetJobs()
}

// TakeOrders returns the orders since the last call.
func (d *Dispatcher) TakeOrders() []Order {
	orders := d.orders
	d.orders = nil
	return orders
}

// order adds an order to what goes out.
func (d *Dispatcher) order(o Order) { d.orders = append(d.orders, o) }

// HasProgress reports whether there is something to keep.
func (d *Dispatcher) HasProgress() bool { return d.saver.HasProgress() }

// TakeProgress returns the records that must be kept, with the number of their batch.
func (d *Dispatcher) TakeProgress() ([]journaler.Record, int64) {
	records, batch, err := d.saver.Take(d.options.Epoch, d.ordered)
	if err != nil {
		d.options.Report("Progress can't be encoded.", "error", err.Error())
	}
	return records, batch
}

// Saved reports that the batches up to one are kept, so their ends may be forgotten.
func (d *Dispatcher) Saved(batch int64) { d.saver.Saved(batch, d.ordered) }

// forgetJobs drops the jobs of which nothing runs and whose end is kept. Before that, an
// older record of a job that is read back would begin it anew.
func (d *Dispatcher) forgetJobs() {
	for id, j := range d.jobs {
		if j.IsOver() && len(j.Runs) == 0 && d.saver.IsKept(j) {
			delete(d.jobs, id)
			d.forgetter.Ended(id, d.now)
		}
	}
}

// Forgettable returns jobs that ended so long ago that their records may be removed.
func (d *Dispatcher) Forgettable(now time.Time) []describer.JobID {
	return d.forgetter.Due(now, d.options.History, maxForgotten)
}

// Forgotten takes in that the submissions of the jobs that Forgettable returned are removed.
func (d *Dispatcher) Forgotten(ids []describer.JobID) {
	d.forgetter.Forgotten(ids)
	d.saver.Forget(ids)
}
