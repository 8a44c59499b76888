package reconciler

import (
	"time"

	"lentilrock.example/internal/fleet/monitor"
	"lentilrock.example/internal/fleet/tasker"
)

// maxReplyAge is how old the last reply of a worker may be for a long-running task to start there if the start would do harm
// late. It is well below the time between two polls.
const maxReplyAge = 250 * time.Millisecond

// AwaitsReply reports whether the tasks of a step wait for a reply of a worker on which they could start, and polls the worker. A
// start that is lost with its worker keeps its task from starting elsewhere until it can't be carried out any more, which is
// longer than a long-running task should be down.
func (s *Reconciler) AwaitsReply(step *tasker.Step, w *monitor.Worker) bool {
	if !step.Spec.LongRunning || !step.Spec.HasHarmfulStarts(step.Job.Queue) || s.Now.Sub(w.RepliedAt) < maxReplyAge {
		return false
	}
	// While rounds are slow, the reply to the poll may be older by the next one.
	if w.RepliedAt.After(w.ProbedAt) && s.Now.Sub(w.ProbedAt) < monitor.UnresponsiveAfter {
		return false
	}
	if s.Now.Sub(w.ProbedAt) >= monitor.RetryPause {
		w.ProbedAt = s.Now
		s.Options.Count("workers_probed")
		s.PollNow(w)
	}
	return true
}
