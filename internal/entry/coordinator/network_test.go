package coordinator_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/peer/messenger"
	"lentilrock.example/internal/standin/listener"
)

// network connects hosts in memory, since goroutines that block on real sockets stop the clock of
// a synctest bubble. The zero value has no hosts.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener.Listener
	shutdowns map[string]func()
}

func (n *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l, found := n.listeners[address]
	n.mu.Unlock()
	if !found {
		return nil, errors.Newf("nothing listens at %s", address)
	}
	local, remote := net.Pipe()
	if err := l.Connect(ctx, remote); err != nil {
		return nil, errors.Errorf("connect to %s: %w", address, err)
	}
	return local, nil
}

// add connects a host and returns its address and messenger.
func (n *network) add(name, incarnation string) (netip.AddrPort, *messenger.Messenger) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners, n.shutdowns = make(map[string]*listener.Listener), make(map[string]func())
	}
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(7000+len(n.shutdowns)))
	m := messenger.New(messenger.Options{
		Self:   messenger.Hello{Host: descriptor.HostID{Name: name, Incarnation: incarnation}, DataCentre: "brno"},
		Client: &http.Client{Transport: &http.Transport{DialContext: n.dial}},
	})
	l := listener.New(address)
	server := &http.Server{Handler: m}
	go func() { _ = server.Serve(l) }()
	n.listeners[address.String()] = l
	n.shutdowns[address.String()] = func() {
		m.Close()
		_ = server.Close()
	}
	return address, m
}

// disconnect closes a host's connections and removes its listener.
func (n *network) disconnect(address netip.AddrPort) {
	n.mu.Lock()
	shutDown, found := n.shutdowns[address.String()]
	delete(n.listeners, address.String())
	n.shutdowns[address.String()] = func() {}
	n.mu.Unlock()
	if found {
		shutDown()
	}
}
