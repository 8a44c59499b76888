// Package tasker implements the state machine of one task, as tracked by the host that holds
// the claim on the task's shard. The transitions are in task.chart.
//
// # Usage
//
//	k := tasker.New(id, job, shard)
//	if k.Fire(tasker.EventPlaced) {
//		// send the start
//	}
package tasker

import (
	"cmp"
	_ "embed"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/cell/recorder"
	"lentilrock.example/internal/chart/interpreter"
	"lentilrock.example/internal/platform/messages"
)

// States of a task.
const (
	// StateDelayed is a task that waits for its backoff before the next attempt.
	StateDelayed interpreter.State = "delayed"
	// StateEnded is a task whose attempt ended and whose result is not yet in the log.
	StateEnded interpreter.State = "ended"
	// StateQueued is a task that waits for placement on a worker.
	StateQueued interpreter.State = "queued"
	// StateRecording is a placed one-shot task whose begin record is not yet in the log.
	StateRecording interpreter.State = "recording"
	// StateRunning is a task that its worker runs.
	StateRunning interpreter.State = "running"
	// StateStarting is a task whose start was sent and not yet answered.
	StateStarting interpreter.State = "starting"
	// StateStopping is a task whose stop was sent and whose end was not yet reported.
	StateStopping interpreter.State = "stopping"
	// StateUnsettled is an unconfirmed start: no reply came, so the attempt may or may not run.
	StateUnsettled interpreter.State = "unsettled"
)

// Events of a task.
const (
	// EventAbsent is an inventory that rules out that the attempt runs or will run.
	EventAbsent interpreter.Event = "absent"
	// EventBeginRecorded is a begin record that took effect in the log.
	EventBeginRecorded interpreter.Event = "begin_recorded"
	// EventBeginSent is a begin record that was sent to the log.
	EventBeginSent interpreter.Event = "begin_sent"
	// EventBeginVoid is a begin record that did not take effect, for example since its epoch
	// was superseded.
	EventBeginVoid interpreter.Event = "begin_void"
	// EventDue is the end of the backoff.
	EventDue interpreter.Event = "due"
	// EventEndRecorded is a result that is in the log.
	EventEndRecorded interpreter.Event = "end_recorded"
	// EventEnded is an attempt that certainly no longer runs.
	EventEnded interpreter.Event = "ended"
	// EventFound is an inventory that lists the attempt as running.
	EventFound interpreter.Event = "found"
	// EventPlaced is a placement on a worker.
	EventPlaced interpreter.Event = "placed"
	// EventReplyLost is a start without a reply.
	EventReplyLost interpreter.Event = "reply_lost"
	// EventStartRefused is a start that the worker refused.
	EventStartRefused interpreter.Event = "start_refused"
	// EventStartTaken is a start that the worker accepted.
	EventStartTaken interpreter.Event = "start_taken"
	// EventStopSent is a stop that was sent to the worker.
	EventStopSent interpreter.Event = "stop_sent"
)

//go:embed task.chart
var chartText string

var chart = interpreter.MustParse("task", chartText)

// Task is the state of one task, on the holder of its shard, of an open job: its state, worker and current
// attempt.
type Task struct {
	ID      descriptor.TaskID
	Job     descriptor.Job
	Shard   descriptor.ShardID
	Machine interpreter.Machine
	// Attempt is the number of the current or last attempt, from 1; 0 before the first.
	Attempt int
	// Worker is the name of the worker of that attempt.
	Worker string
	// Size is the capacity that is allocated for the task on the worker.
	Size descriptor.Size
	// SentAt is when the start was sent.
	SentAt time.Time
	// FirstLeaseEnd is when the lease of the start expires. The worker refuses the start
	// after that time.
	FirstLeaseEnd time.Time
	// ShouldRestore reports that the next attempt continues from the last checkpoint.
	ShouldRestore bool
	// Usage is the last usage that the worker reported.
	Usage descriptor.Size
	// UncountedFailures is the number of failed attempts that were attributed to a worker
	// and not counted against the job.
	UncountedFailures int
	// FailedOn lists the workers on which an attempt failed.
	FailedOn []string
	// IsThrottled reports that the worker was told to limit the task to its size.
	IsThrottled bool
}

// AttemptID returns the identifier of the current attempt.
func (t *Task) AttemptID() messages.AttemptID {
	return messages.AttemptID{Task: t.ID, Attempt: t.Attempt}
}

// Fire applies an event to the state machine. It returns false and leaves the state as it
// is if the current state has no transition for the event.
func (t *Task) Fire(event interpreter.Event) bool { return t.Machine.Try(event) }

const (
	baseBackoff = 200 * time.Millisecond
	maxBackoff  = 30 * time.Second
	jitterSteps = 1000
)

// Backoff returns the delay before the next attempt after the given number of failures. It is exponential
// with equal jitter: with d = baseBackoff * 2^(failures-1) for fewer than 8 failures and d = maxBackoff from
// the 8th on, the delay lies in [d/2, d). The jitter is a hash of the task's ID plus the attempt number, not
// a random number, so that the replay of a trace computes the same delay.
func (t *Task) Backoff(failures int) time.Duration {
	wait := maxBackoff
	if failures < 8 {
		wait = min(baseBackoff<<max(failures-1, 0), maxBackoff)
	}
	seed := xxhash.Sum64String(t.ID.String()) + uint64(t.Attempt)
	jitter := time.Duration(seed%jitterSteps) * wait / (2 * jitterSteps)
	return wait/2 + jitter
}

// EndOf maps the state in which a worker reports an ended attempt to the result for the
// log. Every state other than done and failed maps to lost.
func EndOf(state messages.TaskState) recorder.TaskEnd {
	switch state {
	case messages.TaskDone:
		return recorder.TaskDone
	case messages.TaskFailed:
		return recorder.TaskFailed
	}
	return recorder.TaskLost
}

// New returns a queued task.
func New(id descriptor.TaskID, job descriptor.Job, shard descriptor.ShardID) *Task {
	return &Task{ID: id, Job: job, Shard: shard, Machine: chart.Machine()}
}

// View is the operator's view of a task.
type View struct {
	Task    descriptor.TaskID
	State   string
	Attempt int
	Worker  string
	Size    descriptor.Size
	Usage   descriptor.Size
	// Since is when the start was sent or, for a queued task, when its job began to wait.
	Since time.Time
	// Reason says why a queued task waits.
	Reason string
}

// View returns the operator's view of the task. Reason is left empty.
func (t *Task) View() View {
	return View{
		Task: t.ID, State: string(t.Machine.State()), Attempt: t.Attempt,
		Worker: t.Worker, Size: t.Size, Usage: t.Usage, Since: t.SentAt,
	}
}

// SortedIDs returns the keys of tasks, ordered by job and index.
func SortedIDs(tasks map[descriptor.TaskID]*Task) []descriptor.TaskID {
	ids := make([]descriptor.TaskID, 0, len(tasks))
	for id := range tasks {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b descriptor.TaskID) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
	})
	return ids
}
