package acknowledger_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/acknowledger"
)

func TestEnds(t *testing.T) {
	var ends acknowledger.Ends
	require.True(t, ends.Take(1))
	require.False(t, ends.Take(1), "an end that is listed again is not new")
	ends.Mark(1, 3)
	require.True(t, ends.Take(2))
	ends.Mark(2, 2)
	ends.Saved(2)
	require.Zero(t, ends.Acknowledged(), "an end before it is not kept yet")
	ends.Saved(3)
	require.Equal(t, int64(2), ends.Acknowledged())
}
