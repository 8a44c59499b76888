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
	"slices"
	"time"

	"lentilrock.example/internal/work/describer"
	"lentilrock.example/internal/work/journaler"
	"lentilrock.example/internal/work/orderer"
)

// Defaults of the options.
const (
	// defaultLease outlives the detection of a dead holder and a takeover.
	defaultLease = 4500 * time.Millisecond
	// defaultLookWait renews each lease several times before it ends.
	defaultLookWait = 700 * time.Millisecond
	// defaultHoldMax is the longest lease that a worker grants.
	defaultHoldMax = 6 * time.Second
)

const (
	// clockDrift is how much slower a worker's clock may run, with a margin: 2% is promised.
	clockDrift = 0.04
	// lapseSlack covers the worker's own delay in ending what has lapsed.
	lapseSlack = 200 * time.Millisecond
	// renewalSlack is how long a former holder may go on renewing until a worker refuses it.
	renewalSlack = 2 * time.Second
	// silence is how long a worker may go without an answer before nothing is started there.
	silence = 1500 * time.Millisecond
	// retryPause is the pause before an order without an answer is sent again.
	retryPause = 300 * time.Millisecond
	// runsPerEpoch separates the numbers of runs of successive holders.
	runsPerEpoch = 256
)

// Options are the settings of a dispatcher.
type Options struct {
	// Epoch is that of the claim, and the fencing token of all orders.
	Epoch    int64
	Lease    time.Duration
	LookWait time.Duration
	HoldMax  time.Duration
	// RemoteFactor is how much slower a task is away from its data.
	RemoteFactor float64
	// Report takes a line for the log: a message and pairs of key and value.
	Report func(message string, fields ...any)
}

// Order is one of orderer.Start, orderer.Stop, orderer.Pace and orderer.Advise.
type Order any

// Dispatcher decides for a cell under one claim.
type Dispatcher struct {
	options Options
	now     time.Time
	// claimedAt and claimOffset are those of the claim.
	claimedAt   time.Time
	claimOffset int64

	services map[string]describer.Service
	queues   map[string]describer.Queue
	workers  map[string]*worker
	// ordered are the workers by name.
	ordered []*worker
	jobs    map[describer.JobID]*job

	dirty map[*job]bool
	// batch numbers what is taken to be kept; ends are acknowledged once theirs is kept.
	batch int64
	// savedBatch is the newest batch that is kept.
	savedBatch int64
	orders     []Order
	// goodShare is the share of workers that advice names, by queue.
	goodShare map[string]float64
	fenced    bool
}

// New returns a dispatcher that takes over the jobs of a state.
func New(options Options, state *journaler.State, now time.Time) *Dispatcher {
	if options.Lease == 0 {
		options.Lease = defaultLease
	}
	if options.LookWait == 0 {
		options.LookWait = defaultLookWait
	}
	if options.HoldMax == 0 {
		options.HoldMax = defaultHoldMax
	}
	options.Lease = min(options.Lease, options.HoldMax)
	if options.RemoteFactor < 1 {
		options.RemoteFactor = 1
	}
	if options.Report == nil {
		options.Report = func(string, ...any) {}
	}
	d := &Dispatcher{
		options: options, now: now, claimedAt: now, claimOffset: state.ClaimOffset,
		services: make(map[string]describer.Service), queues: make(map[string]describer.Queue),
		workers: make(map[string]*worker), jobs: make(map[describer.JobID]*job),
		dirty: make(map[*job]bool), batch: 1, goodShare: make(map[string]float64),
	}
	ids := make([]describer.JobID, 0, len(state.Jobs))
	for id := range state.Jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		d.JobChanged(now, state.Jobs[id])
	}
	return d
}

// IsFenced reports that a worker has obeyed a later holder.
func (d *Dispatcher) IsFenced() bool { return d.fenced }

// SetConfig takes in a configuration. Queues that are no longer listed keep their terms for
// the jobs that they have.
func (d *Dispatcher) SetConfig(config describer.Config) {
	clear(d.services)
	for _, s := range config.Services {
		d.services[s.Name] = s
	}
	clear(d.queues)
	for _, q := range config.Queues {
		d.queues[q.Name] = q
	}
	for _, j := range d.jobs {
		if q, found := d.queues[j.queue.Name]; found {
			j.queue = q
		}
	}
}

// JobChanged takes in a job that was accepted or cancelled.
func (d *Dispatcher) JobChanged(now time.Time, entry *journaler.Entry) {
	d.now = now
	if entry == nil || entry.Job == nil || entry.Progress.Outcome != journaler.OutcomeNone {
		return
	}
	j, found := d.jobs[entry.ID]
	if !found {
		if entry.Cancelled && entry.JobOffset > d.claimOffset {
			return
		}
		j = newJob(entry)
		if q, listed := d.queues[j.queue.Name]; listed {
			j.queue = q
		}
		d.jobs[entry.ID] = j
	}
	if entry.Cancelled && !j.cancelled {
		j.cancelled = true
		d.endJob(j)
	}
}

// endJob stops what a job runs. The job is forgotten once nothing of it runs.
func (d *Dispatcher) endJob(j *job) {
	for r := range j.runs {
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

// TakeProgress returns the records that must be kept, with the number of their batch.
func (d *Dispatcher) TakeProgress() ([]journaler.Record, int64) {
	batch := d.batch
	d.batch++
	var records []journaler.Record
	jobs := make([]*job, 0, len(d.dirty))
	for j := range d.dirty {
		jobs = append(jobs, j)
	}
	clear(d.dirty)
	slices.SortFunc(jobs, func(a, b *job) int { return compareIDs(a.spec.ID, b.spec.ID) })
	for _, j := range jobs {
		record, err := journaler.NewProgress(j.spec.ID, j.progress(d.options.Epoch))
		if err != nil {
			d.options.Report("A job's progress can't be encoded.", "job", j.spec.ID, "error", err.Error())
			d.dirty[j] = true
			continue
		}
		j.batch = batch
		records = append(records, record)
	}
	return records, batch
}

// HasProgress reports whether there is something to keep.
func (d *Dispatcher) HasProgress() bool { return len(d.dirty) > 0 }

// Saved reports that the batches up to one are kept, so their ends may be forgotten.
func (d *Dispatcher) Saved(batch int64) {
	d.savedBatch = max(d.savedBatch, batch)
	for _, w := range d.ordered {
		w.saved(batch)
	}
}

// forgetJobs drops the jobs of which nothing runs and whose end is kept. Before that, an
// older record of a job that is read back would begin it anew.
func (d *Dispatcher) forgetJobs() {
	for id, j := range d.jobs {
		if j.isOver() && len(j.runs) == 0 && !d.dirty[j] && j.batch <= d.savedBatch {
			delete(d.jobs, id)
		}
	}
}

// order adds an order to what goes out.
func (d *Dispatcher) order(o Order) { d.orders = append(d.orders, o) }

// stop ends a run at its worker, unless that is under way.
func (d *Dispatcher) stop(r *run) {
	if r.stopping {
		return
	}
	r.stopping = true
	d.sendStop(r)
}

func (d *Dispatcher) sendStop(r *run) {
	r.stopSentAt = d.now
	d.order(orderer.Stop{Worker: r.worker.info, Task: r.ref, Run: r.number, Token: d.options.Epoch})
}
