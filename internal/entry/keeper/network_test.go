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
	"lentilrock.example/internal/standin/piper"
)

// network connects hosts in memory, since sockets hold up the time of a synctest bubble. The
// zero value has no hosts.
type network struct {
	mu    sync.Mutex
	hosts map[string]*piper.Listener
	ends  map[string]func()
}

func (n *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l, found := n.hosts[address]
	n.mu.Unlock()
	if !found {
		return nil, errors.Newf("nothing listens at %s", address)
	}
	near, far := net.Pipe()
	if err := l.Connect(ctx, far); err != nil {
		return nil, errors.Errorf("connect to %s: %w", address, err)
	}
	return near, nil
}

// add connects a host and returns its address.
func (n *network) add(name, incarnation string) (netip.AddrPort, *messenger.Messenger) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hosts == nil {
		n.hosts, n.ends = make(map[string]*piper.Listener), make(map[string]func())
	}
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(7000+len(n.ends)))
	m := messenger.New(messenger.Options{
		Self:   messenger.Hello{Host: descriptor.HostID{Name: name, Incarnation: incarnation}, DataCentre: "brno"},
		Client: &http.Client{Transport: &http.Transport{DialContext: n.dial}},
	})
	listener := piper.New(address)
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
