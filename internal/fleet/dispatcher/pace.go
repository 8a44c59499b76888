package dispatcher

import (
	"time"

	"lentilrock.example/internal/fleet/chooser"
	"lentilrock.example/internal/fleet/minder"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/fleet/tasker"
)

const (
	// fullPercent is the share at which a run begins.
	fullPercent = 100
	// unknownPercent is that of a run which a former holder may have paced.
	unknownPercent = -1
)

// pace orders the runs that fill on a worker to work at the share which the readings of
// those that serve beside them allow.
func (d *Dispatcher) pace(w *minder.Worker) {
	if !w.Has(chooser.IsFilling) {
		return
	}
	percent := fullPercent
	if w.Has(chooser.IsServing) {
		percent = w.Pacer.Next(d.now, worstReading(w))
	}
	for _, r := range w.Runs {
		isUnderWay := r.PaceSent == percent && d.now.Sub(r.PaceSentAt) < retryPause
		if !chooser.IsFilling(r) || r.Stopping || r.Percent == percent || isUnderWay {
			continue
		}
		r.PaceSent, r.PaceSentAt = percent, d.now
		d.options.Report("A task that fills is paced.", "task", r.Ref.String(), "run", r.Number, "worker", w.Info.ID, "percent", percent)
		d.order(orderer.Pace{Worker: w.Info, Task: r.Ref, Run: r.Number, Token: d.options.Epoch, Percent: percent})
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
func (d *Dispatcher) PaceAnswered(now time.Time, pace orderer.Pace, verdict orderer.Verdict) {
	d.now = now
	_, r := d.runAt(pace.Worker.ID, pace.Task, pace.Run)
	switch {
	case verdict == orderer.Fenced:
		d.isFenced = true
	case r != nil && verdict == orderer.Accepted:
		r.Percent = pace.Percent
	}
}
