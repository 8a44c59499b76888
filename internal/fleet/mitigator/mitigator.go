// Package mitigator decides what is done about a run that takes long: nothing, a speculative copy, or a stop, so that the
// task starts elsewhere. It has no clock.
//
// # Usage
//
//	switch mitigator.Decide(mitigator.Case{Elapsed: elapsed, Mean: mean, Spread: spread, MayCopy: true}) {
//	case mitigator.Copy:
//	case mitigator.Move:
//	}
//	var budget mitigator.Budget
//	if budget.Take(now, active) {
//		// carry it out
//	}
package mitigator

import (
	"time"

	"lentilrock.example/internal/container/clamper"
)

const (
	// firstFactor is how many times its declared estimate a run takes before a speculative copy is worth the capacity while no
	// spread is learned: slow workers are up to about six times slower than others, healthy ones differ by half.
	firstFactor = 2.5
	// minFactor bounds the factor that follows from a learned spread, and spreads is how many standard deviations over
	// the mean a run takes before a copy is started.
	minFactor = 1.5
	spreads   = 3
	// transmission is the time that orders and replies take.
	transmission = 300 * time.Millisecond
	// stopTime is a stop, which takes up to 0.9 s, and the poll that shows its end.
	stopTime = 1200 * time.Millisecond
	// restoreTime is the restore of a checkpoint.
	restoreTime = 300 * time.Millisecond
	// placeTime is the wait for a place, where there is room.
	placeTime = 300 * time.Millisecond
	// slowSpeed is the speed of a worker below which a run is stopped there.
	slowSpeed = 0.5
	// minGain is the part of the remaining time that has to be saved, as speeds and durations are estimates.
	minGain = 0.25
	// restartFactor is how many times longer than a new run the rest of a run must take that has neither copies nor checkpoints
	// to be stopped: the stop loses its work.
	restartFactor = 2
)

// Action is what is done about a run.
type Action uint8

// Actions.
const (
	// None means that the run goes on.
	None Action = iota
	// Copy means that a second run of the task is started.
	Copy
	// Move means that the run is stopped, and its task starts elsewhere, from its checkpoint if it saves them.
	Move
)

// Case is a run and what is known of it.
type Case struct {
	// Elapsed is the time since the start, Done the completed share of the work in percent.
	Elapsed time.Duration
	Done    int
	// Rate is how much of the work is done in a second now, in percent. It counts only if IsMeasured.
	Rate       float64
	IsMeasured bool
	// Mean and Spread are the expected duration of a whole run at the usual speed; Spread is 0 if nothing was learned.
	Mean, Spread time.Duration
	// Speed is that of the worker; 1 is usual.
	Speed float64
	// MayCopy reports that the step allows copies, and that no other one is active.
	MayCopy bool
	// Checkpoints reports that the task saves checkpoints.
	Checkpoints bool
	// MayMove reports that a stop is allowed, and that there is room elsewhere.
	MayMove bool
}

// Decide returns what to do about a run.
func Decide(c Case) Action {
	if c.MayCopy {
		if c.isOverdue() || c.copyPays() {
			return Copy
		}
		return None
	}
	if c.MayMove && c.movePays() {
		return Move
	}
	return None
}

// isOverdue reports whether the run takes longer than others, whatever its progress.
func (c Case) isOverdue() bool {
	if c.Mean <= 0 {
		return false
	}
	limit := clamper.Scale(c.Mean, firstFactor)
	if c.Spread > 0 {
		limit = max(clamper.Scale(c.Mean, minFactor), clamper.Add(c.Mean, clamper.Scale(c.Spread, spreads)))
	}
	return c.Elapsed > clamper.Add(limit, transmission)
}

// isSlow reports whether the worker makes the run slow, so that it is faster elsewhere.
func (c Case) isSlow() bool { return c.IsMeasured && c.Speed > 0 && c.Speed < slowSpeed && c.Done > 0 }

// remaining returns how long the run goes on at its current rate.
func (c Case) remaining() time.Duration {
	// A run that made no progress within a window is taken for one at a tenth of the expected rate.
	slowest := 10 / max(c.Mean.Seconds(), 0.001)
	return clamper.Duration(float64(100-c.Done)/max(c.Rate, slowest), time.Second)
}

// whole returns how long a new run takes elsewhere: as long as the progress of this one shows, at the usual speed, but no less than
// half of the expected duration.
func (c Case) whole() time.Duration {
	if c.Rate <= 0 {
		return c.Mean
	}
	return max(clamper.Duration(100*c.Speed/c.Rate, time.Second), c.Mean/2)
}

// copyPays reports whether a copy that starts now ends well before the run.
func (c Case) copyPays() bool {
	return c.isSlow() && saves(c.remaining(), clamper.Add(c.whole(), placeTime+transmission))
}

// movePays reports whether the task ends well before the run if that is stopped now.
func (c Case) movePays() bool {
	if !c.isSlow() {
		return false
	}
	cost := stopTime + placeTime + transmission
	if c.Checkpoints {
		rest := clamper.Scale(c.whole(), float64(100-c.Done)/100)
		return saves(c.remaining(), clamper.Add(rest, cost+restoreTime))
	}
	return c.remaining() > clamper.Add(clamper.Scale(c.whole(), restartFactor), cost)
}

// saves reports whether a time is well below the remaining one.
func saves(remaining, other time.Duration) bool {
	return other < clamper.Scale(remaining, 1-minGain)
}
