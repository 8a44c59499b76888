package keeper

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/entry/follower"
	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
)

const (
	// viewAge is how old the view of the log may be to deny a job.
	viewAge = follower.ReadWait + jobsPause + 200*time.Millisecond
	// viewPoll is how often a denied job is looked for while the view is old.
	viewPoll = 25 * time.Millisecond
)

// State is what callers hear of a job.
type State uint8

// States of a job.
const (
	Queued State = iota
	Running
	Completed
	Failed
	Cancelled
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
	return k.submitter.Keep(ctx, record)
}

// Cancel ends a job for good. Errors wrap ErrNoJob or those of Submit.
func (k *Keeper) Cancel(ctx context.Context, id describer.JobID) error {
	entry, err := k.find(ctx, id)
	if err != nil {
		return err
	}
	if entry.Cancelled || entry.Progress.Outcome != journaler.OutcomeNone {
		return nil
	}
	record, err := journaler.NewCancel(id, journaler.Cancel{At: k.now()})
	if err != nil {
		return errors.Errorf("cancel job %s: %w", id, err)
	}
	return k.submitter.Keep(ctx, record)
}

// Status returns a job's state. Errors wrap ErrNoJob or storer.ErrNotKnown.
func (k *Keeper) Status(ctx context.Context, id describer.JobID) (State, error) {
	entry, err := k.find(ctx, id)
	switch {
	case err != nil:
		return 0, err
	case entry.Progress.Outcome == journaler.OutcomeCompleted:
		return Completed, nil
	case entry.Progress.Outcome == journaler.OutcomeFailed:
		return Failed, nil
	case entry.Cancelled:
		return Cancelled, nil
	case entry.Progress.Begun:
		return Running, nil
	}
	return Queued, nil
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
	count := 0
	for _, e := range k.state.Jobs {
		if e.Job != nil && e.Job.Queue.Name == queue && !e.Cancelled && !e.Progress.Begun && e.Progress.Outcome == journaler.OutcomeNone {
			count++
		}
	}
	return count
}

// Route returns the queue of a call: that of its host with the longest prefix of its path,
// and the rest of the path.
func (k *Keeper) Route(host, path string) (describer.Queue, string, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.knowsCell() {
		return describer.Queue{}, "", ErrNotReady
	}
	var best describer.Queue
	for _, q := range k.config.Queues {
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && len(q.Prefix) > len(best.Prefix) {
			best = q
		}
	}
	if best.Prefix == "" {
		return best, "", ErrNoJob
	}
	return best, path[len(best.Prefix):], nil
}
