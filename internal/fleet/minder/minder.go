// Package minder holds what the holder of the claim knows of a worker: its entry in the host
// list, its life, its lease, what may run there and whether it may get more.
//
// # Usage
//
//	w := minder.New(info, lapseAt)
//	if w.TakesWork(now) && need.Fits(w.RoomFor(step, now)) {
//		w.Add(run)
//	}
package minder

import (
	"time"

	"lentilrock.example/internal/fleet/acknowledger"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/leaser"
	"lentilrock.example/internal/fleet/pacer"
	"lentilrock.example/internal/fleet/tasker"
	"lentilrock.example/internal/fleet/truster"
)

const (
	// Silence is how long a worker may go without an answer before nothing is started there.
	Silence = 1500 * time.Millisecond
	// SilentAfter is when a worker that does not answer counts as silent: its runs are kept, and
	// copies are worth their room.
	SilentAfter = 800 * time.Millisecond
	// RetryPause is the pause before an order without an answer is sent again.
	RetryPause = 300 * time.Millisecond
	// minStartTimeout is added to three round trips before a start counts as unanswered.
	minStartTimeout = 120 * time.Millisecond
	// maxStartTimeout bounds it.
	maxStartTimeout = 500 * time.Millisecond
	// roundTripWeight smooths round trips: one in eight, as TCP does.
	roundTripWeight = 8
)

// RunKey names a run at a worker.
type RunKey struct {
	Ref    describer.TaskRef
	Number int64
}

// KeyOf returns the name of a run at its worker.
func KeyOf(r *tasker.Run) RunKey { return RunKey{r.Ref, r.Number} }

// Reservation keeps room on a worker for one step.
type Reservation struct {
	Step   *tasker.Step
	Charge describer.Resources
	Until  time.Time
}

// IsHeld reports whether the reservation is in force for another step than s.
func (r Reservation) IsHeld(s *tasker.Step, now time.Time) bool {
	return r.Step != nil && r.Step != s && now.Before(r.Until)
}

// Worker is a worker as the holder sees it.
type Worker struct {
	Info describer.Worker
	// IsListed reports that the host list has the worker.
	IsListed bool
	// IsEnrolled reports that the newest kept roster has the worker as one that answers;
	// RosterBatch is the batch of the roster that is to say so, 0 where none is under way.
	IsEnrolled  bool
	RosterBatch int64
	// IsSilent reports that the worker has not answered for a while.
	IsSilent bool
	// IsDrained reports that operators want nothing new there.
	IsDrained bool
	// IsLeaving reports that the worker's machine is about to be taken down on purpose.
	IsLeaving bool
	// IsDoubted reports that a start was not answered, and nothing was heard since.
	IsDoubted bool
	// HeardClock is the worker's clock in the newest answer that was taken in.
	HeardClock time.Duration
	// Runs are all that may be at work there.
	Runs     map[RunKey]*tasker.Run
	Used     describer.Resources
	Reserved Reservation
	// IsSynced reports that the worker answered under the present token.
	IsSynced bool
	// Incarnation is the life that answered last; 0 before the first answer.
	Incarnation int64
	AnsweredAt  time.Time
	// IsFailing reports that the last look was not answered.
	IsFailing bool
	Lease     leaser.Lease
	Ends      acknowledger.Ends
	Trust     truster.Trust
	Pacer     pacer.Pacer
	// roundTrip is the smoothed time of a start.
	roundTrip time.Duration
}

// New returns a worker at which a former holder may have runs until lapseAt.
func New(info describer.Worker, lapseAt time.Time) *Worker {
	return &Worker{Info: info, Runs: make(map[RunKey]*tasker.Run), Lease: leaser.Lease{LapseAt: lapseAt}}
}

// Add notes a run that may be at work on the worker.
func (w *Worker) Add(r *tasker.Run) {
	w.Runs[KeyOf(r)] = r
	w.Used = w.Used.Plus(r.Charge)
}

// Remove takes a run away that is not at work and never will be.
func (w *Worker) Remove(r *tasker.Run) {
	delete(w.Runs, KeyOf(r))
	w.Used = w.Used.Minus(r.Charge)
}

// Room returns what is free.
func (w *Worker) Room() describer.Resources { return w.Info.Capacity.Minus(w.Used) }

// RoomFor returns the room that a step may use.
func (w *Worker) RoomFor(s *tasker.Step, now time.Time) describer.Resources {
	if w.Reserved.IsHeld(s, now) {
		return w.Room().Minus(w.Reserved.Charge)
	}
	return w.Room()
}

// MayHoldOld reports whether runs of a former holder could be at the worker that are not
// known. Those at a silent worker are.
func (w *Worker) MayHoldOld(now time.Time) bool {
	return !w.IsSynced && !w.IsSilent && !w.Lease.HasLapsed(now) && !w.HasLeft()
}

// HasLapsed reports whether the worker can run nothing any more for want of a lease.
func (w *Worker) HasLapsed(now time.Time) bool {
	return w.Lease.HasLapsed(now) && now.Sub(w.AnsweredAt) > Silence
}

// HasLeft reports whether a worker that drained is gone: its entry is removed when it leaves.
func (w *Worker) HasLeft() bool { return w.Info.Draining && !w.IsListed && w.IsFailing }

// TakesWork reports whether tasks may be started there. The entry and the answers must be
// of one life, since another may have another capacity.
func (w *Worker) TakesWork(now time.Time) bool {
	isOneLife := w.Info.Incarnation == 0 || w.Info.Incarnation == w.Incarnation
	isHeard := w.IsSynced && !w.IsFailing && !w.IsDoubted && w.Lease.IsKnown() && now.Sub(w.AnsweredAt) < Silence
	return w.IsListed && w.IsEnrolled && !w.Info.Draining && !w.IsLeaving && !w.IsDrained && isOneLife && isHeard && w.Trust.TakesWork(now)
}

// BeginLife forgets what is of a former life only.
func (w *Worker) BeginLife(incarnation int64) {
	w.Incarnation, w.HeardClock, w.IsLeaving = incarnation, 0, false
	w.Ends, w.Trust, w.Pacer = acknowledger.Ends{}, truster.Trust{}, pacer.Pacer{}
}

// Has reports whether a worker has a run of a kind.
func (w *Worker) Has(isKind func(*tasker.Run) bool) bool { return w.Count(isKind) > 0 }

// Count returns how many runs of a kind a worker has.
func (w *Worker) Count(isKind func(*tasker.Run) bool) int {
	count := 0
	for _, r := range w.Runs {
		if isKind(r) {
			count++
		}
	}
	return count
}

// Measure takes in the time that a start took.
func (w *Worker) Measure(took time.Duration) {
	if w.roundTrip == 0 {
		w.roundTrip = took
	}
	w.roundTrip += (took - w.roundTrip) / roundTripWeight
}

// StartTimeout is when a start counts as unanswered.
func (w *Worker) StartTimeout() time.Duration {
	if w.roundTrip == 0 {
		return maxStartTimeout
	}
	return min(3*w.roundTrip+minStartTimeout, maxStartTimeout)
}
