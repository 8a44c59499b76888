// Package chooser is the placement policy: which worker a task goes to, and which runs make
// room for it. It decides on what it is given and changes nothing.
//
// # Usage
//
//	c := chooser.Chooser{RemoteFactor: 2}
//	worker, ticket := c.Best(task, workers, chooser.Plan{}, now)
//	worker, victims := chooser.MakeRoom(step, workers, waited, now)
package chooser

import (
	"time"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/minder"
	"lentilrock.example/internal/fleet/tasker"
)

const (
	// failedBeforePenalty keeps a task away from a worker where it failed.
	failedBeforePenalty = 50.0
	// mixPenalty keeps tasks that serve apart from those that fill.
	mixPenalty = 20.0
	// crowdPenalty spreads tasks that serve, which slow each other down.
	crowdPenalty = 2.0
	// remoteWeight makes a worker near the data win over a fuller one.
	remoteWeight = 5.0
	// rackWeight keeps a gang that wants one rack together.
	rackWeight = 3.0
)

// Chooser places tasks.
type Chooser struct {
	// RemoteFactor is how much slower a task is away from its data.
	RemoteFactor float64
}

// Plan is what was planned for a gang and not started yet. The zero value is empty.
type Plan struct {
	room  map[string]describer.Resources
	count map[string]int
	racks map[string]int
}

// Add notes a task that is planned for a worker.
func (p *Plan) Add(s *tasker.Step, w *minder.Worker) {
	if p.room == nil {
		p.room, p.count, p.racks = make(map[string]describer.Resources), make(map[string]int), make(map[string]int)
	}
	p.room[w.Info.ID] = p.room[w.Info.ID].Plus(s.Spec.Charge())
	p.count[w.Info.ID]++
	p.racks[w.Info.Rack]++
}

// Best returns the worker for a task with its ticket, or nil.
func (c Chooser) Best(t *tasker.Task, workers []*minder.Worker, p Plan, now time.Time) (*minder.Worker, string) {
	var chosen *minder.Worker
	var value string
	lowest := 0.0
	for _, w := range workers {
		ticket, isAllowed := allows(t.Step, w, p, now)
		if !isAllowed || t.Run != nil && t.Run.Worker == w.Info.ID {
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

// allows reports whether a worker can take a task of a step, and with which ticket.
func allows(s *tasker.Step, w *minder.Worker, p Plan, now time.Time) (string, bool) {
	if !w.TakesWork(now) || !Suits(s, w) || !s.Spec.Charge().Fits(w.RoomFor(s, now).Minus(p.room[w.Info.ID])) {
		return "", false
	}
	if s.Spec.MaxPerWorker > 0 && s.RunsAt(w.Info.ID)+p.count[w.Info.ID] >= s.Spec.MaxPerWorker {
		return "", false
	}
	if !s.Job.Queue.NeedsAdvice() {
		return "", true
	}
	return s.Advice.Ticket(w.Info.ID, w.Incarnation, now)
}

// Suits reports whether a worker is of the right pool and kind for a step.
func Suits(s *tasker.Step, w *minder.Worker) bool {
	return w.Info.Service == s.Job.Queue.Service && w.Info.HasLabel(s.Spec.Label)
}

// Score rates a worker for a task of a step; lower is better. Workers near the data come
// first, then the fuller ones, so that room for large tasks stays.
func (c Chooser) Score(s *tasker.Step, w *minder.Worker) float64 {
	score := 0.0
	if s.Spec.DataRack != "" && w.Info.Rack != s.Spec.DataRack {
		score += c.RemoteFactor * remoteWeight
	}
	score -= float64(w.Used.MilliCPU) / float64(max(w.Info.Capacity.MilliCPU, 1))
	if s.Spec.TailTarget > 0 && w.Has(IsFilling) || s.Spec.Fills && w.Has(IsServing) {
		score += mixPenalty
	}
	if s.Spec.TailTarget > 0 {
		score += crowdPenalty * float64(w.Count(IsServing))
	}
	return score
}

// IsFilling reports whether a run uses what others leave of the processor.
func IsFilling(r *tasker.Run) bool { return r.Task != nil && r.Task.Step.Spec.Fills }

// IsServing reports whether a run serves users within a latency objective.
func IsServing(r *tasker.Run) bool { return r.Task != nil && r.Task.Step.Spec.TailTarget > 0 }
