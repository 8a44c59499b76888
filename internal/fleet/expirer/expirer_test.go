package expirer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/expirer"
)

// TestDue guards against jobs that are removed while callers may still query them, that are
// removed late because they were reported as ended twice, or that are returned again after
// their removal.
func TestDue(t *testing.T) {
	const retention = time.Minute
	start := time.Unix(1_000, 0)
	var f expirer.Expirer
	for i, id := range []describer.JobID{"a", "b", "c"} {
		f.Ended(id, start.Add(time.Duration(i)*time.Second))
	}
	f.Ended("a", start.Add(time.Hour))
	require.Empty(t, f.Due(start.Add(retention), retention, 9), "a job was due before the end of its retention period")
	now := start.Add(retention + 1500*time.Millisecond)
	require.Equal(t, []describer.JobID{"a"}, f.Due(now, retention, 1))
	due := f.Due(now, retention, 9)
	require.Equal(t, []describer.JobID{"a", "b"}, due)
	f.Removed(due)
	require.Empty(t, f.Due(now, retention, 9))
	require.Equal(t, []describer.JobID{"c"}, f.Due(now.Add(time.Second), retention, 9))
}
