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
	"lentilrock.example/internal/node/listener"
	"lentilrock.example/internal/platform/messages"
	"lentilrock.example/internal/query/executor"
	"lentilrock.example/internal/settings/checker"
	"lentilrock.example/internal/standin/lister"
	"lentilrock.example/internal/standin/logger"
	"lentilrock.example/internal/standin/piper"
	"lentilrock.example/internal/standin/upstream"
	"lentilrock.example/internal/standin/worker"
)

// network is a network in memory, whose links can be cut.
type network struct {
	mu        sync.Mutex
	listeners map[string]*piper.Listener
	open      map[*pipeConn]bool
	cut       func(from, to string) bool
}

type pipeConn struct {
	net.Conn
	remote   net.Addr
	from, to string
}

func (c *pipeConn) RemoteAddr() net.Addr { return c.remote }

func newNetwork() *network {
	return &network{
		listeners: make(map[string]*piper.Listener), open: make(map[*pipeConn]bool),
		cut: func(string, string) bool { return false },
	}
}

func (n *network) listen(address netip.AddrPort) *piper.Listener {
	l := piper.New(address)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address.String()] = l
	return l
}

func (n *network) dial(ctx context.Context, from netip.Addr, to string) (net.Conn, error) {
	n.mu.Lock()
	l, found := n.listeners[to]
	isCut := n.cut(from.String(), hostOf(to))
	n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: "pipe", Err: errors.New("connection refused")}
	if !found || isCut {
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

// setCut cuts links and closes the connections on them.
func (n *network) setCut(cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
	for c := range n.open {
		if cut(c.from, c.to) {
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

// entry is an entry host under test.
type entry struct {
	name    string
	address netip.AddrPort
	node    *Node
	signals chan os.Signal
	stop    context.CancelFunc
	done    chan error
	socket  *piper.Listener
}

// cell is a whole cell in memory: the platform's stand-ins and some entry hosts.
type cell struct {
	t         *testing.T
	net       *network
	clock     clockwork.Clock
	log       *logger.Logger
	list      *lister.Lister
	workers   map[string]*worker.Worker
	upstreams map[string]*upstream.Upstream
	entries   map[string]*entry
	servers   []*http.Server
	places    []string
	service   string
}

const (
	logAddress  = "10.0.0.1:1"
	listAddress = "10.0.0.2:1"
)

// newCell starts a platform of some data centres, with workers and upstreams in each.
func newCell(t *testing.T, places []string, workers, upstreams int) *cell {
	t.Helper()
	clock := clockwork.NewRealClock()
	c := &cell{
		t: t, net: newNetwork(), clock: clock, places: places, service: "objednavky",
		log: logger.New(clock), list: lister.New(clock, 200*time.Millisecond),
		workers: make(map[string]*worker.Worker), upstreams: make(map[string]*upstream.Upstream),
		entries: make(map[string]*entry),
	}
	c.serve(logAddress, c.log.Handler())
	c.serve(listAddress, c.list.Handler())
	for place, dataCentre := range places {
		for i := range workers {
			c.addWorker(dataCentre, fmt.Sprintf("10.%d.1.%d:1", place+1, i+1), i)
		}
		for i := range upstreams {
			c.addUpstream(dataCentre, fmt.Sprintf("10.%d.2.%d:1", place+1, i+1), i)
		}
	}
	return c
}

func (c *cell) serve(address string, handler http.Handler) netip.AddrPort {
	parsed := netip.MustParseAddrPort(address)
	server := &http.Server{Handler: handler}
	c.servers = append(c.servers, server)
	socket := c.net.listen(parsed)
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
		Name: fmt.Sprintf("%s-w%d", dataCentre, i), Role: descriptor.RoleWorker, State: descriptor.ListLive,
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
		Name: fmt.Sprintf("%s-u%d", dataCentre, i), Role: descriptor.RoleUpstream, State: descriptor.ListLive,
		DataCentre: dataCentre, Region: dataCentre, Service: c.service, Slots: 8, Connections: 64, Incarnation: "1",
	}
	u := upstream.New(c.clock)
	c.upstreams[host.Name] = u
	host.Address = c.serve(address, u.Handler())
	c.list.Put(host)
}

// settings are those of the tests: short times, and a short cap.
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
`, name, dataCentre, dataCentre, strings.Join(c.places, ","), logAddress, listAddress)
	settings, faults := checker.Parse("test.ini", []byte(text))
	require.Empty(c.t, faults)
	return settings
}

// addEntry starts an entry host; number tells it from the others of its data centre.
func (c *cell) addEntry(place, number int, change ...func(*checker.Settings)) *entry {
	c.t.Helper()
	dataCentre := c.places[place]
	address := netip.MustParseAddrPort(fmt.Sprintf("10.%d.0.%d:1", place+1, number))
	e := &entry{
		name: dataCentre + "-e" + strconv.Itoa(number), address: address,
		signals: make(chan os.Signal, 2), done: make(chan error, 1),
	}
	settings := c.settings(e.name, dataCentre)
	for _, f := range change {
		f(&settings)
	}
	e.socket = c.net.listen(address)
	log := zap.NewNop()
	if os.Getenv("CELL_LOG") != "" {
		log, _ = zap.NewDevelopment()
		log = log.Named(e.name)
	}
	node, err := New(Options{
		Settings: settings, Clock: c.clock, Socket: e.socket, Client: c.net.client(address.Addr()), Logger: log,
	})
	require.NoError(c.t, err)
	e.node = node
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	go func() { e.done <- node.Run(ctx, e.signals) }()
	c.entries[e.name] = e
	c.list.Put(descriptor.Host{
		Name: e.name, Role: descriptor.RoleEntry, State: descriptor.ListLive,
		Address: address, DataCentre: dataCentre, Region: dataCentre,
	})
	return e
}

// kill ends an entry host at once, without a word to anybody.
func (c *cell) kill(e *entry) {
	c.net.mu.Lock()
	delete(c.net.listeners, e.address.String())
	c.net.mu.Unlock()
	ip := e.address.Addr().String()
	c.net.mu.Lock()
	old := c.net.cut
	c.net.mu.Unlock()
	c.net.setCut(func(from, to string) bool { return from == ip || to == ip || old(from, to) })
	e.node.kill()
	e.stop()
	c.logEnd(e, <-e.done)
	delete(c.entries, e.name)
}

// logEnd notes how a host that was killed ended.
func (c *cell) logEnd(e *entry, err error) {
	if err != nil {
		c.t.Logf("%s ended: %v", e.name, err)
	}
}

// heal ends all cuts.
func (c *cell) heal() {
	c.net.setCut(func(string, string) bool { return false })
}

// isolate cuts a data centre off from the platform's log and list, and from the others.
func (c *cell) isolate(place int) {
	prefix := fmt.Sprintf("10.%d.", place+1)
	c.net.setCut(func(from, to string) bool {
		return strings.HasPrefix(from, prefix) != strings.HasPrefix(to, prefix)
	})
}

// close ends the cell.
func (c *cell) close() {
	for _, e := range c.entries {
		e.node.kill()
		e.stop()
		c.logEnd(e, <-e.done)
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
	// What a stand-in still holds back ends by itself.
	time.Sleep(time.Minute)
}

// wait waits until a condition holds.
func (c *cell) wait(what string, limit time.Duration, holds func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(limit)
	for !holds() {
		if time.Now().After(deadline) {
			c.t.Fatalf("%s did not come about in %s", what, limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// holder returns the entry host that may act for the shard of a data centre, or nil.
func (c *cell) holder(place int) *entry {
	shard := descriptor.ShardID{DataCentre: c.places[place]}
	for _, e := range c.entries {
		mayAct := false
		e.node.runner.Look(context.Background(), func(d *decider.Decider) {
			mayAct = d.MayDispatch(time.Now(), shard)
		})
		if mayAct {
			return e
		}
	}
	return nil
}

// waitHeld waits until the shard of a data centre has a holder, and an heir where there
// are other hosts to be it.
func (c *cell) waitHeld(place int, limit time.Duration) *entry {
	c.t.Helper()
	var holder *entry
	c.wait("a holder of "+c.places[place], limit, func() bool {
		holder = c.holder(place)
		if holder == nil {
			return false
		}
		hasHeir := false
		shard := descriptor.ShardID{DataCentre: c.places[place]}
		holder.node.runner.Look(context.Background(), func(d *decider.Decider) { hasHeir = d.HasHeir(shard) })
		return hasHeir || len(c.entries) == 1
	})
	return holder
}

// do runs a statement on an entry host.
func (c *cell) do(e *entry, statement string) executor.Reply {
	c.t.Helper()
	body, err := json.Marshal(executor.Command{Text: statement})
	require.NoError(c.t, err)
	client := c.net.client(netip.MustParseAddr("10.9.0.1"))
	defer client.CloseIdleConnections()
	answer, err := client.Post("http://"+e.address.String()+"/v1/commands", "application/json", strings.NewReader(string(body)))
	require.NoError(c.t, err)
	defer answer.Body.Close()
	var reply executor.Reply
	require.NoError(c.t, json.NewDecoder(answer.Body).Decode(&reply))
	return reply
}

// mustDo runs a statement that must succeed.
func (c *cell) mustDo(e *entry, statement string) {
	c.t.Helper()
	reply := c.do(e, statement)
	require.Falsef(c.t, reply.Failed(), "%s: %+v", statement, reply)
}

// reply is what a caller gets.
type reply struct {
	state string
	body  string
	err   error
}

// order sends a request as a caller. Once marks one that may not be repeated.
func (c *cell) order(e *entry, key, body string, once bool, timeout time.Duration) reply {
	client := c.net.client(netip.MustParseAddr("10.9.0.2"))
	defer client.CloseIdleConnections()
	request, err := http.NewRequest(http.MethodPost,
		"http://"+e.address.String()+"/v1/requests/"+c.service, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	request.Header.Set(listener.HeaderKey, key)
	request.Header.Set(listener.HeaderRepeatable, strconv.FormatBool(!once))
	request.Header.Set(listener.HeaderTimeout, timeout.String())
	answer, err := client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	return reply{state: answer.Header.Get(listener.HeaderState), body: string(text), err: err}
}

// runsOf counts how often a request ran at any upstream.
func (c *cell) runsOf(key string) int {
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

// checkWorkers checks the workers' own records: no worker was ever given more than it has,
// and no task ran in two places at a time.
func (c *cell) checkWorkers() {
	c.t.Helper()
	capacity := descriptor.Size{MilliCores: workerCores, MemoryBytes: workerMemory}
	type interval struct {
		worker string
		run    messages.Run
	}
	byTask := make(map[descriptor.TaskID][]interval)
	for name, w := range c.workers {
		record := w.Runs()
		require.Truef(c.t, record.Peak.Fits(capacity), "worker %s was given %s", name, record.Peak)
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
				require.Falsef(c.t, overlaps, "task %s ran on %s (%+v) and on %s (%+v) at a time",
					task, a.worker, a.run, b.worker, b.run)
			}
		}
	}
}

// running counts the tasks of a job that run at the workers.
func (c *cell) running(job string) int {
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
