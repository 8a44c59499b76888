package dispatcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/orderer"
)

// TestIdleJobIsLogged guards against a job that stands still and leaves nothing in the log that tells why: a job of 13
// small tasks did not run for seconds with most of the workers free, and its last line was that it was accepted.
func TestIdleJobIsLogged(t *testing.T) {
	const message = "Nothing of a job runs although a step of it is ready."
	advice := describer.AdviceTerms{Decide: 20 * time.Millisecond, Valid: 2500 * time.Millisecond}
	large := describer.Step{Count: 1, Need: describer.Resources{MilliCPU: 5000, MemoryMB: 1000}}
	for _, test := range []struct {
		name  string
		queue describer.Queue
		step  describer.Step
		// want are fields of the line; nil if there must be none.
		want map[string]any
	}{
		{"no worker is allowed", describer.Queue{Advice: advice}, tasks(2), map[string]any{
			"step": "a.0.0", "idle_jobs": 1, "waiting_tasks": 2, "unresolved_runs": 0, "may_have_unknown_runs": false,
			"accepting_workers": 2, "with_room": 2, "with_room_ineligible": 2, "with_room_ticketed": 0, "advice_requests": 0,
		}},
		{"no worker is large enough", describer.Queue{}, large, map[string]any{
			"step": "a.0.0", "waiting_tasks": 1, "accepting_workers": 2, "with_room": 0,
		}},
		{"a task runs", describer.Queue{}, describer.Step{Count: 1, LongRunning: true, Need: describer.Resources{MilliCPU: 500, MemoryMB: 500}}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			var lines []map[string]any
			c := newCell(t, 2)
			c.options.Report = func(text string, fields ...any) {
				if text != message {
					return
				}
				line := make(map[string]any)
				for i := 0; i+1 < len(fields); i += 2 {
					line[fields[i].(string)] = fields[i+1]
				}
				lines = append(lines, line)
			}
			c.claim()
			c.advise = func(orderer.AdviceRequest) orderer.Advice { return orderer.Advice{} }
			c.submit("a", test.queue, test.step)
			c.run(2500 * time.Millisecond)
			require.Empty(t, lines, "it may start soon")
			c.run(2500 * time.Millisecond)
			if test.want == nil {
				require.Empty(t, lines)
				return
			}
			require.NotEmpty(t, lines)
			require.LessOrEqual(t, len(lines), 3, "one line a second")
			require.Subset(t, lines[0], test.want)
			require.GreaterOrEqual(t, lines[0]["idle_time"], 3*time.Second)
			c.cancel("a")
			c.run(time.Second)
			ended := len(lines)
			c.run(4 * time.Second)
			require.Len(t, lines, ended, "nothing of an ended job is ready")
		})
	}
}

// TestIdleJobWithLostStartIsLogged guards against a run of which no worker knows and that counts as running: its job
// stands still for as long as the holder waits for an answer about the start.
func TestIdleJobWithLostStartIsLogged(t *testing.T) {
	c := newCell(t, 1)
	runs := -1
	c.options.Report = func(text string, fields ...any) {
		for i := 0; text == "Nothing of a job runs although a step of it is ready." && i+1 < len(fields); i += 2 {
			if fields[i] == "unresolved_runs" {
				runs = fields[i+1].(int)
			}
		}
	}
	c.claim()
	c.run(time.Second)
	c.submit("a", describer.Queue{}, tasks(1))
	for end := c.clock.Now().Add(5 * time.Second); c.clock.Now().Before(end); c.clock.Advance(tickInterval) {
		for id := range c.d.WorkerIDs() {
			c.poll(id)
		}
		c.d.Tick(c.clock.Now())
		for _, order := range c.d.TakeOrders() {
			// The starts are never sent, and have no verdict.
			if _, isStart := order.(orderer.Start); !isStart {
				c.execute(order)
			}
		}
		c.save()
	}
	require.Equal(t, 1, runs)
}
