package coordinator_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/entry/coordinator"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/query/processor"
)

// TestJobAcceptedDuringListIsNotReportedAsMissing answers an incident on lfac-sched-grown. It guards
// against a host that lists the jobs for seconds, then takes the list for a view of the moment at which it
// ended, and replies that a job which was accepted meanwhile does not exist.
func TestJobAcceptedDuringListIsNotReportedAsMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 2)
		defer c.shutDown()
		require.NoError(t, c.submit(0, "earlier", 4))
		c.pageDelay, c.distance = 3*time.Second, 65*time.Millisecond
		c.start("h-2", "incarnation-2")
		const started = 2
		time.Sleep(time.Second)
		holder := c.holder()
		require.NoError(t, c.submit(holder, "a", 4))
		time.Sleep(1900 * time.Millisecond)
		c.network.disconnect(c.addresses[holder])
		for until := time.Now().Add(6 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
			_, err := c.status(started, "a")
			require.False(t, errors.Is(err, coordinator.ErrJobNotFound), "%v", err)
		}
		c.requireCompleted("a")
	})
}

// TestAcceptedJobExistsForEveryHost guards against a host whose view is a moment old, and which replies that
// a job does not exist that another host has just accepted.
func TestAcceptedJobExistsForEveryHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 3)
		defer c.shutDown()
		holder := c.holder()
		c.network.disconnect(c.addresses[holder])
		time.Sleep(2 * time.Second)
		require.Equal(t, holder, c.holder(), "a holder that appends keeps the claim")
		for i := range 6 {
			id := describer.JobID(fmt.Sprintf("job-%d", i))
			require.NoError(t, c.submit(holder, id, 1))
			for host := range c.hosts {
				_, err := c.status(host, id)
				require.NoError(t, err, "host %d, job %d", host, i)
			}
			time.Sleep(time.Duration(130*i) * time.Millisecond)
		}
	})
}

// TestJobBetweenPagesOfListIsNotMissed guards against a host that reads on after the newest record of its
// list, and misses the jobs that were appended before it behind the page under way.
func TestJobBetweenPagesOfListIsNotMissed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1)
		defer c.shutDown()
		c.appendJobs("b", "c", "d", "e")
		c.store.SetPageSize(2)
		c.listDelay, c.distance = time.Second, 65*time.Millisecond
		c.start("h-1", "incarnation-1")
		const started = 1
		// The list has passed "a" by now, and will reach "z".
		time.Sleep(1500 * time.Millisecond)
		c.appendJobs("a", "z")
		c.network.disconnect(c.addresses[0])
		for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
			_, err := c.status(started, "a")
			require.False(t, errors.Is(err, coordinator.ErrJobNotFound), "%v", err)
		}
		c.requireCompleted("a")
	})
}

// TestPendingIsUnknownUntilLogIsReadToItsEnd guards against a host that has listed the jobs, but has not
// read those that were appended meanwhile, and reports that few jobs are pending.
func TestPendingIsUnknownUntilLogIsReadToItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1)
		defer c.shutDown()
		c.appendJobs("b", "c", "d", "e")
		c.store.SetPageSize(2)
		c.listDelay, c.distance = time.Second, 65*time.Millisecond
		c.start("h-1", "incarnation-1")
		const started = 1
		time.Sleep(1500 * time.Millisecond)
		c.shutdowns[0]()
		c.appendJobs("a-0", "a-1", "a-2", "z")
		pending, err := 0, errors.New("not asked yet")
		for until := time.Now().Add(10 * time.Second); err != nil && time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
			pending, err = c.hosts[started].Pending("orders")
			require.Equal(t, err == nil, c.hosts[started].IsReady())
		}
		require.NoError(t, err)
		require.Equal(t, 4, pending)
		time.Sleep(10 * time.Second)
		state, err := c.status(started, "a-0")
		require.NoError(t, err)
		require.Equal(t, describer.JobCompleted, state)
	})
}

// TestOperatorCancelsJobThatWasJustAccepted guards against a host that refuses an operator's command for a job
// which its view does not have yet, with the reason that there is no such job.
func TestOperatorCancelsJobThatWasJustAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 3)
		defer c.shutDown()
		holder := c.holder()
		c.network.disconnect(c.addresses[holder])
		time.Sleep(2 * time.Second)
		for i := range 6 {
			id := describer.JobID(fmt.Sprintf("job-%d", i))
			require.NoError(t, c.submit(holder, id, 1))
			for host, k := range c.hosts {
				if host == holder {
					continue
				}
				reply := k.Execute(t.Context(), processor.Command{Text: "cancel " + string(id), Operator: "petra"})
				require.Empty(t, reply.Error)
				require.Len(t, reply.Outcomes, 1)
				require.NotEqual(t, "there is no such job", reply.Outcomes[0].Reason, "host %d, job %d", host, i)
			}
			time.Sleep(time.Duration(130*i) * time.Millisecond)
		}
		other := c.hosts[(holder+1)%len(c.hosts)]
		require.NoError(t, c.submit(holder, "last", 1))
		reply := other.Execute(t.Context(), processor.Command{Text: "cancel where job = last", Operator: "petra"})
		require.Empty(t, reply.Error)
		require.Contains(t, fmt.Sprint(reply.Outcomes), "last", "the jobs that match include one that was just accepted")
		reply = other.Execute(t.Context(), processor.Command{Text: "cancel none", Operator: "petra"})
		require.Equal(t, "there is no such job", reply.Outcomes[0].Reason)
	})
}
