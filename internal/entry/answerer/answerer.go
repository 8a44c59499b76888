// Package answerer answers for jobs from what a host and its peers know of them.
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

// viewPoll is how often a denied job is looked for while the view is old.
const viewPoll = 25 * time.Millisecond

// ErrNoJob means that there is no such job.
var ErrNoJob = errors.New("there is no such job")

// View is what a host knows of a job.
type View struct {
	IsKnown bool
	State   describer.JobState
	// ReadAt is when the jobs were last read.
	ReadAt time.Time
}

// Peers answer in a host's place.
type Peers interface {
	// AskHolder has the holder answer.
	AskHolder(ctx context.Context, id describer.JobID) forwarder.Answer
	// Status has other peers answer.
	Status(ctx context.Context, id describer.JobID) forwarder.Answer
}

// Options are what an answerer is made from.
type Options struct {
	// Look returns what this host knows of a job.
	Look  func(id describer.JobID) View
	Peers Peers
	Clock clockwork.Clock
	// ViewAge is how old the view may be to deny a job.
	ViewAge time.Duration
}

// Answerer answers for jobs.
type Answerer struct {
	options Options
}

// New returns an answerer.
func New(options Options) *Answerer { return &Answerer{options: options} }

func (a *Answerer) isFresh(v View) bool {
	return a.options.Clock.Now().Sub(v.ReadAt) < a.options.ViewAge
}

// Status returns a job's state. Errors wrap ErrNoJob or storer.ErrNotKnown. Of a job that has
// not ended as far as this host knows, the holder knows more.
func (a *Answerer) Status(ctx context.Context, id describer.JobID) (describer.JobState, error) {
	view := a.options.Look(id)
	if view.IsKnown && view.State.IsFinal() {
		return view.State, nil
	}
	answer := a.options.Peers.AskHolder(ctx, id)
	switch {
	case !answer.IsOpen:
	case a.isFresh(view):
		answer = a.Here(ctx, id)
	default:
		answer = a.options.Peers.Status(ctx, id)
	}
	switch {
	case !answer.IsOpen && !answer.IsDenied:
		return answer.State, nil
	case view.IsKnown:
		// An older state is still a true one: nothing of a job is taken back.
		return view.State, nil
	case answer.IsDenied:
		return 0, ErrNoJob
	}
	return 0, errors.Errorf("status of job %s: %w", id, storer.ErrNotKnown)
}

// Glance answers at once from what this host knows.
func (a *Answerer) Glance(id describer.JobID) forwarder.Answer {
	view := a.options.Look(id)
	return forwarder.Answer{State: view.State, IsOpen: !view.IsKnown}
}

// Here answers from this host's view. A job is denied only by one that is fresh.
func (a *Answerer) Here(ctx context.Context, id describer.JobID) forwarder.Answer {
	asked := a.options.Clock.Now()
	for {
		view := a.options.Look(id)
		switch {
		case view.IsKnown:
			return forwarder.Answer{State: view.State}
		case a.isFresh(view) || view.ReadAt.After(asked):
			return forwarder.Answer{IsDenied: true}
		}
		select {
		case <-ctx.Done():
			return forwarder.Answer{IsOpen: true}
		case <-a.options.Clock.After(viewPoll):
		}
	}
}
