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
	"sync"
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
	// gatherPause keeps records away from a holder that did not answer.
	gatherPause = 2 * time.Second
	// keepTimeout is when a record is handed to a peer that this host could not keep.
	keepTimeout = 1100 * time.Millisecond
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

	mu sync.Mutex
	// gatherAt is when the holder may be asked again.
	gatherAt time.Time
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
	switch {
	case isHere && d.isHolderQuiet():
		return tryInTurn(ctx, record, d.keepHere, d.gather, d.options.Forwarder.Keep)
	case isHere:
		return tryInTurn(ctx, record, d.gather, d.keepHere, d.options.Forwarder.Keep)
	}
	return tryInTurn(ctx, record, d.gather, d.options.Forwarder.Keep)
}

// tryInTurn keeps a record in the first way that does it. An outcome that one way left open
// is not called a refusal.
func tryInTurn(ctx context.Context, record journaler.Record, ways ...Way) error {
	isOpen := false
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

// isHolderQuiet reports whether the holder may be gone, or did not answer a while ago.
func (d *Deliverer) isHolderQuiet() bool {
	isUnanswered := !d.options.View().FailingSince.IsZero()
	d.mu.Lock()
	defer d.mu.Unlock()
	return isUnanswered || d.options.Clock.Now().Before(d.gatherAt)
}

// gather has the holder keep a record. A holder that does not answer is left alone for a
// while.
func (d *Deliverer) gather(ctx context.Context, record journaler.Record) error {
	err := d.options.Forwarder.Gather(ctx, record)
	if errors.Is(err, storer.ErrNotKnown) {
		d.mu.Lock()
		d.gatherAt = d.options.Clock.Now().Add(gatherPause)
		d.mu.Unlock()
	}
	return err
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
