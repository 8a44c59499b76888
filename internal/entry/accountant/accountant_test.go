package accountant_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/entry/accountant"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
)

// memoryMB gives jobs capacity bytes.
const (
	memoryMB = 5
	capacity = 1 << 20
)

var now = time.Unix(1_800_000_000, 0)

// newAccountant returns an accountant of a host with larger ones beside it.
func newAccountant(memoryMB int64) *accountant.Accountant {
	return accountant.New(accountant.Options{MemoryMB: memoryMB, Hosts: func() []journaler.Host {
		return []journaler.Host{{Name: "a", MemoryMB: 20 * memoryMB}, {Name: "older"}}
	}})
}

// cell is the state of a cell with its log.
type cell struct {
	t      *testing.T
	state  *journaler.State
	offset int64
	count  int
}

func (c *cell) apply(record journaler.Record, err error) {
	require.NoError(c.t, err)
	_, err = c.state.Apply(record, c.offset)
	require.NoError(c.t, err)
	c.offset++
}

// newJob returns a job of a queue whose tasks take ten seconds.
func (c *cell) newJob(queue string, steps int) *describer.Job {
	c.count++
	j := &describer.Job{ID: describer.JobID(fmt.Sprintf("%016x", c.count)), Queue: describer.Queue{Name: queue}, Received: now}
	for range steps {
		j.Steps = append(j.Steps, describer.Step{Count: 1, Estimate: 10 * time.Second})
	}
	return j
}

// TestAdmit guards against unfinished jobs that fill the memory of the hosts, against one queue that leaves no room for
// the others, and against a refusal whose Retry-After is not when there will be room.
func TestAdmit(t *testing.T) {
	newCell := func(t *testing.T) (*cell, *accountant.Accountant) {
		return &cell{t: t, state: journaler.New()}, newAccountant(memoryMB)
	}
	// fill admits jobs of a queue, which the log then has, until one is refused.
	fill := func(c *cell, a *accountant.Accountant, queue string, at time.Time) (admitted int, refusal *accountant.FullError) {
		for ; ; admitted++ {
			job := c.newJob(queue, 10)
			if err := a.Admit(at, c.state, job); err != nil {
				require.True(c.t, errors.As(err, &refusal))
				return admitted, refusal
			}
			c.apply(journaler.NewJob(job))
			require.Less(c.t, admitted, 10_000)
		}
	}
	t.Run("a queue takes half of the room, and all of them no more than there is", func(t *testing.T) {
		c, a := newCell(t)
		inFirst, refusal := fill(c, a, "a", now)
		require.InDelta(t, capacity/2, inFirst*int(refusal.Need), float64(refusal.Need))
		inSecond, _ := fill(c, a, "b", now.Add(time.Second))
		require.InDelta(t, inFirst, inSecond, 1)
		inThird, refusal := fill(c, a, "c", now.Add(time.Second))
		require.LessOrEqual(t, inThird, 1)
		require.Equal(t, "c", refusal.Queue)
	})
	t.Run("a host that reads the jobs of others knows their sum", func(t *testing.T) {
		c, a := newCell(t)
		admitted, _ := fill(c, a, "a", now)
		require.Positive(t, admitted)
		other := newAccountant(memoryMB)
		require.Error(t, other.Admit(now, c.state, c.newJob("a", 10)))
	})
	t.Run("there is room again when jobs have ended, as the refusal says", func(t *testing.T) {
		c, a := newCell(t)
		admitted, _ := fill(c, a, "a", now)
		require.Positive(t, admitted)
		_, refusal := fill(c, a, "a", now.Add(4*time.Second))
		require.Equal(t, 7*time.Second, refusal.RetryAfter)
		for id := range c.state.Jobs {
			c.apply(journaler.NewProgress(id, journaler.Progress{Epoch: 1, Outcome: journaler.OutcomeCompleted}))
		}
		require.NoError(t, a.Admit(now.Add(12*time.Second), c.state, c.newJob("a", 10)))
	})
	t.Run("nothing is known of jobs that are late or go on until they are cancelled", func(t *testing.T) {
		c, a := newCell(t)
		_, refusal := fill(c, a, "a", now.Add(time.Hour))
		require.Equal(t, time.Minute, refusal.RetryAfter)
	})
	t.Run("a job that was admitted and is not in the log counts for a while", func(t *testing.T) {
		c, a := newCell(t)
		for i := 0; a.Admit(now, c.state, c.newJob("a", 10)) == nil; i++ {
			require.Less(t, i, 10_000)
		}
		require.Error(t, a.Admit(now.Add(time.Second), c.state, c.newJob("a", 10)))
		require.NoError(t, a.Admit(now.Add(time.Minute), c.state, c.newJob("a", 10)))
	})
	t.Run("a job that never fits is too large", func(t *testing.T) {
		c, a := newCell(t)
		require.ErrorIs(t, a.Admit(now, c.state, c.newJob("a", 2000)), journaler.ErrTooLarge)
	})
	t.Run("without a known memory there is no bound", func(t *testing.T) {
		c := &cell{t: t, state: journaler.New()}
		a := newAccountant(0)
		for range 1000 {
			require.NoError(t, a.Admit(now, c.state, c.newJob("a", 1000)))
		}
	})
}
