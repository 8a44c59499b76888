// Package tasker is the life of one task on the holder of its shard, as its state chart
// (task.chart) has it.
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
	StateDelayed   interpreter.State = "delayed"
	StateEnded     interpreter.State = "ended"
	StateQueued    interpreter.State = "queued"
	StateRecording interpreter.State = "recording"
	StateRunning   interpreter.State = "running"
	StateStarting  interpreter.State = "starting"
	StateStopping  interpreter.State = "stopping"
	StateUnsettled interpreter.State = "unsettled"
)

// Events of a task.
const (
	EventAbsent        interpreter.Event = "absent"
	EventBeginRecorded interpreter.Event = "begin_recorded"
	EventBeginSent     interpreter.Event = "begin_sent"
	EventBeginVoid     interpreter.Event = "begin_void"
	EventDue           interpreter.Event = "due"
	EventEndRecorded   interpreter.Event = "end_recorded"
	EventEnded         interpreter.Event = "ended"
	EventFound         interpreter.Event = "found"
	EventPlaced        interpreter.Event = "placed"
	EventReplyLost     interpreter.Event = "reply_lost"
	EventStartRefused  interpreter.Event = "start_refused"
	EventStartTaken    interpreter.Event = "start_taken"
	EventStopSent      interpreter.Event = "stop_sent"
)

//go:embed task.chart
var chartText string

var chart = interpreter.MustParse("task", chartText)

// Task is one task of an open job of a held shard.
type Task struct {
	ID      descriptor.TaskID
	Job     descriptor.Job
	Shard   descriptor.ShardID
	Machine interpreter.Machine
	// Attempt is the number of the present or last attempt, from 1.
	Attempt int
	Worker  string
	Size    descriptor.Size
	// SentAt is when the start was sent.
	SentAt time.Time
	// LeaseEnd is the end of the first lease, after which a late start can't run.
	LeaseEnd time.Time
	Restore  bool
	Usage    descriptor.Size
	// Excused counts the failures that did not speak against the job.
	Excused   int
	FailedOn  []string
	Throttled bool
}

// AttemptID names the present attempt.
func (t *Task) AttemptID() messages.AttemptID {
	return messages.AttemptID{Task: t.ID, Attempt: t.Attempt}
}

// Fire runs the chart. It reports false, and changes nothing, where the state does not list
// the event.
func (t *Task) Fire(event interpreter.Event) bool { return t.Machine.Try(event) }

const (
	firstBackoff   = 200 * time.Millisecond
	longestBackoff = 30 * time.Second
	jitterSteps    = 1000
)

// Backoff returns how long to wait before another attempt: doubling, with a jitter that
// the task's name and attempt decide, so that a replay takes the same time.
func (t *Task) Backoff(failures int) time.Duration {
	wait := longestBackoff
	if failures < 8 {
		wait = min(firstBackoff<<max(failures-1, 0), longestBackoff)
	}
	seed := xxhash.Sum64String(t.ID.String()) + uint64(t.Attempt)
	jitter := time.Duration(seed%jitterSteps) * wait / (2 * jitterSteps)
	return wait/2 + jitter
}

// EndOf translates a worker's state of an ended attempt.
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

// View is a task as operators see it.
type View struct {
	Task    descriptor.TaskID
	State   string
	Attempt int
	Worker  string
	Size    descriptor.Size
	Usage   descriptor.Size
	Since   time.Time
	Reason  string
}

// View returns the task as operators see it.
func (t *Task) View() View {
	return View{
		Task: t.ID, State: string(t.Machine.State()), Attempt: t.Attempt,
		Worker: t.Worker, Size: t.Size, Usage: t.Usage, Since: t.SentAt,
	}
}

// SortedIDs returns the keys of a map of tasks in order.
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
