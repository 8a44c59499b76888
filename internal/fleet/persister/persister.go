// Package persister collects the changes that the claim holder must persist: the progress of jobs,
// the progress of waves and the roster of workers. It numbers the batches of records, so that the
// result of an ended run is acknowledged, and the first task is started on a worker, only once the
// batch with that change is durable. A wave is a rolling maintenance of machines.
//
// # Usage
//
//	var s persister.Persister
//	s.MarkChanged(job)
//	worker.Results.Await(acknowledger.Result{Number: end.Number, Batch: s.Batch()})
//	records, batch, err := s.Take(epoch, now, workers)
//	// append them
//	s.MarkDurable(batch, now, workers)
package persister

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/container/sorter"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/monitor"
	"lentilrock.example/internal/fleet/tasker"
)

// maxAtomicBytes is the size of progress that certainly fits into one append with the roster. More of it comes
// after an interim roster, which lists the workers that have been closed or opened as open:
// a successor then polls them whatever the progress says of their runs.
const maxAtomicBytes = 256 << 10

// Persister collects changes. The zero value has none.
type Persister struct {
	changed map[*tasker.Job]bool
	// taken is the newest batch that Take returned, saved the newest that is durable.
	taken         int64
	saved         int64
	isRosterStale bool
	// areLateStartsStale reports that the starts that may still be carried out are to be persisted, and hasLateStarts that
	// the newest record lists some.
	areLateStartsStale, hasLateStarts bool
	// lateStartsOmittedUntil is until when a start of a former holder may be carried out that its record omits.
	lateStartsOmittedUntil time.Time
	// forgotten are the jobs whose progress records are to be removed.
	forgotten []describer.JobID
	// waves are the waves whose progress is to be persisted.
	waves map[int64]journaler.WaveProgress
}

// MarkChanged records that the progress of a job must be persisted.
func (s *Persister) MarkChanged(j *tasker.Job) {
	if s.changed == nil {
		s.changed = make(map[*tasker.Job]bool)
	}
	s.changed[j] = true
}

// MarkRosterChanged records that the roster must be persisted again.
func (s *Persister) MarkRosterChanged() { s.isRosterStale = true }

// MarkLateStartsChanged records that the starts that may still be carried out must be persisted.
func (s *Persister) MarkLateStartsChanged() { s.areLateStartsStale = true }

// RestoreLateStarts records that the newest record lists starts, and until when others may be carried out that it omits.
func (s *Persister) RestoreLateStarts(omittedUntil time.Time) {
	s.hasLateStarts, s.lateStartsOmittedUntil = true, omittedUntil
}

// MayHaveOmittedStart reports whether a start of a former holder may be carried out that its record omits.
func (s *Persister) MayHaveOmittedStart(now time.Time) bool {
	return now.Before(s.lateStartsOmittedUntil)
}

// HasLateStarts reports whether the newest record lists starts that may still be carried out.
func (s *Persister) HasLateStarts() bool { return s.hasLateStarts }

// Forget records that the progress of jobs must be removed; their other records are gone already.
func (s *Persister) Forget(ids []describer.JobID) { s.forgotten = append(s.forgotten, ids...) }

// MarkWaveChanged records that the progress of a wave must be persisted.
func (s *Persister) MarkWaveChanged(w journaler.WaveProgress) {
	if s.waves == nil {
		s.waves = make(map[int64]journaler.WaveProgress)
	}
	s.waves[w.Number] = w
}

// HasChanges reports whether there are changes that Take has not returned.
func (s *Persister) HasChanges() bool {
	return len(s.changed) > 0 || s.isRosterStale || s.areLateStartsStale || len(s.forgotten) > 0 || len(s.waves) > 0
}

// Batch returns the batch with which all changes so far become durable.
func (s *Persister) Batch() int64 {
	if s.HasChanges() {
		return s.taken + 1
	}
	return s.taken
}

// LastDurable returns the newest durable batch.
func (s *Persister) LastDurable() int64 { return s.saved }

// IsDurable reports whether all changes of a job are durable.
func (s *Persister) IsDurable(j *tasker.Job) bool { return !s.changed[j] && j.Batch <= s.saved }

// Take returns the records of the changes since the last call, and the number of their batch. They may be
// appended in parts, in their order. If records can't be encoded, it returns the other ones with the joined
// errors.
func (s *Persister) Take(epoch int64, now time.Time, workers []*monitor.Worker) ([]journaler.Record, int64, error) {
	s.taken++
	records, jobErrs := s.jobRecords(epoch, workers)
	if s.isRosterStale && sizeOf(records) > maxAtomicBytes {
		interim, err := newRoster(epoch, workers, func(w *monitor.Worker) bool { return w.IsClosed && w.IsListedClosed })
		if err != nil {
			jobErrs = errors.Join(jobErrs, errors.Errorf("create interim roster record: %w", err))
		} else {
			records = slices.Insert(records, 0, interim...)
		}
	}
	for _, id := range s.forgotten {
		records = append(records, journaler.RemoveHeldJob(id)...)
	}
	s.forgotten = nil
	waves, waveErrs := s.waveRecords(epoch)
	records = append(records, waves...)
	errs := errors.Join(jobErrs, waveErrs)
	late, err := s.TakeLateStarts(epoch, now, workers)
	records, errs = append(records, late...), errors.Join(errs, err)
	if s.isRosterStale {
		roster, err := s.takeRoster(epoch, workers)
		if err != nil {
			return records, s.taken, errors.Join(errs, errors.Errorf("create roster record: %w", err))
		}
		records = append(records, roster...)
	}
	return records, s.taken, errs
}

// jobRecords returns the progress records of the changed jobs, ordered by job ID.
func (s *Persister) jobRecords(epoch int64, workers []*monitor.Worker) ([]journaler.Record, error) {
	closed := make(map[string]bool)
	for _, w := range workers {
		closed[w.Info.ID] = w.IsClosed
	}
	jobs := make([]*tasker.Job, 0, len(s.changed))
	for j := range s.changed {
		jobs = append(jobs, j)
	}
	clear(s.changed)
	slices.SortFunc(jobs, func(a, b *tasker.Job) int { return cmp.Compare(a.Spec.ID, b.Spec.ID) })
	var records []journaler.Record
	var errs error
	for _, j := range jobs {
		progress := j.Progress(epoch, func(worker string) bool { return closed[worker] })
		if j.IsOver() {
			progress.Steps, progress.ListsLastRuns = lastRuns(j, closed), true
		}
		record, err := journaler.NewProgress(j.Spec.ID, progress)
		if err != nil {
			errs = errors.Join(errs, errors.Errorf("create progress record of job %q: %w", j.Spec.ID, err))
			s.changed[j] = true
			continue
		}
		j.Batch = s.taken
		records = append(records, record)
	}
	return records, errs
}

// waveRecords returns the progress records of the changed waves, ordered by number.
func (s *Persister) waveRecords(epoch int64) ([]journaler.Record, error) {
	var records []journaler.Record
	var errs error
	for _, number := range sorter.Keys(s.waves) {
		w := s.waves[number]
		w.Epoch = epoch
		record, err := journaler.NewWave(w)
		if err != nil {
			errs = errors.Join(errs, errors.Errorf("create progress record of wave %d: %w", number, err))
			continue
		}
		records = append(records, record)
		delete(s.waves, number)
	}
	return records, errs
}

// sizeOf returns the size of the values of records.
func sizeOf(records []journaler.Record) int {
	size := 0
	for _, r := range records {
		size += len(r.Value)
	}
	return size
}

// newRoster returns the records of the workers on which runs may be active.
func newRoster(epoch int64, workers []*monitor.Worker, isClosed func(w *monitor.Worker) bool) ([]journaler.Record, error) {
	roster := journaler.Roster{Epoch: epoch}
	for _, w := range workers {
		roster.Members = append(roster.Members, journaler.Member{
			ID: w.Info.ID, Address: w.Info.Address, IsClosed: isClosed(w),
			Incarnation: cmp.Or(w.Incarnation, w.Info.Incarnation), HasLongestLease: w.HasLongestLease(),
		})
	}
	return journaler.NewRoster(roster)
}

// takeRoster returns the records of the workers on which runs may be active. It clears the stale
// flag and sets the batch in the workers that are not enrolled yet.
func (s *Persister) takeRoster(epoch int64, workers []*monitor.Worker) ([]journaler.Record, error) {
	records, err := newRoster(epoch, workers, func(w *monitor.Worker) bool { return w.IsClosed })
	if err != nil {
		return nil, err
	}
	s.isRosterStale = false
	for _, w := range workers {
		w.IsListedClosed = w.IsClosed
		if !w.IsEnrolled && w.RosterBatch == 0 {
			w.RosterBatch = s.taken
		}
	}
	return records, nil
}

// MarkDurable records that all batches up to the given one are durable.
func (s *Persister) MarkDurable(batch int64, now time.Time, workers []*monitor.Worker) {
	s.saved = max(s.saved, batch)
	for _, w := range workers {
		w.Results.MarkDurable(s.saved, now)
		if w.RosterBatch > 0 && w.RosterBatch <= s.saved {
			w.IsEnrolled, w.RosterBatch = !w.IsClosed, 0
		}
	}
}
