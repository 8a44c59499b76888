//go:build review2

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/standin/fencer"
	"lentilrock.example/platform/emulator"
)

func init() { cases["stall"] = playStall }

const (
	listeningJob   = "00000000000000b2"
	listeningTasks = 10
	// restartTime and waitTime are those of the rule LOST for a task that lasts: from 6 s after its last run, nothing
	// of it runs for 3 s. calmTime is how long before these 3 s there may be no impairment.
	restartTime = 6 * time.Second
	waitTime    = 3 * time.Second
	calmTime    = 4 * time.Second
	// watchTime is how long the tasks are watched after the impairment.
	watchTime = 25 * time.Second
)

// playStall runs a job whose tasks last and fail from time to time, and kills the process that holds the claim. Among the
// workers' entries is one of another writer, with a service that the configuration does not name. MODE=kill leaves the entry
// out, and MODE=entry the kill.
func playStall(ctx context.Context, r *recorder, hasTrouble bool) (outcome, error) {
	var mu sync.Mutex
	startedAt := make(map[string]time.Time)
	c, err := newCell(r, emulator.Options{
		RunTime: func(ref describer.TaskRef) time.Duration {
			r.log("a worker starts %s", ref)
			mu.Lock()
			defer mu.Unlock()
			startedAt[ref.String()] = time.Now()
			return 3*time.Second + rand.N(4*time.Second)
		},
	}, 12)
	if err != nil {
		return outcome{}, err
	}
	defer c.close()
	for _, info := range c.platform.Fleet.Workers() {
		c.platform.Fleet.Update(info.ID, failAll)
	}
	hasEntry, hasKill := hasTrouble && os.Getenv("MODE") != "kill", hasTrouble && os.Getenv("MODE") != "entry"
	if hasEntry {
		if err := writeForeignEntry(c); err != nil {
			return outcome{}, err
		}
	}
	if err := c.startHosts(ctx, 3); err != nil {
		return outcome{}, err
	}
	steps := []map[string]any{{"count": listeningTasks, "cpu": 2000, "mem-mb": 1024, "long-running": true}}
	if err := c.submit(ctx, listeningJob, steps); err != nil {
		return outcome{}, err
	}
	time.Sleep(10 * time.Second)
	impairedAt := time.Now()
	if h := c.holder(); hasKill && h != nil {
		h.kill()
		impairedAt = time.Now()
	}
	// A process that was killed runs again after restartPause.
	calmAt := impairedAt.Add(restartPause)
	seenAt := make(map[string]time.Time)
	var broken []string
	for time.Since(impairedAt) < watchTime && ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		now := time.Now()
		for _, info := range c.platform.Fleet.Workers() {
			for _, task := range c.runningOn(info.ID) {
				seenAt[task] = now
			}
		}
		for i := range listeningTasks {
			task := fmt.Sprintf("%s.0.0.%d", listeningJob, i)
			last, isKnown := seenAt[task]
			if !isKnown {
				last = impairedAt
			}
			if now.Sub(last) >= restartTime+waitTime && now.Sub(calmAt) >= calmTime+waitTime {
				broken = append(broken, fmt.Sprintf("%s does not run since %.1f s, at %.1f s after the kill", task, now.Sub(last).Seconds(), now.Sub(impairedAt).Seconds()))
				c.log("LOST: %s", broken[len(broken)-1])
				seenAt[task] = now
			}
		}
	}
	if len(broken) > 0 {
		return outcome{isBroken: true, text: "LOST: " + strings.Join(broken, "; ")}, nil
	}
	return outcome{text: "each task that lasts ran again in time"}, nil
}

// writeForeignEntry writes the entry of another writer, at whose address nobody answers.
func writeForeignEntry(c *cell) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() {
		for {
			// The connections stay open and are not read.
			if _, err := listener.Accept(); err != nil {
				return
			}
		}
	}()
	value, err := json.Marshal(map[string]any{
		"service": "not-named-here", "address": listener.Addr().String(), "zone": dataCentre, "state": "ready", "slots": 8, "version": "1",
		"labels": []string{"a", "r1-9"}, "born": time.Now().UnixMilli(), "seq": 1,
		"capacity": map[string]int64{"cpu": workerCapacity.MilliCPU, "mem-mb": workerCapacity.MemoryMB},
	})
	if err != nil {
		return err
	}
	c.log("another writer writes the entry %s", value)
	c.platform.Store.Put(storer.Workers, storer.Entry{Record: journaler.Record{Key: "other-1", Value: value}})
	return nil
}

// failAll makes all runs on a worker fail when their time is over.
func failAll(w *fencer.Worker) { w.Fails = true }
