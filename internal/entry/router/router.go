// Package router persists records through the route that works at the moment: through the
// holder (the host whose claim makes it the leader), which batches the records of all hosts,
// directly from this host, or through other peers.
//
// # Usage
//
//	d := router.New(router.Options{Submitter: s, Forwarder: f, View: p.View, Clock: clock, IsStoreDown: isDown})
//	err := d.Persist(ctx, record)
package router

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"lentilrock.example/internal/entry/measurer"
	"lentilrock.example/internal/entry/prober"
	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/fleet/journaler"
)

const (
	// localTimeout bounds an attempt to persist a record from this host before its peers are
	// tried.
	localTimeout = 1100 * time.Millisecond
	// holderPollInterval is how often a pending request to the holder checks whether the holder
	// still responds to probes.
	holderPollInterval = 50 * time.Millisecond
)

// PersistFunc persists a record. Errors wrap storer.ErrRefused, after which the record is
// never stored, or storer.ErrOutcomeUnknown. After journaler.ErrForeignJob no other route is tried.
type PersistFunc func(ctx context.Context, record journaler.Record) error

// Forwarder has peers persist records.
type Forwarder interface {
	// PersistViaHolder has the holder persist a record.
	PersistViaHolder(ctx context.Context, record journaler.Record) error
	// HasHolder reports whether another host holds the claim.
	HasHolder() bool
	// PersistViaPeers has peers other than the holder persist a record.
	PersistViaPeers(ctx context.Context, record journaler.Record) error
}

// Submitter persists records from this host.
type Submitter interface {
	Persist(ctx context.Context, record journaler.Record) error
}

// Options configure a Router.
type Options struct {
	Submitter Submitter
	Forwarder Forwarder
	// View returns the results of the probes of the holder.
	View  func() prober.View
	Clock clockwork.Clock
	// Scope receives metrics; nil discards them.
	Scope tally.Scope
	// IsStoreDown reports whether this host can't reach the store.
	IsStoreDown func() bool
	// StoreReplies asks the store for a reply; nil means that it replies. It is called while the
	// holder is unresponsive, since this host may be cut off then and not know it yet.
	StoreReplies func(ctx context.Context) bool
}

// Router persists records through the holder, this host or its peers.
type Router struct {
	options Options
}

// New returns a Router.
func New(options Options) *Router {
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	if options.StoreReplies == nil {
		options.StoreReplies = func(context.Context) bool { return true }
	}
	return &Router{options: options}
}

// Persist persists a record. It tries the holder first, so that a slow store gets few appends and
// the holder learns of the record at once, then this host, then other peers. While the holder
// fails its probes, this host is tried first; while this host can't reach the store, it is left
// out. Nothing is sent to a holder, store or peer that does not reply, so that a host that is cut off
// can refuse the record at once. Errors are those of a PersistFunc.
func (d *Router) Persist(ctx context.Context, record journaler.Record) error {
	startedAt := d.options.Clock.Now()
	err := d.persist(ctx, record)
	scope := d.options.Scope.Tagged(map[string]string{"outcome": measurer.OutcomeOf(err)})
	scope.Counter("submissions").Inc(1)
	scope.Histogram("submission_seconds", measurer.Buckets).RecordDuration(d.options.Clock.Since(startedAt))
	return err
}

func (d *Router) persist(ctx context.Context, record journaler.Record) error {
	isStoreUp := !d.options.IsStoreDown()
	switch {
	case d.options.View().IsUnresponsive && isStoreUp:
		return persistWithFirst(ctx, record, false, d.persistIfStoreReplies, d.options.Forwarder.PersistViaPeers)
	case d.options.View().IsUnresponsive:
		return persistWithFirst(ctx, record, false, d.options.Forwarder.PersistViaPeers)
	case isStoreUp && d.isHolderFailing():
		return persistWithFirst(ctx, record, false, d.persistLocally, d.persistViaHolder, d.options.Forwarder.PersistViaPeers)
	}
	err := d.persistViaHolder(ctx, record)
	isOutcomeUnknown := errors.Is(err, storer.ErrOutcomeUnknown)
	if err == nil || errors.Is(err, journaler.ErrForeignJob) || isOutcomeUnknown && !d.options.View().IsUnresponsive {
		// A holder that responds to probes is still working on the record; another append would
		// add to the load of the store.
		return err
	}
	if !isStoreUp {
		return persistWithFirst(ctx, record, isOutcomeUnknown, d.options.Forwarder.PersistViaPeers)
	}
	return persistWithFirst(ctx, record, isOutcomeUnknown, d.persistLocally, d.options.Forwarder.PersistViaPeers)
}

// persistWithFirst persists a record with the first function that succeeds. isOutcomeUnknown
// reports that an earlier attempt left the outcome unknown. A refusal is returned only if no
// attempt, earlier ones included, did so.
func persistWithFirst(ctx context.Context, record journaler.Record, isOutcomeUnknown bool, funcs ...PersistFunc) error {
	var err error
	for _, fn := range funcs {
		if err = fn(ctx, record); err == nil || errors.Is(err, journaler.ErrForeignJob) {
			return err
		}
		isOutcomeUnknown = isOutcomeUnknown || errors.Is(err, storer.ErrOutcomeUnknown)
		if ctx.Err() != nil {
			break
		}
	}
	if isOutcomeUnknown {
		return errors.Errorf("keep record %s: %w", record.Key, storer.ErrOutcomeUnknown)
	}
	return err
}

// isHolderFailing reports whether the holder does not reply to probes, or replies that it can't
// persist records itself.
func (d *Router) isHolderFailing() bool { return !d.options.View().FailingSince.IsZero() }

// persistViaHolder has the holder persist a record. It stops waiting once the holder does not
// respond to probes.
func (d *Router) persistViaHolder(ctx context.Context, record journaler.Record) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	result := make(chan error, 1)
	go func() { result <- d.options.Forwarder.PersistViaHolder(ctx, record) }()
	for {
		select {
		case err := <-result:
			return err
		case <-d.options.Clock.After(holderPollInterval):
		}
		if d.options.View().IsUnresponsive {
			return errors.Errorf("keep through the holder, which does not answer: %w", storer.ErrOutcomeUnknown)
		}
	}
}

// persistIfStoreReplies persists a record from this host, if the store replies to it.
func (d *Router) persistIfStoreReplies(ctx context.Context, record journaler.Record) error {
	if !d.options.StoreReplies(ctx) {
		return errors.Errorf("the store does not reply to this host: %w", storer.ErrRefused)
	}
	return d.persistLocally(ctx, record)
}

// persistLocally persists a record from this host. If another host holds the claim, the
// attempt is bounded by localTimeout, so that peers can be tried afterwards. The holder itself
// waits as long as the caller does, as there is no better host to try.
func (d *Router) persistLocally(ctx context.Context, record journaler.Record) error {
	if d.options.Forwarder.HasHolder() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, localTimeout)
		defer cancel()
	}
	return d.options.Submitter.Persist(ctx, record)
}
