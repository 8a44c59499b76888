package answerer_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/entry/answerer"
	"lentilrock.example/internal/entry/forwarder"
	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/fleet/describer"
)

// peers answer as the test sets.
type peers struct{ holder, others forwarder.Answer }

func (p peers) AskHolder(context.Context, describer.JobID) forwarder.Answer { return p.holder }

func (p peers) Status(context.Context, describer.JobID) forwarder.Answer { return p.others }

func TestStatus(t *testing.T) {
	now := time.Unix(1_000, 0)
	fresh, old := now.Add(-time.Second), now.Add(-time.Minute)
	open, denied := forwarder.Answer{IsOpen: true}, forwarder.Answer{IsDenied: true}
	completed := forwarder.Answer{State: describer.JobCompleted}
	for _, test := range []struct {
		name  string
		view  answerer.View
		peers peers
		state describer.JobState
		err   error
	}{
		{"an end is known for good", answerer.View{IsKnown: true, State: describer.JobFailed, ReadAt: old}, peers{completed, completed}, describer.JobFailed, nil},
		{"the holder knows of an end first", answerer.View{IsKnown: true, State: describer.JobRunning, ReadAt: fresh}, peers{completed, open}, describer.JobCompleted, nil},
		{"a fresh view does without the holder", answerer.View{IsKnown: true, State: describer.JobRunning, ReadAt: fresh}, peers{open, completed}, describer.JobRunning, nil},
		{"a fresh view denies a job", answerer.View{ReadAt: fresh}, peers{open, completed}, 0, answerer.ErrNoJob},
		{"an old view asks others", answerer.View{ReadAt: old}, peers{open, completed}, describer.JobCompleted, nil},
		{"others deny it", answerer.View{ReadAt: old}, peers{open, denied}, 0, answerer.ErrNoJob},
		{"an older state is a true one", answerer.View{IsKnown: true, State: describer.JobRunning, ReadAt: old}, peers{open, denied}, describer.JobRunning, nil},
		{"nobody knows", answerer.View{ReadAt: old}, peers{open, open}, 0, storer.ErrNotKnown},
	} {
		t.Run(test.name, func(t *testing.T) {
			a := answerer.New(answerer.Options{
				Look: func(describer.JobID) answerer.View { return test.view }, Peers: test.peers,
				Clock: clockwork.NewFakeClockAt(now), ViewAge: 2 * time.Second,
			})
			state, err := a.Status(t.Context(), "a")
			if test.err != nil {
				require.True(t, errors.Is(err, test.err), "%v", err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, test.state, state)
		})
	}
}
