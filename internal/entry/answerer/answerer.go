// Package answerer resolves the status of jobs from this host's view of the log, from the
// holder (the host whose claim makes it the leader) and from other peers.
//
// # Usage
//
//	a := answerer.New(answerer.Options{Look: look, Peers: forwarder, Clock: clock, ViewAge: 2 * time.Second})
//	state, err := a.Status(ctx, id)
package answerer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"lentilrock.example/internal/entry/forwarder"
	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/fleet/describer"
)

// viewPollInterval is how often Here looks for a missing job again until the view is fresh.
const viewPollInterval = 25 * time.Millisecond

// ErrNoJob means that the job does not exist.
var ErrNoJob = errors.New("there is no such job")

// View is this host's view of a job.
type View struct {
	IsKnown bool
	State   describer.JobState
	// ReadAt is when the log of the jobs was last read.
	ReadAt time.Time
}

// Peers returns the status of jobs from other hosts.
type Peers interface {
	// StatusFromHolder returns a job's status as the holder knows it.
	StatusFromHolder(ctx context.Context, id describer.JobID) forwarder.StatusReply
	// StatusFromPeers returns a job's status as another peer knows it.
	StatusFromPeers(ctx context.Context, id describer.JobID) forwarder.StatusReply
}

// Options configure an Answerer.
type Options struct {
	// Look returns this host's view of a job.
	Look  func(id describer.JobID) View
	Peers Peers
	Clock clockwork.Clock
	// ViewAge is the age from which the view is too old to tell that a job does not exist.
	ViewAge time.Duration
}

// Answerer resolves the status of jobs.
type Answerer struct {
	options Options
}

// New returns an Answerer.
func New(options Options) *Answerer { return &Answerer{options: options} }

func (a *Answerer) isFresh(v View) bool {
	return a.options.Clock.Now().Sub(v.ReadAt) < a.options.ViewAge
}

// Status returns a job's state. Unless this host's view has a final state, it queries the
// holder, whose state is more recent. Errors wrap ErrNoJob or storer.ErrNotKnown.
func (a *Answerer) Status(ctx context.Context, id describer.JobID) (describer.JobState, error) {
	view := a.options.Look(id)
	if view.IsKnown && view.State.IsFinal() {
		return view.State, nil
	}
	reply := a.options.Peers.StatusFromHolder(ctx, id)
	switch {
	case !reply.IsUnknown:
	case a.isFresh(view):
		reply = a.Here(ctx, id)
	default:
		reply = a.options.Peers.StatusFromPeers(ctx, id)
	}
	switch {
	case !reply.IsUnknown && !reply.IsNotFound:
		return reply.State, nil
	case view.IsKnown:
		// An older state is still a valid reply: recorded progress of a job is never undone.
		return view.State, nil
	case reply.IsNotFound:
		return 0, ErrNoJob
	}
	return 0, errors.Errorf("status of job %s: %w", id, storer.ErrNotKnown)
}

// Glance returns a job's status from this host's view, without waiting for a fresh one.
func (a *Answerer) Glance(id describer.JobID) forwarder.StatusReply {
	view := a.options.Look(id)
	return forwarder.StatusReply{State: view.State, IsUnknown: !view.IsKnown}
}

// Here returns a job's status from this host's view. It waits for a fresh view before it
// reports that a job does not exist; where ctx ends first, the status is unknown.
func (a *Answerer) Here(ctx context.Context, id describer.JobID) forwarder.StatusReply {
	startedAt := a.options.Clock.Now()
	for {
		view := a.options.Look(id)
		switch {
		case view.IsKnown:
			return forwarder.StatusReply{State: view.State}
		case a.isFresh(view) || view.ReadAt.After(startedAt):
			return forwarder.StatusReply{IsNotFound: true}
		}
		select {
		case <-ctx.Done():
			return forwarder.StatusReply{IsUnknown: true}
		case <-a.options.Clock.After(viewPollInterval):
		}
	}
}
