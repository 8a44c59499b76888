//go:build review2

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/platform/emulator"
)

func init() { cases["upkeep"] = playUpkeep }

const (
	servingJob = "00000000000000a1"
	// servingTasks are the tasks of the step that lasts, of which mayMiss may be away at the same time.
	servingTasks = 4
	mayMiss      = 1
	// lossTime is how long the orders about machines are carried out and not answered.
	lossTime = 5 * time.Second
	waveTime = 60 * time.Second
	// notice is the notice-ms of the sites.
	notice       = 5500 * time.Millisecond
	samplePeriod = 10 * time.Millisecond
)

// machineProxy stands between the entry hosts and the machine service.
type machineProxy struct {
	cell    *cell
	service string
	// lossEnds is until when orders are not answered.
	mu       sync.Mutex
	lossEnds time.Time
	// workers has the worker of each machine, as the service lists it.
	workers map[string]string
	// seenAt is when each task of the step was last seen at work, and on which worker it is.
	seenAt map[string]time.Time
	at     map[string]string
	// endedBy has the tasks that an order has ended and that were not at work since.
	endedBy map[string]string
	// ordered are the machines of which an order has been carried out.
	ordered map[string]bool
	broken  []string
}

func startMachineProxy(c *cell) (*machineProxy, error) {
	p := &machineProxy{
		cell: c, service: "http://" + c.store.String(), workers: make(map[string]string), seenAt: make(map[string]time.Time),
		at: make(map[string]string), endedBy: make(map[string]string), ordered: make(map[string]bool),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if c.machines, err = netip.ParseAddrPort(listener.Addr().String()); err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, p) }()
	return p, nil
}

// ServeHTTP passes a call on. Until lossEnds, an order is carried out and gets no answer.
func (p *machineProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var ended []string
	if r.URL.Path == "/machine-upkeep" {
		ended = p.judge(r, body)
	}
	request, err := http.NewRequest(r.Method, p.service+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header = r.Header.Clone()
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	defer reply.Body.Close()
	answer, err := io.ReadAll(reply.Body)
	if err != nil {
		return
	}
	p.mu.Lock()
	for _, task := range ended {
		p.endedBy[task], p.at[task] = strings.TrimSpace(string(body)), ""
	}
	isLost := r.URL.Path == "/machine-upkeep" && time.Now().Before(p.lossEnds)
	p.mu.Unlock()
	if r.URL.Path == "/machine-upkeep" {
		p.cell.log("the machine service answers %d to %s; answer lost: %t", reply.StatusCode, strings.TrimSpace(string(body)), isLost)
	}
	if isLost {
		<-r.Context().Done()
		return
	}
	w.WriteHeader(reply.StatusCode)
	_, _ = w.Write(answer)
}

// judge checks the rule AVAIL for an order that is about to be carried out for the first time, and returns the
// tasks that it ends.
func (p *machineProxy) judge(r *http.Request, body []byte) []string {
	var order struct {
		Machine string `json:"machine"`
	}
	if json.Unmarshal(body, &order) != nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ordered[order.Machine] {
		return nil
	}
	p.ordered[order.Machine] = true
	p.sample()
	worker := p.workers[order.Machine]
	var ended []string
	for task, at := range p.at {
		if at != worker || at == "" {
			continue
		}
		var away []string
		for i := range servingTasks {
			other := fmt.Sprintf("%s.0.0.%d", servingJob, i)
			if other == task || p.at[other] != "" {
				continue
			}
			if by := p.endedBy[other]; by != "" || time.Since(p.seenAt[other]) >= notice {
				away = append(away, fmt.Sprintf("%s (ended by the order %s, last at work %.1f s ago)", other, by, time.Since(p.seenAt[other]).Seconds()))
			}
		}
		p.cell.log("the upkeep of %s (holder %s, token %s) ends %s, at work on %s; away: %v", order.Machine,
			r.Header.Get("Duty-Holder"), r.Header.Get("Fencing-Token"), task, worker, away)
		if len(away) >= mayMiss {
			p.broken = append(p.broken, fmt.Sprintf("the upkeep of %s ends %s while %v is away, of which %d may be", order.Machine, task, away, mayMiss))
		}
		ended = append(ended, task)
	}
	return ended
}

// sample records where the tasks of the step are at work. The caller has the lock.
func (p *machineProxy) sample() {
	now, at := time.Now(), make(map[string]string)
	for _, info := range p.cell.platform.Fleet.Workers() {
		for _, task := range p.cell.runningOn(info.ID) {
			if strings.HasPrefix(task, servingJob) {
				at[task] = info.ID
			}
		}
	}
	for i := range servingTasks {
		task := fmt.Sprintf("%s.0.0.%d", servingJob, i)
		if at[task] != p.at[task] {
			p.cell.log("%s is at work on %q", task, at[task])
		}
		if at[task] != "" {
			p.seenAt[task] = now
			delete(p.endedBy, task)
		}
	}
	p.at = at
}

// listMachines records which worker each machine has.
func (p *machineProxy) listMachines() error {
	reply, err := http.Get(p.service + "/machines")
	if err != nil {
		return err
	}
	defer reply.Body.Close()
	var list struct {
		Machines []struct {
			Machine string `json:"machine"`
			ID      string `json:"id"`
		} `json:"machines"`
	}
	if err := json.NewDecoder(reply.Body).Decode(&list); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range list.Machines {
		p.workers[m.Machine] = m.ID
	}
	return nil
}

// playUpkeep requests the upkeep of machines on which tasks of a step with may-miss are at work. For some seconds the
// orders about machines are carried out and not answered, while the machines are listed as usual.
func playUpkeep(ctx context.Context, r *recorder, hasTrouble bool) (outcome, error) {
	c, err := newCell(r, emulator.Options{
		RunTime: func(ref describer.TaskRef) time.Duration {
			r.log("a worker starts %s", ref)
			return time.Hour
		},
	}, 12)
	if err != nil {
		return outcome{}, err
	}
	defer c.close()
	c.platform.UseMachines()
	p, err := startMachineProxy(c)
	if err != nil {
		return outcome{}, err
	}
	if err := c.startHosts(ctx, 3); err != nil {
		return outcome{}, err
	}
	steps := []map[string]any{{"count": servingTasks, "cpu": 3000, "mem-mb": 2048, "long-running": true, "anti-affinity": 1, "may-miss": mayMiss}}
	if err := c.submit(ctx, servingJob, steps); err != nil {
		return outcome{}, err
	}
	time.Sleep(3 * time.Second)
	if err := p.listMachines(); err != nil {
		return outcome{}, err
	}
	p.mu.Lock()
	p.sample()
	var machines []string
	for machine, worker := range p.workers {
		for _, at := range p.at {
			if at == worker {
				machines = append(machines, machine)
			}
		}
	}
	slices.Sort(machines)
	isWhole := len(machines) == servingTasks
	if hasTrouble {
		p.lossEnds = time.Now().Add(lossTime)
	}
	p.mu.Unlock()
	if !isWhole {
		return outcome{}, fmt.Errorf("the tasks of the step are on %d machines", len(machines))
	}
	wave, err := json.Marshal(map[string]any{"wave": 1, "machines": machines, "duration-s": int(waveTime / time.Second), "max-count": 2})
	if err != nil {
		return outcome{}, err
	}
	c.log("the operator writes op/wave/1: %s", wave)
	c.platform.SetWave(1, wave)
	for deadline := time.Now().Add(waveTime); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(samplePeriod) {
		p.mu.Lock()
		p.sample()
		isDone := len(p.ordered) == len(machines)
		p.mu.Unlock()
		if isDone {
			break
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.broken) > 0 {
		return outcome{isBroken: true, text: "AVAIL: " + strings.Join(p.broken, "; ")}, nil
	}
	return outcome{text: fmt.Sprintf("%d of %d machines had their upkeep, each while fewer than %d others were away", len(p.ordered), len(machines), mayMiss)}, nil
}
