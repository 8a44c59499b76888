package messages

import (
	"time"

	"lentilrock.example/internal/cell/descriptor"
)

// Start is the request to a worker to run one attempt of a task under a lease. A worker
// refuses a start whose lease has expired. It acknowledges a repeated start of an attempt that
// it already has, without starting it again.
type Start struct {
	Task    descriptor.TaskID `json:"task"`
	Attempt int               `json:"attempt"`
	Size    descriptor.Size   `json:"size"`
	// ExpiresAt is the wall-clock time at which the first lease expires.
	ExpiresAt time.Time `json:"expires_at"`
	// RunTime is the declared run time; with 0 the attempt runs until it is stopped.
	RunTime time.Duration `json:"run_time_ns"`
	Class   string        `json:"class,omitempty"`
	// Restore makes the attempt resume from the task's last checkpoint.
	Restore bool `json:"restore,omitempty"`
}

// AttemptID identifies one attempt of a task.
type AttemptID struct {
	Task    descriptor.TaskID `json:"task"`
	Attempt int               `json:"attempt"`
}

// Heartbeat is the request to a worker to renew the leases of all its attempts and to return
// its inventory.
type Heartbeat struct {
	// ExpiresAt is the wall-clock time at which the renewed leases expire; the zero time
	// renews nothing.
	ExpiresAt time.Time `json:"expires_at,omitzero"`
	// Acknowledged lists the ended attempts that the worker may remove from its inventory.
	Acknowledged []AttemptID `json:"acknowledged,omitempty"`
}

// TaskState is the state of an attempt at a worker.
type TaskState string

// The states of attempts at a worker.
const (
	TaskFailed TaskState = "failed"
	// TaskLeaseExpired means that the worker ended the attempt because its lease expired.
	TaskLeaseExpired TaskState = "lapsed"
	TaskRunning      TaskState = "running"
	TaskStopped      TaskState = "stopped"
	TaskDone         TaskState = "done"
)

// IsEnded reports whether the attempt is no longer running.
func (s TaskState) IsEnded() bool {
	return s != TaskRunning
}

// AttemptStatus is a worker's inventory entry for an attempt.
type AttemptStatus struct {
	AttemptID
	State     TaskState       `json:"state"`
	Size      descriptor.Size `json:"size"`
	ExpiresAt time.Time       `json:"expires_at"`
	Class     string          `json:"class,omitempty"`
	// Usage is the most recently measured resource usage; it lags behind the current one.
	Usage descriptor.Size `json:"usage,omitzero"`
	// RunDuration is how long the attempt has run.
	RunDuration time.Duration `json:"ran_for_ns,omitempty"`
	// Checkpointed reports that a stopped attempt left a checkpoint from which another worker
	// can resume.
	Checkpointed bool `json:"checkpointed,omitempty"`
}

// Inventory is a worker's reply to a heartbeat: its incarnation and its attempts.
type Inventory struct {
	Incarnation string          `json:"incarnation"`
	Tasks       []AttemptStatus `json:"tasks"`
}

// Stop is the request to a worker to stop an attempt, after writing a checkpoint if Checkpoint
// is set.
type Stop struct {
	AttemptID
	Checkpoint bool `json:"checkpoint,omitempty"`
}

// Throttle is the request to a worker to limit an attempt's resource usage to its size, or to
// lift the limit.
type Throttle struct {
	AttemptID
	// On sets the limit; false lifts it.
	On bool `json:"on"`
}

// WorkerFault selects the faults that a simulated worker injects.
type WorkerFault struct {
	// FailAll makes every started attempt fail immediately.
	FailAll bool `json:"fail_all"`
	// LoseReplies is the number of starts that take effect but whose reply is lost.
	LoseReplies int `json:"lose_replies"`
	// Down refuses all calls.
	Down bool `json:"down"`
	// UsagePercent is the reported CPU and memory usage, as a percentage of the declared size;
	// 0 means 100.
	UsagePercent int64 `json:"usage_percent"`
}

// WorkerRuns is the execution record of a simulated worker, for comparison with what its callers
// observed.
type WorkerRuns struct {
	Worker string `json:"worker"`
	Runs   []Run  `json:"runs"`
	// Peak is the maximum total size of concurrently running attempts, per resource.
	Peak descriptor.Size `json:"peak"`
}

// Run is one attempt that a simulated worker executed.
type Run struct {
	Task    descriptor.TaskID `json:"task"`
	Attempt int               `json:"attempt"`
	Began   time.Time         `json:"began"`
	Ended   time.Time         `json:"ended,omitzero"`
	State   TaskState         `json:"state"`
}
