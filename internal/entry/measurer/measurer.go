// Package measurer wraps the store and the workers of an entry host and records metrics of the
// calls to them: counts by outcome and latency histograms.
//
// # Usage
//
//	store := measurer.NewStore(client, scope, clock)
//	workers := measurer.NewWorkers(client, scope, clock)
//	options.Observe, options.Count = measurer.Recorders(scope)
package measurer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"lentilrock.example/internal/entry/holder"
	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/fleet/summarizer"
)

// Counts are the values of the gauges of a host.
type Counts struct {
	ConfigVersion int64
	// ConfigFaults counts the parts of the configuration that are not used.
	ConfigFaults int
	Workspaces   int
	Epoch        int64
	// Holder and Ready are 1 if the host is the holder or ready, otherwise 0.
	Holder  int
	Ready   int
	Jobs    int
	Pending int
	Workers int
	// JobsAge and ClaimsAge are the times since the topics were last read.
	JobsAge   time.Duration
	ClaimsAge time.Duration
	// Usages are those of the workspaces. Only the holder of a cell with workspaces has them.
	Usages []summarizer.Usage
}

// Buckets are the bounds of latency histograms. They range from a call within a data centre to
// the longest time that callers wait.
var Buckets = tally.DurationBuckets{
	2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2500 * time.Millisecond, 5 * time.Second,
}

// Outcomes of calls to the store, as label values. outcomeUnknown leaves open whether the call
// took effect.
const (
	outcomeDone    = "done"
	outcomeFenced  = "fenced"
	outcomeRefused = "refused"
	outcomeUnknown = "open"
)

// Recorders returns functions that record a duration in a histogram and count an event, under a name of the scope.
func Recorders(scope tally.Scope) (observe func(name string, duration time.Duration), count func(name string)) {
	observe = func(name string, duration time.Duration) { scope.Histogram(name, Buckets).RecordDuration(duration) }
	return observe, func(name string) { scope.Counter(name).Inc(1) }
}

// Store records metrics of Append and Read. Other calls pass through.
type Store struct {
	storer.Store
	scope tally.Scope
	clock clockwork.Clock
}

// NewStore returns a Store that forwards calls to store.
func NewStore(store storer.Store, scope tally.Scope, clock clockwork.Clock) *Store {
	return &Store{Store: store, scope: scope, clock: clock}
}

// Append implements storer.Store.
func (s *Store) Append(ctx context.Context, call storer.Append) (int64, error) {
	startedAt := s.clock.Now()
	offset, err := s.Store.Append(ctx, call)
	scope := s.scope.Tagged(map[string]string{"topic": call.Topic.String()})
	scope.Histogram("append_seconds", Buckets).RecordDuration(s.clock.Since(startedAt))
	scope.Tagged(map[string]string{"outcome": OutcomeOf(err)}).Counter("appends").Inc(1)
	scope.Counter("appended_records").Inc(int64(len(call.Records)))
	return offset, err
}

// Read implements storer.Store.
func (s *Store) Read(ctx context.Context, topic storer.Topic, from int64, wait time.Duration) (storer.Batch, error) {
	batch, err := s.Store.Read(ctx, topic, from, wait)
	s.scope.Tagged(map[string]string{"topic": topic.String(), "outcome": OutcomeOf(err)}).Counter("reads").Inc(1)
	return batch, err
}

// OutcomeOf returns the value of the outcome label for the error of a call to the store.
func OutcomeOf(err error) string {
	switch {
	case err == nil:
		return outcomeDone
	case errors.Is(err, storer.ErrFenced):
		return outcomeFenced
	case errors.Is(err, storer.ErrRefused):
		return outcomeRefused
	}
	return outcomeUnknown
}

// Workers records metrics of Start, Stop and Poll, which the metrics call "look". Other calls pass through.
type Workers struct {
	holder.Workers
	scope tally.Scope
	clock clockwork.Clock
}

// NewWorkers returns a Workers that forwards orders to workers.
func NewWorkers(workers holder.Workers, scope tally.Scope, clock clockwork.Clock) *Workers {
	return &Workers{Workers: workers, scope: scope, clock: clock}
}

// Start implements holder.Workers.
func (w *Workers) Start(ctx context.Context, start orderer.Start) orderer.Verdict {
	startedAt := w.clock.Now()
	verdict := w.Workers.Start(ctx, start)
	w.scope.Histogram("start_order_seconds", Buckets).RecordDuration(w.clock.Since(startedAt))
	w.count("start", verdict)
	return verdict
}

// Stop implements holder.Workers.
func (w *Workers) Stop(ctx context.Context, stop orderer.Stop) orderer.Verdict {
	verdict := w.Workers.Stop(ctx, stop)
	w.count("stop", verdict)
	return verdict
}

// Poll implements holder.Workers.
func (w *Workers) Poll(ctx context.Context, poll orderer.Poll) (orderer.Inventory, orderer.Verdict) {
	inventory, verdict := w.Workers.Poll(ctx, poll)
	w.count("look", verdict)
	return inventory, verdict
}

func (w *Workers) count(order string, verdict orderer.Verdict) {
	w.scope.Tagged(map[string]string{"order": order, "verdict": verdict.String()}).Counter("orders").Inc(1)
}
