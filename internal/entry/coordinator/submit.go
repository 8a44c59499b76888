package coordinator

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/entry/follower"
	"lentilrock.example/internal/entry/resolver"
	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/limiter"
)

// maxViewAge is how old the last read of the jobs may be for this host to report the state of a job that it
// knows without asking its peers.
const maxViewAge = follower.ReadWait + follower.JobsPause + 200*time.Millisecond

// admit returns nil if the hosts of the cell have room for one more unfinished job. Errors are those of
// accountant.Accountant, or wrap limiter.ErrNeverFits if a step can never start within the limit of the job's workspace.
func (k *Coordinator) admit(job *describer.Job) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if w, found := k.catalog.Config.Workspace(job.Workspace); found {
		if err := limiter.CheckJob(job, w.Limit); err != nil {
			return err
		}
	}
	return k.accountant.Admit(k.now(), k.state, job)
}

// checkWorkspace returns ErrForeignJob if this host knows a job of another workspace with the ID of a submission, while
// the configuration has workspaces.
func (k *Coordinator) checkWorkspace(id describer.JobID, record journaler.Record) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if entry, found := k.state.Find(id); found && len(k.catalog.Config.Workspaces) > 0 {
		return journaler.CheckWorkspace(entry.Job, record)
	}
	return nil
}

// hasReadJobs reports whether this host has read the configuration and all jobs.
func (k *Coordinator) hasReadJobs() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.hasReadCell()
}

// jobView returns this host's view of a job.
func (k *Coordinator) jobView(id describer.JobID) resolver.View {
	k.mu.Lock()
	defer k.mu.Unlock()
	view := resolver.View{ReadAt: k.reads.ViewAt()}
	if entry, found := k.state.Find(id); found {
		view.IsKnown, view.State, view.Workspace = true, entry.JobState(), entry.Job.Workspace
	}
	return view
}

// isStoreDown reports whether the store has not replied, or replied only with errors, for too long.
func (k *Coordinator) isStoreDown() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.reads.IsStoreDown(k.now())
}

// nextUnread returns the offset of the first record of a topic with jobs that may not have been read.
func (k *Coordinator) nextUnread(topic storer.Topic) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.reads.Next(topic)
}

// readStore reads from the store without waiting for records, to check that it replies.
func (k *Coordinator) readStore(ctx context.Context) error {
	return storer.Check(ctx, k.options.Store, storer.Jobs, k.nextUnread(storer.Jobs))
}

// refresh returns nil once this host has read all records of jobs that the log had when it was called.
// Errors wrap ErrNotReady or storer.ErrRefused, or are those of the store.
func (k *Coordinator) refresh(ctx context.Context) error {
	if !k.hasReadJobs() {
		return errors.Wrap(ErrNotReady, "read the log to its end")
	}
	if k.isStoreDown() {
		return errors.Errorf("read the log to its end: the store does not reply: %w", storer.ErrRefused)
	}
	return k.refresher.Refresh(ctx)
}

// Pending returns the number of accepted jobs of a queue of which no task has started. The error is
// ErrNotReady before all jobs are read.
func (k *Coordinator) Pending(queue string) (int, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.hasReadCell() {
		return 0, ErrNotReady
	}
	return k.state.Pending(queue), nil
}
