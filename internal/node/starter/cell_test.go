package starter

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/core/decider"
	"lentilrock.example/internal/node/handler"
	"lentilrock.example/internal/platform/messages"
	"lentilrock.example/internal/query/executor"
	"lentilrock.example/internal/settings/checker"
	"lentilrock.example/internal/standin/listener"
	"lentilrock.example/internal/standin/lister"
	"lentilrock.example/internal/standin/logger"
	"lentilrock.example/internal/standin/upstream"
	"lentilrock.example/internal/standin/worker"
)

// network is an in-memory network whose links between addresses can be cut.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener.Listener
	open      map[*pipeConn]bool
	isCut     func(from, to string) bool
}

type pipeConn struct {
	net.Conn
	remote   net.Addr
	from, to string
}

func (c *pipeConn) RemoteAddr() net.Addr { return c.remote }

func newNetwork() *network {
	return &network{
		listeners: make(map[string]*listener.Listener), open: make(map[*pipeConn]bool),
		isCut: func(string, string) bool { return false },
	}
}

func (n *network) listen(address netip.AddrPort) *listener.Listener {
	l := listener.New(address)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address.String()] = l
	return l
}

func (n *network) dial(ctx context.Context, from netip.Addr, to string) (net.Conn, error) {
	n.mu.Lock()
	l, found := n.listeners[to]
	isBlocked := n.isCut(from.String(), hostOf(to))
	n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: "pipe", Err: errors.New("connection refused")}
	if !found || isBlocked {
		return nil, refused
	}
	near, far := net.Pipe()
	client := &pipeConn{Conn: near, remote: l.Addr(), from: from.String(), to: hostOf(to)}
	server := &pipeConn{Conn: far, remote: net.TCPAddrFromAddrPort(netip.AddrPortFrom(from, 1)), from: from.String(), to: hostOf(to)}
	if err := l.Connect(ctx, server); err != nil {
		return nil, refused
	}
	n.mu.Lock()
	n.open[client] = true
	n.mu.Unlock()
	return client, nil
}

func hostOf(address string) string {
	host, _, _ := strings.Cut(address, ":")
	return host
}

// cutLinks cuts exactly the links for which isCut is true and closes the connections on them.
func (n *network) cutLinks(isCut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isCut = isCut
	for c := range n.open {
		if isCut(c.from, c.to) {
			_ = c.Close()
			delete(n.open, c)
		}
	}
}

func (n *network) client(from netip.Addr) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, to string) (net.Conn, error) {
			return n.dial(ctx, from, to)
		},
		DisableCompression: true,
	}}
}

// entry is a running entry host of the tested cell.
type entry struct {
	name    string
	address netip.AddrPort
	node    *Node
	signals chan os.Signal
	stop    context.CancelFunc
	done    chan error
	socket  *listener.Listener
}

// cell is a complete cell in memory: simulated services of the platform, and entry hosts under test.
type cell struct {
	t           *testing.T
	network     *network
	clock       clockwork.Clock
	log         *logger.Logger
	list        *lister.Lister
	workers     map[string]*worker.Worker
	upstreams   map[string]*upstream.Upstream
	entries     map[string]*entry
	servers     []*http.Server
	dataCentres []string
	service     string
}

const (
	logAddress  = "10.0.0.1:1"
	listAddress = "10.0.0.2:1"
)

// newCell starts the simulated services of the platform, with the given numbers of workers and
// upstreams in each data centre.
func newCell(t *testing.T, dataCentres []string, workers, upstreams int) *cell {
	t.Helper()
	clock := clockwork.NewRealClock()
	c := &cell{
		t: t, network: newNetwork(), clock: clock, dataCentres: dataCentres, service: "objednavky",
		log: logger.New(clock), list: lister.New(clock, 200*time.Millisecond),
		workers: make(map[string]*worker.Worker), upstreams: make(map[string]*upstream.Upstream),
		entries: make(map[string]*entry),
	}
	c.serve(logAddress, c.log.Handler())
	c.serve(listAddress, c.list.Handler())
	for index, dataCentre := range dataCentres {
		for i := range workers {
			c.addWorker(dataCentre, fmt.Sprintf("10.%d.1.%d:1", index+1, i+1), i)
		}
		for i := range upstreams {
			c.addUpstream(dataCentre, fmt.Sprintf("10.%d.2.%d:1", index+1, i+1), i)
		}
	}
	return c
}

func (c *cell) serve(address string, handler http.Handler) netip.AddrPort {
	parsed := netip.MustParseAddrPort(address)
	server := &http.Server{Handler: handler}
	c.servers = append(c.servers, server)
	socket := c.network.listen(parsed)
	go func() { _ = server.Serve(socket) }()
	return parsed
}

const (
	workerCores  = 16_000
	workerMemory = 64 << 30
	rackSize     = 8
)

func (c *cell) addWorker(dataCentre, address string, i int) {
	host := descriptor.Host{
		Name: fmt.Sprintf("%s-w%d", dataCentre, i), Role: descriptor.RoleWorker, State: descriptor.HostLive,
		DataCentre: dataCentre, Region: dataCentre, Rack: fmt.Sprintf("%s-r%d", dataCentre, i/rackSize),
		Capacity: descriptor.Size{MilliCores: workerCores, MemoryBytes: workerMemory}, Incarnation: "1",
	}
	w := worker.New(c.clock, host.Name, host.Incarnation)
	c.workers[host.Name] = w
	host.Address = c.serve(address, w.Handler())
	c.list.Put(host)
}

func (c *cell) addUpstream(dataCentre, address string, i int) {
	host := descriptor.Host{
		Name: fmt.Sprintf("%s-u%d", dataCentre, i), Role: descriptor.RoleUpstream, State: descriptor.HostLive,
		DataCentre: dataCentre, Region: dataCentre, Service: c.service, Slots: 8, Connections: 64, Incarnation: "1",
	}
	u := upstream.New(c.clock)
	c.upstreams[host.Name] = u
	host.Address = c.serve(address, u.Handler())
	c.list.Put(host)
}

// settings returns the settings of an entry host. Unlike the defaults, the tests use frequent
// snapshots and a short claims.cap, which bounds how long the heir can extend a claim's window
// while the log cannot be read.
func (c *cell) settings(name, dataCentre string) checker.Settings {
	text := fmt.Sprintf(`
[host]
name = %s
data_centre = %s
region = %s
listen = 127.0.0.1:1
[cell]
data_centres = %s
[platform]
log = %s
hosts = %s
[claims]
cap = 20s
[log]
snapshot_every = 40
`, name, dataCentre, dataCentre, strings.Join(c.dataCentres, ","), logAddress, listAddress)
	settings, faults := checker.Parse("test.ini", []byte(text))
	require.Empty(c.t, faults)
	return settings
}

// addEntry starts an entry host in a data centre, after applying change to its settings. The
// number is unique within the data centre.
func (c *cell) addEntry(index, number int, change ...func(*checker.Settings)) *entry {
	c.t.Helper()
	dataCentre := c.dataCentres[index]
	address := netip.MustParseAddrPort(fmt.Sprintf("10.%d.0.%d:1", index+1, number))
	e := &entry{
		name: dataCentre + "-e" + strconv.Itoa(number), address: address,
		signals: make(chan os.Signal, 2), done: make(chan error, 1),
	}
	settings := c.settings(e.name, dataCentre)
	for _, f := range change {
		f(&settings)
	}
	e.socket = c.network.listen(address)
	log := zap.NewNop()
	if os.Getenv("CELL_LOG") != "" {
		log, _ = zap.NewDevelopment()
		log = log.Named(e.name)
	}
	node, err := New(Options{
		Settings: settings, Clock: c.clock, Socket: e.socket, Client: c.network.client(address.Addr()), Logger: log,
	})
	require.NoError(c.t, err)
	e.node = node
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	go func() { e.done <- node.Run(ctx, e.signals) }()
	c.entries[e.name] = e
	c.list.Put(descriptor.Host{
		Name: e.name, Role: descriptor.RoleEntry, State: descriptor.HostLive,
		Address: address, DataCentre: dataCentre, Region: dataCentre,
	})
	return e
}

// kill simulates a crash of an entry host: its links are cut before it is stopped, so that it
// cannot notify anybody.
func (c *cell) kill(e *entry) {
	c.network.mu.Lock()
	delete(c.network.listeners, e.address.String())
	c.network.mu.Unlock()
	ip := e.address.Addr().String()
	c.network.mu.Lock()
	before := c.network.isCut
	c.network.mu.Unlock()
	c.network.cutLinks(func(from, to string) bool { return from == ip || to == ip || before(from, to) })
	e.node.kill()
	e.stop()
	c.logExit(e, <-e.done)
	delete(c.entries, e.name)
}

// logExit logs the error with which a killed host ended, if any.
func (c *cell) logExit(e *entry, err error) {
	if err != nil {
		c.t.Logf("%s ended: %v", e.name, err)
	}
}

// restoreLinks ends all cuts of links.
func (c *cell) restoreLinks() {
	c.network.cutLinks(func(string, string) bool { return false })
}

// isolate cuts the links between a data centre and the rest: the platform's log, its host list
// and the other data centres.
func (c *cell) isolate(index int) {
	prefix := fmt.Sprintf("10.%d.", index+1)
	c.network.cutLinks(func(from, to string) bool {
		return strings.HasPrefix(from, prefix) != strings.HasPrefix(to, prefix)
	})
}

// close stops the entry hosts and the servers of the simulated services.
func (c *cell) close() {
	for _, e := range c.entries {
		e.node.kill()
		e.stop()
		c.logExit(e, <-e.done)
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
	// Lets calls that a simulated service delays finish, so that no goroutine is left in the bubble.
	time.Sleep(time.Minute)
}

// waitFor polls a condition until it holds, and fails the test after limit.
func (c *cell) waitFor(what string, limit time.Duration, holds func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(limit)
	for !holds() {
		if time.Now().After(deadline) {
			c.t.Fatalf("waiting for %s: not reached within %s", what, limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// holder returns the holder of the shard of a data centre's shard, which is the entry host that may dispatch
// for it, or nil.
func (c *cell) holder(index int) *entry {
	shard := descriptor.ShardID{DataCentre: c.dataCentres[index]}
	for _, e := range c.entries {
		mayDispatch := false
		e.node.runner.Inspect(context.Background(), func(d *decider.Decider) {
			mayDispatch = d.MayDispatch(time.Now(), shard)
		})
		if mayDispatch {
			return e
		}
	}
	return nil
}

// waitForHolder waits until the shard of a data centre has a holder of the shard and, if the cell has other
// entry hosts, an heir (the designated successor).
func (c *cell) waitForHolder(index int, limit time.Duration) *entry {
	c.t.Helper()
	var holder *entry
	c.waitFor("a holder of "+c.dataCentres[index], limit, func() bool {
		holder = c.holder(index)
		if holder == nil {
			return false
		}
		hasHeir := false
		shard := descriptor.ShardID{DataCentre: c.dataCentres[index]}
		holder.node.runner.Inspect(context.Background(), func(d *decider.Decider) { hasHeir = d.HasHeir(shard) })
		return hasHeir || len(c.entries) == 1
	})
	return holder
}

// execute executes a statement on an entry host.
func (c *cell) execute(e *entry, statement string) executor.Reply {
	c.t.Helper()
	body, err := json.Marshal(executor.Command{Text: statement})
	require.NoError(c.t, err)
	client := c.network.client(netip.MustParseAddr("10.9.0.1"))
	defer client.CloseIdleConnections()
	response, err := client.Post("http://"+e.address.String()+"/v1/commands", "application/json", strings.NewReader(string(body)))
	require.NoError(c.t, err)
	defer response.Body.Close()
	var reply executor.Reply
	require.NoError(c.t, json.NewDecoder(response.Body).Decode(&reply))
	return reply
}

// mustExecute executes a statement and fails the test if the statement fails.
func (c *cell) mustExecute(e *entry, statement string) {
	c.t.Helper()
	reply := c.execute(e, statement)
	require.Falsef(c.t, reply.HasFailed(), "%s: %+v", statement, reply)
}

// reply is the response to a caller's request.
type reply struct {
	state string
	body  string
	err   error
}

// sendRequest sends a request as a caller. A request with isOnce must not run twice: it is sent
// as non-repeatable.
func (c *cell) sendRequest(e *entry, key, body string, isOnce bool, timeout time.Duration) reply {
	client := c.network.client(netip.MustParseAddr("10.9.0.2"))
	defer client.CloseIdleConnections()
	request, err := http.NewRequest(http.MethodPost,
		"http://"+e.address.String()+"/v1/requests/"+c.service, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	request.Header.Set(handler.HeaderKey, key)
	request.Header.Set(handler.HeaderRepeatable, strconv.FormatBool(!isOnce))
	request.Header.Set(handler.HeaderTimeout, timeout.String())
	response, err := client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return reply{state: response.Header.Get(handler.HeaderState), body: string(text), err: err}
}

// countRuns counts how often the request with a key ran, over all upstreams.
func (c *cell) countRuns(key string) int {
	count := 0
	for _, u := range c.upstreams {
		for _, run := range u.Runs().Runs {
			if run.ID == key {
				count++
			}
		}
	}
	return count
}

// checkWorkerInvariants checks the records of the workers: no worker ever exceeded its capacity,
// and no task ran in two places at the same time.
func (c *cell) checkWorkerInvariants() {
	c.t.Helper()
	capacity := descriptor.Size{MilliCores: workerCores, MemoryBytes: workerMemory}
	type interval struct {
		worker string
		run    messages.Run
	}
	byTask := make(map[descriptor.TaskID][]interval)
	for name, w := range c.workers {
		record := w.Runs()
		require.Truef(c.t, record.Peak.Fits(capacity), "peak usage of worker %s is %s, over its capacity", name, record.Peak)
		for _, run := range record.Runs {
			byTask[run.Task] = append(byTask[run.Task], interval{name, run})
		}
	}
	now := time.Now()
	for task, list := range byTask {
		for i, a := range list {
			for _, b := range list[i+1:] {
				endOfA, endOfB := a.run.Ended, b.run.Ended
				if endOfA.IsZero() {
					endOfA = now
				}
				if endOfB.IsZero() {
					endOfB = now
				}
				overlaps := a.run.Began.Before(endOfB) && b.run.Began.Before(endOfA)
				require.Falsef(c.t, overlaps, "task %s ran on %s (%+v) and on %s (%+v) at the same time",
					task, a.worker, a.run, b.worker, b.run)
			}
		}
	}
}

// countRunning counts the running tasks of a job, over all workers.
func (c *cell) countRunning(job string) int {
	count := 0
	for _, w := range c.workers {
		for _, run := range w.Runs().Runs {
			if run.Task.Job == descriptor.JobID(job) && run.State == messages.TaskRunning {
				count++
			}
		}
	}
	return count
}
