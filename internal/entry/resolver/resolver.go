// Package resolver resolves the status of jobs from this host's view of the log, from the
// holder (the host whose claim makes it the leader) and from other peers.
//
// That a job does not exist is only told from a view that was read to the end of the log after the
// question arrived. No age of a view is young enough: a job may have been accepted a moment ago.
//
// A caller reaches only some jobs, by their workspaces. The others don't exist for it: the reply takes the same way, and
// about the same time, as for a job that does not exist. While this host can't read the log, both have an unknown status.
//
// # Usage
//
//	a := resolver.New(resolver.Options{View: view, Refresh: refresh, Peers: forwarder, Clock: clock, MaxViewAge: 2 * time.Second})
//	state, err := a.Status(ctx, caller, id)
package resolver

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"lentilrock.example/internal/entry/authenticator"
	"lentilrock.example/internal/entry/forwarder"
	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/fleet/describer"
)

// ErrJobNotFound means that the job does not exist.
var ErrJobNotFound = errors.New("there is no such job")

// View is this host's view of a job.
type View struct {
	IsKnown bool
	State   describer.JobState
	// Workspace is the name of the job's workspace; empty if it has none.
	Workspace string
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

// Options configure a Resolver.
type Options struct {
	// View returns this host's view of a job.
	View func(id describer.JobID) View
	// Refresh returns nil once the view has all records that the log had when it was called.
	Refresh func(ctx context.Context) error
	Peers   Peers
	Clock   clockwork.Clock
	// IsHolderUnresponsive reports that the holder does not reply, so that a request to it would only
	// delay the caller; nil means that it replies.
	IsHolderUnresponsive func() bool
	// MaxViewAge is the age from which peers are asked for a later state of a job that this host knows.
	MaxViewAge time.Duration
}

// Resolver resolves the status of jobs.
type Resolver struct {
	options Options
}

// New returns a Resolver.
func New(options Options) *Resolver {
	if options.IsHolderUnresponsive == nil {
		options.IsHolderUnresponsive = func() bool { return false }
	}
	return &Resolver{options: options}
}

func (a *Resolver) isFresh(v View) bool {
	return a.options.Clock.Now().Sub(v.ReadAt) < a.options.MaxViewAge
}

// Status returns a job's state. Unless this host's view has a final state, it queries the
// holder, whose state is more recent. Errors wrap ErrJobNotFound or storer.ErrOutcomeUnknown. A job that the caller may
// not reach is not found.
func (a *Resolver) Status(ctx context.Context, caller authenticator.Caller, id describer.JobID) (describer.JobState, error) {
	view := a.options.View(id)
	isForeign := view.IsKnown && !caller.MayReach(view.Workspace)
	isKnown := view.IsKnown && !isForeign
	if isKnown && view.State.IsFinal() {
		return view.State, nil
	}
	reply, source := forwarder.StatusReply{IsUnknown: true}, "the log of this host"
	if !a.options.IsHolderUnresponsive() {
		reply = a.options.Peers.StatusFromHolder(ctx, id)
		if isForeign || !isKnown && !mayReach(caller, reply) {
			// The holder never replies that a job does not exist.
			reply = forwarder.StatusReply{IsUnknown: true}
		}
	}
	if reply.IsUnknown && (!isKnown || a.isFresh(view)) {
		reply = a.readStatus(ctx, caller, id)
	}
	if reply.IsUnknown {
		reply, source = a.options.Peers.StatusFromPeers(ctx, id), "the log of a peer"
		// Peers tell of a foreign job what they know, but that a job is missing only once they have read the log. So a
		// restricted caller gets neither: both replies are unknown.
		isMissing := reply.IsNotFound && caller != authenticator.Unrestricted()
		if !isKnown && (isForeign || isMissing || !mayReach(caller, reply)) {
			reply = forwarder.StatusReply{IsUnknown: true}
		}
	}
	switch {
	case !reply.IsUnknown && !reply.IsNotFound:
		return reply.State, nil
	case isKnown:
		// An older state is still a valid reply: recorded progress of a job is never undone.
		return view.State, nil
	case reply.IsNotFound:
		return 0, errors.Errorf("%s has no job %s: %w", source, id, ErrJobNotFound)
	}
	return 0, errors.Errorf("status of job %s: %w", id, storer.ErrOutcomeUnknown)
}

// mayReach reports whether a caller may read a peer's reply. One of an older version does not tell the job's workspace,
// so that only callers that may reach every job may read it.
func mayReach(caller authenticator.Caller, reply forwarder.StatusReply) bool {
	if reply.IsUnknown || reply.IsNotFound || caller == authenticator.Unrestricted() {
		return true
	}
	return reply.NamesWorkspace && caller.MayReach(reply.Workspace)
}

// CachedStatus returns a job's status from this host's view, without waiting for a fresh one.
func (a *Resolver) CachedStatus(id describer.JobID) forwarder.StatusReply {
	view := a.options.View(id)
	if !view.IsKnown {
		return forwarder.StatusReply{IsUnknown: true}
	}
	return forwarder.StatusReply{State: view.State, Workspace: view.Workspace, NamesWorkspace: true}
}

// LocalStatus returns a job's status from this host's view. It reads the log to its end before it reports
// that a job does not exist; if that fails, the status is unknown.
func (a *Resolver) LocalStatus(ctx context.Context, id describer.JobID) forwarder.StatusReply {
	return a.readStatus(ctx, authenticator.Unrestricted(), id)
}

// readStatus does the same for a caller, for which jobs that it may not reach don't exist.
func (a *Resolver) readStatus(ctx context.Context, caller authenticator.Caller, id describer.JobID) forwarder.StatusReply {
	if reply := a.CachedStatus(id); !reply.IsUnknown && mayReach(caller, reply) {
		return reply
	}
	if err := a.options.Refresh(ctx); err != nil {
		return forwarder.StatusReply{IsUnknown: true}
	}
	reply := a.CachedStatus(id)
	if reply.IsUnknown || !mayReach(caller, reply) {
		return forwarder.StatusReply{IsNotFound: true, HasReadLog: true}
	}
	return reply
}
