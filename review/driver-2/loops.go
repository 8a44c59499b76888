//go:build review2

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/platform/emulator"
)

func init() { cases["loops"] = playLoops }

const (
	soundJob   = "00000000000000e1"
	soundTasks = 12
	// faultyJobs are the jobs whose tasks fail soon after each start.
	faultyJobs  = 2
	faultyTasks = 24
	loopCPU     = 1300
	loopTime    = 95 * time.Second
)

// playLoops runs a job whose tasks last for 20 to 40 s before they fail, beside two jobs whose tasks fail 1 to 3 s after each
// start. Nothing else happens.
func playLoops(ctx context.Context, r *recorder, hasTrouble bool) (outcome, error) {
	var mu sync.Mutex
	c, err := newCell(r, emulator.Options{
		RunTime: func(ref describer.TaskRef) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			length := 20*time.Second + rand.N(20*time.Second)
			if string(ref.Job) != soundJob {
				length = time.Second + rand.N(2*time.Second)
				if !hasTrouble {
					length = time.Hour
				}
			}
			r.log("a worker starts %s, which fails after %.1f s", ref, length.Seconds())
			return length
		},
		Need: func(describer.TaskRef) describer.Resources {
			return describer.Resources{MilliCPU: loopCPU, MemoryMB: 1024}
		},
	}, 12)
	if err != nil {
		return outcome{}, err
	}
	defer c.close()
	for _, info := range c.platform.Fleet.Workers() {
		c.platform.Fleet.Update(info.ID, failAll)
	}
	if err := c.startHosts(ctx, 3); err != nil {
		return outcome{}, err
	}
	step := func(count int) any {
		return []map[string]any{{"count": count, "cpu": loopCPU, "mem-mb": 1024, "long-running": true}}
	}
	for i := range faultyJobs {
		if err := c.submit(ctx, fmt.Sprintf("%016x", 0xd1+i), step(faultyTasks)); err != nil {
			return outcome{}, err
		}
	}
	if err := c.submit(ctx, soundJob, step(soundTasks)); err != nil {
		return outcome{}, err
	}
	time.Sleep(time.Second)
	seenAt := make(map[string]time.Time)
	var broken []string
	for begin := time.Now(); time.Since(begin) < loopTime && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		now, used := time.Now(), 0
		for _, info := range c.platform.Fleet.Workers() {
			for _, task := range c.runningOn(info.ID) {
				seenAt[task] = now
				used++
			}
		}
		for i := range soundTasks {
			task := fmt.Sprintf("%s.0.0.%d", soundJob, i)
			if last, isKnown := seenAt[task]; isKnown && now.Sub(last) >= restartTime+waitTime {
				broken = append(broken, fmt.Sprintf("%s does not run since %.1f s, while %d tasks of 1.3 cores run on 12 workers of 16 cores", task, now.Sub(last).Seconds(), used))
				c.log("LOST: %s", broken[len(broken)-1])
				seenAt[task] = now
			}
		}
	}
	if len(broken) > 0 {
		return outcome{isBroken: true, text: "LOST: " + strings.Join(broken, "; ")}, nil
	}
	return outcome{text: "each task of the sound job ran again in time"}, nil
}
