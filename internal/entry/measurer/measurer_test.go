package measurer_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"lentilrock.example/internal/entry/holder"
	"lentilrock.example/internal/entry/measurer"
	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/fleet/orderer"
)

// store is a fake whose calls return err.
type store struct {
	storer.Store
	err error
}

func (s store) Append(context.Context, storer.Append) (int64, error) { return 4, s.err }

func (s store) Read(context.Context, storer.Topic, int64, time.Duration) (storer.Batch, error) {
	return storer.Batch{}, s.err
}

// workers is a fake that accepts starts and leaves the verdict of stops unknown.
type workers struct{ holder.Workers }

func (workers) Start(context.Context, orderer.Start) orderer.Verdict { return orderer.Accepted }

func (workers) Stop(context.Context, orderer.Stop) orderer.Verdict { return orderer.Unknown }

// TestCounts guards against wrappers that change results, and against calls that are counted
// under the wrong outcome, verdict or topic.
func TestCounts(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	for _, err := range []error{nil, errors.Wrap(storer.ErrRefused, "test"), errors.Wrap(storer.ErrFenced, "test"), errors.New("other")} {
		s := measurer.NewStore(store{err: err}, scope, clockwork.NewRealClock())
		_, got := s.Append(t.Context(), storer.Append{Topic: storer.Jobs})
		require.Equal(t, err, got, "the error must be returned unchanged")
		_, got = s.Read(t.Context(), storer.Claims, 0, 0)
		require.Equal(t, err, got)
	}
	w := measurer.NewWorkers(workers{}, scope, clockwork.NewRealClock())
	require.Equal(t, orderer.Accepted, w.Start(t.Context(), orderer.Start{}))
	require.Equal(t, orderer.Unknown, w.Stop(t.Context(), orderer.Stop{}))
	counters := make(map[string]int64)
	for key, c := range scope.Snapshot().Counters() {
		counters[key] = c.Value()
	}
	for _, outcome := range []string{"done", "refused", "fenced", "open"} {
		require.Equal(t, int64(1), counters["appends+outcome="+outcome+",topic=jobs"], "%v", counters)
		require.Equal(t, int64(1), counters["reads+outcome="+outcome+",topic=claims"], "%v", counters)
	}
	require.Equal(t, int64(1), counters["orders+order=start,verdict=accepted"])
	require.Equal(t, int64(1), counters["orders+order=stop,verdict=unknown"])
}

// TestRecorders guards against durations and events that are lost or recorded under another name.
func TestRecorders(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	observe, count := measurer.Recorders(scope)
	observe("wait", 3*time.Millisecond)
	count("moves")
	count("moves")
	snapshot := scope.Snapshot()
	require.Equal(t, int64(2), snapshot.Counters()["moves+"].Value())
	require.Equal(t, int64(1), snapshot.Histograms()["wait+"].Durations()[5*time.Millisecond])
}
