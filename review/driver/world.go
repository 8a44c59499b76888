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
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/platform/emulator"
)

const (
	service = "kitchen"
	zone    = "brno"
	// restartPause is the pause before the platform starts a process again that has ended.
	restartPause = 300 * time.Millisecond
	// replyTimeout is how long a client waits for a reply.
	replyTimeout = 3 * time.Second
)

const config = `{"version":3,"routes":[{"name":"orders","hostname":"a.example","path-prefix":"/orders/","service":"kitchen","priority":0,
"max-attempts":3,"stretch":1.5,"target-latency-ms":600}],"services":[{"name":"kitchen","enforces-capacity":false,"standby":false}],
"limits":{"max-body-bytes":262144}}`

// world is a cell of entry hosts on an emulated platform.
type world struct {
	platform *emulator.Platform
	// store is the address of the store and the advice service, machines that of the machine service.
	store, machines netip.AddrPort
	runTime         func(ref describer.TaskRef) time.Duration
	hosts           []*host
	proxies         map[string]*workerProxy
	dir             string
	startedAt       time.Time
	// isTerse keeps the orders to workers out of the record.
	isTerse bool

	mu     sync.Mutex
	record *os.File
	broken []string
	starts []start
}

// start is a start of a task that a worker has accepted.
type start struct {
	task, worker string
	run          int64
	at           time.Time
}

func newWorld(recordPath string) (*world, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{record: record, dir: dir, startedAt: time.Now(), proxies: make(map[string]*workerProxy)}
	w.platform = emulator.New(emulator.Options{
		Clock:         clockwork.NewRealClock(),
		RunTime:       func(ref describer.TaskRef) time.Duration { return w.runTime(ref) },
		ListedAddress: w.listedAddress,
	})
	if w.store, err = w.platform.Serve("127.0.0.1:0"); err != nil {
		return nil, err
	}
	w.machines = w.store
	w.platform.SetConfig([]byte(config))
	return w, nil
}

// note writes a line to the record.
func (w *world) note(format string, arguments ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.startedAt).Seconds(), fmt.Sprintf(format, arguments...))
}

// breach records that the rule of the case was broken.
func (w *world) breach(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	w.note("BROKEN: %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, text)
}

func (w *world) breaches() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.broken
}

func (w *world) close() {
	for _, h := range w.hosts {
		h.end()
	}
	w.platform.Close()
	_ = w.record.Close()
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.Rename(w.dir, keep)
		return
	}
	_ = os.RemoveAll(w.dir)
}

// addWorkers adds workers, each behind a proxy that records its orders.
func (w *world) addWorkers(count int, milliCPU int64) {
	if err := w.platform.AddWorkers(count, service, zone, describer.Resources{MilliCPU: milliCPU, MemoryMB: 32768}); err != nil {
		panic(err)
	}
}

func (w *world) listedAddress(id string, address netip.AddrPort) netip.AddrPort {
	p := newWorkerProxy(w, id, address)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.proxies[id] = p
	return p.address
}

// publish writes the entry of a worker into the store, as the worker does.
func (w *world) publish(info describer.Worker, state string, remaining time.Duration) {
	value, err := json.Marshal(map[string]any{
		"service": info.Service, "address": info.Address.String(), "zone": info.DataCentre, "version": "1", "slots": 8, "state": state,
		"cold-left-ms": 0, "seq": time.Now().UnixMilli(), "labels": []string{"a", info.Rack}, "born": info.Incarnation,
		"remaining-ms": remaining.Milliseconds(),
		"capacity":     map[string]int64{"cpu": info.Capacity.MilliCPU, "mem-mb": info.Capacity.MemoryMB, "gpu": 0},
	})
	if err != nil {
		panic(err)
	}
	w.platform.Store.Put(storer.Workers, storer.Entry{Record: journaler.Record{Key: info.ID, Value: value}})
}

// unpublish removes the entry of a worker from the store, as the store does when it expires.
func (w *world) unpublish(id string) {
	w.platform.Store.Put(storer.Workers, storer.Entry{Record: journaler.Record{Key: id}})
}

// runsOf returns the workers on which a task runs.
func (w *world) runsOf(task string) []string {
	var workers []string
	for _, info := range w.platform.Fleet.Workers() {
		for _, name := range w.platform.Fleet.Running(info.ID) {
			if name == task {
				workers = append(workers, info.ID)
			}
		}
	}
	return workers
}

// waitFor waits until a condition holds.
func (w *world) waitFor(what string, limit time.Duration, condition func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("waited %s in vain: %s", limit, what)
}

// host is an entry host that the platform starts again whenever its process ends.
type host struct {
	world    *world
	name     string
	base     int
	settings string

	mu      sync.Mutex
	command *exec.Cmd
	// isEnding reports that the driver ends the process.
	isEnding bool
	// exits counts how often the process ended by itself.
	exits int
	done  chan struct{}
}

// nextPort is where the search for free ports goes on, below the ports that the system gives out.
var nextPort = 12_000 + os.Getpid()%100*200

// freePorts returns the first of six free ports in a row.
func freePorts() (int, error) {
	for ; nextPort < 32_000; nextPort += 10 {
		base := nextPort
		var listeners []net.Listener
		for i := range 6 {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base+i))
			if err != nil {
				break
			}
			listeners = append(listeners, l)
		}
		for _, l := range listeners {
			_ = l.Close()
		}
		if len(listeners) == 6 {
			nextPort += 10
			return base, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

// addHosts starts entry hosts.
func (w *world) addHosts(count int) error {
	for range count {
		base, err := freePorts()
		if err != nil {
			return err
		}
		h := &host{world: w, name: fmt.Sprintf("front-%d", len(w.hosts)+1), base: base, done: make(chan struct{})}
		h.settings = filepath.Join(w.dir, h.name+".ini")
		text := fmt.Sprintf("[host]\nname = %s\ndata_centre = %s\naddress = 127.0.0.1\ncallers = 127.0.0.1:%d\nreadiness = 127.0.0.1:%d\n"+
			"peer_ports = %d,%d\n\n[platform]\nstore = %s\nadvice = %s\nmachines = %s\n\n[limits]\ngrace_s = 6\nhistory_s = 120\n"+
			"hold_max_ms = 6000\nremote_factor = 1.5\nmemory_mb = 284\ncpu_share = 0.4\ncpu_speed = 1\n",
			h.name, zone, base, base+1, base+2, base+5, w.store, w.store, w.machines)
		if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
		w.hosts = append(w.hosts, h)
		go h.supervise()
	}
	return w.waitFor("a host holds the cell and all are ready", 20*time.Second, func() bool {
		if w.holder() == nil {
			return false
		}
		for _, h := range w.hosts {
			response, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d/ready", h.base+1))
			if err != nil {
				return false
			}
			_ = response.Body.Close()
			if response.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	})
}

func (h *host) start() error {
	log, err := os.OpenFile(filepath.Join(h.world.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	// The command of deploy/system.toml.
	h.command = exec.Command("target/lentilrock", "entry")
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.world.dir, "LANG=C", "LENTILROCK_CONFIG=" + h.settings}
	h.command.Stdout, h.command.Stderr = log, log
	if err := h.command.Start(); err != nil {
		return err
	}
	h.world.note("%s: process %d starts", h.name, h.command.Process.Pid)
	return nil
}

// supervise starts the process again whenever it ends.
func (h *host) supervise() {
	defer close(h.done)
	for {
		err := h.command.Wait()
		h.mu.Lock()
		isEnding := h.isEnding
		if !isEnding {
			h.exits++
		}
		h.mu.Unlock()
		if isEnding {
			return
		}
		h.world.note("%s: the process ended by itself: %v", h.name, err)
		time.Sleep(restartPause)
		h.mu.Lock()
		isEnding = h.isEnding
		h.mu.Unlock()
		if isEnding || h.start() != nil {
			return
		}
	}
}

// exitCount returns how often the process ended by itself.
func (h *host) exitCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.exits
}

// signal sends a signal to the process.
func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.world.note("%s: %s", h.name, sig)
	_ = h.command.Process.Signal(sig)
}

func (h *host) end() {
	h.mu.Lock()
	h.isEnding = true
	_ = h.command.Process.Signal(syscall.SIGCONT)
	_ = h.command.Process.Kill()
	h.mu.Unlock()
	<-h.done
}

// isHolder reports whether the metrics of the host say that it holds the cell.
func (h *host) isHolder() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://127.0.0.1:%d/metrics", h.base+3))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return err == nil && strings.Contains(string(text), "lentilrock_holder 1")
}

// holder returns the host that holds the cell, or nil.
func (w *world) holder() *host {
	for _, h := range w.hosts {
		if h.isHolder() {
			return h
		}
	}
	return nil
}

// hostNamed returns the host with a name, or nil.
func (w *world) hostNamed(name string) *host {
	for _, h := range w.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// call sends a client's request to a host and returns the status, 0 without a reply, and the body.
func (w *world) call(h *host, method, path string, body any) (int, string) {
	data := []byte(nil)
	if text, isText := body.(string); isText {
		data = []byte(text)
	} else if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			panic(err)
		}
	}
	request, err := http.NewRequest(method, fmt.Sprintf("http://127.0.0.1:%d%s", h.base, path), bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	request.Host = "a.example"
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", fmt.Sprint(replyTimeout.Milliseconds()))
	client := http.Client{Timeout: replyTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		w.note("client: %s %s at %s: no reply: %v", method, path, h.name, err)
		return 0, ""
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	w.note("client: %s %s at %s %s: %d %s", method, path, h.name, data, response.StatusCode, strings.TrimSpace(string(text)))
	return response.StatusCode, string(text)
}

// submit hands a job in until a host accepts it.
func (w *world) submit(path string, body any) error {
	next := 0
	return w.waitFor("a host accepts "+path, 10*time.Second, func() bool {
		status, _ := w.call(w.hosts[next%len(w.hosts)], http.MethodPost, path, body)
		next++
		if status != http.StatusOK {
			time.Sleep(200 * time.Millisecond)
		}
		return status == http.StatusOK
	})
}
