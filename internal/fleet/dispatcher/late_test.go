package dispatcher_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/dispatcher"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/standin/fencer"
)

// TestStartOfResolvedRunIsNotForgotten guards against a task that runs twice, as a worker restarts twice while a start is in
// flight: its run is resolved in the second life, before the start is known to have no reply, and the start reaches the third.
func TestStartOfResolvedRunIsNotForgotten(t *testing.T) {
	c := newCell(t, 2)
	c.run(4 * tickInterval)
	for _, id := range []string{"w-0", "w-1"} {
		c.fleet.Update(id, func(w *fencer.Worker) { w.Slowness = 100 })
	}
	c.submit("a", describer.Queue{}, tasks(1))
	c.save()
	c.d.Tick(c.clock.Now())
	orders := c.d.TakeOrders()
	at := slices.IndexFunc(orders, func(o dispatcher.Order) bool { _, isStart := o.(orderer.Start); return isStart })
	require.GreaterOrEqual(t, at, 0)
	lost, _ := orders[at].(orderer.Start)
	c.fleet.Restart(lost.Worker.ID, 2)
	c.fleet.Update(lost.Worker.ID, func(w *fencer.Worker) { w.Info.Draining = true })
	c.run(10 * tickInterval)
	require.Len(t, c.starts, 1, "the task starts again once the second life has acknowledged the stop")
	c.d.StartAnswered(c.clock.Now(), lost, orderer.Unknown)
	require.NotEqual(t, lost.Worker.ID, c.starts[0].Worker.ID)
	c.fleet.Restart(lost.Worker.ID, 3)
	c.run(10 * tickInterval)
	require.NotEqual(t, orderer.Accepted, c.fleet.Start(t.Context(), lost), "the third life carries out the start")
	c.requireInvariants()
}
