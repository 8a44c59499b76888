package selector

import (
	"time"

	"lentilrock.example/internal/fleet/monitor"
	"lentilrock.example/internal/fleet/tasker"
)

// GangMembers returns the tasks of a gang in the order in which they are placed: first those that are confined to a
// worker, as the others would take the room there.
func GangMembers(s *tasker.Step, now time.Time) []*tasker.Task {
	var confined, others []*tasker.Task
	for index := range s.Spec.Count {
		if t := s.Task(index); t.Confiner.IsPending(now) {
			confined = append(confined, t)
		} else {
			others = append(others, t)
		}
	}
	return append(confined, others...)
}

// ConfinedRack returns the rack of a worker to which a member of a gang is confined, or false if there is none.
func ConfinedRack(s *tasker.Step, workers []*monitor.Worker, now time.Time) (string, bool) {
	for _, t := range s.KeptTasks() {
		if !t.Confiner.IsPending(now) {
			continue
		}
		for _, w := range workers {
			if t.Confiner.Allows(w.Info.ID, now) {
				return w.Info.Rack, true
			}
		}
	}
	return "", false
}
