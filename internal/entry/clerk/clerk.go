// Package clerk serves the callers of an entry host: it persists their jobs and cancellations and reports the
// states of jobs.
//
// # Usage
//
//	c := clerk.New(clerk.Options{View: view, Admit: admit, Resolve: r.Status, HasReadJobs: hasRead, Persist: persist, Clock: clock})
//	err := c.Submit(ctx, caller, job)
//	state, err := c.Status(ctx, caller, job.ID)
//	err = c.Cancel(ctx, caller, job.ID)
package clerk

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"lentilrock.example/internal/entry/authenticator"
	"lentilrock.example/internal/entry/resolver"
	"lentilrock.example/internal/entry/router"
	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
)

// ErrNotReady means that the host has not read the configuration and the log of its cell yet.
var ErrNotReady = errors.New("the host does not know its cell yet")

// Options configure a Clerk.
type Options struct {
	// View returns this host's view of a job.
	View func(id describer.JobID) resolver.View
	// Admit returns nil if there is room for one more job. Errors are those of accountant.Accountant.
	Admit func(job *describer.Job) error
	// Resolve returns a job's state. Errors are those of resolver.Resolver.
	Resolve func(ctx context.Context, caller authenticator.Caller, id describer.JobID) (describer.JobState, error)
	// HasReadJobs reports whether this host has read the configuration and all jobs.
	HasReadJobs func() bool
	Persist     router.PersistFunc
	Clock       clockwork.Clock
}

// Clerk serves callers. It is safe for concurrent use.
type Clerk struct {
	options Options
}

// New returns a Clerk.
func New(options Options) *Clerk { return &Clerk{options: options} }

// Submit persists a job of the caller's workspace; the job is accepted once Submit returns nil, and has been if the
// caller may reach a job with its ID. Errors wrap storer.ErrRefused, *accountant.FullError or journaler.ErrForeignJob,
// after which the job never runs, storer.ErrOutcomeUnknown, ErrNotReady or journaler.ErrTooLarge.
func (c *Clerk) Submit(ctx context.Context, caller authenticator.Caller, job *describer.Job) error {
	if view := c.options.View(job.ID); view.IsKnown {
		if caller.MayReach(view.Workspace) {
			return nil
		}
		return errors.Errorf("submit job %s: %w", job.ID, journaler.ErrForeignJob)
	}
	job.Workspace = caller.Workspace
	job.Received = c.options.Clock.Now()
	record, err := journaler.NewJob(job)
	if err != nil {
		return errors.Errorf("submit job %s: %w", job.ID, err)
	}
	if err := c.options.Admit(job); err != nil {
		return errors.Errorf("submit job %s: %w", job.ID, err)
	}
	return c.options.Persist(ctx, record)
}

// Cancel persists the cancellation of a job; it has no effect on a job that has ended. Errors
// wrap resolver.ErrJobNotFound or those of Submit.
func (c *Clerk) Cancel(ctx context.Context, caller authenticator.Caller, id describer.JobID) error {
	state, err := c.Status(ctx, caller, id)
	if err != nil {
		return err
	}
	if state.IsFinal() {
		return nil
	}
	record, err := journaler.NewCancel(id, journaler.Cancel{At: c.options.Clock.Now()})
	if err != nil {
		return errors.Errorf("cancel job %s: %w", id, err)
	}
	return c.options.Persist(ctx, record)
}

// Status returns a job's state. Errors wrap resolver.ErrJobNotFound, ErrNotReady or storer.ErrOutcomeUnknown.
func (c *Clerk) Status(ctx context.Context, caller authenticator.Caller, id describer.JobID) (describer.JobState, error) {
	state, err := c.options.Resolve(ctx, caller, id)
	if errors.Is(err, storer.ErrOutcomeUnknown) && !c.options.HasReadJobs() {
		return state, errors.Errorf("status of job %s: %w", id, ErrNotReady)
	}
	return state, err
}
