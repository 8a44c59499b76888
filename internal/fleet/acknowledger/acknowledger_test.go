package acknowledger_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/acknowledger"
)

// TestResultTracker guards against the loss of a result: a worker must not be told to forget a result that
// is not durable, and a result that is reported again must not be applied twice.
func TestResultTracker(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	var results acknowledger.ResultTracker
	require.True(t, results.Record(1))
	require.False(t, results.Record(1), "a result that is reported again must not be new")
	results.Await(acknowledger.Result{Number: 1, Batch: 3})
	require.True(t, results.Record(2))
	results.Await(acknowledger.Result{Number: 2, Batch: 2})
	results.MarkDurable(2, now)
	require.Zero(t, results.Unconfirmed(), "result 1 is not durable yet, so result 2 must not be acknowledged")
	results.MarkDurable(3, now)
	require.Equal(t, int64(2), results.Unconfirmed())
}

// TestConfirmedResults guards against results that are acknowledged again and again, and against one that is not as an
// earlier one was confirmed.
func TestConfirmedResults(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	var results acknowledger.ResultTracker
	for number := range int64(2) {
		results.Record(number + 1)
		results.Await(acknowledger.Result{Number: number + 1, Batch: number})
	}
	results.MarkDurable(0, now)
	require.Equal(t, int64(1), results.Unconfirmed())
	results.Confirm(1)
	require.Zero(t, results.Unconfirmed())
	results.MarkDurable(1, now)
	require.Equal(t, int64(2), results.Unconfirmed())
}

// TestHeldResults guards against a result that is acknowledged while a late start may repeat its task, and against a worker
// that lists no new results, as too many are held back.
func TestHeldResults(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	var results acknowledger.ResultTracker
	results.Await(acknowledger.Result{Number: 1, NotBefore: now.Add(time.Second)})
	results.Await(acknowledger.Result{Number: 2})
	results.MarkDurable(0, now)
	require.Zero(t, results.Unconfirmed(), "the worker forgets results in their order")
	results.MarkDurable(0, now.Add(time.Second))
	require.Equal(t, int64(2), results.Unconfirmed())
	for number := range int64(500) {
		results.Await(acknowledger.Result{Number: number + 3, NotBefore: now.Add(time.Minute)})
	}
	results.MarkDurable(0, now)
	require.Greater(t, results.Unconfirmed(), int64(250), "the worker lists no more than 500 results")
}
