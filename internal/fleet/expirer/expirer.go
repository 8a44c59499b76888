// Package expirer selects the ended jobs whose retention period is over, so that the store
// and the memory of the hosts hold a bounded history.
//
// # Usage
//
//	var f expirer.Expirer
//	f.Ended(job, now)
//	ids := f.Due(now, 3*time.Minute, 100)
//	for _, id := range ids {
//		// remove the records of the job
//	}
//	f.Removed(ids)
package expirer

import (
	"time"

	"lentilrock.example/internal/fleet/describer"
)

// ended is a job with the time at which it was found to have ended.
type ended struct {
	id describer.JobID
	at time.Time
}

// Expirer holds the ended jobs until they are removed. The zero value holds none.
type Expirer struct {
	// byEnd holds the jobs in the order in which they ended.
	byEnd []ended
	// seen holds the IDs of the jobs in byEnd.
	seen map[describer.JobID]bool
}

// Ended adds a job that has ended and whose outcome is persisted. Further calls for the same
// job have no effect.
func (f *Expirer) Ended(id describer.JobID, now time.Time) {
	if f.seen[id] {
		return
	}
	if f.seen == nil {
		f.seen = make(map[describer.JobID]bool)
	}
	f.seen[id] = true
	f.byEnd = append(f.byEnd, ended{id, now})
}

// Due returns at most limit jobs that ended more than the retention period ago, the oldest
// first.
func (f *Expirer) Due(now time.Time, retention time.Duration, limit int) []describer.JobID {
	var due []describer.JobID
	for _, e := range f.byEnd {
		if len(due) == limit || now.Sub(e.at) <= retention {
			break
		}
		due = append(due, e.id)
	}
	return due
}

// Removed removes the jobs that the last call of Due returned.
func (f *Expirer) Removed(ids []describer.JobID) {
	for _, id := range ids {
		delete(f.seen, id)
	}
	f.byEnd = f.byEnd[len(ids):]
}
