package persister

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/monitor"
)

// TakeLateStarts returns the record of the harmful starts that may still be carried out, those last that may be so for
// longest. It returns none if the newest record lists none and there was none since.
func (s *Persister) TakeLateStarts(epoch int64, now time.Time, workers []*monitor.Worker) ([]journaler.Record, error) {
	if !s.areLateStartsStale && !s.hasLateStarts {
		return nil, nil
	}
	late := journaler.LateStarts{Epoch: epoch, Omitted: max(s.lateStartsOmittedUntil.Sub(now), 0)}
	for _, w := range workers {
		for _, start := range w.LateStarts(now) {
			late.Starts = append(late.Starts, journaler.LateStart{
				Worker: w.Info.ID, Job: start.Ref.Job, Occurrence: start.Ref.Occurrence, Step: start.Ref.Step, Index: start.Ref.Index,
				Run: start.Number, Remaining: start.Until().Sub(now),
			})
		}
	}
	slices.SortStableFunc(late.Starts, func(a, b journaler.LateStart) int { return cmp.Compare(a.Remaining, b.Remaining) })
	record, err := journaler.NewLateStarts(late)
	if err != nil {
		return nil, errors.Errorf("create record of %d late starts: %w", len(late.Starts), err)
	}
	s.areLateStartsStale, s.hasLateStarts = false, len(late.Starts) > 0
	return []journaler.Record{record}, nil
}
