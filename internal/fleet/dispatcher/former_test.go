package dispatcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/dispatcher"
	"lentilrock.example/internal/standin/fencer"
)

// TestTasksStartOnceFormerHolderHasEnded guards against tasks of begun jobs that run nowhere until the authority of the former
// holder would have ended: a worker was lost just before the holder was killed, which has started again.
func TestTasksStartOnceFormerHolderHasEnded(t *testing.T) {
	const endsAfter = 1500 * time.Millisecond
	advice := describer.AdviceTerms{Decide: tickInterval, Valid: 20 * time.Second}
	for name, tc := range map[string]struct {
		queue       describer.Queue
		earlierEnd  time.Duration
		isRestarted bool
		least, most time.Duration
	}{
		"with advice":           {queue: describer.Queue{Advice: advice}, least: endsAfter + usualLease, most: endsAfter + 4*time.Second},
		"without advice":        {least: endsAfter + chaosMaxLease, most: endsAfter + 7*time.Second},
		"earlier holder":        {queue: describer.Queue{Advice: advice}, earlierEnd: 9 * time.Second, least: 9 * time.Second, most: 9500 * time.Millisecond},
		"restarted before that": {queue: describer.Queue{Advice: advice}, isRestarted: true, least: 11 * time.Second, most: 20 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCell(t, 2)
			c.fleet.MaxLease = chaosMaxLease
			c.options = dispatcher.Options{MaxLease: chaosMaxLease, FormerLease: usualLease}
			c.claim()
			c.run(20 * time.Second)
			c.submit("a", tc.queue, longRunning(1))
			c.run(time.Second)
			require.Len(t, c.starts, 1)
			lost := c.starts[0].Worker.ID
			c.fleet.Update(lost, func(w *fencer.Worker) { w.IsUnresponsive = true })
			killedAt := c.clock.Now()
			if tc.isRestarted {
				c.fleet.Restart(lost, 2)
			}
			c.options.FormerSeenAt = killedAt
			c.claim()
			c.run(endsAfter)
			earlierEnd := time.Time{}
			if tc.earlierEnd > 0 {
				earlierEnd = killedAt.Add(tc.earlierEnd)
			}
			c.d.FormerHolderEnded(c.clock.Now(), earlierEnd)
			for len(c.starts) == 1 && c.clock.Now().Sub(killedAt) < 30*time.Second {
				c.run(tickInterval)
			}
			require.Len(t, c.starts, 2)
			require.GreaterOrEqual(t, c.starts[1].SentAt.Sub(killedAt), tc.least)
			require.LessOrEqual(t, c.starts[1].SentAt.Sub(killedAt), tc.most)
			c.requireInvariants()
		})
	}
}
