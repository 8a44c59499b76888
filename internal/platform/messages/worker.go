package messages

import (
	"time"

	"lentilrock.example/internal/cell/descriptor"
)

// Start asks a worker to run one attempt of a task under a lease. A worker refuses a
// start whose lease has lapsed, and takes a start that it has as done.
type Start struct {
	Task    descriptor.TaskID `json:"task"`
	Attempt int               `json:"attempt"`
	Size    descriptor.Size   `json:"size"`
	// ExpiresAt is the wall-clock end of the first lease.
	ExpiresAt time.Time `json:"expires_at"`
	// RunTime is the declared run time; 0 runs until stopped.
	RunTime time.Duration `json:"run_time_ns"`
	Class   string        `json:"class,omitempty"`
	// Restore asks to go on from the task's last checkpoint.
	Restore bool `json:"restore,omitempty"`
}

// AttemptID names one attempt of a task.
type AttemptID struct {
	Task    descriptor.TaskID `json:"task"`
	Attempt int               `json:"attempt"`
}

// Heartbeat renews the leases of all that a worker runs and asks for its inventory.
type Heartbeat struct {
	// ExpiresAt is the wall-clock end of the renewed leases; zero renews nothing.
	ExpiresAt time.Time `json:"expires_at,omitzero"`
	// Acknowledged lists the ended attempts that the worker may forget.
	Acknowledged []AttemptID `json:"acknowledged,omitempty"`
}

// TaskState is the state of an attempt at a worker.
type TaskState string

// The states of attempts at a worker.
const (
	TaskFailed  TaskState = "failed"
	TaskLapsed  TaskState = "lapsed"
	TaskRunning TaskState = "running"
	TaskStopped TaskState = "stopped"
	TaskDone    TaskState = "done"
)

// IsEnded reports whether the attempt runs no more.
func (s TaskState) IsEnded() bool {
	return s != TaskRunning
}

// Held is an attempt that a worker knows.
type Held struct {
	AttemptID
	State     TaskState       `json:"state"`
	Size      descriptor.Size `json:"size"`
	ExpiresAt time.Time       `json:"expires_at"`
	Class     string          `json:"class,omitempty"`
	// Usage is the last measured use; it lags.
	Usage descriptor.Size `json:"usage,omitzero"`
	// RanFor is how long the attempt has run.
	RanFor time.Duration `json:"ran_for_ns,omitempty"`
	// Checkpointed reports that a stopped attempt can go on elsewhere.
	Checkpointed bool `json:"checkpointed,omitempty"`
}

// Inventory is a worker's answer to a heartbeat.
type Inventory struct {
	Incarnation string `json:"incarnation"`
	Tasks       []Held `json:"tasks"`
}

// Stop ends an attempt, after a checkpoint where asked.
type Stop struct {
	AttemptID
	Checkpoint bool `json:"checkpoint,omitempty"`
}

// Throttle holds an attempt to its size, or lets go of it.
type Throttle struct {
	AttemptID
	On bool `json:"on"`
}

// WorkerFault switches the faults of a worker stand-in.
type WorkerFault struct {
	// FailAll ends every start as failed at once.
	FailAll bool `json:"fail_all"`
	// LoseReplies drops the reply of so many starts after they took effect.
	LoseReplies int `json:"lose_replies"`
	// Down answers nothing.
	Down bool `json:"down"`
	// UsagePercent scales the use that is reported against the declared size.
	UsagePercent int64 `json:"usage_percent"`
}

// RunLog is what a worker stand-in recorded, for comparison with what callers saw.
type RunLog struct {
	Worker string          `json:"worker"`
	Runs   []Run           `json:"runs"`
	Peak   descriptor.Size `json:"peak"`
}

// Run is one attempt that ran at a stand-in.
type Run struct {
	Task    descriptor.TaskID `json:"task"`
	Attempt int               `json:"attempt"`
	Began   time.Time         `json:"began"`
	Ended   time.Time         `json:"ended,omitzero"`
	State   TaskState         `json:"state"`
}
