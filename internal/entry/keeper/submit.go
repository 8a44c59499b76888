package keeper

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/entry/follower"
	"lentilrock.example/internal/entry/forwarder"
	"lentilrock.example/internal/entry/storer"
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
	// viewPoll is how often a denied job is looked for while the view is old.
	viewPoll = 25 * time.Millisecond
)

// Submit keeps a job; it is accepted once that returns nil. Errors wrap storer.ErrRefused, after
// which the job never runs, storer.ErrNotKnown or ErrNotReady.
func (k *Keeper) Submit(ctx context.Context, job *describer.Job) error {
	k.mu.Lock()
	entry, found := k.state.Jobs[job.ID]
	isKnown := found && entry.Job != nil
	k.mu.Unlock()
	if isKnown {
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

// Status returns a job's state. Errors wrap ErrNoJob or storer.ErrNotKnown. Of a job that has
// not ended as far as this host knows, the holder knows more.
func (k *Keeper) Status(ctx context.Context, id describer.JobID) (describer.JobState, error) {
	k.mu.Lock()
	entry, found := k.state.Jobs[id]
	isKnown := found && entry.Job != nil
	isFresh := k.now().Sub(k.jobsAt) < viewAge
	var state describer.JobState
	if isKnown {
		state = entry.JobState()
	}
	k.mu.Unlock()
	if isKnown && state.IsFinal() {
		return state, nil
	}
	answer := k.forwarder.AskHolder(ctx, id)
	switch {
	case !answer.IsOpen:
	case isFresh:
		answer = k.statusHere(ctx, id)
	default:
		answer = k.forwarder.Status(ctx, id)
	}
	switch {
	case !answer.IsOpen && !answer.IsDenied:
		return answer.State, nil
	case isKnown:
		// An older state is still a true one: nothing of a job is taken back.
		return state, nil
	case answer.IsDenied:
		return 0, ErrNoJob
	}
	return 0, errors.Errorf("status of job %s: %w", id, storer.ErrNotKnown)
}

// glance answers for a job at once, from what this host knows.
func (k *Keeper) glance(id describer.JobID) forwarder.Answer {
	k.mu.Lock()
	defer k.mu.Unlock()
	entry, found := k.state.Jobs[id]
	if !found || entry.Job == nil {
		return forwarder.Answer{IsOpen: true}
	}
	return forwarder.Answer{State: entry.JobState()}
}

// statusHere answers for a job from this host's view.
func (k *Keeper) statusHere(ctx context.Context, id describer.JobID) forwarder.Answer {
	entry, err := k.find(ctx, id)
	switch {
	case errors.Is(err, ErrNoJob):
		return forwarder.Answer{IsDenied: true}
	case err != nil:
		return forwarder.Answer{IsOpen: true}
	}
	return forwarder.Answer{State: entry.JobState()}
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

// find returns a copy of a job's entry. A job is denied only by a view of the log that is
// fresh.
func (k *Keeper) find(ctx context.Context, id describer.JobID) (journaler.Entry, error) {
	asked := k.now()
	for {
		k.mu.Lock()
		entry, found := k.state.Jobs[id]
		isFresh := k.now().Sub(k.jobsAt) < viewAge
		isNewer := k.jobsAt.After(asked)
		var copied journaler.Entry
		if found {
			copied = *entry
		}
		k.mu.Unlock()
		switch {
		case found && copied.Job != nil:
			return copied, nil
		case isFresh || isNewer:
			return copied, ErrNoJob
		}
		select {
		case <-ctx.Done():
			return copied, errors.Errorf("find job %s: %w", id, storer.ErrNotKnown)
		case <-k.options.Clock.After(viewPoll):
		}
	}
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
