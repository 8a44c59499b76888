package descriptor

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Kind is the type of a workload; it selects the scheduling policy for its tasks.
type Kind string

// The types of workload.
const (
	// KindBatch runs each task to completion, in any order.
	KindBatch Kind = "batch"
	// KindGang starts all tasks together or none of them (gang scheduling).
	KindGang Kind = "gang"
	// KindService keeps its tasks running until the job is cancelled.
	KindService Kind = "service"
)

// Priorities of jobs. Higher values are scheduled first.
const (
	PriorityLow    = 0
	PriorityNormal = 50
	PriorityUrgent = 100
)

// MaxTasksPerJob is the maximum number of tasks of a job.
const MaxTasksPerJob = 20_000

// Job is the specification of a job: a number of tasks of the same size under one policy.
type Job struct {
	ID   JobID  `json:"id"`
	Team string `json:"team"`
	Kind Kind   `json:"kind"`
	// Class groups jobs for the estimates of size and run time; see ClassName.
	Class    string `json:"class,omitempty"`
	Tasks    int    `json:"tasks"`
	Size     Size   `json:"size"`
	Priority int    `json:"priority,omitempty"`
	// MaxRetries is how often each task may be restarted after a failure.
	MaxRetries int `json:"max_retries,omitempty"`
	// OneShot reports that the tasks have at-most-once semantics: they are started at most
	// once and never preempted.
	OneShot bool `json:"one_shot,omitempty"`
	// MinRunning is how many tasks of a service a drain must leave running.
	MinRunning int `json:"min_running,omitempty"`
	// RunTime is the declared run time of a task; 0 means unknown.
	RunTime time.Duration `json:"run_time_ns,omitempty"`
	// Racks restricts placement to the named racks; empty means any rack.
	Racks []string `json:"racks,omitempty"`
}

// Check returns an error that names the first field with an invalid value.
func (j Job) Check() error {
	if err := CheckID("id", string(j.ID)); err != nil {
		return err
	}
	if err := CheckID("team", j.Team); err != nil {
		return err
	}
	switch j.Kind {
	case KindBatch, KindGang, KindService:
	default:
		return errors.Newf("kind is %q, want batch, gang or service", j.Kind)
	}
	if j.Tasks < 1 || j.Tasks > MaxTasksPerJob {
		return errors.Newf("tasks is %d, want 1 to %d", j.Tasks, MaxTasksPerJob)
	}
	if err := j.Size.Check(); err != nil {
		return errors.Errorf("size: %w", err)
	}
	return j.checkPolicy()
}

func (j Job) checkPolicy() error {
	switch {
	case j.Priority < PriorityLow || j.Priority > PriorityUrgent:
		return errors.Newf("priority is %d, want %d to %d", j.Priority, PriorityLow, PriorityUrgent)
	case j.MaxRetries < 0:
		return errors.Newf("max_retries is %d, want 0 or more", j.MaxRetries)
	case j.OneShot && j.MaxRetries > 0:
		return errors.Newf("max_retries is %d, want 0 for a one_shot job", j.MaxRetries)
	case j.OneShot && j.Kind == KindService:
		return errors.New("one_shot is set, want it unset for a service")
	case j.MinRunning < 0 || j.MinRunning > j.Tasks:
		return errors.Newf("min_running is %d, want 0 to %d", j.MinRunning, j.Tasks)
	case j.RunTime < 0:
		return errors.Newf("run_time_ns is %d, want 0 or more", j.RunTime)
	}
	return nil
}

// ClassName returns the class whose sizes and run times, as estimated from earlier runs, apply
// to the job: Class if it is set, or else one per team and kind.
func (j Job) ClassName() string {
	if j.Class != "" {
		return j.Class
	}
	return j.Team + ":" + string(j.Kind)
}
