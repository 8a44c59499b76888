// Package listener provides an in-memory net.Listener for tests in a synctest bubble. Goroutines
// that are blocked on real sockets would keep the bubble's clock from advancing.
//
// # Usage
//
//	l := listener.New(address)
//	go server.Serve(l)
//	client, conn := net.Pipe()
//	err := l.Connect(ctx, conn)
package listener

import (
	"context"
	"net"
	"net/netip"
	"sync"
)

// Listener is an in-memory net.Listener that accepts connections handed to Connect.
type Listener struct {
	address netip.AddrPort
	backlog chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// New returns an open listener whose Addr returns address.
func New(address netip.AddrPort) *Listener {
	return &Listener{address: address, backlog: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }

// Connect passes the server's end of a connection to Accept, and blocks until Accept takes it. It
// returns net.ErrClosed if the listener is closed first, or the error of ctx.
func (l *Listener) Connect(ctx context.Context, conn net.Conn) error {
	select {
	case l.backlog <- conn:
		return nil
	case <-l.closed:
		return net.ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}
