//go:build review2

package main

import (
	"bytes"
	"context"
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

func init() { cases["late"] = playLate }

const (
	onceJob = "00000000000000f5"
	// keptJob and shortJob leave no room on their worker for the first start, and room for the second one: the short one
	// has ended by then.
	keptJob   = "00000000000000f1"
	shortJob  = "00000000000000f2"
	keptTime  = 30 * time.Second
	shortTime = 1200 * time.Millisecond
	// onceTime is how long the task runs.
	onceTime = 9 * time.Second
	// restartDelay is how long the worker is down.
	restartDelay = time.Second
	// crashAfter is how long after the second start the worker crashes that got the first one.
	crashAfter = 500 * time.Millisecond
	// minLateness is how late a call without an answer is carried out at the least.
	minLateness = 2 * time.Second
)

// workerProxy stands between the entry hosts and a worker, at the address that all lives of the worker have.
type workerProxy struct {
	cell    *cell
	id      string
	address netip.AddrPort

	mu      sync.Mutex
	backend netip.AddrPort
}

// heldStart is a start that has got no answer and was not carried out yet.
type heldStart struct {
	proxy  *workerProxy
	header http.Header
	body   []byte
	sentAt time.Time
}

// network has the proxies of all workers, and holds back the next start once it is armed.
type network struct {
	mu      sync.Mutex
	proxies map[string]*workerProxy
	isArmed bool
	held    *heldStart
}

// listedAddress returns the address of a worker's proxy, and makes the proxy pass calls on to the present life.
func (n *network) listedAddress(c *cell, id string, backend netip.AddrPort) netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, found := n.proxies[id]
	if !found {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return backend
		}
		p = &workerProxy{cell: c, id: id, address: netip.MustParseAddrPort(listener.Addr().String())}
		n.proxies[id] = p
		go func() { _ = http.Serve(listener, n.handler(p)) }()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backend = backend
	return p.address
}

// handler passes calls on to a worker. A call that the worker does not answer ends with a reset.
func (n *network) handler(p *workerProxy) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if r.URL.Path == "/run-start" && strings.Contains(string(body), onceJob) {
			p.cell.log("a host sends to %s: %s", p.id, body)
			if n.hold(&heldStart{proxy: p, header: r.Header.Clone(), body: body, sentAt: time.Now()}) {
				p.cell.log("this start is under way and gets no answer")
				<-r.Context().Done()
				return
			}
		}
		status, answer, err := p.pass(r.URL.Path, r.Header, body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(status)
		_, _ = w.Write(answer)
	})
}

// hold holds a start back, if it is the first one since the network was armed.
func (n *network) hold(start *heldStart) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.isArmed {
		return false
	}
	n.isArmed, n.held = false, start
	return true
}

func (p *workerProxy) pass(path string, header http.Header, body []byte) (int, []byte, error) {
	p.mu.Lock()
	backend := p.backend
	p.mu.Unlock()
	request, err := http.NewRequest(http.MethodPost, "http://"+backend.String()+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header = header.Clone()
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer reply.Body.Close()
	answer, err := io.ReadAll(reply.Body)
	return reply.StatusCode, answer, err
}

// playLate lets a start get no answer. The worker for which it is meant crashes, and the start is carried out as the worker
// has started again under its id.
func playLate(ctx context.Context, r *recorder, hasTrouble bool) (outcome, error) {
	n := &network{proxies: make(map[string]*workerProxy)}
	var c *cell
	c, err := newCellWith(r, emulator.Options{
		RunTime: func(ref describer.TaskRef) time.Duration {
			r.log("a worker starts %s", ref)
			return map[describer.JobID]time.Duration{onceJob: onceTime, keptJob: keptTime, shortJob: shortTime}[ref.Job]
		},
	}, 12, func(created *cell) func(string, netip.AddrPort) netip.AddrPort {
		return func(id string, backend netip.AddrPort) netip.AddrPort { return n.listedAddress(created, id, backend) }
	})
	if err != nil {
		return outcome{}, err
	}
	defer c.close()
	if err := c.startHosts(ctx, 3); err != nil {
		return outcome{}, err
	}
	time.Sleep(2 * time.Second)
	n.mu.Lock()
	n.isArmed = hasTrouble
	n.mu.Unlock()
	for _, j := range []struct {
		id  string
		cpu int
	}{{keptJob, 9000}, {shortJob, 6000}, {onceJob, 2000}} {
		if err := c.submit(ctx, j.id, []map[string]any{{"count": 1, "cpu": j.cpu, "mem-mb": 1024, "estimate-ms": 1000}}); err != nil {
			return outcome{}, err
		}
		time.Sleep(200 * time.Millisecond)
	}
	task := onceJob + ".0.0.0"
	at, err := c.waitUntilRunning(ctx, task)
	if err != nil {
		return outcome{}, err
	}
	c.log("%s runs on %s", task, at)
	if hasTrouble {
		if err := n.crashAndDeliver(ctx, c); err != nil {
			return outcome{}, err
		}
	}
	var broken []string
	for end := time.Now().Add(onceTime); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		if workers := c.workersOf(task); len(workers) > 1 && broken == nil {
			broken = workers
			c.log("TWICE: %s runs on %v", task, workers)
		}
	}
	violations, _ := c.platform.Fleet.Violations()
	for _, v := range violations {
		c.log("the workers' own record: %+v", v)
	}
	if broken != nil {
		return outcome{isBroken: true, text: fmt.Sprintf("TWICE: %s ran on %v at the same time", task, broken)}, nil
	}
	return outcome{text: fmt.Sprintf("%s never ran on two workers", task)}, nil
}

// crashAndDeliver crashes the worker of the start that was held back, starts it again and carries the start out.
func (n *network) crashAndDeliver(ctx context.Context, c *cell) error {
	n.mu.Lock()
	held := n.held
	n.mu.Unlock()
	if held == nil {
		return fmt.Errorf("no start was held back")
	}
	time.Sleep(crashAfter)
	c.log("%s crashes", held.proxy.id)
	c.platform.CloseWorker(held.proxy.id)
	time.Sleep(max(restartDelay, time.Until(held.sentAt.Add(minLateness))))
	if err := c.platform.RestartWorker(held.proxy.id); err != nil {
		return err
	}
	c.log("%s has started again under its id", held.proxy.id)
	status, answer, err := held.proxy.pass("/run-start", held.header, held.body)
	if err != nil {
		return err
	}
	c.log("%s gets the start %.1f s after it was sent and answers %d %s", held.proxy.id, time.Since(held.sentAt).Seconds(), status, bytes.TrimSpace(answer))
	return ctx.Err()
}

// waitUntilRunning returns the worker on which a task runs.
func (c *cell) waitUntilRunning(ctx context.Context, task string) (string, error) {
	for ctx.Err() == nil {
		if workers := c.workersOf(task); len(workers) > 0 {
			return workers[0], nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return "", ctx.Err()
}

// workersOf returns the workers that run a task.
func (c *cell) workersOf(task string) []string {
	var workers []string
	for _, info := range c.platform.Fleet.Workers() {
		if slices.Contains(c.runningOn(info.ID), task) {
			workers = append(workers, info.ID)
		}
	}
	return workers
}
