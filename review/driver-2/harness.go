//go:build review2

// Command driver-2 plays one case of the second review: it starts entry hosts as separate processes
// against an emulated platform on the loopback interface, brings about the disruption of the case, and
// checks one rule from what callers, workers and the platform see.
//
// # Usage
//
//	TROUBLE=0 target/review-driver-2 CASE RECORD
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/standin/fencer"
	"lentilrock.example/platform/emulator"
)

const (
	binaryPath   = "target/lentilrock"
	templatePath = "deploy/settings.ini"
	// restartPause is the delay before a process that has ended is started again, as the platform does.
	restartPause = 300 * time.Millisecond
	// portsPerHost are the ports of callers and readiness, and a range for peers.
	portsPerHost = 8
	firstPort    = 12_000
	lastPort     = 30_000
	holdMax      = 6 * time.Second
	graceSeconds = 6
	dataCentre   = "erie-a"
	service      = "shedwatch"
	routeHost    = "a.example"
	routePrefix  = "/shed/"
)

const configFormat = `{"version":%d,"routes":[{"name":"shed","hostname":"a.example","path-prefix":"/shed/","service":"shedwatch",` +
	`"priority":1,"max-attempts":3,"stretch":1.5,"target-latency-ms":600}],"services":[{"name":"shedwatch","enforces-capacity":false}],` +
	`"limits":{"max-body-bytes":262144}}`

// workerCapacity is the capacity of each worker.
var workerCapacity = describer.Resources{MilliCPU: 16_000, MemoryMB: 32_768}

// recorder writes what happened to record.txt, with the seconds since the start.
type recorder struct {
	mu        sync.Mutex
	file      *os.File
	startedAt time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	return &recorder{file: file, startedAt: time.Now()}, err
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// cell is an emulated platform with entry hosts in front of it.
type cell struct {
	*recorder
	platform *emulator.Platform
	store    netip.AddrPort
	// machines is the address of the machine service that the hosts are told.
	machines netip.AddrPort
	dir      string
	hosts    []*host
	client   *http.Client
}

// newCell starts a platform with workers. The options may leave Clock empty.
func newCell(r *recorder, options emulator.Options, workers int) (*cell, error) {
	return newCellWith(r, options, workers, nil)
}

// newCellWith is like newCell. If proxied is not nil, the function that it returns tells the address under which a worker
// is listed.
func newCellWith(r *recorder, options emulator.Options, workers int, proxied func(c *cell) func(string, netip.AddrPort) netip.AddrPort) (*cell, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	options.Clock = clockwork.NewRealClock()
	c := &cell{recorder: r, dir: dir, client: &http.Client{Timeout: 4 * time.Second}}
	if proxied != nil {
		options.ListedAddress = proxied(c)
	}
	c.platform = emulator.New(options)
	if c.store, err = c.platform.Serve("127.0.0.1:0"); err != nil {
		return nil, err
	}
	c.machines = c.store
	c.platform.Fleet.MaxLease = holdMax
	c.platform.SetConfig(fmt.Appendf(nil, configFormat, 7))
	return c, c.platform.AddWorkers(workers, service, dataCentre, workerCapacity)
}

// startHosts starts entry hosts, and returns once each of them is ready and one of them holds the claim.
func (c *cell) startHosts(ctx context.Context, count int) error {
	base := firstPort + os.Getpid()%500*4*portsPerHost
	for i := range count {
		port, err := freePorts(&base)
		if err != nil {
			return err
		}
		h := &host{cell: c, name: fmt.Sprintf("front-%s-%d", dataCentre, i+1), port: port, done: make(chan struct{})}
		h.settings = filepath.Join(c.dir, h.name+".ini")
		if err := h.writeSettings(); err != nil {
			return err
		}
		c.hosts = append(c.hosts, h)
		go h.supervise()
	}
	for ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond)
		claims, err := c.platform.Claims()
		if err == nil && len(claims) > 0 && c.areReady() {
			c.log("all %d hosts are ready; %s holds the claim", count, claims[len(claims)-1].Host)
			return nil
		}
	}
	return fmt.Errorf("wait for the hosts: %w", ctx.Err())
}

func (c *cell) areReady() bool {
	for _, h := range c.hosts {
		reply, err := c.client.Get(fmt.Sprintf("http://127.0.0.1:%d/ready", h.port+1))
		if err != nil {
			return false
		}
		reply.Body.Close()
		if reply.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// close ends all processes that were started.
func (c *cell) close() {
	for _, h := range c.hosts {
		h.finish()
	}
	c.platform.Close()
	_ = os.RemoveAll(c.dir)
}

// holder returns the host whose claim is the newest, or nil.
func (c *cell) holder() *host {
	claims, err := c.platform.Claims()
	if err != nil || len(claims) == 0 {
		return nil
	}
	for _, h := range c.hosts {
		if h.name == claims[len(claims)-1].Host {
			return h
		}
	}
	return nil
}

// freePorts returns the first of portsPerHost ports that are free, and moves base behind them.
func freePorts(base *int) (int, error) {
	for ; *base < lastPort; *base += portsPerHost {
		var listeners []net.Listener
		for port := *base; port < *base+portsPerHost; port++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
			if err != nil {
				break
			}
			listeners = append(listeners, listener)
		}
		for _, listener := range listeners {
			_ = listener.Close()
		}
		if len(listeners) == portsPerHost {
			first := *base
			*base += portsPerHost
			return first, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

// host is an entry host that runs as a process of its own, and is started again whenever it ends.
type host struct {
	cell     *cell
	name     string
	settings string
	port     int

	mu       sync.Mutex
	command  *exec.Cmd
	isKilled bool
	// ownEnds counts the processes that have ended without a signal of this driver.
	ownEnds    int
	isFinished bool
	done       chan struct{}
}

var placeholder = regexp.MustCompile(`{{[^}]*}}`)

// writeSettings fills in the template of the deploy file.
func (h *host) writeSettings() error {
	template, err := os.ReadFile(templatePath)
	if err != nil {
		return err
	}
	values := map[string]string{
		"node-name": h.name, "zone": dataCentre, "ip": "127.0.0.1", "listen.front": fmt.Sprintf("127.0.0.1:%d", h.port),
		"listen.ready": fmt.Sprintf("127.0.0.1:%d", h.port+1), "internal-ports": fmt.Sprintf("%d,%d", h.port+2, h.port+portsPerHost-1),
		"platform.address": h.cell.store.String(), "advice": h.cell.store.String(), "cloud.address": h.cell.machines.String(),
		"bounds.grace-s": strconv.Itoa(graceSeconds), "bounds.status_s": "120", "bounds.hold-max-ms": strconv.FormatInt(holdMax.Milliseconds(), 10),
		"bounds.remote-factor": "1.5", "limits.memory-mb": "284", "limits.cpu-share": "0.4", "limits.cores": "1",
	}
	text := placeholder.ReplaceAllStringFunc(string(template), func(p string) string { return values[strings.Trim(p, "{}")] })
	return os.WriteFile(h.settings, []byte(text), 0o600)
}

func (h *host) supervise() {
	defer close(h.done)
	for {
		command, err := h.start()
		if err != nil || command == nil {
			return
		}
		// The state of the process tells what matters of the error.
		_ = command.Wait()
		h.mu.Lock()
		if !h.isKilled && !h.isFinished {
			h.ownEnds++
			h.cell.log("%s: process %d ended by itself: %s; its last lines: %s", h.name, command.Process.Pid, command.ProcessState, h.panicLine())
		}
		h.mu.Unlock()
		time.Sleep(restartPause)
	}
}

// panicLine returns the line of the log that tells why the process ended.
func (h *host) panicLine() string {
	log, err := os.ReadFile(h.settings + ".log")
	if err != nil {
		return err.Error()
	}
	begin := bytes.LastIndex(log, []byte("\npanic: "))
	if begin < 0 {
		return "none with a panic"
	}
	lines := strings.SplitN(string(log[begin+1:]), "\n", 2)
	return lines[0]
}

// start starts a process; it returns nil if the host is finished.
func (h *host) start() (*exec.Cmd, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isFinished {
		return nil, nil
	}
	log, err := os.OpenFile(h.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(binaryPath, "entry")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LENTILROCK_CONFIG=" + h.settings}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		h.cell.log("%s: start: %v", h.name, err)
		return nil, err
	}
	h.cell.log("%s: process %d started", h.name, command.Process.Pid)
	h.command, h.isKilled = command, false
	return command, nil
}

// kill ends the process with SIGKILL; it is started again.
func (h *host) kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.isKilled = true
	_ = h.command.Process.Signal(syscall.SIGKILL)
	h.cell.log("%s: process %d killed", h.name, h.command.Process.Pid)
}

func (h *host) finish() {
	h.mu.Lock()
	h.isFinished = true
	if h.command != nil {
		_ = h.command.Process.Kill()
	}
	h.mu.Unlock()
	<-h.done
}

// do sends a request of a caller to a host and returns the status; 0 means that there was no answer.
func (c *cell) do(h *host, method, path, body string) (int, string) {
	request, err := http.NewRequest(method, fmt.Sprintf("http://127.0.0.1:%d%s%s", h.port, routePrefix, path), strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = routeHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", "3000")
	reply, err := c.client.Do(request)
	if err != nil {
		c.log("%s %s to %s: no answer", method, path, h.name)
		return 0, err.Error()
	}
	defer reply.Body.Close()
	var text bytes.Buffer
	_, _ = text.ReadFrom(reply.Body)
	c.log("%s %s to %s: %d %s", method, path, h.name, reply.StatusCode, strings.TrimSpace(text.String()))
	return reply.StatusCode, text.String()
}

// submit hands a job in until it is accepted.
func (c *cell) submit(ctx context.Context, id string, steps any) error {
	body, err := json.Marshal(map[string]any{"spec": "case " + id, "steps": steps})
	if err != nil {
		return err
	}
	for i := 0; ctx.Err() == nil; i++ {
		if status, _ := c.do(c.hosts[i%len(c.hosts)], http.MethodPost, id, string(body)); status == http.StatusOK {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return ctx.Err()
}

// runningOn returns the tasks that run on a worker; none if the worker has just been replaced.
func (c *cell) runningOn(worker string) (tasks []string) {
	// The emulated fleet panics for a worker that is gone.
	defer func() {
		if recover() != nil {
			tasks = nil
		}
	}()
	return c.platform.Fleet.Running(worker)
}

const (
	// restartTime and waitTime are those of the rule LOST for a task that lasts: from 6 s after its last run, nothing
	// of it runs for 3 s. calmTime is how long before these 3 s there may be no impairment.
	restartTime = 6 * time.Second
	waitTime    = 3 * time.Second
	calmTime    = 4 * time.Second
)

// failAll makes all runs on a worker fail when their time is over.
func failAll(w *fencer.Worker) { w.Fails = true }
