// Package governor orders the tasks that fill on a worker to work at the share of their speed
// which the latency objectives of those that serve beside them allow.
//
// # Usage
//
//	g := governor.New(r)
//	g.Pace(worker) // after each look
//	g.PaceAnswered(now, order, verdict)
package governor

import (
	"time"

	"lentilrock.example/internal/fleet/chooser"
	"lentilrock.example/internal/fleet/minder"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/fleet/registrar"
	"lentilrock.example/internal/fleet/tasker"
)

// Governor paces the tasks that fill.
type Governor struct {
	*registrar.Registrar
}

// New returns a governor of what a registrar holds.
func New(r *registrar.Registrar) *Governor { return &Governor{Registrar: r} }

// Pace orders the runs that fill on a worker to work at the share which the readings of
// those that serve beside them allow.
func (g *Governor) Pace(w *minder.Worker) {
	if !w.Has(chooser.IsFilling) {
		return
	}
	percent := tasker.FullPercent
	if w.Has(chooser.IsServing) {
		percent = w.Pacer.Next(g.Now, worstReading(w))
	}
	for _, r := range w.Runs {
		isUnderWay := r.PaceSent == percent && g.Now.Sub(r.PaceSentAt) < minder.RetryPause
		if !chooser.IsFilling(r) || r.Stopping || r.Percent == percent || isUnderWay {
			continue
		}
		r.PaceSent, r.PaceSentAt = percent, g.Now
		g.Report("A task that fills is paced.", "task", r.Ref.String(), "run", r.Number, "worker", w.Info.ID, "percent", percent)
		g.Order(orderer.Pace{Worker: w.Info, Task: r.Ref, Run: r.Number, Token: g.Options.Epoch, Percent: percent})
	}
}

// worstReading returns the largest tail latency on a worker, as a share of its objective.
func worstReading(w *minder.Worker) float64 {
	worst := 0.0
	for _, r := range w.Runs {
		if chooser.IsServing(r) {
			worst = max(worst, reading(r))
		}
	}
	return worst
}

func reading(r *tasker.Run) float64 {
	tail := time.Duration(r.Usage) * time.Millisecond
	return float64(tail) / float64(r.Task.Step.Spec.TailTarget)
}

// PaceAnswered takes in what became of an order to pace. One that was not taken is sent
// again after the next look.
func (g *Governor) PaceAnswered(now time.Time, pace orderer.Pace, verdict orderer.Verdict) {
	g.Now = now
	_, r := g.RunAt(pace.Worker.ID, pace.Task, pace.Run)
	switch {
	case verdict == orderer.Fenced:
		g.IsFenced = true
	case r != nil && verdict == orderer.Accepted:
		r.Percent = pace.Percent
	}
}
