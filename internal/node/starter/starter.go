// Package starter puts an entry host together from its settings, runs it, and takes it
// out of service without cutting off a request.
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
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/core/signaller"
	"lentilrock.example/internal/metrics/collector"
	"lentilrock.example/internal/node/listener"
	"lentilrock.example/internal/node/pauser"
	"lentilrock.example/internal/node/runner"
	"lentilrock.example/internal/peer/messenger"
	"lentilrock.example/internal/platform/connector"
	"lentilrock.example/internal/query/executor"
	"lentilrock.example/internal/settings/checker"
)

// Options are what a node is made from. A nil field takes the real thing.
type Options struct {
	Settings  checker.Settings
	Clock     clockwork.Clock
	Logger    *zap.Logger
	Socket    net.Listener
	Log       connector.Log
	List      connector.List
	Workers   connector.Workers
	Upstreams connector.Upstreams
	Trace     func(now time.Time, event signaller.Event)
	// Client makes all calls to the platform and to peers.
	Client *http.Client
}

// ErrDeadline reports a shutdown that cut off what was still in flight at its deadline.
var ErrDeadline = errors.New("the grace of the shutdown was over with work in flight")

// ErrSecondSignal reports a shutdown that a second signal cut short.
var ErrSecondSignal = errors.New("a second signal ended the shutdown")

const (
	headerTimeout = 5 * time.Second
	// leaveDelay lets the balancer and the peers see that the host is leaving.
	leaveDelay = 500 * time.Millisecond
	leavePoll  = 20 * time.Millisecond
)

// Node is an entry host.
type Node struct {
	options  Options
	runner   *runner.Runner
	listener *listener.Listener
	peers    *messenger.Messenger
	socket   net.Listener
	server   *http.Server
	metrics  *collector.Collector
	meter    connector.Meter
	// metricsEnd ends the reports of the metrics.
	metricsEnd io.Closer
}

// New puts a node together and opens its socket.
func New(options Options) (*Node, error) {
	n := &Node{options: options}
	if err := n.open(); err != nil {
		return nil, errors.Errorf("start host %s: %w", options.Settings.Name, err)
	}
	n.connect()
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
	n.metrics, n.metricsEnd = collector.New(n.refreshMetrics)
	n.listener = listener.New(listener.Options{
		Settings: s, Clock: n.options.Clock, Runner: n.runner, Executor: commands,
		Messenger: n.peers, Metrics: n.metrics,
	})
	n.server = &http.Server{Handler: n.listener.Handler(), ReadHeaderTimeout: headerTimeout}
	return n, nil
}

func (n *Node) open() error {
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
	socket, err := net.Listen("tcp", n.options.Settings.Listen.String())
	if err != nil {
		return errors.Errorf("listen on %s: %w", n.options.Settings.Listen, err)
	}
	n.socket = socket
	return nil
}

// connect fills in the real services for those that were not given.
func (n *Node) connect() {
	s := n.options.Settings
	if n.options.Client == nil {
		n.options.Client = connector.NewHTTP(s.Listen.Addr(), &n.meter)
	}
	client := n.options.Client
	if n.options.Log == nil {
		n.options.Log = connector.HTTPLog{Client: client, Address: s.LogAddress}
	}
	if n.options.List == nil {
		n.options.List = connector.HTTPList{Client: client, Address: s.HostList}
	}
	if n.options.Workers == nil {
		n.options.Workers = connector.HTTPWorkers{Client: client}
	}
	if n.options.Upstreams == nil {
		n.options.Upstreams = connector.HTTPUpstreams{Client: client, MaxAnswer: s.MaxAnswer}
	}
}

// Address returns where the node listens.
func (n *Node) Address() (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(n.socket.Addr().String())
	return address, errors.Wrap(err, "read address of socket")
}

// Runner returns the node's runner.
func (n *Node) Runner() *runner.Runner { return n.runner }

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
	scope.Gauge("requests_in_flight").Update(float64(n.listener.InFlight()))
}

// Run serves until a signal arrives, then finishes what is in flight and leaves. A second
// signal ends it at once.
func (n *Node) Run(ctx context.Context, signals <-chan os.Signal) error {
	defer n.metricsEnd.Close()
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	address, err := n.Address()
	if err != nil {
		return err
	}
	n.options.Logger.Info("serve: Listening.", zap.String("address", address.String()),
		zap.String("host", n.runner.Self().String()))
	served := make(chan error, 1)
	go func() { served <- n.server.Serve(n.socket) }()
	done := make(chan struct{})
	go func() {
		n.runner.Run(running)
		close(done)
	}()
	select {
	case err := <-served:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	case sig := <-signals:
		n.options.Logger.Info("serve: Leaving.", zap.Stringer("signal", sig))
	}
	err = n.leave(ctx, signals)
	cancel()
	<-done
	n.peers.Close()
	return err
}

// leave finishes what is in flight, releases the shards and closes the socket.
func (n *Node) leave(ctx context.Context, signals <-chan os.Signal) error {
	grace, cancel := clockwork.WithTimeout(context.WithoutCancel(ctx), n.options.Clock, n.options.Settings.ShutdownGrace)
	defer cancel()
	n.listener.Leave()
	pauser.Pause(grace, n.options.Clock, leaveDelay)
	n.runner.Leave(grace)
	for !n.hasLeft() {
		select {
		case <-grace.Done():
			return n.cutOff(ErrDeadline)
		case <-signals:
			return n.cutOff(ErrSecondSignal)
		case <-n.options.Clock.After(leavePoll):
		}
	}
	if err := n.server.Shutdown(grace); err != nil {
		return n.cutOff(ErrDeadline)
	}
	n.options.Logger.Info("serve: Left with nothing in flight.")
	return nil
}

func (n *Node) hasLeft() bool {
	return n.listener.InFlight() == 0 && n.runner.Routes().Left
}

func (n *Node) cutOff(reason error) error {
	n.options.Logger.Warn("serve: Cut off.", zap.Int64("in_flight", n.listener.InFlight()), zap.String("error", reason.Error()))
	if err := n.server.Close(); err != nil {
		return errors.Errorf("close server: %w", errors.Join(reason, err))
	}
	return reason
}

// kill closes the node's doors without a word, as the death of its process would.
func (n *Node) kill() {
	// There is nobody to tell of an error: the host is gone.
	_ = n.server.Close()
	n.peers.Close()
}
