package processor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/dispatcher"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/query/processor"
)

// TestWorkspaces guards against tables that do not name the limit that holds back a job, and against an empty table of a
// host that does not hold the cell that looks like one of an idle cell.
func TestWorkspaces(t *testing.T) {
	now, state := time.Unix(1_800_000_000, 0), journaler.New()
	record, err := journaler.NewJob(&describer.Job{
		ID: "j", Workspace: "a", Received: now.Add(-time.Second), Steps: []describer.Step{{Count: 3, Gang: true, Need: describer.Resources{MilliCPU: 1000}}},
	})
	require.NoError(t, err)
	_, err = state.Apply(record, 0)
	require.NoError(t, err)
	d := dispatcher.New(dispatcher.Options{Epoch: 1, ClaimSentAt: now}, state, now)
	d.SetConfig(describer.Config{Workspaces: []describer.Workspace{{Name: "a", Weight: 2, Limit: describer.Resources{MilliCPU: 2000}}}})
	d.Tick(now)
	view := processor.CellView{Now: now, State: state, Registrar: d.Registrar(), Summarizer: d.Summarizer(now)}
	p := processor.New(processor.Options{
		WithView: func(read func(processor.CellView)) { read(view) }, Explain: func(describer.JobID) []string { return nil },
	})
	reply := p.Execute(t.Context(), processor.Command{Text: "show workspaces where waiting_jobs > 0"})
	require.Empty(t, reply.Error)
	require.Equal(t, [][]string{{"a", "0.0/2.0", "0/-", "0/-", "2", "0.0", "100.0", "1", "3", "0", "1s"}}, reply.Table.Rows)
	rows := p.Execute(t.Context(), processor.Command{Text: "show why j"}).Table.Rows
	require.Contains(t, rows, []string{"excess", "no"})
	require.Contains(t, rows, []string{
		"limit", "it can never start: step j.0.0 needs cores=3.0 memory_mb=0 gpus=0 at once; " +
			"counted cores=0.0 memory_mb=0 gpus=0 of cores=2.0 memory_mb=0 gpus=0 (0 is no limit)",
	})
	view.Registrar, view.Summarizer = nil, nil
	require.NotEmpty(t, p.Execute(t.Context(), processor.Command{Text: "show workspaces"}).Table.Missing)
}

// TestWhyNamesTheWorkerOfLateStart guards against a task that waits for a worker which may still carry out an earlier start, and
// operators who can't see which one and for how long.
func TestWhyNamesTheWorkerOfLateStart(t *testing.T) {
	now, state := time.Unix(1_800_000_000, 0), journaler.New()
	job, err := journaler.NewJob(&describer.Job{ID: "j", Received: now, Steps: []describer.Step{{Count: 2, Need: describer.Resources{MilliCPU: 1000}}}})
	require.NoError(t, err)
	late, err := journaler.NewLateStarts(journaler.LateStarts{Starts: []journaler.LateStart{{Worker: "w-1", Job: "j", Index: 1, Run: 1, Remaining: 9 * time.Second}}})
	require.NoError(t, err)
	for offset, record := range []journaler.Record{job, late} {
		_, err = state.Apply(record, int64(offset))
		require.NoError(t, err)
	}
	d := dispatcher.New(dispatcher.Options{Epoch: 1, ClaimSentAt: now, FormerSeenAt: now}, state, now)
	now = now.Add(time.Second)
	d.Tick(now)
	view := processor.CellView{Now: now, State: state, Registrar: d.Registrar(), Summarizer: d.Summarizer(now)}
	p := processor.New(processor.Options{
		WithView: func(read func(processor.CellView)) { read(view) }, Explain: func(describer.JobID) []string { return nil },
	})
	rows := p.Execute(t.Context(), processor.Command{Text: "show why j"}).Table.Rows
	require.Contains(t, rows, []string{"waits j.0.0", "tasks=2 rank=expired confined=1 confined_to=w-1 confined_for=8s"})
}
