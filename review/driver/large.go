//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"lentilrock.example/internal/fleet/describer"
)

const (
	// scheduledInterval and scheduledTimes are those of a job every 5 s for a day.
	scheduledInterval = 5 * time.Second
	scheduledTimes    = 17_280
	// fewTimes is the number of occurrences without trouble.
	fewTimes       = 200
	scheduledJobID = "00000000000000e1"
)

func init() {
	scenarios["schedule"] = scenario{
		prepare: func(w *world) {
			w.runTime = func(ref describer.TaskRef) time.Duration {
				if ref.Job == scheduledJobID {
					return 50 * time.Millisecond
				}
				return 2 * time.Second
			}
			w.addWorkers(4, 16000)
		},
		play: playSchedule,
	}
}

// playSchedule hands in jobs before and after a scheduled job whose times have all come.
func playSchedule(w *world, hasTrouble bool) error {
	if err := w.addHosts(3); err != nil {
		return err
	}
	times := fewTimes
	if hasTrouble {
		times = scheduledTimes
	}
	var accepted []string
	step := map[string]any{"count": 4, "cpu": 1000, "mem-mb": 100, "estimate-ms": 2000}
	job := map[string]any{"spec": "plan", "steps": []any{step, map[string]any{
		"count": 4, "cpu": 1000, "mem-mb": 100, "estimate-ms": 2000, "after": []int{0},
	}}}
	for i := range 3 {
		id := fmt.Sprintf("00000000000000a%d", i)
		if err := w.submit("/orders/"+id, job); err != nil {
			return err
		}
		accepted = append(accepted, id)
	}
	first := time.Now().Add(-time.Duration(times) * scheduledInterval)
	w.call(w.hosts[0], http.MethodPost, "/orders/"+scheduledJobID, map[string]any{
		"spec": "every 5 s", "repeat-count": times, "start-at-ms": first.UnixMilli(), "interval-ms": scheduledInterval.Milliseconds(),
		"steps": []any{map[string]any{"count": 1, "cpu": 10, "mem-mb": 1, "estimate-ms": 50}},
	})
	time.Sleep(2 * time.Second)
	for i := range 3 {
		id := fmt.Sprintf("00000000000000b%d", i)
		if status, _ := w.call(w.hosts[i], http.MethodPost, "/orders/"+id, job); status == http.StatusOK {
			accepted = append(accepted, id)
		}
	}
	// The jobs take 4 s; their clients ask for them 14 s after that (finish_s) and more.
	time.Sleep(40 * time.Second)
	w.judgeJobs(accepted)
	return nil
}

// judgeJobs checks LOST: an accepted job isn't known or gets no answer in time, or has nothing running for 3 s while
// a task's turn has come, there is capacity for it twice over, and under half of the capacity is in use.
func (w *world) judgeJobs(accepted []string) {
	hasRun := make(map[string]bool)
	mostRuns := 0
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		runs := 0
		for _, info := range w.platform.Fleet.Workers() {
			for _, name := range w.platform.Fleet.Running(info.ID) {
				runs++
				hasRun[name[:strings.Index(name, ".")]] = true
			}
		}
		mostRuns = max(mostRuns, runs)
	}
	// No task needs more than one core, and each worker has 16.
	isHalfFree := mostRuns < len(w.platform.Fleet.Workers())*8
	w.note("in the last 3 s at most %d tasks ran at a time", mostRuns)
	for _, id := range accepted {
		state := ""
		for _, h := range w.hosts {
			if status, body := w.call(h, http.MethodGet, "/orders/"+id, nil); status == http.StatusOK {
				state = strings.TrimSpace(body)
				break
			}
		}
		switch {
		case state == "":
			w.breach("LOST: job %s was accepted, and no host answers what became of it", id)
		case !strings.Contains(state, "completed") && !hasRun[id] && isHalfFree:
			w.breach("LOST: job %s was accepted, is shown as %s, and has had nothing running for 3 s although there is room", id, state)
		}
	}
}
