package dispatcher_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/standin/fencer"
)

// TestReportsOfDrainingWorker guards against a log that does not tell when the entry of a draining worker vanished, when its
// address refused connections, and whether its lease was valid then.
func TestReportsOfDrainingWorker(t *testing.T) {
	c := newCell(t, 2)
	lines := c.recordReports("w-0")
	c.claim()
	c.run(4 * tickInterval)
	c.submit("a", describer.Queue{}, longRunning(4))
	c.run(4 * tickInterval)
	runs := len(c.fleet.Running("w-0"))
	require.NotZero(t, runs)
	take := func() string {
		text := strings.Join(*lines, "\n")
		*lines = nil
		return text
	}
	c.fleet.Update("w-0", func(w *fencer.Worker) { w.Info.Draining = true })
	c.run(4 * tickInterval)
	take()

	c.listed = c.fleet.Workers()[1:]
	c.run(2 * tickInterval)
	require.Contains(t, take(), fmt.Sprintf("no entry of a worker. [worker w-0 runs %d is_listed false is_draining true", runs))
	c.listed = nil
	c.run(2 * tickInterval)
	require.Contains(t, take(), fmt.Sprintf("entry of a worker again. [worker w-0 runs %d is_listed true is_draining true", runs))

	c.fleet.Update("w-0", func(w *fencer.Worker) { w.HasExited = true })
	c.run(4 * tickInterval)
	require.Equal(t, 1, strings.Count(take(), "refuses connections. [worker w-0 runs"), "once while the entry is there")
	c.fleet.Update("w-0", func(w *fencer.Worker) { w.HasExited = false })
	c.run(4 * tickInterval)
	take()
	c.fleet.Update("w-0", func(w *fencer.Worker) { w.HasExited = true })
	c.run(4 * tickInterval)
	require.Equal(t, 1, strings.Count(take(), "refuses connections. [worker w-0 runs"), "again after a reply")
	c.listed = c.fleet.Workers()[1:]
	c.run(20 * time.Second)
	text := take()
	require.Equal(t, 1, strings.Count(text, "refuses connections. [worker w-0 runs"), "again without an entry")
	require.Contains(t, text, "It is removed. [worker w-0 runs 0 is_listed false is_draining true last_reply")
	require.Contains(t, text, "lease_end")
}

// recordReports makes later holders write the lines that name a worker to a list, which it returns.
func (c *cell) recordReports(worker string) *[]string {
	lines := &[]string{}
	c.options.Report = func(message string, fields ...any) {
		if line := fmt.Sprintf("%s %v", message, fields); strings.Contains(line, "worker "+worker+" ") {
			*lines = append(*lines, line)
		}
	}
	return lines
}
