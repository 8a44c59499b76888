// Package throttler limits the speed of filler tasks, which use the spare capacity of a worker,
// so that the serving tasks on the same worker meet their latency objectives.
//
// # Usage
//
//	g := throttler.New(r)
//	g.Pace(worker) // after each reply to a poll of the worker
//	g.PaceAnswered(now, order, verdict)
package throttler

import (
	"time"

	"lentilrock.example/internal/container/clamper"
	"lentilrock.example/internal/fleet/monitor"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/fleet/pacer"
	"lentilrock.example/internal/fleet/registrar"
	"lentilrock.example/internal/fleet/selector"
	"lentilrock.example/internal/fleet/tasker"
)

// Throttler sets the speed of filler tasks.
type Throttler struct {
	*registrar.Registrar
}

// New returns a throttler for the workers of a registrar.
func New(r *registrar.Registrar) *Throttler { return &Throttler{Registrar: r} }

// Pace issues the orders that set the filler runs on a worker to the speed that the tail
// latencies of its serving runs allow, or to full speed if it has no serving runs.
func (g *Throttler) Pace(w *monitor.Worker) {
	if !w.Has(selector.IsFiller) {
		return
	}
	percent := pacer.FullPercent
	if w.Has(selector.IsServing) {
		percent = w.Pacer.Next(g.Now, worstTailRatio(w))
	}
	for _, r := range w.Runs {
		isPending := r.OrderedPercent == percent && g.Now.Sub(r.OrderedPercentAt) < monitor.RetryPause
		if !selector.IsFiller(r) || r.Stopping || r.Percent == percent || isPending {
			continue
		}
		r.OrderedPercent, r.OrderedPercentAt = percent, g.Now
		g.Report("The speed of a filler task is set to a new percentage.", "task", r.Ref.String(), "run", r.Number, "worker", w.Info.ID, "percent", percent)
		g.Order(orderer.Pace{Worker: w.Info, Task: r.Ref, Run: r.Number, Token: g.Options.Epoch, Percent: percent})
	}
}

// worstTailRatio returns the largest ratio of tail latency to latency objective among the
// serving runs of a worker.
func worstTailRatio(w *monitor.Worker) float64 {
	worst := 0.0
	for _, r := range w.Runs {
		if selector.IsServing(r) {
			worst = max(worst, tailRatio(r))
		}
	}
	return worst
}

// tailRatio returns the ratio of the tail latency of a serving run to its objective.
func tailRatio(r *tasker.Run) float64 {
	tail := clamper.Duration(float64(r.Usage), time.Millisecond)
	return float64(tail) / float64(r.Task.Step.Spec.TailTarget)
}

// PaceAnswered applies the verdict on an order that sets the speed of a run. An order that was
// not accepted is sent again after a later poll.
func (g *Throttler) PaceAnswered(now time.Time, pace orderer.Pace, verdict orderer.Verdict) {
	g.Now = now
	_, r := g.RunAt(pace.Worker.ID, pace.Task, pace.Run)
	switch {
	case verdict == orderer.Fenced:
		g.IsFenced = true
	case r != nil && verdict == orderer.Accepted:
		r.Percent = pace.Percent
	}
}
