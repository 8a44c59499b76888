package descriptor

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Kind is the kind of a workload, which decides the policy for its tasks.
type Kind string

// The kinds of workload.
const (
	// KindBatch runs each task to its end, in any order.
	KindBatch Kind = "batch"
	// KindGang starts all tasks together or none.
	KindGang Kind = "gang"
	// KindService keeps its tasks running until it is cancelled.
	KindService Kind = "service"
)

// Priorities of jobs. Higher goes first.
const (
	PriorityLow    = 0
	PriorityNormal = 50
	PriorityUrgent = 100
)

// MaxTasksPerJob bounds the tasks of one job.
const MaxTasksPerJob = 20_000

// Job is an accepted unit of work: some tasks of one size under one policy.
type Job struct {
	ID       JobID  `json:"id"`
	Team     string `json:"team"`
	Kind     Kind   `json:"kind"`
	Class    string `json:"class,omitempty"`
	Tasks    int    `json:"tasks"`
	Size     Size   `json:"size"`
	Priority int    `json:"priority,omitempty"`
	// MaxRetries is how often one task may be started again after it failed.
	MaxRetries int `json:"max_retries,omitempty"`
	// OneShot marks tasks that may not be repeated: they are started at most once
	// and never preempted.
	OneShot bool `json:"one_shot,omitempty"`
	// MinRunning is how many tasks of a service a drain leaves running.
	MinRunning int `json:"min_running,omitempty"`
	// RunTime is the declared run time of a task; 0 where unknown.
	RunTime time.Duration `json:"run_time_ns,omitempty"`
	// Racks limits placement to the named racks; empty means any.
	Racks []string `json:"racks,omitempty"`
}

// Check returns an error that names the first field with an impossible value.
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

// ClassName returns the class whose learned sizes and run times apply.
func (j Job) ClassName() string {
	if j.Class != "" {
		return j.Class
	}
	return j.Team + ":" + string(j.Kind)
}
