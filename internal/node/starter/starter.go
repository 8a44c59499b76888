// Package starter assembles an entry host from its settings, runs it, and shuts it down
// gracefully, without interrupting a request.
//
// # Usage
//
//	node, err := starter.New(starter.Options{Settings: settings, Logger: logger})
//	err = node.Run(ctx, signals)
package starter

import (
	"context"
	"crypto/rand"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/core/signaller"
	"lentilrock.example/internal/metrics/collector"
	"lentilrock.example/internal/node/handler"
	"lentilrock.example/internal/node/pauser"
	"lentilrock.example/internal/node/runner"
	"lentilrock.example/internal/peer/messenger"
	"lentilrock.example/internal/platform/connector"
	"lentilrock.example/internal/query/executor"
	"lentilrock.example/internal/settings/checker"
	"lentilrock.example/internal/web/binder"
	"lentilrock.example/internal/web/budgeter"
	"lentilrock.example/internal/web/limiter"
)

// Options configure a Node and supply its dependencies. Nil fields get the production
// implementation, except that a nil Logger discards all lines and a nil Trace disables tracing.
type Options struct {
	Settings  checker.Settings
	Clock     clockwork.Clock
	Logger    *zap.Logger
	Socket    net.Listener
	Log       connector.Log
	List      connector.HostList
	Workers   connector.Workers
	Upstreams connector.Upstreams
	Trace     func(now time.Time, event signaller.Event)
	// Client sends all calls to the platform and to peers.
	Client *http.Client
}

// ErrDeadline reports a shutdown that aborted work because it was still in flight when the grace
// period ended.
var ErrDeadline = errors.New("shutdown grace period ended with work in flight")

// ErrSecondSignal reports a shutdown that aborted work because a second signal arrived.
var ErrSecondSignal = errors.New("second signal aborted the graceful shutdown")

const (
	// memoryLimitRatio is the share of the host's memory that is the soft memory limit of the Go runtime.
	memoryLimitRatio = 0.6
	// leaveDelay is the time for the load balancer and the peers to see that the host is leaving.
	leaveDelay        = 500 * time.Millisecond
	leavePollInterval = 20 * time.Millisecond
)

// Node is an entry host: its runner, its HTTP server and its connections to peers.
type Node struct {
	options Options
	runner  *runner.Runner
	handler *handler.Handler
	peers   *messenger.Messenger
	socket  net.Listener
	limiter *limiter.Limiter
	server  *http.Server
	metrics *collector.Collector
	meter   connector.Meter
	// metricsCloser stops the reports of the metrics.
	metricsCloser io.Closer
}

// New assembles a node and opens its socket. It returns an error if it cannot listen on the
// address in the settings. If they name the host's memory, it also sets the memory limit of the Go runtime.
func New(options Options) (*Node, error) {
	n := &Node{options: options}
	if options.Settings.IsMemorySet {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(options.Settings.Clients.MemoryMB<<20)))
	}
	if err := n.openSocket(); err != nil {
		return nil, errors.Errorf("start host %s: %w", options.Settings.Name, err)
	}
	n.setDefaultServices()
	s := n.options.Settings
	incarnation := rand.Text()[:8]
	n.peers = messenger.New(messenger.Options{
		Self: messenger.Hello{
			Host:       descriptor.HostID{Name: s.Name, Incarnation: incarnation},
			DataCentre: s.DataCentre, Region: s.Region,
		},
		Client: n.options.Client, Clock: n.options.Clock,
		Report: func(text string, err error) { n.options.Logger.Warn("peers: "+text, zap.String("error", err.Error())) },
	})
	n.runner = runner.New(runner.Options{
		Settings: s, Incarnation: incarnation, Clock: n.options.Clock, Logger: n.options.Logger,
		Log: n.options.Log, List: n.options.List, Workers: n.options.Workers,
		Upstreams: n.options.Upstreams, Messenger: n.peers, Trace: n.options.Trace,
	})
	commands := executor.New(executor.Options{
		Runner: n.runner, Messenger: n.peers, Clock: n.options.Clock,
		Layout: s.Layout, DataCentre: s.DataCentre,
	})
	n.metrics, n.metricsCloser = collector.New(n.refreshMetrics)
	n.handler = handler.New(handler.Options{
		Settings: s, Clock: n.options.Clock, Runner: n.runner, Executor: commands,
		Messenger: n.peers, Metrics: n.metrics,
	})
	plan := s.Clients.Plan()
	n.limiter = limiter.New(n.socket, plan[budgeter.Shared], limiter.Options{
		Name: budgeter.Shared, Clock: n.options.Clock, Logger: n.options.Logger, Scope: n.metrics.Scope(),
		Taken: budgeter.Peers, TakenLimits: plan[budgeter.Peers],
	})
	n.server = n.limiter.Server(n.handler.Mux())
	return n, nil
}

// openSocket sets the default clock and logger, and listens on the address in the settings if no
// socket was given.
func (n *Node) openSocket() error {
	if n.options.Clock == nil {
		n.options.Clock = clockwork.NewRealClock()
	}
	if n.options.Logger == nil {
		n.options.Logger = zap.NewNop()
	}
	n.socket = n.options.Socket
	if n.socket != nil {
		return nil
	}
	limits := n.options.Settings.Clients.Plan()[budgeter.Shared]
	socket, err := binder.Listen(n.options.Settings.Listen, binder.Options{Backlog: limits.Backlog, ReceiveBuffer: limits.ReceiveBuffer})
	if err != nil {
		return errors.Wrap(err, "open listener")
	}
	n.socket = socket
	return nil
}

// setDefaultServices sets the production clients of the platform for services that were not
// given.
func (n *Node) setDefaultServices() {
	s := n.options.Settings
	if n.options.Client == nil {
		n.options.Client = connector.NewHTTP(s.Listen.Addr(), &n.meter)
	}
	client := n.options.Client
	if n.options.Log == nil {
		n.options.Log = connector.HTTPLog{Client: client, Address: s.LogAddress}
	}
	if n.options.List == nil {
		n.options.List = connector.HTTPHostList{Client: client, Address: s.HostListAddress}
	}
	if n.options.Workers == nil {
		n.options.Workers = connector.HTTPWorkers{Client: client}
	}
	if n.options.Upstreams == nil {
		n.options.Upstreams = connector.HTTPUpstreams{Client: client, MaxResponseBytes: s.MaxResponseBytes}
	}
}

// Address returns the address and port on which the node listens.
func (n *Node) Address() (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(n.socket.Addr().String())
	return address, errors.Wrap(err, "read address of socket")
}

// Runner returns the node's runner.
func (n *Node) Runner() *runner.Runner { return n.runner }

// refreshMetrics sets the gauges to the current totals.
func (n *Node) refreshMetrics(scope tally.Scope) {
	counts := n.runner.Counts()
	peers := n.peers.Counts()
	values := map[string]uint64{
		"appends": counts.Appends, "events": counts.Events, "events_dropped": counts.DroppedEvents,
		"heartbeats": counts.Heartbeats, "log_reads": counts.Reads, "starts": counts.Starts,
		"peer_bytes_received": peers.BytesReceived, "peer_bytes_sent": peers.BytesSent,
		"client_bytes_received": n.meter.Received(), "client_bytes_sent": n.meter.Sent(),
	}
	for name, value := range values {
		scope.Gauge(name).Update(float64(value))
	}
	n.limiter.UpdateGauges(scope)
	scope.Gauge("requests_in_flight").Update(float64(n.handler.InFlight()))
}

// Run serves until a signal arrives or ctx ends, then shuts down gracefully: it finishes the work
// in flight and releases its shards. It returns ErrSecondSignal if a second signal aborts the
// shutdown, ErrDeadline if the grace period ends first, and the error of the server if that fails.
func (n *Node) Run(ctx context.Context, signals <-chan os.Signal) error {
	defer n.metricsCloser.Close()
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	address, err := n.Address()
	if err != nil {
		return err
	}
	n.options.Logger.Info("serve: Listening.", zap.String("address", address.String()),
		zap.String("host", n.runner.Self().String()))
	served := make(chan error, 1)
	go n.limiter.Run(runCtx)
	go func() { served <- n.server.Serve(n.limiter) }()
	done := make(chan struct{})
	go func() {
		n.runner.Run(runCtx)
		close(done)
	}()
	select {
	case err := <-served:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	case sig := <-signals:
		n.options.Logger.Info("serve: Signal received; finishing the work in flight before exit.", zap.Stringer("signal", sig))
	}
	err = n.shutDown(ctx, signals)
	cancel()
	<-done
	n.peers.Close()
	return err
}

// shutDown waits until the work in flight is finished and the shards are released, then closes
// the server.
func (n *Node) shutDown(ctx context.Context, signals <-chan os.Signal) error {
	graceCtx, cancel := clockwork.WithTimeout(context.WithoutCancel(ctx), n.options.Clock, n.options.Settings.ShutdownGrace)
	defer cancel()
	n.handler.Leave()
	pauser.Pause(graceCtx, n.options.Clock, leaveDelay)
	n.runner.Leave(graceCtx)
	for !n.hasLeft() {
		select {
		case <-graceCtx.Done():
			return n.abort(ErrDeadline)
		case <-signals:
			return n.abort(ErrSecondSignal)
		case <-n.options.Clock.After(leavePollInterval):
		}
	}
	if err := n.server.Shutdown(graceCtx); err != nil {
		return n.abort(ErrDeadline)
	}
	n.options.Logger.Info("serve: Left with nothing in flight.")
	return nil
}

// hasLeft reports whether nothing is in flight and this host no longer acts for any shard.
func (n *Node) hasLeft() bool {
	return n.handler.InFlight() == 0 && n.runner.Routes().HasLeft
}

// abort closes the server and all its connections, and returns reason.
func (n *Node) abort(reason error) error {
	n.options.Logger.Warn("serve: Graceful shutdown aborted; closing all connections.", zap.Int64("in_flight", n.handler.InFlight()), zap.String("error", reason.Error()))
	if err := n.server.Close(); err != nil {
		return errors.Errorf("close server: %w", errors.Join(reason, err))
	}
	return reason
}

// kill closes the server and the connections to peers without notifying anybody, as a crash of
// the process would. Only tests use it.
func (n *Node) kill() {
	// The error does not matter, since the node is no longer used.
	_ = n.server.Close()
	n.peers.Close()
}
