// Package deliverer finds the way by which a record gets into the log: through the holder,
// which gathers those of all hosts, from this host, or through other peers.
//
// # Usage
//
//	d := deliverer.New(deliverer.Options{Submitter: s, Forwarder: f, Prober: p, Clock: clock, IsStoreDown: isDown})
//	err := d.Keep(ctx, record)
package deliverer

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
	// keepTimeout is when a record is handed to a peer that this host could not keep.
	keepTimeout = 1100 * time.Millisecond
	// quietPoll is how often it is looked whether the holder still answers its peers.
	quietPoll = 50 * time.Millisecond
)

// Way keeps a record. Errors wrap storer.ErrRefused, after which the record is never kept, or
// storer.ErrNotKnown.
type Way func(ctx context.Context, record journaler.Record) error

// Forwarder has peers keep records.
type Forwarder interface {
	// Gather has the holder keep a record.
	Gather(ctx context.Context, record journaler.Record) error
	// HasHolder reports whether another host holds the cell.
	HasHolder() bool
	// Keep has other peers keep a record.
	Keep(ctx context.Context, record journaler.Record) error
}

// Submitter keeps records from this host.
type Submitter interface {
	Keep(ctx context.Context, record journaler.Record) error
}

// Options are what a deliverer is made from.
type Options struct {
	Submitter Submitter
	Forwarder Forwarder
	// View returns what the questions to the holder have shown.
	View  func() prober.View
	Clock clockwork.Clock
	// Scope takes metrics; nil drops them.
	Scope tally.Scope
	// IsStoreDown reports whether the store can't be reached from here.
	IsStoreDown func() bool
}

// Deliverer delivers records.
type Deliverer struct {
	options Options
}

// New returns a deliverer.
func New(options Options) *Deliverer {
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	return &Deliverer{options: options}
}

// Keep keeps a record: through the holder, so that a slow store gets few appends and the
// holder knows of it at once, else here, else through other peers. Errors are those of a Way.
func (d *Deliverer) Keep(ctx context.Context, record journaler.Record) error {
	began := d.options.Clock.Now()
	err := d.keep(ctx, record)
	scope := d.options.Scope.Tagged(map[string]string{"outcome": measurer.OutcomeOf(err)})
	scope.Counter("submissions").Inc(1)
	scope.Histogram("submission_seconds", measurer.Buckets).RecordDuration(d.options.Clock.Since(began))
	return err
}

func (d *Deliverer) keep(ctx context.Context, record journaler.Record) error {
	isHere := !d.options.IsStoreDown()
	if isHere && d.isHolderQuiet() {
		return tryInTurn(ctx, record, false, d.keepHere, d.gather, d.options.Forwarder.Keep)
	}
	err := d.gather(ctx, record)
	isOpen := errors.Is(err, storer.ErrNotKnown)
	if err == nil || isOpen && !d.options.View().IsSilent {
		// A holder that lives still has the record; another append would slow the store more.
		return err
	}
	if !isHere {
		return tryInTurn(ctx, record, isOpen, d.options.Forwarder.Keep)
	}
	return tryInTurn(ctx, record, isOpen, d.keepHere, d.options.Forwarder.Keep)
}

// tryInTurn keeps a record in the first way that does it. An outcome that one way left open,
// or one that was tried before, is not called a refusal.
func tryInTurn(ctx context.Context, record journaler.Record, isOpen bool, ways ...Way) error {
	var err error
	for _, way := range ways {
		if err = way(ctx, record); err == nil {
			return nil
		}
		isOpen = isOpen || errors.Is(err, storer.ErrNotKnown)
		if ctx.Err() != nil {
			break
		}
	}
	if isOpen {
		return errors.Errorf("keep record %s: %w", record.Key, storer.ErrNotKnown)
	}
	return err
}

// isHolderQuiet reports whether the holder does not answer, or can't keep records itself.
func (d *Deliverer) isHolderQuiet() bool { return !d.options.View().FailingSince.IsZero() }

// gather has the holder keep a record. It stops waiting once the holder may be gone.
func (d *Deliverer) gather(ctx context.Context, record journaler.Record) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	gathered := make(chan error, 1)
	go func() { gathered <- d.options.Forwarder.Gather(ctx, record) }()
	for {
		select {
		case err := <-gathered:
			return err
		case <-d.options.Clock.After(quietPoll):
		}
		if d.options.View().IsSilent {
			return errors.Errorf("keep through the holder, which does not answer: %w", storer.ErrNotKnown)
		}
	}
}

// keepHere keeps a record without the help of peers. The holder is where the others would go,
// so it waits as long as the caller does.
func (d *Deliverer) keepHere(ctx context.Context, record journaler.Record) error {
	if d.options.Forwarder.HasHolder() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, keepTimeout)
		defer cancel()
	}
	return d.options.Submitter.Keep(ctx, record)
}
