// Package forgetter says which ended jobs callers need not hear of any more, so that the
// store and the hosts' memory hold a bounded history.
//
// # Usage
//
//	var f forgetter.Forgetter
//	f.Ended(job, now)
//	for _, id := range f.Due(now, 3*time.Minute, 100) {
//		// drop its records, then f.Forgotten(id)
//	}
package forgetter

import (
	"time"

	"lentilrock.example/internal/fleet/describer"
)

type ended struct {
	id describer.JobID
	at time.Time
}

// Forgetter keeps when jobs were found to have ended. The zero value knows of none.
type Forgetter struct {
	// order has the jobs by the time of their end.
	order []ended
	known map[describer.JobID]bool
}

// Ended notes that a job has ended and that its outcome is kept. Only the first call for a
// job counts.
func (f *Forgetter) Ended(id describer.JobID, now time.Time) {
	if f.known[id] {
		return
	}
	if f.known == nil {
		f.known = make(map[describer.JobID]bool)
	}
	f.known[id] = true
	f.order = append(f.order, ended{id, now})
}

// Due returns the jobs that ended longer than keep ago, at most so many.
func (f *Forgetter) Due(now time.Time, keep time.Duration, most int) []describer.JobID {
	var due []describer.JobID
	for _, e := range f.order {
		if len(due) == most || now.Sub(e.at) <= keep {
			break
		}
		due = append(due, e.id)
	}
	return due
}

// Forgotten drops the jobs that Due returned first.
func (f *Forgetter) Forgotten(ids []describer.JobID) {
	for _, id := range ids {
		delete(f.known, id)
	}
	f.order = f.order[len(ids):]
}
