package acknowledger_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/acknowledger"
)

// TestResultTracker guards against the loss of a result: a worker must not be told to forget a result that
// is not durable, and a result that is reported again must not be applied twice.
func TestResultTracker(t *testing.T) {
	var results acknowledger.ResultTracker
	require.True(t, results.Record(1))
	require.False(t, results.Record(1), "a result that is reported again must not be new")
	results.AwaitBatch(1, 3)
	require.True(t, results.Record(2))
	results.AwaitBatch(2, 2)
	results.MarkDurable(2)
	require.Zero(t, results.Unconfirmed(), "result 1 is not durable yet, so result 2 must not be acknowledged")
	results.MarkDurable(3)
	require.Equal(t, int64(2), results.Unconfirmed())
}

// TestConfirmedResults guards against results that are acknowledged again and again, and against one that is not as an
// earlier one was confirmed.
func TestConfirmedResults(t *testing.T) {
	var results acknowledger.ResultTracker
	for number := range int64(2) {
		results.Record(number + 1)
		results.AwaitBatch(number+1, number)
	}
	results.MarkDurable(0)
	require.Equal(t, int64(1), results.Unconfirmed())
	results.Confirm(1)
	require.Zero(t, results.Unconfirmed())
	results.MarkDurable(1)
	require.Equal(t, int64(2), results.Unconfirmed())
}
