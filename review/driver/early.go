//go:build review

package main

import (
	"fmt"
	"time"

	"lentilrock.example/internal/fleet/describer"
)

const (
	// early is early_ms of the site files.
	early = 250 * time.Millisecond
	// occurrences of the scheduled job are due interval apart.
	occurrences = 4
	interval    = 1500 * time.Millisecond
)

func init() {
	scenarios["early"] = scenario{
		prepare: func(w *world) {
			w.runTime = func(describer.TaskRef) time.Duration { return 300 * time.Millisecond }
			w.addWorkers(4, 16000)
		},
		play: playEarly,
	}
}

// playEarly hands in a scheduled job. With trouble its first time is 950 ms after a whole second, without it is a
// whole second.
func playEarly(w *world, hasTrouble bool) error {
	if err := w.addHosts(3); err != nil {
		return err
	}
	first := time.Now().Truncate(time.Second).Add(4 * time.Second)
	if hasTrouble {
		first = first.Add(950 * time.Millisecond)
	}
	const id = "00000000000000d1"
	job := map[string]any{
		"spec": "nightly", "repeat-count": occurrences, "start-at-ms": first.UnixMilli(), "interval-ms": interval.Milliseconds(),
		"steps": []any{map[string]any{"count": 1, "cpu": 1000, "mem-mb": 100, "estimate-ms": 300}},
	}
	if err := w.submit("/orders/"+id, job); err != nil {
		return err
	}
	if err := w.waitFor("all occurrences have started", 20*time.Second, func() bool { return w.startCount() >= occurrences }); err != nil {
		return err
	}
	time.Sleep(time.Second)
	w.mu.Lock()
	starts := w.starts
	w.mu.Unlock()
	for k := range occurrences {
		due := first.Add(time.Duration(k) * interval)
		for _, s := range starts {
			if s.task != fmt.Sprintf("%s.%d.0.0", id, k) {
				continue
			}
			w.note("%s is due at %d and started at %d, %d ms after", s.task, due.UnixMilli(), s.at.UnixMilli(), s.at.Sub(due).Milliseconds())
			if s.at.Before(due.Add(-early)) {
				w.breach("ORDER: %s started %d ms before its time", s.task, due.Sub(s.at).Milliseconds())
			}
		}
	}
	return nil
}

// startCount returns the number of starts that workers have accepted.
func (w *world) startCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.starts)
}
