package confiner_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/confiner"
)

// TestTaskStaysWithTheWorkerOfItsLostStart guards against a second run of a task elsewhere while the first worker may still
// carry out an earlier start, and against one that waits for longer than that.
func TestTaskStaysWithTheWorkerOfItsLostStart(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	var c confiner.Confiner
	require.True(t, c.Allows("w-1", now), "without a lost start any worker may run the task")
	c.Add(confiner.Start{Worker: "w-1", Number: 1, Until: now.Add(12 * time.Second)}, now)
	c.Add(confiner.Start{Worker: "w-1", Number: 1, Until: now.Add(9 * time.Second)}, now)
	require.True(t, c.Allows("w-1", now))
	require.False(t, c.Allows("w-2", now.Add(11*time.Second)))
	require.True(t, c.Allows("w-2", now.Add(12*time.Second)))
	c.Add(confiner.Start{Worker: "w-2", Number: 2, Until: now.Add(14 * time.Second)}, now)
	require.False(t, c.Allows("w-1", now), "two workers may each carry out a start")
	require.False(t, c.Allows("w-2", now))
	require.Equal(t, 2*time.Second, c.Waited(now.Add(2*time.Second)))
	c.Started()
	require.Zero(t, c.Waited(now.Add(2*time.Second)))
	c.Arrived("w-1", 1)
	require.True(t, c.Allows("w-2", now))
	c.Gone("w-2")
	require.True(t, c.Allows("w-3", now))
	require.False(t, c.IsPending(now))
}
