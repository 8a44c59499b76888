// Package dispatcher schedules the tasks of a cell on the host that holds the claim on the
// cell's workers. The claim is the record in the log that makes one host the leader; its epoch
// is the fencing token of all orders. The dispatcher tracks the runs at the workers, decides
// which task starts on which worker, and returns the records that have to be persisted.
//
// It does no I/O and takes the time from its caller: the caller passes in the replies of the
// workers and carries out the orders that TakeOrders returns. A task starts only after every
// worker that could still run it has replied under the current fencing token, has restarted
// with a new incarnation, or has lost its lease.
//
// # Usage
//
//	d := dispatcher.New(options, state, now)
//	d.SetConfig(config)
//	d.SetWorkers(now, workers)
//	poll, isKnown := d.NextPoll(now, worker.ID)
//	d.PollAnswered(now, poll, inventory, orderer.Accepted)
//	d.Tick(now)
//	for _, order := range d.TakeOrders() {
//		// send it and pass the reply to d.StartAnswered, d.StopAnswered and so on
//	}
package dispatcher

import (
	"iter"
	"time"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/container/sorter"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/evacuator"
	"lentilrock.example/internal/fleet/expirer"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/fleet/placer"
	"lentilrock.example/internal/fleet/reconciler"
	"lentilrock.example/internal/fleet/registrar"
	"lentilrock.example/internal/fleet/summarizer"
	"lentilrock.example/internal/fleet/tasker"
	"lentilrock.example/internal/fleet/throttler"
	"lentilrock.example/internal/fleet/watcher"
)

// maxRemovedJobs limits the jobs that RemovableJobs returns at a time.
const maxRemovedJobs = 200

// Options are the settings of a dispatcher.
type Options = registrar.Options

// Order is one of the orders of package orderer.
type Order = registrar.Order

// Dispatcher schedules the tasks of a cell under one claim. It is not safe for concurrent use.
type Dispatcher struct {
	registrar  *registrar.Registrar
	reconciler *reconciler.Reconciler
	throttler  *throttler.Throttler
	watcher    *watcher.Watcher
	placer     *placer.Placer
	evacuator  *evacuator.Evacuator
	expirer    expirer.Expirer
	// isPassive reports that the holder decides nothing, as its claim is not confirmed.
	isPassive bool
}

// New returns a dispatcher that takes over the unfinished jobs, the roster of workers and the
// persisted runs of a state.
func New(options Options, state *journaler.State, now time.Time) *Dispatcher {
	r := registrar.New(options, state, now)
	s, g := reconciler.New(r), throttler.New(r)
	d := &Dispatcher{registrar: r, reconciler: s, throttler: g, watcher: watcher.New(r, s, g), placer: placer.New(r, s), evacuator: evacuator.New(r, s)}
	entries := make([]*journaler.Entry, 0, len(state.Jobs))
	for _, id := range sorter.Keys(state.Jobs) {
		entries = append(entries, state.Jobs[id])
		d.JobChanged(now, state.Jobs[id])
	}
	d.watcher.Restore(state.Members(), entries)
	return d
}

// Registrar returns the jobs, workers and runs of the dispatcher. Callers must not change them.
func (d *Dispatcher) Registrar() *registrar.Registrar { return d.registrar }

// Summarizer returns a summary of the workspaces at a time. It must not be used after a change of the dispatcher.
func (d *Dispatcher) Summarizer(now time.Time) *summarizer.Summarizer {
	return summarizer.New(d.registrar, d.placer.Shares(), d.placer.LastLedger(), now)
}

// IsFenced reports whether a worker or the platform has refused an order because it has seen
// the fencing token of a later holder.
func (d *Dispatcher) IsFenced() bool { return d.registrar.IsFenced }

// SetConfig applies a configuration. Jobs whose queue is no longer listed keep the settings
// that the queue had before.
func (d *Dispatcher) SetConfig(config describer.Config) {
	clear(d.registrar.Queues)
	for _, q := range config.Queues {
		d.registrar.Queues[q.Name] = q
	}
	clear(d.registrar.Workspaces)
	for _, w := range config.Workspaces {
		d.registrar.Workspaces[w.Name] = w
	}
	d.placer.WorkspacesChanged()
	for _, j := range d.registrar.Jobs {
		if q, found := d.registrar.Queues[j.Queue.Name]; found {
			j.Queue = q
		}
	}
}

// JobChanged applies the log entry of a job that was accepted or cancelled.
func (d *Dispatcher) JobChanged(now time.Time, entry *journaler.Entry) {
	r := d.registrar
	r.Now = now
	if entry == nil || entry.Job == nil {
		return
	}
	d.placer.JobRead(entry.Job)
	j, found := r.Jobs[entry.ID]
	if entry.Progress.Outcome != journaler.OutcomeNone {
		if !found {
			d.expirer.Ended(entry.ID, now)
		}
		return
	}
	if !found {
		j = d.addJob(entry)
	}
	if entry.Cancelled && !j.IsOver() {
		j.Outcome = journaler.OutcomeCancelled
		r.Persister.MarkChanged(j)
		d.reconciler.StopAll(j)
	}
}

// AcceptJob returns the records that persist the submission of a job together with the beginning of its
// progress. Once they are durable, tasks of the job may start without another append. It returns none
// if the job is known already. The job's progress, if there is any, is left as it is: a record of its
// beginning would replace it, and a successor would run tasks again that are done.
func (d *Dispatcher) AcceptJob(id describer.JobID, submission journaler.Record) ([]journaler.Record, error) {
	entry, found := d.registrar.State.Jobs[id]
	switch {
	case found && entry.Job != nil:
		return nil, nil
	case found && entry.HasProgress():
		return []journaler.Record{submission}, nil
	}
	progress, err := journaler.NewProgress(id, journaler.Progress{Epoch: d.registrar.Options.Epoch})
	if err != nil {
		return nil, errors.Errorf("begin progress of job %q: %w", id, err)
	}
	// The progress comes first, so that it is known when the submission is applied.
	return []journaler.Record{progress, submission}, nil
}

// addJob adds the job of a log entry. Tasks of a job without persisted progress wait until a
// batch with its progress is persisted.
func (d *Dispatcher) addJob(entry *journaler.Entry) *tasker.Job {
	r := d.registrar
	j := newJob(entry)
	if q, listed := r.Queues[j.Queue.Name]; listed {
		j.Queue = q
	}
	r.Jobs[entry.ID] = j
	j.Estimator = r.Estimator
	// No task of a job starts before progress of the job is persisted, and a former holder can
	// no longer append any. So no task of a job without progress has ever been started.
	// Progress that this holder persisted with the submission has no runs yet.
	j.MayHaveUnknownRuns = entry.HasProgress() && entry.Progress.Epoch != r.Options.Epoch
	j.MayHaveUnlistedRuns = j.MayHaveUnknownRuns && entry.Progress.HasUnlistedRuns
	if !entry.HasProgress() || j.IsOver() {
		r.Persister.MarkChanged(j)
		j.FirstProgressBatch = r.Persister.Batch()
	}
	return j
}

// newJob returns the job of a log entry. A malformed one has failed and has no tasks: a host that accepted it
// has persisted it, and every holder reads it.
func newJob(entry *journaler.Entry) *tasker.Job {
	err := entry.Job.Validate()
	if err == nil {
		return tasker.NewJob(entry)
	}
	empty := *entry.Job
	empty.Steps, empty.Repeat = nil, 0
	j := tasker.NewJob(&journaler.Entry{ID: entry.ID, Job: &empty, JobOffset: entry.JobOffset})
	j.Outcome, j.Reason = journaler.OutcomeFailed, errors.Errorf("the job is malformed: %w", err).Error()
	return j
}

// Confirm records that an append under the claim, which was sent at sentAt, has succeeded, so that no other host had
// claimed the cell then.
func (d *Dispatcher) Confirm(sentAt time.Time) { d.registrar.Confirm(sentAt) }

// FormerHolderEnded records that the former holder grants no lease any more, and the ones before it none after earlierEnd.
func (d *Dispatcher) FormerHolderEnded(now, earlierEnd time.Time) {
	d.watcher.FormerHolderEnded(now, earlierEnd)
}

// NeedsConfirmation reports whether decisions wait for the next append under the claim.
func (d *Dispatcher) NeedsConfirmation() bool { return d.registrar.NeedsConfirmation() }

// MayOrderUnfenced reports whether an order to a service that may not check the fencing token may be sent.
func (d *Dispatcher) MayOrderUnfenced(now time.Time) bool {
	return d.registrar.Claim.MayOrderUnfenced(now)
}

// Tick runs the periodic work: it removes runs whose leases have expired, repeats unacknowledged
// stops, evacuates machines, places tasks and removes ended jobs. It decides nothing while the claim
// is not confirmed.
func (d *Dispatcher) Tick(now time.Time) {
	d.registrar.Now = now
	if !d.observeAuthority() {
		return
	}
	d.watcher.Tick()
	d.evacuator.Tick(now)
	d.placer.Place()
	d.removeEndedJobs()
}

// observeAuthority reports whether the holder may decide, and logs when that changes.
func (d *Dispatcher) observeAuthority() bool {
	r := d.registrar
	mayDecide := r.MayDecide()
	if mayDecide == d.isPassive {
		message := "Nothing is decided until an append under the claim succeeds."
		if mayDecide {
			message = "An append under the claim has succeeded again."
			d.watcher.RenewLeases()
		}
		r.Report(message, "last_append_sent", r.Claim.ConfirmedAt())
	}
	d.isPassive = !mayDecide
	return mayDecide
}

// TakeOrders returns the orders that were issued since the last call. They wait while the claim is not confirmed.
func (d *Dispatcher) TakeOrders() []Order {
	if !d.registrar.MayDecide() {
		return nil
	}
	return d.registrar.TakeOrders()
}

// SetWorkers applies the workers of the host list.
func (d *Dispatcher) SetWorkers(now time.Time, listed []describer.Worker) {
	d.watcher.SetWorkers(now, listed)
}

// WorkerIDs returns the ids of the workers to poll, in ascending order.
func (d *Dispatcher) WorkerIDs() iter.Seq[string] { return d.watcher.WorkerIDs() }

// NextPoll returns the next poll of a worker's inventory, or false if the worker was removed.
func (d *Dispatcher) NextPoll(now time.Time, id string) (orderer.Poll, bool) {
	return d.watcher.NextPoll(now, id)
}

// PollAnswered applies the reply to a poll, or the failure of the poll.
func (d *Dispatcher) PollAnswered(now time.Time, poll orderer.Poll, inventory orderer.Inventory, verdict orderer.Verdict) {
	d.watcher.PollAnswered(now, poll, inventory, verdict)
}

// StartAnswered applies the verdict on a start.
func (d *Dispatcher) StartAnswered(now time.Time, start orderer.Start, verdict orderer.Verdict) {
	d.reconciler.StartAnswered(now, start, verdict)
}

// StopAnswered applies the verdict on a stop.
func (d *Dispatcher) StopAnswered(now time.Time, stop orderer.Stop, verdict orderer.Verdict) {
	d.reconciler.StopAnswered(now, stop, verdict)
}

// PaceAnswered applies the verdict on an order that sets the speed of a filler task.
func (d *Dispatcher) PaceAnswered(now time.Time, pace orderer.Pace, verdict orderer.Verdict) {
	d.throttler.PaceAnswered(now, pace, verdict)
}

// SetWave adds a wave of upkeep. A wave with a known number is ignored.
func (d *Dispatcher) SetWave(now time.Time, wave describer.Wave) { d.evacuator.SetWave(now, wave) }

// NeedsMachines reports whether a wave is not completed yet, so that the caller has to pass the
// list of all machines to SetMachines.
func (d *Dispatcher) NeedsMachines() bool { return d.evacuator.HasOpenWaves() }

// SetMachines applies the list of all machines, which was requested at requestedAt.
func (d *Dispatcher) SetMachines(requestedAt time.Time, machines []describer.Machine) {
	d.evacuator.SetMachines(requestedAt, machines)
}

// UpkeepAnswered applies the verdict on an order to take a machine down.
func (d *Dispatcher) UpkeepAnswered(now time.Time, order orderer.Upkeep, verdict orderer.UpkeepVerdict) {
	d.evacuator.UpkeepAnswered(now, order, verdict)
}

// WaveReportFailed makes a later Tick issue the wave's report again, after the store did not
// accept it.
func (d *Dispatcher) WaveReportFailed(report orderer.WaveReport) { d.evacuator.ReportFailed(report) }

// SetAdviceHosts sets how many hosts can request advice concurrently.
func (d *Dispatcher) SetAdviceHosts(count int) { d.placer.SetAdviceHosts(count) }

// AdviceAnswered applies the reply to a request for advice; isAnswered is false if the request
// failed.
func (d *Dispatcher) AdviceAnswered(now time.Time, request orderer.AdviceRequest, reply orderer.Advice, isAnswered bool) {
	d.placer.AdviceAnswered(now, request, reply, isAnswered)
}

// HasProgress reports whether there are changes that have to be persisted.
func (d *Dispatcher) HasProgress() bool { return d.registrar.Persister.HasChanges() }

// TakeProgress returns the records that have to be persisted, with the number of their batch.
// Records that can't be encoded are reported to the log and left out.
func (d *Dispatcher) TakeProgress() ([]journaler.Record, int64) {
	r := d.registrar
	records, batch, err := r.Persister.Take(r.Options.Epoch, r.Now, r.Ordered)
	if err != nil {
		r.Report("Part of the progress can't be encoded and is not persisted.", "error", err.Error())
	}
	return records, batch
}

// HasOutdatedProgress reports whether the newest record of starts that may still be carried out lists some, so that it is to be
// replaced with the next batch, even if nothing else has changed.
func (d *Dispatcher) HasOutdatedProgress() bool { return d.registrar.Persister.HasLateStarts() }

// TakeLastRecords returns the records that a holder which ends persists for its successor: the starts that may still be carried
// out, those that are in flight among them.
func (d *Dispatcher) TakeLastRecords(now time.Time) []journaler.Record {
	r := d.registrar
	records, err := r.Persister.TakeLateStarts(r.Options.Epoch, now, r.Ordered)
	if err != nil {
		r.Report("The starts that may still be carried out can't be encoded and are not persisted.", "error", err.Error())
	}
	return records
}

// FailRejected fails the jobs whose progress is among the keys of records that the store does not take: what is done of
// them can't be persisted, so that a later holder would run it again. It returns false if there are none that have
// not ended.
func (d *Dispatcher) FailRejected(now time.Time, keys map[string]bool) bool {
	r := d.registrar
	r.Now = now
	hasFailed := false
	for _, key := range sorter.Keys(keys) {
		id, isProgress := journaler.ProgressOf(key)
		j, found := r.Jobs[id]
		if !isProgress || !found || j.IsOver() {
			continue
		}
		j.Outcome, j.Reason = journaler.OutcomeFailed, "the store does not take the progress of the job"
		r.Report("A job failed, since the store does not take its progress.", "job", id)
		r.Persister.MarkChanged(j)
		d.reconciler.StopAll(j)
		hasFailed = true
	}
	return hasFailed
}

// MarkDurable confirms that all batches up to the given one are persisted. From then on the results
// of ended runs in them are acknowledged to the workers, which may discard them.
func (d *Dispatcher) MarkDurable(batch int64) {
	d.registrar.Persister.MarkDurable(batch, d.registrar.Now, d.registrar.Ordered)
}

// removeEndedJobs removes the jobs that have no runs left and whose outcome is persisted. If a
// job were removed earlier, an older record of it that is read back from the log would start it
// again.
func (d *Dispatcher) removeEndedJobs() {
	r := d.registrar
	for id, j := range r.Jobs {
		if j.IsOver() && d.placer.HasNewlyNoRuns(j) {
			// Without it, a successor counts all tasks of the job for the limit of its workspace.
			j.HasNoRuns = true
			r.Persister.MarkChanged(j)
		}
		if j.IsOver() && len(j.Runs) == 0 && r.Persister.IsDurable(j) {
			delete(r.Jobs, id)
			d.expirer.Ended(id, r.Now)
		}
	}
}

// RemovableJobs returns ended jobs whose retention period is over, so that their records may be
// removed.
func (d *Dispatcher) RemovableJobs(now time.Time) []describer.JobID {
	return d.expirer.Due(now, d.registrar.Options.History, maxRemovedJobs)
}

// JobsRemoved confirms that the submissions of the jobs that RemovableJobs returned are removed.
func (d *Dispatcher) JobsRemoved(ids []describer.JobID) {
	d.expirer.Removed(ids)
	d.registrar.Persister.Forget(ids)
}
