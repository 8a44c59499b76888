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
	"iter"
	"time"

	"lentilrock.example/internal/container/sorter"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/evacuator"
	"lentilrock.example/internal/fleet/forgetter"
	"lentilrock.example/internal/fleet/governor"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/fleet/placer"
	"lentilrock.example/internal/fleet/registrar"
	"lentilrock.example/internal/fleet/settler"
	"lentilrock.example/internal/fleet/tasker"
	"lentilrock.example/internal/fleet/watcher"
)

// maxForgotten bounds the jobs that are forgotten at a time.
const maxForgotten = 200

// Options are the settings of a dispatcher.
type Options = registrar.Options

// Order is one of the orders of package orderer.
type Order = registrar.Order

// Dispatcher decides for a cell under one claim.
type Dispatcher struct {
	registrar *registrar.Registrar
	settler   *settler.Settler
	governor  *governor.Governor
	watcher   *watcher.Watcher
	placer    *placer.Placer
	evacuator *evacuator.Evacuator
	forgetter forgetter.Forgetter
}

// New returns a dispatcher that takes over the jobs of a state.
func New(options Options, state *journaler.State, now time.Time) *Dispatcher {
	r := registrar.New(options, state, now)
	s, g := settler.New(r), governor.New(r)
	d := &Dispatcher{registrar: r, settler: s, governor: g, watcher: watcher.New(r, s, g), placer: placer.New(r, s), evacuator: evacuator.New(r, s)}
	entries := make([]*journaler.Entry, 0, len(state.Jobs))
	for _, id := range sorter.Keys(state.Jobs) {
		entries = append(entries, state.Jobs[id])
		d.JobChanged(now, state.Jobs[id])
	}
	d.watcher.Suspect(state.Roster, entries)
	return d
}

// Registrar returns what the dispatcher holds, to be read.
func (d *Dispatcher) Registrar() *registrar.Registrar { return d.registrar }

// IsFenced reports that a worker has obeyed a later holder.
func (d *Dispatcher) IsFenced() bool { return d.registrar.IsFenced }

// SetConfig takes in a configuration. Jobs of queues that are no longer listed keep their
// terms.
func (d *Dispatcher) SetConfig(config describer.Config) {
	clear(d.registrar.Queues)
	for _, q := range config.Queues {
		d.registrar.Queues[q.Name] = q
	}
	for _, j := range d.registrar.Jobs {
		if q, found := d.registrar.Queues[j.Queue.Name]; found {
			j.Queue = q
		}
	}
}

// JobChanged takes in a job that was accepted or cancelled.
func (d *Dispatcher) JobChanged(now time.Time, entry *journaler.Entry) {
	r := d.registrar
	r.Now = now
	if entry == nil || entry.Job == nil {
		return
	}
	j, found := r.Jobs[entry.ID]
	if !found && (entry.Cancelled || entry.Progress.Outcome != journaler.OutcomeNone) {
		d.forgetter.Ended(entry.ID, now)
		return
	}
	if entry.Progress.Outcome != journaler.OutcomeNone {
		return
	}
	if !found {
		j = d.addJob(entry)
	}
	if entry.Cancelled && !j.Cancelled {
		j.Cancelled = true
		d.settler.StopAll(j)
	}
}

func (d *Dispatcher) addJob(entry *journaler.Entry) *tasker.Job {
	r := d.registrar
	j := tasker.NewJob(entry)
	if q, listed := r.Queues[j.Queue.Name]; listed {
		j.Queue = q
	}
	r.Jobs[entry.ID] = j
	// Nothing of a job starts before its progress is kept, and a former holder's can't be kept
	// any more: one without is surely new.
	j.MayRunElsewhere = entry.HasProgress()
	if !j.MayRunElsewhere {
		r.Saver.Changed(j)
		j.OpenBatch = r.Saver.Batch()
	}
	return j
}

// Tick does what is due: settles silent workers, repeats orders and places tasks.
func (d *Dispatcher) Tick(now time.Time) {
	d.registrar.Now = now
	d.watcher.Tick()
	d.evacuator.Tick(now)
	d.placer.Place()
	d.forgetJobs()
}

// TakeOrders returns the orders since the last call.
func (d *Dispatcher) TakeOrders() []Order { return d.registrar.TakeOrders() }

// SetWorkers takes in the host list.
func (d *Dispatcher) SetWorkers(now time.Time, listed []describer.Worker) {
	d.watcher.SetWorkers(now, listed)
}

// WorkerIDs returns the workers to look after, in order.
func (d *Dispatcher) WorkerIDs() iter.Seq[string] { return d.watcher.WorkerIDs() }

// NextLook returns the next look at a worker; false means that the worker is gone.
func (d *Dispatcher) NextLook(now time.Time, id string) (orderer.Look, bool) {
	return d.watcher.NextLook(now, id)
}

// Looked takes in the answer to a look.
func (d *Dispatcher) Looked(now time.Time, look orderer.Look, inventory orderer.Inventory, verdict orderer.Verdict) {
	d.watcher.Looked(now, look, inventory, verdict)
}

// StartAnswered takes in what became of a start.
func (d *Dispatcher) StartAnswered(now time.Time, start orderer.Start, verdict orderer.Verdict) {
	d.settler.StartAnswered(now, start, verdict)
}

// StopAnswered takes in what became of a stop.
func (d *Dispatcher) StopAnswered(now time.Time, stop orderer.Stop, verdict orderer.Verdict) {
	d.settler.StopAnswered(now, stop, verdict)
}

// PaceAnswered takes in what became of an order to pace.
func (d *Dispatcher) PaceAnswered(now time.Time, pace orderer.Pace, verdict orderer.Verdict) {
	d.governor.PaceAnswered(now, pace, verdict)
}

// SetWave takes in a wave of upkeep; one that is known stays as it is.
func (d *Dispatcher) SetWave(now time.Time, wave describer.Wave) { d.evacuator.SetWave(now, wave) }

// NeedsMachines reports whether a wave is open, for which all machines must be listed.
func (d *Dispatcher) NeedsMachines() bool { return d.evacuator.HasOpenWaves() }

// SetMachines takes in the list of all machines, which was asked for at askedAt.
func (d *Dispatcher) SetMachines(askedAt time.Time, machines []describer.Machine) {
	d.evacuator.SetMachines(askedAt, machines)
}

// UpkeepAnswered takes in what became of an order to take a machine down.
func (d *Dispatcher) UpkeepAnswered(now time.Time, order orderer.Upkeep, verdict orderer.DutyVerdict) {
	d.evacuator.Answered(now, order, verdict)
}

// WaveReportFailed has a report ordered again that the store did not take.
func (d *Dispatcher) WaveReportFailed(report orderer.WaveReport) { d.evacuator.ReportFailed(report) }

// SetAskers says how many hosts can ask for advice side by side.
func (d *Dispatcher) SetAskers(count int) { d.placer.SetAskers(count) }

// Advised takes in the answer to a question; isAnswered is false where there was none.
func (d *Dispatcher) Advised(now time.Time, asked orderer.Advise, answer orderer.Advice, isAnswered bool) {
	d.placer.Advised(now, asked, answer, isAnswered)
}

// HasProgress reports whether there is something to keep.
func (d *Dispatcher) HasProgress() bool { return d.registrar.Saver.HasProgress() }

// TakeProgress returns the records that must be kept, with the number of their batch.
func (d *Dispatcher) TakeProgress() ([]journaler.Record, int64) {
	r := d.registrar
	records, batch, err := r.Saver.Take(r.Options.Epoch, r.Ordered)
	if err != nil {
		r.Report("Progress can't be encoded.", "error", err.Error())
	}
	return records, batch
}

// Saved reports that the batches up to one are kept, so their ends may be forgotten.
func (d *Dispatcher) Saved(batch int64) { d.registrar.Saver.Saved(batch, d.registrar.Ordered) }

// forgetJobs drops the jobs of which nothing runs and whose end is kept. Before that, an
// older record of a job that is read back would begin it anew.
func (d *Dispatcher) forgetJobs() {
	r := d.registrar
	for id, j := range r.Jobs {
		if j.IsOver() && len(j.Runs) == 0 && r.Saver.IsKept(j) {
			delete(r.Jobs, id)
			d.forgetter.Ended(id, r.Now)
		}
	}
}

// Forgettable returns jobs that ended so long ago that their records may be removed.
func (d *Dispatcher) Forgettable(now time.Time) []describer.JobID {
	return d.forgetter.Due(now, d.registrar.Options.History, maxForgotten)
}

// Forgotten takes in that the submissions of the jobs that Forgettable returned are removed.
func (d *Dispatcher) Forgotten(ids []describer.JobID) {
	d.forgetter.Forgotten(ids)
	d.registrar.Saver.Forget(ids)
}
