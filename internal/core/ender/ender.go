// Package ender gathers the ends of tasks that the log must hear of.
//
// # Usage
//
//	ends := ender.Ender{}
//	ends.Add("menu-17", ended)
//	for _, body := range ends.Take() {
//		// append it
//	}
package ender

import (
	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/cell/recorder"
	"lentilrock.example/internal/container/sorter"
)

// Ender holds ends by job. Its zero value holds none.
type Ender struct {
	ended map[descriptor.JobID][]recorder.EndedTask
}

// Add takes in the end of an attempt.
func (e *Ender) Add(job descriptor.JobID, ended recorder.EndedTask) {
	if e.ended == nil {
		e.ended = make(map[descriptor.JobID][]recorder.EndedTask)
	}
	e.ended[job] = append(e.ended[job], ended)
}

// Take returns the ends, by job, and forgets them.
func (e *Ender) Take() []recorder.TasksEnded {
	var bodies []recorder.TasksEnded
	for _, id := range sorter.Keys(e.ended) {
		bodies = append(bodies, recorder.TasksEnded{Job: id, Ended: e.ended[id]})
	}
	clear(e.ended)
	return bodies
}
