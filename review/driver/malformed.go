//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"

	"lentilrock.example/internal/fleet/describer"
)

// malformedJob has two steps whose counts add up to 2^63, which is no number of tasks that a job may have.
const malformedJob = `{"spec":"x","steps":[{"count":4611686018427387904,"cpu":100,"mem-mb":10,"estimate-ms":100},` +
	`{"count":4611686018427387904,"cpu":100,"mem-mb":10,"estimate-ms":100}]}`

const (
	// exitsToCount is how often a process has to end by itself to count for the rule, on at least minMachines
	// machines.
	exitsToCount = 3
	minMachines  = 2
	acceptedJobs = 5
)

func init() {
	scenarios["malformed"] = scenario{
		prepare: func(w *world) {
			w.runTime = func(describer.TaskRef) time.Duration { return 4 * time.Second }
			w.addWorkers(4, 16000)
		},
		play: playMalformed,
	}
}

func playMalformed(w *world, hasTrouble bool) error {
	if err := w.addHosts(3); err != nil {
		return err
	}
	// Two steps of 4 s each.
	step := map[string]any{"count": 4, "cpu": 1000, "mem-mb": 100, "estimate-ms": 4000}
	second := map[string]any{"count": 4, "cpu": 1000, "mem-mb": 100, "estimate-ms": 4000, "after": []int{0}}
	job := map[string]any{"spec": "plan", "steps": []any{step, second}}
	var accepted []string
	for i := range acceptedJobs {
		id := fmt.Sprintf("00000000000000c%d", i)
		if err := w.submit("/orders/"+id, job); err != nil {
			return err
		}
		accepted = append(accepted, id)
	}
	time.Sleep(time.Second)
	if hasTrouble {
		w.call(w.hosts[0], http.MethodPost, "/orders/00000000000000ff", malformedJob)
	}
	// The jobs take 8 s; their clients ask for them until 14 s after that (finish_s).
	time.Sleep(22 * time.Second)
	w.judgeExits()
	w.judgeJobs(accepted)
	return nil
}

// judgeExits checks Fault: processes end by themselves on a tenth of the machines, two at least, three times.
func (w *world) judgeExits() {
	machines := 0
	for _, h := range w.hosts {
		w.note("%s: the process ended by itself %d times", h.name, h.exitCount())
		if h.exitCount() >= exitsToCount {
			machines++
		}
	}
	if machines >= minMachines {
		w.breach("Fault: on %d of %d machines the process ended by itself at least %d times", machines, len(w.hosts), exitsToCount)
	}
}
