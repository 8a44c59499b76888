package recorder_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/entry/recorder"
)

// TestAbout guards against lines that are attributed to the wrong job, and against a buffer that
// grows without bound or overwrites lines other than the oldest.
func TestAbout(t *testing.T) {
	start := time.Unix(1_000, 0)
	var c recorder.Recorder
	c.Record(start, "A task failed.", "task", "a.0.0.1", "worker", "w-3")
	c.Record(start, "A worker is gone.", "worker", "w-3")
	c.Record(start.Add(time.Second), "A job failed.", "job", "a")
	lines := c.LinesOf("a")
	require.Len(t, lines, 2)
	require.Equal(t, "A task failed. task=a.0.0.1 worker=w-3", lines[0].Text)
	require.Equal(t, start.Add(time.Second), lines[1].At)
	require.Empty(t, c.LinesOf("b"))

	for i := range 5000 {
		c.Record(start, fmt.Sprintf("Line %d.", i), "job", "b")
	}
	require.Empty(t, c.LinesOf("a"), "the oldest lines must be overwritten")
	lines = c.LinesOf("b")
	require.Len(t, lines, 4096)
	require.Equal(t, "Line 904. job=b", lines[0].Text)
	require.Equal(t, "Line 4999. job=b", lines[4095].Text)
}
