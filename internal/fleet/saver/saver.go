// Package saver gathers what the holder must keep: the progress of changed jobs, and the
// roster of workers. It numbers the batches, so that an end is acknowledged and a worker
// gets its first start only once that is kept.
//
// # Usage
//
//	var s saver.Saver
//	s.Changed(job)
//	worker.Ends.Mark(end.Number, s.Batch())
//	records, batch, err := s.Take(epoch, workers)
//	// append them
//	s.Saved(batch, workers)
package saver

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/container/sorter"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/minder"
	"lentilrock.example/internal/fleet/tasker"
)

// Saver gathers changes. Its zero value has none.
type Saver struct {
	changed map[*tasker.Job]bool
	// taken is the newest batch that was taken, saved the newest that is kept.
	taken       int64
	saved       int64
	isRosterOld bool
	// forgotten are the jobs whose progress is to be removed.
	forgotten []describer.JobID
	// waves are the waves whose progress is to be kept.
	waves map[int64]journaler.WaveProgress
}

// Changed notes that a job's progress must be kept.
func (s *Saver) Changed(j *tasker.Job) {
	if s.changed == nil {
		s.changed = make(map[*tasker.Job]bool)
	}
	s.changed[j] = true
}

// RosterChanged notes that the roster must be kept again.
func (s *Saver) RosterChanged() { s.isRosterOld = true }

// Forget has the progress of jobs removed that are gone otherwise.
func (s *Saver) Forget(ids []describer.JobID) { s.forgotten = append(s.forgotten, ids...) }

// WaveChanged notes that a wave's progress must be kept.
func (s *Saver) WaveChanged(w journaler.WaveProgress) {
	if s.waves == nil {
		s.waves = make(map[int64]journaler.WaveProgress)
	}
	s.waves[w.Number] = w
}

// HasProgress reports whether there is something to keep.
func (s *Saver) HasProgress() bool {
	return len(s.changed) > 0 || s.isRosterOld || len(s.forgotten) > 0 || len(s.waves) > 0
}

// Batch returns the batch by which all changes so far are kept.
func (s *Saver) Batch() int64 {
	if s.HasProgress() {
		return s.taken + 1
	}
	return s.taken
}

// LastSaved returns the newest batch that is kept.
func (s *Saver) LastSaved() int64 { return s.saved }

// IsKept reports whether all changes of a job are kept.
func (s *Saver) IsKept(j *tasker.Job) bool { return !s.changed[j] && j.Batch <= s.saved }

// Take returns the records of the changes since the last call, and their batch. On an error
// the other records are returned.
func (s *Saver) Take(epoch int64, workers []*minder.Worker) ([]journaler.Record, int64, error) {
	s.taken++
	records, jobFaults := s.jobRecords(epoch, workers)
	for _, id := range s.forgotten {
		records = append(records, journaler.ForgetProgress(id))
	}
	s.forgotten = nil
	waves, waveFaults := s.waveRecords(epoch)
	records = append(records, waves...)
	faults := errors.Join(jobFaults, waveFaults)
	if s.isRosterOld {
		record, err := s.roster(epoch, workers)
		if err != nil {
			return records, s.taken, errors.Join(faults, errors.Errorf("roster: %w", err))
		}
		records = append(records, record)
	}
	return records, s.taken, faults
}

// jobRecords returns the progress of the changed jobs, in the order of their ids.
func (s *Saver) jobRecords(epoch int64, workers []*minder.Worker) ([]journaler.Record, error) {
	silent := make(map[string]bool)
	for _, w := range workers {
		silent[w.Info.ID] = w.IsSilent
	}
	jobs := make([]*tasker.Job, 0, len(s.changed))
	for j := range s.changed {
		jobs = append(jobs, j)
	}
	clear(s.changed)
	slices.SortFunc(jobs, func(a, b *tasker.Job) int { return cmp.Compare(a.Spec.ID, b.Spec.ID) })
	var records []journaler.Record
	var faults error
	for _, j := range jobs {
		progress := j.Progress(epoch, func(worker string) bool { return silent[worker] })
		record, err := journaler.NewProgress(j.Spec.ID, progress)
		if err != nil {
			faults = errors.Join(faults, errors.Errorf("progress of job %s: %w", j.Spec.ID, err))
			s.changed[j] = true
			continue
		}
		j.Batch = s.taken
		records = append(records, record)
	}
	return records, faults
}

// waveRecords returns how far the changed waves are, in the order of their numbers.
func (s *Saver) waveRecords(epoch int64) ([]journaler.Record, error) {
	var records []journaler.Record
	var faults error
	for _, number := range sorter.Keys(s.waves) {
		w := s.waves[number]
		w.Epoch = epoch
		record, err := journaler.NewWave(w)
		if err != nil {
			faults = errors.Join(faults, errors.Errorf("wave %d: %w", number, err))
			continue
		}
		records = append(records, record)
		delete(s.waves, number)
	}
	return records, faults
}

// roster returns the record of the workers at which runs may be.
func (s *Saver) roster(epoch int64, workers []*minder.Worker) (journaler.Record, error) {
	roster := journaler.Roster{Epoch: epoch}
	for _, w := range workers {
		roster.Members = append(roster.Members, journaler.Member{ID: w.Info.ID, Address: w.Info.Address, IsSilent: w.IsSilent})
	}
	record, err := journaler.NewRoster(roster)
	if err != nil {
		return record, err
	}
	s.isRosterOld = false
	for _, w := range workers {
		if !w.IsEnrolled && w.RosterBatch == 0 {
			w.RosterBatch = s.taken
		}
	}
	return record, nil
}

// Saved notes that the batches up to one are kept.
func (s *Saver) Saved(batch int64, workers []*minder.Worker) {
	s.saved = max(s.saved, batch)
	for _, w := range workers {
		w.Ends.Saved(s.saved)
		if w.RosterBatch > 0 && w.RosterBatch <= s.saved {
			w.IsEnrolled, w.RosterBatch = !w.IsSilent, 0
		}
	}
}
