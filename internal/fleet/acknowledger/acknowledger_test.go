package acknowledger_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/acknowledger"
)

// Guards against the loss of a result: a worker must not be told to forget a result that is not
// durable, and a result that is reported again must not be applied twice.
func TestEnds(t *testing.T) {
	var ends acknowledger.ResultTracker
	require.True(t, ends.Record(1))
	require.False(t, ends.Record(1), "an end that is reported again must not be new")
	ends.AwaitBatch(1, 3)
	require.True(t, ends.Record(2))
	ends.AwaitBatch(2, 2)
	ends.MarkDurable(2)
	require.Zero(t, ends.Acknowledged(), "end 1 is not durable yet, so end 2 must not be acknowledged")
	ends.MarkDurable(3)
	require.Equal(t, int64(2), ends.Acknowledged())
}
