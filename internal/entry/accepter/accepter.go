// Package accepter persists records on this host, without its peers. On the host that holds the claim
// it appends a submission under the claim, together with the beginning of the job's progress, so that
// the job's tasks may start after one append. All else goes to the jobs topic.
//
// # Usage
//
//	a := accepter.New(accepter.Options{Holder: currentHolder, Submitter: submitter, IsStoreDown: isDown})
//	err := a.Persist(ctx, record)
package accepter

import (
	"context"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/entry/holder"
	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
)

// Holder appends submissions under the claim of this host.
type Holder interface {
	// Submit persists a submission. Errors wrap storer.ErrRefused, holder.ErrStopped or
	// storer.ErrOutcomeUnknown.
	Submit(ctx context.Context, id describer.JobID, record journaler.Record) error
}

// Submitter appends records to the jobs topic.
type Submitter interface {
	Persist(ctx context.Context, record journaler.Record) error
}

// Options configure an Accepter.
type Options struct {
	// Holder returns the holder that runs on this host; nil if this host does not hold the claim.
	Holder    func() Holder
	Submitter Submitter
	// IsStoreDown reports whether this host can't reach the store, or has not read from it since its
	// start.
	IsStoreDown func() bool
	// Check returns journaler.ErrForeignJob if this host knows a job of another workspace with the ID of a submission;
	// nil means that it knows none.
	Check func(id describer.JobID, record journaler.Record) error
}

// Accepter persists records on this host.
type Accepter struct {
	options Options
}

// New returns an Accepter.
func New(options Options) *Accepter {
	if options.Check == nil {
		options.Check = func(describer.JobID, journaler.Record) error { return nil }
	}
	return &Accepter{options: options}
}

// PersistForPeer persists a record of another host. A host that can't reach the store refuses the
// record without sending it. Errors are those of Persist.
func (a *Accepter) PersistForPeer(ctx context.Context, record journaler.Record) error {
	if a.options.IsStoreDown() {
		return errors.Errorf("this host does not reach the store: %w", storer.ErrRefused)
	}
	return a.Persist(ctx, record)
}

// Persist persists a record. Errors wrap storer.ErrRefused, after which the record is never stored, or
// storer.ErrOutcomeUnknown. They wrap journaler.ErrForeignJob if the ID belongs to a job of another workspace.
func (a *Accepter) Persist(ctx context.Context, record journaler.Record) error {
	id, isJob := journaler.JobOf(record)
	if !isJob {
		return a.options.Submitter.Persist(ctx, record)
	}
	if err := a.options.Check(id, record); err != nil {
		return errors.Mark(err, storer.ErrRefused)
	}
	err := a.persistJob(ctx, id, record)
	if err != nil {
		return err
	}
	// Another submission with the ID may have come first; it counts, and this one never runs.
	return errors.Wrap(a.options.Check(id, record), "check job after its append")
}

func (a *Accepter) persistJob(ctx context.Context, id describer.JobID, record journaler.Record) error {
	h := a.options.Holder()
	if h == nil || len(record.Value) > holder.MaxSubmissionBytes {
		return a.options.Submitter.Persist(ctx, record)
	}
	err := h.Submit(ctx, id, record)
	if !errors.Is(err, holder.ErrStopped) {
		return err
	}
	// The first submission of a job counts, so it may be sent again.
	again := a.options.Submitter.Persist(ctx, record)
	if errors.Is(again, storer.ErrRefused) && !errors.Is(err, storer.ErrRefused) {
		return errors.Errorf("submit job %s again: %s: %w", id, again.Error(), storer.ErrOutcomeUnknown)
	}
	return again
}
