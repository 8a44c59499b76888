package forgetter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/forgetter"
)

func TestDue(t *testing.T) {
	const keep = time.Minute
	start := time.Unix(1_000, 0)
	var f forgetter.Forgetter
	for i, id := range []describer.JobID{"a", "b", "c"} {
		f.Ended(id, start.Add(time.Duration(i)*time.Second))
	}
	f.Ended("a", start.Add(time.Hour))
	require.Empty(t, f.Due(start.Add(keep), keep, 9), "callers may still ask")
	now := start.Add(keep + 1500*time.Millisecond)
	require.Equal(t, []describer.JobID{"a"}, f.Due(now, keep, 1))
	due := f.Due(now, keep, 9)
	require.Equal(t, []describer.JobID{"a", "b"}, due)
	f.Forgotten(due)
	require.Empty(t, f.Due(now, keep, 9))
	require.Equal(t, []describer.JobID{"c"}, f.Due(now.Add(time.Second), keep, 9))
}
