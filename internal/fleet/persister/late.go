package persister

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/monitor"
)

// takeLateStarts returns the record of the harmful starts that may still be carried out, those last that may be so for
// longest. It clears the stale flag.
func (s *Persister) takeLateStarts(epoch int64, now time.Time, workers []*monitor.Worker) (journaler.Record, error) {
	late := journaler.LateStarts{Epoch: epoch, Omitted: max(s.lateStartsOmittedUntil.Sub(now), 0)}
	for _, w := range workers {
		for _, start := range w.LostStarts(now) {
			if !start.IsHarmful {
				continue
			}
			late.Starts = append(late.Starts, journaler.LateStart{
				Worker: w.Info.ID, Job: start.Ref.Job, Occurrence: start.Ref.Occurrence, Step: start.Ref.Step, Index: start.Ref.Index,
				Run: start.Number, Remaining: start.Until().Sub(now),
			})
		}
	}
	slices.SortStableFunc(late.Starts, func(a, b journaler.LateStart) int { return cmp.Compare(a.Remaining, b.Remaining) })
	record, err := journaler.NewLateStarts(late)
	if err != nil {
		return record, errors.Errorf("create record of %d late starts: %w", len(late.Starts), err)
	}
	s.areLateStartsStale, s.hasLateStarts = false, len(late.Starts) > 0
	return record, nil
}
