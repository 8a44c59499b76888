package auditor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/standin/auditor"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns a time in seconds after epoch.
func at(seconds int) time.Time { return epoch.Add(time.Duration(seconds) * time.Second) }

func run(number int64, startedAt int) auditor.Run {
	return auditor.Run{Task: "job.0.0.0", Worker: "w-1", Number: number, Token: number, StartedAt: at(startedAt)}
}

func kinds(a *auditor.Auditor) []auditor.Kind {
	var list []auditor.Kind
	for _, v := range a.Violations() {
		list = append(list, v.Kind)
	}
	return list
}

func TestViolationsOfEachKindAreSeparate(t *testing.T) {
	t.Run("a start during a run is an overlap", func(t *testing.T) {
		a := auditor.New()
		first := a.Start(run(1, 0), nil)
		a.Start(run(2, 1), first)
		first.End(at(2), true)
		a.Acknowledge(first, at(3))
		require.Equal(t, []auditor.Kind{auditor.Overlap}, kinds(a))
		v := a.Violations()[0]
		require.Equal(t, int64(2), v.Run.Token)
		require.Equal(t, at(3), v.Earlier.AcknowledgedAt)
	})
	t.Run("a start after an acknowledged end is a restart", func(t *testing.T) {
		a := auditor.New()
		first := a.Start(run(1, 0), nil)
		first.End(at(2), true)
		a.Acknowledge(first, at(3))
		a.Start(run(2, 4), nil)
		require.Equal(t, []auditor.Kind{auditor.Restart}, kinds(a))
	})
	t.Run("a start before the end is acknowledged is a restart from then on", func(t *testing.T) {
		a := auditor.New()
		first := a.Start(run(1, 0), nil)
		first.End(at(2), true)
		a.Start(run(2, 3), nil)
		require.Empty(t, kinds(a))
		a.Acknowledge(first, at(4))
		a.Acknowledge(first, at(5))
		require.Equal(t, []auditor.Kind{auditor.Restart}, kinds(a))
		require.Equal(t, at(4), a.Violations()[0].Earlier.AcknowledgedAt)
	})
	t.Run("a start can break both rules", func(t *testing.T) {
		a := auditor.New()
		first := a.Start(run(1, 0), nil)
		first.End(at(1), true)
		a.Acknowledge(first, at(2))
		second := a.Start(run(2, 3), nil)
		a.Start(run(3, 4), second)
		require.Equal(t, []auditor.Kind{auditor.Restart, auditor.Overlap, auditor.Restart}, kinds(a))
	})
	t.Run("a start after an end as failed, or without an acknowledgement, is allowed", func(t *testing.T) {
		a := auditor.New()
		first := a.Start(run(1, 0), nil)
		first.End(at(1), false)
		a.Acknowledge(first, at(2))
		second := a.Start(run(2, 3), nil)
		second.End(at(4), true)
		a.Start(run(3, 5), nil)
		require.Empty(t, kinds(a))
	})
	t.Run("speculative runs are allowed", func(t *testing.T) {
		a := auditor.New()
		copyOf := run(1, 0)
		copyOf.MaySpeculate = true
		first := a.Start(copyOf, nil)
		a.Start(copyOf, first)
		require.Empty(t, kinds(a))
	})
}
