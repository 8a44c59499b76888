package reconciler

import (
	"slices"
	"time"

	"lentilrock.example/internal/fleet/confiner"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/monitor"
	"lentilrock.example/internal/fleet/tasker"
)

// confine keeps the task of a resolved run on the run's worker for as long as the worker may still carry out the start. The
// end of the worker's lease changes nothing: it ends what runs there, but the next incarnation would accept the start.
func (s *Reconciler) confine(r *tasker.Run) {
	w, found := s.Workers[r.Worker]
	t, until := r.Task, r.SentAt.Add(monitor.MaxLateness)
	mayArrive := found && r.ConfirmedAt.IsZero() && s.Now.Before(until)
	if !mayArrive || t == nil || t.Done || !s.isHarmful(r.Ref) {
		return
	}
	s.Confine(t, confiner.Start{Worker: w.Info.ID, Number: r.Number, Until: until})
	s.Options.Count("tasks_confined")
	s.Report("A task starts on no other worker for a while, since this one may still carry out a start without a reply.", "task", r.Ref.String(),
		"run", r.Number, "worker", w.Info.ID, "incarnation", w.Incarnation, "until", until, "is_listed", w.IsListed, "is_draining", w.Info.Draining,
		"has_replied_since", w.RepliedAt.After(r.SentAt))
}

// Confine confines a task to the worker of a start. The task must be kept.
func (s *Reconciler) Confine(t *tasker.Task, start confiner.Start) {
	t.Confiner.Add(start, s.Now)
	if !slices.Contains(s.confined, t) {
		s.confined = append(s.confined, t)
	}
}

// startArrived records that a worker has carried out a start or refused it.
func (s *Reconciler) startArrived(w *monitor.Worker, ref describer.TaskRef, number int64) {
	w.StartArrived(ref, number)
	if t := s.taskOf(ref); t != nil {
		t.Confiner.Arrived(w.Info.ID, number)
	}
}

// recordLostStart records that a start got no reply. A successor learns of it with the next batch.
func (s *Reconciler) recordLostStart(w *monitor.Worker, ref describer.TaskRef, number int64, sentAt time.Time) {
	isHarmful := s.isHarmful(ref)
	w.RecordLostStart(monitor.LostStart{Ref: ref, Number: number, Charge: s.chargeOf(w, ref), Owner: s.ownerOf(w, ref), SentAt: sentAt, IsHarmful: isHarmful})
	if isHarmful {
		s.Persister.MarkLateStartsChanged()
	}
}

// isHarmful reports whether a late start of a task would do harm in a later incarnation of its worker.
func (s *Reconciler) isHarmful(ref describer.TaskRef) bool {
	entry, found := s.State.Find(ref.Job)
	if !found || ref.Step < 0 || ref.Step >= len(entry.Job.Steps) {
		return true
	}
	queue := entry.Job.Queue
	if j, isOpen := s.Jobs[ref.Job]; isOpen {
		queue = j.Queue
	}
	return entry.Job.Steps[ref.Step].HasHarmfulStarts(queue)
}

// RestoreLateStart records a start of a former holder that its worker may still carry out, for a time after the former
// holder's last record.
func (s *Reconciler) RestoreLateStart(late journaler.LateStart) {
	until := s.FormerSeenAt.Add(min(late.Remaining, monitor.MaxLateness))
	if late.Run <= 0 || late.Run > describer.MaxRun || !s.Now.Before(until) {
		return
	}
	if w, found := s.Workers[late.Worker]; found {
		s.recordLostStart(w, late.Ref(), late.Run, until.Add(-monitor.MaxLateness))
	}
	t := s.taskOf(late.Ref())
	if t == nil || t.Done || !s.isHarmful(late.Ref()) {
		return
	}
	t.Keep()
	s.Confine(t, confiner.Start{Worker: late.Worker, Number: late.Run, Until: until})
}

// taskOf returns a task of a job that has not ended, or nil.
func (s *Reconciler) taskOf(ref describer.TaskRef) *tasker.Task {
	if j, found := s.Jobs[ref.Job]; found {
		return j.Task(ref)
	}
	return nil
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
