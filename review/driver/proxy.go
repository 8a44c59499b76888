//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// workerProxy stands in front of a worker, records its orders and can reset its connections.
type workerProxy struct {
	world   *world
	id      string
	worker  netip.AddrPort
	address netip.AddrPort
	server  *http.Server

	mu          sync.Mutex
	connections map[net.Conn]bool
	// highestFence is the highest fencing token of the orders so far.
	highestFence int64
}

func newWorkerProxy(w *world, id string, worker netip.AddrPort) *workerProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	p := &workerProxy{world: w, id: id, worker: worker, connections: make(map[net.Conn]bool)}
	p.address = netip.MustParseAddrPort(listener.Addr().String())
	p.server = &http.Server{Handler: p, ConnState: p.track}
	go func() { _ = p.server.Serve(listener) }()
	return p
}

func (p *workerProxy) track(c net.Conn, state http.ConnState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch state {
	case http.StateNew:
		p.connections[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(p.connections, c)
	default:
	}
}

// reset resets all connections to the worker.
func (p *workerProxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.world.note("%s: %d connections are reset", p.id, len(p.connections))
	for c := range p.connections {
		if tcp, isTCP := c.(*net.TCPConn); isTCP {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// leave makes the worker unreachable, as its process has ended.
func (p *workerProxy) leave() {
	_ = p.server.Close()
}

// ServeHTTP passes an order on and records it.
func (p *workerProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	request, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+p.worker.String()+r.URL.Path, bytes.NewReader(body))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	request.Header = r.Header.Clone()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer response.Body.Close()
	reply, err := io.ReadAll(response.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	p.log(r.URL.Path, body, response.StatusCode, reply)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(reply)
}

// log records the orders that start and stop runs, and the ends that the worker lists.
func (p *workerProxy) log(path string, body []byte, status int, reply []byte) {
	var fence struct {
		Token int64 `json:"fencing-token"`
	}
	if json.Unmarshal(body, &fence) == nil && status == http.StatusOK && p.raiseFence(fence.Token) {
		p.world.note("%s: first order with fence %d: %s", p.id, fence.Token, path)
	}
	if path == "/hold" {
		var inventory struct {
			Ended [][]any `json:"ended"`
		}
		if !p.world.isTerse && json.Unmarshal(reply, &inventory) == nil && len(inventory.Ended) > 0 {
			p.world.note("%s: lists ends %v", p.id, inventory.Ended)
		}
		return
	}
	if !p.world.isTerse {
		p.world.note("%s: %s %s: %d %s", p.id, path, body, status, bytes.TrimSpace(reply))
	}
	var order struct {
		Task string `json:"task"`
		Run  int64  `json:"run"`
	}
	if path == "/run-start" && status == http.StatusOK && json.Unmarshal(body, &order) == nil {
		p.world.mu.Lock()
		defer p.world.mu.Unlock()
		p.world.starts = append(p.world.starts, start{order.Task, p.id, order.Run, time.Now()})
	}
}

// raiseFence reports whether a fencing token is higher than all before.
func (p *workerProxy) raiseFence(token int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	isHigher := token > p.highestFence
	p.highestFence = max(p.highestFence, token)
	return isHigher
}
