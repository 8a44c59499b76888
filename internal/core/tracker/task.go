package tracker

import (
	_ "embed"
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

const (
	eventAbsent        interpreter.Event = "absent"
	eventBeginRecorded interpreter.Event = "begin_recorded"
	eventBeginSent     interpreter.Event = "begin_sent"
	eventBeginVoid     interpreter.Event = "begin_void"
	eventDue           interpreter.Event = "due"
	eventEndRecorded   interpreter.Event = "end_recorded"
	eventEnded         interpreter.Event = "ended"
	eventFound         interpreter.Event = "found"
	eventPlaced        interpreter.Event = "placed"
	eventReplyLost     interpreter.Event = "reply_lost"
	eventStartRefused  interpreter.Event = "start_refused"
	eventStartTaken    interpreter.Event = "start_taken"
	eventStopSent      interpreter.Event = "stop_sent"
)

//go:embed task.chart
var chartText string

var chart = interpreter.MustParse("task", chartText)

// task is one task of an open job of a held shard.
type task struct {
	id      descriptor.TaskID
	job     descriptor.Job
	shard   descriptor.ShardID
	machine interpreter.Machine
	// attempt is the number of the present or last attempt, from 1.
	attempt int
	worker  string
	size    descriptor.Size
	// sentAt is when the start was sent.
	sentAt time.Time
	// leaseEnd is the end of the first lease, after which a late start can't run.
	leaseEnd time.Time
	restore  bool
	usage    descriptor.Size
	// excused counts the failures that did not speak against the job.
	excused   int
	failedOn  []string
	throttled bool
}

func (t *task) attemptID() messages.AttemptID {
	return messages.AttemptID{Task: t.id, Attempt: t.attempt}
}

func (t *task) fire(event interpreter.Event) bool { return t.machine.Try(event) }

const (
	firstBackoff   = 200 * time.Millisecond
	longestBackoff = 30 * time.Second
	jitterSteps    = 1000
)

// backoff returns how long to wait before another attempt: doubling, with a jitter that
// the task's name and attempt decide, so that a replay takes the same time.
func (t *task) backoff(failures int) time.Duration {
	wait := longestBackoff
	if failures < 8 {
		wait = min(firstBackoff<<max(failures-1, 0), longestBackoff)
	}
	seed := xxhash.Sum64String(t.id.String()) + uint64(t.attempt)
	jitter := time.Duration(seed%jitterSteps) * wait / (2 * jitterSteps)
	return wait/2 + jitter
}

// endOf translates a worker's state of an ended attempt.
func endOf(state messages.TaskState) recorder.TaskEnd {
	switch state {
	case messages.TaskDone:
		return recorder.TaskDone
	case messages.TaskFailed:
		return recorder.TaskFailed
	}
	return recorder.TaskLost
}
