//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"time"

	"lentilrock.example/internal/fleet/describer"
)

// machineProxy stands in front of the machine service, which does not check fences, and judges its orders.
type machineProxy struct {
	world *world
	// task is the name of the step's tasks without their index, count their number and mayMiss how many of
	// them orders may keep from working at a time.
	task           string
	count, mayMiss int
	// begun receives the name of the holder whose order begins an upkeep.
	begun chan string

	mu sync.Mutex
	// ended are the tasks that an upkeep has ended and that have not run since.
	ended  map[string]bool
	isDown map[string]bool
}

func newMachineProxy(w *world) *machineProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	p := &machineProxy{world: w, begun: make(chan string, 16), ended: make(map[string]bool), isDown: make(map[string]bool)}
	go func() { _ = http.Serve(listener, p) }()
	w.machines = netip.MustParseAddrPort(listener.Addr().String())
	return p
}

// ServeHTTP passes a call on to the machine service.
func (p *machineProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	running := p.running()
	request, err := http.NewRequest(r.Method, "http://"+p.world.store.String()+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	request.Header = r.Header.Clone()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer response.Body.Close()
	reply, _ := io.ReadAll(response.Body)
	if r.Method == http.MethodPost {
		p.judge(r, body, response.StatusCode, running)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(reply)
}

// running returns the workers of the tasks of the step that are at work.
func (p *machineProxy) running() map[string]string {
	running := make(map[string]string)
	for i := range p.count {
		task := fmt.Sprintf("%s.%d", p.task, i)
		if workers := p.world.runsOf(task); len(workers) > 0 {
			running[task] = workers[0]
			delete(p.ended, task)
		}
	}
	return running
}

// judge records an order and checks AVAIL: the order ends a task at work while as many others as may miss
// are away because of such an order.
func (p *machineProxy) judge(r *http.Request, body []byte, status int, running map[string]string) {
	p.world.note("machines: %s %s of holder %s with fence %s: %d", r.URL.Path, bytes.TrimSpace(body),
		r.Header.Get("Duty-Holder"), r.Header.Get("Fencing-Token"), status)
	var order struct {
		Machine string `json:"machine"`
	}
	if json.Unmarshal(body, &order) != nil || status != http.StatusOK || p.isDown[order.Machine] {
		return
	}
	p.isDown[order.Machine] = true
	worker := strings.TrimPrefix(order.Machine, "m-")
	away := len(p.ended)
	for task, at := range running {
		if at != worker {
			continue
		}
		p.world.note("machines: the upkeep of %s ends %s at work there; ended by orders before and not at work since: %d", order.Machine, task, away)
		if away >= p.mayMiss {
			p.world.breach("AVAIL: an order of holder %s with fence %s ends %s while %d other tasks of its step are away, and %d may be",
				r.Header.Get("Duty-Holder"), r.Header.Get("Fencing-Token"), task, away, p.mayMiss)
		}
		p.ended[task] = true
	}
	p.begun <- r.Header.Get("Duty-Holder")
}

// freezeTime is the longest freeze of a machine in the site files.
const freezeTime = 4 * time.Second

func init() {
	var p *machineProxy
	scenarios["stale-holder"] = scenario{
		prepare: func(w *world) {
			w.runTime = func(describer.TaskRef) time.Duration { return time.Hour }
			w.addWorkers(2, 16000)
			w.addWorkers(4, 4000)
			w.platform.UseMachines()
			p = newMachineProxy(w)
			p.task, p.count, p.mayMiss = "00000000000000a1.0.0", 2, 1
		},
		play: func(w *world, hasTrouble bool) error {
			if err := w.addHosts(3); err != nil {
				return err
			}
			// Both tasks fit only on the two large workers, one on each.
			job := map[string]any{"spec": "listen", "steps": []any{map[string]any{
				"count": 2, "cpu": 10000, "mem-mb": 1000, "estimate-ms": 400, "long-running": true, "may-miss": 1,
			}}}
			if err := w.submit("/orders/00000000000000a1", job); err != nil {
				return err
			}
			if err := w.waitFor("both tasks run", 10*time.Second, func() bool {
				return len(w.runsOf("00000000000000a1.0.0.0"))+len(w.runsOf("00000000000000a1.0.0.1")) == 2
			}); err != nil {
				return err
			}
			time.Sleep(4 * time.Second)
			w.note("operator: a wave takes the machines of both large workers, two at a time at the most")
			w.platform.SetWave(1, []byte(`{"wave":1,"machines":["m-w-001","m-w-002"],"duration-s":30,"max-count":2}`))
			holder := ""
			select {
			case holder = <-p.begun:
			case <-time.After(20 * time.Second):
				return fmt.Errorf("no upkeep began")
			}
			if hasTrouble {
				time.Sleep(50 * time.Millisecond)
				h := w.hostNamed(holder)
				if h == nil {
					return fmt.Errorf("no host %s", holder)
				}
				h.signal(syscall.SIGSTOP)
				time.Sleep(freezeTime)
				h.signal(syscall.SIGCONT)
			}
			select {
			case <-p.begun:
			case <-time.After(40 * time.Second):
				w.note("the second upkeep did not begin")
			}
			time.Sleep(2 * time.Second)
			return nil
		},
	}
}
