//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"

	"lentilrock.example/internal/fleet/describer"
)

const (
	// heartbeat is how often a worker writes its entry; an entry expires after three times as long.
	heartbeat = 1500 * time.Millisecond
	// outage is the length of the store's outage in the site files, in which entries expire.
	outage = 4500 * time.Millisecond
	// drainTime is how long the worker serves after its report: drain-ms, and a little longer.
	drainTime = 7 * time.Second
	workers   = 6
	// resetDelay is the time from the end of the outage to the reset of the connections to the worker.
	resetDelay = 650 * time.Millisecond
)

func init() {
	scenarios["drain"] = scenario{
		prepare: func(w *world) {
			w.runTime = func(describer.TaskRef) time.Duration { return 20 * time.Second }
			w.addWorkers(workers, 16000)
		},
		play: playDrain,
	}
}

func playDrain(w *world, hasTrouble bool) error {
	if err := w.addHosts(3); err != nil {
		return err
	}
	const path, task = "/orders/00000000000000b1", "00000000000000b1.0.0.0"
	job := map[string]any{"spec": "plan", "steps": []any{map[string]any{"count": 1, "cpu": 1000, "mem-mb": 100, "estimate-ms": 20000}}}
	if err := w.submit(path, job); err != nil {
		return err
	}
	var at string
	if err := w.waitFor("the task runs", 10*time.Second, func() bool {
		if workers := w.runsOf(task); len(workers) == 1 {
			at = workers[0]
		}
		return at != ""
	}); err != nil {
		return err
	}
	// The job's progress has been persisted for long.
	time.Sleep(2 * time.Second)
	watched := make(chan struct{})
	stopped := make(chan struct{})
	go w.watchTask(task, watched, stopped)
	draining := time.Now()
	worker := w.workerInfo(at)
	w.note("%s: reports draining", at)
	w.publish(worker, "draining", 3*time.Second)
	time.Sleep(300 * time.Millisecond)
	if hasTrouble {
		w.note("store: down")
		w.platform.Store.SetDown(true)
		time.Sleep(outage)
		for _, info := range w.platform.Fleet.Workers() {
			w.unpublish(info.ID)
		}
		w.note("store: the entries of the workers have expired; it serves again")
		w.platform.Store.SetDown(false)
		// Each worker writes its entry again with its next heartbeat. The heartbeats are evenly spread over
		// their interval, and that of the draining worker comes last.
		go func() {
			for _, info := range w.platform.Fleet.Workers() {
				if info.ID != at {
					w.note("%s: writes its entry again, ready", info.ID)
					w.publish(info, "ready", 0)
					time.Sleep(heartbeat / workers)
				}
			}
			w.note("%s: writes its entry again, draining", at)
			w.publish(worker, "draining", time.Second)
		}()
		time.Sleep(resetDelay)
		w.proxies[at].reset()
	}
	time.Sleep(time.Until(draining.Add(drainTime)))
	w.note("%s: leaves", at)
	w.proxies[at].leave()
	w.platform.Fleet.Restart(at, time.Now().UnixMilli())
	w.unpublish(at)
	time.Sleep(4 * time.Second)
	close(stopped)
	<-watched
	status, _ := w.call(w.hosts[0], http.MethodGet, path, nil)
	if status == 0 {
		return fmt.Errorf("no reply")
	}
	return nil
}

// watchTask checks TWICE: two runs of a task at the same time, on workers that are up.
func (w *world) watchTask(task string, watched chan<- struct{}, stopped <-chan struct{}) {
	defer close(watched)
	former := ""
	for {
		select {
		case <-stopped:
			return
		case <-time.After(5 * time.Millisecond):
		}
		workers := w.runsOf(task)
		if text := fmt.Sprint(workers); text != former {
			former = text
			w.note("%s runs at %v", task, workers)
			if len(workers) > 1 {
				w.breach("TWICE: %s runs at %v at the same time", task, workers)
			}
		}
	}
}

// workerInfo returns the entry of a worker.
func (w *world) workerInfo(id string) describer.Worker {
	for _, info := range w.platform.Fleet.Workers() {
		if info.ID == id {
			return info
		}
	}
	panic("no worker " + id)
}
