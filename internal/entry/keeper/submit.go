package keeper

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/entry/answerer"
	"lentilrock.example/internal/entry/follower"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
)

const (
	// viewAge is how old the view of the log may be to deny a job.
	viewAge = follower.ReadWait + jobsPause + 200*time.Millisecond
	// silentStore is when a store that answers nothing counts as down: reads wait a second.
	silentStore = follower.ReadWait + 900*time.Millisecond
	// failingStore is when a store counts as down whose answers are errors.
	failingStore = 700 * time.Millisecond
)

// Submit keeps a job; it is accepted once that returns nil. Errors wrap storer.ErrRefused, after
// which the job never runs, storer.ErrNotKnown or ErrNotReady.
func (k *Keeper) Submit(ctx context.Context, job *describer.Job) error {
	if k.look(job.ID).IsKnown {
		return nil
	}
	job.Received = k.now()
	record, err := journaler.NewJob(job)
	if err != nil {
		return errors.Errorf("submit job %s: %w", job.ID, err)
	}
	return k.deliverer.Keep(ctx, record)
}

// Cancel ends a job for good. Errors wrap ErrNoJob or those of Submit.
func (k *Keeper) Cancel(ctx context.Context, id describer.JobID) error {
	state, err := k.Status(ctx, id)
	if err != nil {
		return err
	}
	if state.IsFinal() {
		return nil
	}
	record, err := journaler.NewCancel(id, journaler.Cancel{At: k.now()})
	if err != nil {
		return errors.Errorf("cancel job %s: %w", id, err)
	}
	return k.deliverer.Keep(ctx, record)
}

// Status returns a job's state. Errors wrap ErrNoJob or storer.ErrNotKnown.
func (k *Keeper) Status(ctx context.Context, id describer.JobID) (describer.JobState, error) {
	return k.answerer.Status(ctx, id)
}

// look returns what this host knows of a job.
func (k *Keeper) look(id describer.JobID) answerer.View {
	k.mu.Lock()
	defer k.mu.Unlock()
	view := answerer.View{ReadAt: k.jobsAt}
	if entry, found := k.state.Find(id); found {
		view.IsKnown, view.State = true, entry.JobState()
	}
	return view
}

// isStoreDown reports whether the store has not answered for a while.
func (k *Keeper) isStoreDown() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	answered := k.jobsAt
	if k.claimsAt.After(answered) {
		answered = k.claimsAt
	}
	age := k.now().Sub(answered)
	return age > silentStore || age > failingStore && k.failedAt.After(answered)
}

// Pending counts the accepted jobs of a queue of which nothing has begun.
func (k *Keeper) Pending(queue string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.Pending(queue)
}

// Route returns the queue of a call: that of its host with the longest prefix of its path,
// and the rest of the path.
func (k *Keeper) Route(host, path string) (describer.Queue, string, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.knowsCell() {
		return describer.Queue{}, "", ErrNotReady
	}
	queue, rest, found := k.catalog.Config.Route(host, path)
	if !found {
		return queue, "", ErrNoJob
	}
	return queue, rest, nil
}
