// Command platform runs one simulated service of the platform: the log, the host list, a set of
// workers or a set of upstreams. It is only for tests and the demo.
//
// # Usage
//
//	platform log --listen 127.0.0.1:7001
//	platform hosts --listen 127.0.0.1:7002
//	platform workers --hosts 127.0.0.1:7002 --data-centre erie-a --region erie --count 16
//	platform upstreams --hosts 127.0.0.1:7002 --data-centre erie-a --region erie --service shedwatch
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
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/standin/lister"
	"lentilrock.example/internal/standin/logger"
	"lentilrock.example/internal/standin/upstream"
	"lentilrock.example/internal/standin/worker"
)

type commands struct {
	Enlist    enlistCommand    `cmd:"" help:"Register an entry host in the host list."`
	Fault     faultCommand     `cmd:"" help:"Set the injected faults of a simulated service."`
	Get       getCommand       `cmd:"" help:"Print what a simulated service recorded."`
	Hosts     hostsCommand     `cmd:"" help:"Run the host list."`
	Log       logCommand       `cmd:"" help:"Run the log service."`
	Upstreams upstreamsCommand `cmd:"" help:"Run upstreams of a service."`
	Workers   workersCommand   `cmd:"" help:"Run workers."`
}

type logCommand struct {
	Listen string `default:"127.0.0.1:0" help:"Address to listen on."`
}

func (c logCommand) Run() error {
	return serveOne("log", c.Listen, logger.New(clockwork.NewRealClock()).Handler())
}

type hostsCommand struct {
	Listen string        `default:"127.0.0.1:0" help:"Address to listen on."`
	Lag    time.Duration `default:"200ms" help:"Delay until changes become visible."`
}

func (c hostsCommand) Run() error {
	return serveOne("host list", c.Listen, lister.New(clockwork.NewRealClock(), c.Lag).Handler())
}

type enlistCommand struct {
	Hosts      netip.AddrPort `required:"" help:"Address of the host list."`
	Name       string         `required:"" help:"Name of the entry host."`
	DataCentre string         `required:"" help:"Data centre of the entry host."`
	Region     string         `required:"" help:"Region of the entry host."`
	Address    netip.AddrPort `arg:"" help:"Address of the entry host."`
}

func (c enlistCommand) Run() error {
	return register(c.Hosts, []descriptor.Host{{
		Name: c.Name, Role: descriptor.RoleEntry, State: descriptor.HostLive,
		Address: c.Address, DataCentre: c.DataCentre, Region: c.Region,
	}})
}

type faultCommand struct {
	Address netip.AddrPort `arg:"" help:"Address of the simulated service."`
	Fault   string         `arg:"" help:"Faults as JSON."`
}

func (c faultCommand) Run() error {
	return send(http.MethodPost, "http://"+c.Address.String()+"/fault", strings.NewReader(c.Fault), io.Discard)
}

type getCommand struct {
	Address netip.AddrPort `arg:"" help:"Address of the simulated service."`
	Path    string         `arg:"" help:"What to print, such as /runs."`
}

func (c getCommand) Run() error {
	return send(http.MethodGet, "http://"+c.Address.String()+c.Path, http.NoBody, os.Stdout)
}

// hostOptions holds the flags that workersCommand and upstreamsCommand share.
type hostOptions struct {
	Hosts      netip.AddrPort `required:"" help:"Address of the host list."`
	DataCentre string         `required:"" help:"Data centre of the hosts."`
	Region     string         `required:"" help:"Region of the hosts."`
	Count      int            `default:"16" help:"How many hosts."`
	Address    string         `default:"127.0.0.1" help:"IP address to listen on."`
}

type workersCommand struct {
	hostOptions
	RackSize     int   `default:"8" help:"Workers in a rack."`
	MilliCores   int64 `default:"16000" help:"CPU capacity of a worker in thousandths of a core."`
	MemoryBytes  int64 `default:"68719476736" help:"Memory of a worker in bytes."`
	Accelerators int64 `help:"Accelerators of a worker."`
}

func (c workersCommand) Run() error {
	clock := clockwork.NewRealClock()
	capacity := descriptor.Size{
		MilliCores: c.MilliCores, MemoryBytes: c.MemoryBytes, Accelerators: c.Accelerators,
	}
	return c.serve(func(i int, host *descriptor.Host) http.Handler {
		host.Name = fmt.Sprintf("%s-w%d", c.DataCentre, i)
		host.Role = descriptor.RoleWorker
		host.Rack = fmt.Sprintf("%s-r%d", c.DataCentre, i/c.RackSize)
		host.Capacity = capacity
		return worker.New(clock, host.Name, host.Incarnation).Handler()
	})
}

type upstreamsCommand struct {
	hostOptions
	Service     string `required:"" help:"Service of the upstreams."`
	Slots       int    `default:"8" help:"Maximum number of concurrent requests."`
	Connections int    `default:"64" help:"Maximum number of connections."`
}

func (c upstreamsCommand) Run() error {
	clock := clockwork.NewRealClock()
	return c.serve(func(i int, host *descriptor.Host) http.Handler {
		host.Name = fmt.Sprintf("%s-u%d", c.DataCentre, i)
		host.Role = descriptor.RoleUpstream
		host.Service = c.Service
		host.Slots = c.Slots
		host.Connections = c.Connections
		return upstream.New(clock).Handler()
	})
}

// serve starts the hosts, registers them in the host list and serves until one of them fails.
func (o hostOptions) serve(configure func(i int, host *descriptor.Host) http.Handler) error {
	serveErrors := make(chan error, 1)
	var hosts []descriptor.Host
	for i := range o.Count {
		host := descriptor.Host{
			State: descriptor.HostLive, DataCentre: o.DataCentre, Region: o.Region,
			Incarnation: strconv.Itoa(os.Getpid()),
		}
		handler := configure(i, &host)
		listener, address, err := listen(o.Address + ":0")
		if err != nil {
			return errors.Errorf("start host %s: %w", host.Name, err)
		}
		host.Address = address
		hosts = append(hosts, host)
		go func() { serveErrors <- (&http.Server{Handler: handler}).Serve(listener) }()
	}
	if err := register(o.Hosts, hosts); err != nil {
		return errors.Errorf("register hosts of %s: %w", o.DataCentre, err)
	}
	fmt.Printf("platform: %d hosts of %s are ready.\n", o.Count, o.DataCentre)
	return errors.Wrap(<-serveErrors, "serve hosts")
}

func register(list netip.AddrPort, hosts []descriptor.Host) error {
	body, err := json.Marshal(hosts)
	if err != nil {
		return errors.Errorf("encode hosts: %w", err)
	}
	return send(http.MethodPut, "http://"+list.String()+"/v1/hosts", bytes.NewReader(body), io.Discard)
}

// send sends a request to a simulated service and copies the response body to out.
func send(method, url string, body io.Reader, out io.Writer) error {
	request, err := http.NewRequestWithContext(context.Background(), method, url, body)
	if err != nil {
		return errors.Errorf("create request: %w", err)
	}
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Errorf("send request to simulated service: %w", err)
	}
	defer reply.Body.Close()
	if reply.StatusCode != http.StatusOK {
		return errors.Newf("simulated service responded with status %s", reply.Status)
	}
	_, err = io.Copy(out, reply.Body)
	return errors.Wrap(err, "copy response")
}

func listen(text string) (net.Listener, netip.AddrPort, error) {
	listener, err := net.Listen("tcp", text)
	if err != nil {
		return nil, netip.AddrPort{}, errors.Errorf("listen on %s: %w", text, err)
	}
	address, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return nil, netip.AddrPort{}, errors.Errorf("parse address of listener: %w", err)
	}
	return listener, address, nil
}

func serveOne(name, text string, handler http.Handler) error {
	listener, address, err := listen(text)
	if err != nil {
		return err
	}
	fmt.Printf("platform: %s listens on %s.\n", name, address)
	return errors.Wrap((&http.Server{Handler: handler}).Serve(listener), "serve "+name)
}

func main() {
	var c commands
	ctx := kong.Parse(&c, kong.Name("platform"), kong.Description("Simulated services of the platform."))
	ctx.FatalIfErrorf(ctx.Run())
}
