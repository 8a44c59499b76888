// Package drainer decides which tasks may be moved off a worker that is being drained.
//
// # Usage
//
//	if drains.Covers(host) && drainer.MayMove(task, tasksOfItsJob) {
//		// checkpoint and stop it
//	}
package drainer

import (
	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/core/tasker"
)

// Drains is the set of workers and racks that are being drained. The keys are
// "worker.NAME" and "rack.NAME".
type Drains map[string]bool

// Covers reports whether the worker or its rack is being drained.
func (d Drains) Covers(host descriptor.Host) bool {
	return d["worker."+host.Name] || d["rack."+host.Rack]
}

// MayMove reports whether a running task may be stopped to run elsewhere. One-shot tasks may not, since they
// must not be repeated. The tasks of a service move one at a time: only while all of jobTasks, the known
// tasks of the job, are running, and only if the job's minimum number of running tasks remains.
func MayMove(task *tasker.Task, jobTasks []*tasker.Task) bool {
	if task.Machine.State() != tasker.StateRunning || task.Job.OneShot {
		return false
	}
	if task.Job.Kind != descriptor.KindService {
		return true
	}
	running := 0
	for _, k := range jobTasks {
		if k.Machine.State() != tasker.StateRunning {
			return false
		}
		running++
	}
	return running > task.Job.MinRunning
}
