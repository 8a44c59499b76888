// Package drainer decides which tasks leave a worker that is being drained.
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

// Drains are the workers and racks that are being drained, as "worker.NAME" and
// "rack.NAME".
type Drains map[string]bool

// Covers reports whether a worker is being drained.
func (d Drains) Covers(host descriptor.Host) bool {
	return d["worker."+host.Name] || d["rack."+host.Rack]
}

// MayMove reports whether a task may be stopped to run elsewhere: never one that may not be
// repeated, and services one at a time and not below the count that must run.
func MayMove(task *tasker.Task, siblings []*tasker.Task) bool {
	if task.Machine.State() != tasker.StateRunning || task.Job.OneShot {
		return false
	}
	if task.Job.Kind != descriptor.KindService {
		return true
	}
	running := 0
	for _, other := range siblings {
		if other.Machine.State() != tasker.StateRunning {
			return false
		}
		running++
	}
	return running > task.Job.MinRunning
}
