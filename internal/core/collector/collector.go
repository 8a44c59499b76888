// Package collector collects the results of ended task attempts until they are appended to the
// log.
//
// # Usage
//
//	results := collector.Collector{}
//	results.Add("menu-17", ended)
//	for _, body := range results.Take() {
//		// append it
//	}
package collector

import (
	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/cell/recorder"
	"lentilrock.example/internal/container/sorter"
)

// Collector collects results by job. Its zero value is empty.
type Collector struct {
	ended map[descriptor.JobID][]recorder.EndedTask
}

// Add adds the result of an ended attempt of a task of the job.
func (e *Collector) Add(job descriptor.JobID, ended recorder.EndedTask) {
	if e.ended == nil {
		e.ended = make(map[descriptor.JobID][]recorder.EndedTask)
	}
	e.ended[job] = append(e.ended[job], ended)
}

// Take returns one record body per job, ordered by job, and empties the collection.
func (e *Collector) Take() []recorder.TasksEnded {
	var bodies []recorder.TasksEnded
	for _, id := range sorter.Keys(e.ended) {
		bodies = append(bodies, recorder.TasksEnded{Job: id, Ended: e.ended[id]})
	}
	clear(e.ended)
	return bodies
}
