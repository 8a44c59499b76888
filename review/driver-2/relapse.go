//go:build review2

package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/platform/emulator"
)

func init() { cases["relapse"] = playRelapse }

const (
	sensorJob = "00000000000000c3"
	// sensorCPU lets a worker have one task of the job only.
	sensorCPU      = 9000
	sensorWorkers  = 12
	addedWorkers   = 6
	crashedWorker  = "w-001"
	restartDelay   = time.Second
	entryLifetime  = 3 * checkInInterval
	secondLifetime = 3 * time.Second
	// crashTime is how long the loss of a worker counts as an impairment: for_s of srv_crash in the site file.
	crashTime = 4500 * time.Millisecond
)

// playRelapse crashes a worker, which starts again under its id, and loses it for good some seconds later.
func playRelapse(ctx context.Context, r *recorder, hasTrouble bool) (outcome, error) {
	c, err := newCell(r, emulator.Options{
		RunTime: func(ref describer.TaskRef) time.Duration {
			r.log("a worker starts %s", ref)
			return time.Hour
		},
	}, sensorWorkers)
	if err != nil {
		return outcome{}, err
	}
	defer c.close()
	if err := c.startHosts(ctx, 3); err != nil {
		return outcome{}, err
	}
	steps := []map[string]any{{"count": sensorWorkers, "cpu": sensorCPU, "mem-mb": 4096, "long-running": true}}
	if err := c.submit(ctx, sensorJob, steps); err != nil {
		return outcome{}, err
	}
	time.Sleep(4 * time.Second)
	task, err := c.taskOn(crashedWorker)
	if err != nil {
		return outcome{}, err
	}
	if hasTrouble {
		c.log("%s, which runs %s, crashes", crashedWorker, task)
		c.platform.CloseWorker(crashedWorker)
		time.Sleep(restartDelay)
		if err := c.platform.RestartWorker(crashedWorker); err != nil {
			return outcome{}, err
		}
		c.log("%s has started again", crashedWorker)
	}
	if err := c.platform.AddWorkers(addedWorkers, service, dataCentre, workerCapacity); err != nil {
		return outcome{}, err
	}
	c.log("%d workers were added", addedWorkers)
	time.Sleep(secondLifetime)
	if task, err = c.taskOn(crashedWorker); err != nil {
		return outcome{}, err
	}
	c.log("%s, which runs %s, is lost for good", crashedWorker, task)
	c.platform.CloseWorker(crashedWorker)
	c.platform.Fleet.EndRuns(crashedWorker)
	lostAt := time.Now()
	time.AfterFunc(entryLifetime, func() { c.platform.RemoveEntry(crashedWorker) })
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		at, isRunning := c.workerOf(task)
		away := time.Since(lostAt)
		if !isRunning && away < 40*time.Second {
			continue
		}
		text := fmt.Sprintf("%s runs again on %q, %.1f s after its last run", task, at, away.Seconds())
		return outcome{isBroken: away > max(restartTime, crashTime+calmTime)+waitTime, text: text}, nil
	}
	return outcome{}, ctx.Err()
}

// taskOn returns the task that runs on a worker.
func (c *cell) taskOn(worker string) (string, error) {
	tasks := c.runningOn(worker)
	if len(tasks) != 1 {
		return "", fmt.Errorf("%s runs %d tasks", worker, len(tasks))
	}
	return tasks[0], nil
}

// workerOf returns the worker that runs a task.
func (c *cell) workerOf(task string) (string, bool) {
	for _, info := range c.platform.Fleet.Workers() {
		if slices.Contains(c.runningOn(info.ID), task) {
			return info.ID, true
		}
	}
	return "", false
}
