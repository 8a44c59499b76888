package keeper_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/peer/messenger"
)

// network connects hosts in memory, since sockets hold up the time of a synctest bubble. The
// zero value has no hosts.
type network struct {
	mu    sync.Mutex
	hosts map[string]*pipeListener
	ends  map[string]func()
}

// pipeListener accepts connections in memory.
type pipeListener struct {
	connections chan net.Conn
	closed      chan struct{}
	once        sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.connections:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "memory"} }

func (n *network) dial(_ context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l, found := n.hosts[address]
	n.mu.Unlock()
	if !found {
		return nil, errors.Newf("nothing listens at %s", address)
	}
	near, far := net.Pipe()
	select {
	case l.connections <- far:
		return near, nil
	case <-l.closed:
		return nil, errors.Newf("nothing listens at %s any more", address)
	}
}

// add connects a host and returns its address.
func (n *network) add(name, incarnation string) (netip.AddrPort, *messenger.Messenger) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hosts == nil {
		n.hosts, n.ends = make(map[string]*pipeListener), make(map[string]func())
	}
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(7000+len(n.ends)))
	m := messenger.New(messenger.Options{
		Self:   messenger.Hello{Host: descriptor.HostID{Name: name, Incarnation: incarnation}, DataCentre: "brno"},
		Client: &http.Client{Transport: &http.Transport{DialContext: n.dial}},
	})
	listener := &pipeListener{connections: make(chan net.Conn), closed: make(chan struct{})}
	server := &http.Server{Handler: m}
	go func() { _ = server.Serve(listener) }()
	n.hosts[address.String()] = listener
	n.ends[address.String()] = func() {
		m.Close()
		_ = server.Close()
	}
	return address, m
}

// cut ends a host's connections.
func (n *network) cut(address netip.AddrPort) {
	n.mu.Lock()
	end, found := n.ends[address.String()]
	delete(n.hosts, address.String())
	n.ends[address.String()] = func() {}
	n.mu.Unlock()
	if found {
		end()
	}
}
