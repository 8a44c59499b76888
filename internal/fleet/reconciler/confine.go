package reconciler

import (
	"slices"

	"lentilrock.example/internal/fleet/confiner"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/monitor"
	"lentilrock.example/internal/fleet/tasker"
)

// confine keeps the task of a run on the run's worker for as long as the worker may still carry out the start. A worker that
// has not replied since the start was sent is left out: it was lost with the start, whose deadline has passed there. So is one
// of a queue with advice, as a later incarnation of the worker refuses the ticket of the start.
func (s *Reconciler) confine(r *tasker.Run) {
	w, found := s.Workers[r.Worker]
	t, until := r.Task, r.SentAt.Add(monitor.MaxLateness)
	mayArrive := found && r.ConfirmedAt.IsZero() && w.RepliedAt.After(r.SentAt) && s.Now.Before(until)
	if !mayArrive || t == nil || t.Done || t.Step.Spec.Speculative || r.Job.Queue.NeedsAdvice() {
		return
	}
	s.Confine(t, confiner.Start{Worker: w.Info.ID, Number: r.Number, Until: until})
	s.Options.Count("tasks_confined")
	s.Report("A task starts on no other worker for a while, since this one may still carry out a start without a reply.", "task", r.Ref.String(),
		"run", r.Number, "worker", w.Info.ID, "incarnation", w.Incarnation, "until", until, "is_listed", w.IsListed, "is_draining", w.Info.Draining)
}

// Confine confines a task to the worker of a start. The task must be kept.
func (s *Reconciler) Confine(t *tasker.Task, start confiner.Start) {
	t.Confiner.Add(start, s.Now)
	if !slices.Contains(s.confined, t) {
		s.confined = append(s.confined, t)
	}
}

// startArrived records that a worker has carried out a start or refused it.
func (s *Reconciler) startArrived(worker string, ref describer.TaskRef, number int64) {
	if j, found := s.Jobs[ref.Job]; found {
		if t := j.Task(ref); t != nil {
			t.Confiner.Arrived(worker, number)
		}
	}
}

// WorkerGone lets tasks start elsewhere that are confined to a worker which never runs again.
func (s *Reconciler) WorkerGone(id string) {
	for _, t := range s.confined {
		t.Confiner.Gone(id)
	}
}

// EndConfinements forgets the tasks that may start on any worker again.
func (s *Reconciler) EndConfinements() {
	s.confined = slices.DeleteFunc(s.confined, func(t *tasker.Task) bool {
		isOver := t.Done || t.Step.Job.IsOver()
		if !isOver && t.Confiner.IsPending(s.Now) {
			return false
		}
		if waited := t.Confiner.Waited(s.Now); !isOver && waited > 0 {
			s.Report("A task may start on any worker again.", "task", t.Ref().String(), "waited", waited)
		}
		return true
	})
}
