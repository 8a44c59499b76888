// Package selector is the placement policy: it selects the worker for a task, and the runs to
// evict to free capacity for it. It is free of side effects.
//
// # Usage
//
//	c := selector.Selector{RemoteFactor: 2}
//	worker, ticket := c.Best(task, workers, selector.Plan{}, now)
//	worker, victims := selector.PlanReservation(step, workers, waited, now)
package selector

import (
	"math"
	"slices"
	"time"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/monitor"
	"lentilrock.example/internal/fleet/tasker"
)

const (
	// failedBeforePenalty steers a task away from a worker on which it failed before.
	failedBeforePenalty = 50.0
	// interferencePenalty separates tasks that serve users from filler tasks, which use spare
	// capacity.
	interferencePenalty = 20.0
	// spreadPenalty spreads tasks that serve users over workers, since they slow each other down.
	spreadPenalty = 2.0
	// localityWeight makes a worker near the data win over a fuller one.
	localityWeight = 5.0
	// speedWeight is the score of a worker that is slower by a factor of e. It is the weight of locality for a remote
	// factor of 2, so that equal delays weigh the same.
	speedWeight = 14.0
	// minLogSpeed is the logarithm of the smallest difference to the usual speed that counts. A smaller one may come from
	// the durations of the tasks that happened to run there, and fuller workers go first.
	minLogSpeed = 0.15
	// maxSpeedGain bounds what a fast worker gains, so that tasks stay near their data.
	maxSpeedGain = 4.0
	// quickEstimate separates tasks that end within a slow period of a worker, which lasts some seconds, from longer ones, for which
	// slowPart of the slowness counts.
	quickEstimate = 2 * time.Second
	slowPart      = 0.5
	// rackWeight keeps a gang with the same-rack constraint on one rack.
	rackWeight = 3.0
)

// Selector selects workers for tasks.
type Selector struct {
	// RemoteFactor is how many times slower a task is on another rack than its data.
	RemoteFactor float64
}

// Plan holds the tasks of a gang that have a worker selected but are not started yet. The zero
// value is empty.
type Plan struct {
	charge map[string]describer.Resources
	count  map[string]int
	racks  map[string]int
}

// Add records that a task of a step is planned for a worker.
func (p *Plan) Add(s *tasker.Step, w *monitor.Worker) {
	if p.charge == nil {
		p.charge, p.count, p.racks = make(map[string]describer.Resources), make(map[string]int), make(map[string]int)
	}
	p.charge[w.Info.ID] = p.charge[w.Info.ID].Plus(s.Spec.Charge())
	p.count[w.Info.ID]++
	p.racks[w.Info.Rack]++
}

// HasRoom reports whether workers have room for all tasks of a step at once.
func HasRoom(s *tasker.Step, workers []*monitor.Worker, now time.Time) bool {
	missing := s.Spec.Count
	for _, w := range workers {
		if _, isAllowed := canPlace(s, w, Plan{}, now); !isAllowed {
			continue
		}
		room := s.Spec.Charge().CountIn(w.FreeCapacityFor(s, now), missing)
		if s.Spec.MaxPerWorker > 0 {
			room = min(room, s.Spec.MaxPerWorker-s.RunsAt(w.Info.ID))
		}
		if missing -= room; missing <= 0 {
			return true
		}
	}
	return false
}

// HasRoomForOne reports whether a worker has room for one more task of a step, with a ticket or without.
func HasRoomForOne(s *tasker.Step, workers []*monitor.Worker, now time.Time) bool {
	return slices.ContainsFunc(workers, func(w *monitor.Worker) bool { return fits(s, w, Plan{}, now) })
}

// MoveTarget returns the worker with the lowest score to which a run of a task may move, or nil if there is none. Room that is reserved
// there counts as used, also that for the step itself. Where the step needs advice, the worker is known to be eligible.
func (c Selector) MoveTarget(t *tasker.Task, workers []*monitor.Worker, now time.Time) *monitor.Worker {
	var chosen *monitor.Worker
	lowest, s := 0.0, t.Step
	for _, w := range workers {
		if t.FailedAt[w.Info.ID] || !t.Confiner.Allows(w.Info.ID, now) || w.Reserved.IsHeldForOther(s, now) || s.Job.Queue.NeedsAdvice() && !s.Advice.IsEligible(w.Info.ID) {
			continue
		}
		if !fits(s, w, reserved(s, w, now), now) {
			continue
		}
		if score := c.Score(s, w); chosen == nil || score < lowest {
			chosen, lowest = w, score
		}
	}
	return chosen
}

// HasMovingRun reports whether a run of a step is being stopped so that its task starts elsewhere.
func HasMovingRun(s *tasker.Step, now time.Time) bool {
	return slices.ContainsFunc(s.KeptTasks(), func(t *tasker.Task) bool { return t.IsMoving(now) && t.Run != nil && t.Run.Stopping })
}

// reserved returns the plan of the tasks of a step for which room is reserved on a worker.
func reserved(s *tasker.Step, w *monitor.Worker, now time.Time) Plan {
	var p Plan
	if w.Reserved.Step == s && now.Before(w.Reserved.Until) {
		for range s.Spec.Charge().CountIn(w.Reserved.Charge, s.Spec.Count) {
			p.Add(s, w)
		}
	}
	return p
}

// HasPlaceForOne reports whether one more task of a step can start on a worker now: there is room, and a ticket if the queue
// needs advice.
func HasPlaceForOne(s *tasker.Step, workers []*monitor.Worker, now time.Time) bool {
	return slices.ContainsFunc(workers, func(w *monitor.Worker) bool {
		_, isAllowed := canPlace(s, w, Plan{}, now)
		return isAllowed
	})
}

// Best returns the worker with the lowest score for a task and the ticket to use there, or nil
// if no worker can take the task.
func (c Selector) Best(t *tasker.Task, workers []*monitor.Worker, p Plan, now time.Time) (*monitor.Worker, string) {
	var chosen *monitor.Worker
	var value string
	lowest := 0.0
	for _, w := range workers {
		ticket, isAllowed := canPlace(t.Step, w, p, now)
		if !isAllowed || !t.Confiner.Allows(w.Info.ID, now) || t.Run != nil && t.Run.Worker == w.Info.ID || t.IsMoving(now) && (w.SpeedScore > 0 || t.MovedFrom == w.Info.ID) {
			continue
		}
		score := c.Score(t.Step, w)
		if t.FailedAt[w.Info.ID] {
			score += failedBeforePenalty
		}
		if t.Step.Spec.SameRack && len(p.racks) > 0 && p.racks[w.Info.Rack] == 0 {
			score += rackWeight
		}
		if chosen == nil || score < lowest {
			chosen, value, lowest = w, ticket, score
		}
	}
	return chosen, value
}

// Next is like Best for a member of a gang after one that got the worker last, whose score no other worker beats as
// long as it has room: neither the runs nor the racks change that before the gang starts.
func (c Selector) Next(last *monitor.Worker, t *tasker.Task, workers []*monitor.Worker, p Plan, now time.Time) (*monitor.Worker, string) {
	if last != nil && len(t.FailedAt) == 0 && t.Confiner.Allows(last.Info.ID, now) {
		if ticket, isAllowed := canPlace(t.Step, last, p, now); isAllowed {
			return last, ticket
		}
	}
	return c.Best(t, workers, p, now)
}

// canPlace reports whether a worker can take a task of a step, and returns the ticket to use.
func canPlace(s *tasker.Step, w *monitor.Worker, p Plan, now time.Time) (string, bool) {
	if !fits(s, w, p, now) {
		return "", false
	}
	if !s.Job.Queue.NeedsAdvice() {
		return "", true
	}
	return s.Advice.Ticket(w.Info.ID, w.Incarnation, now)
}

// fits reports whether a worker can take a task of a step if it needs no ticket.
func fits(s *tasker.Step, w *monitor.Worker, p Plan, now time.Time) bool {
	if !w.AcceptsTasks(now) || !Matches(s, w) || !s.Spec.Charge().Fits(w.FreeCapacityFor(s, now).Minus(p.charge[w.Info.ID])) {
		return false
	}
	return s.Spec.MaxPerWorker == 0 || s.RunsAt(w.Info.ID)+p.count[w.Info.ID] < s.Spec.MaxPerWorker
}

// Matches reports whether a worker is in the pool that a step needs and has its label.
func Matches(s *tasker.Step, w *monitor.Worker) bool {
	return w.Info.Service == s.Job.Queue.Service && w.Info.HasLabel(s.Spec.Label)
}

// SpeedScore returns the part of the score of a worker with a speed, of which 1 is usual; lower is better.
func SpeedScore(speed float64) float64 {
	logSpeed := math.Log(speed)
	if math.Abs(logSpeed) < minLogSpeed {
		return 0
	}
	return max(-speedWeight*logSpeed, -maxSpeedGain)
}

// Score rates a worker for a task of a step; lower is better. It prefers workers near the data and those that are fast
// now, then fuller ones, so that capacity for large tasks remains.
func (c Selector) Score(s *tasker.Step, w *monitor.Worker) float64 {
	score := 0.0
	if s.Spec.DataRack != "" && w.Info.Rack != s.Spec.DataRack {
		score += c.RemoteFactor * localityWeight
	}
	if w.SpeedScore > 0 && s.Spec.Estimate > quickEstimate {
		score += slowPart * w.SpeedScore
	} else {
		score += w.SpeedScore
	}
	score -= float64(w.Used.MilliCPU) / float64(max(w.Info.Capacity.MilliCPU, 1))
	if s.Spec.TailTarget > 0 && w.Has(IsFiller) || s.Spec.IsFiller && w.Has(IsServing) {
		score += interferencePenalty
	}
	if s.Spec.TailTarget > 0 {
		score += spreadPenalty * float64(w.Count(IsServing))
	}
	return score
}

// IsFiller reports whether a run is of a filler task, which uses spare processor capacity.
func IsFiller(r *tasker.Run) bool { return r.Task != nil && r.Task.Step.Spec.IsFiller }

// IsServing reports whether a run serves users within a latency objective.
func IsServing(r *tasker.Run) bool { return r.Task != nil && r.Task.Step.Spec.TailTarget > 0 }
