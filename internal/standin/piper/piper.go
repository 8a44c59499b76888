// Package piper stands in for a listening socket, in memory: sockets hold up the time of a
// synctest bubble.
//
// # Usage
//
//	l := piper.New(address)
//	go server.Serve(l)
//	near, far := net.Pipe()
//	err := l.Connect(ctx, far)
package piper

import (
	"context"
	"net"
	"net/netip"
	"sync"
)

// Listener accepts connections in memory.
type Listener struct {
	address netip.AddrPort
	backlog chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// New returns a listener at an address.
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

// Connect hands over the far end of a connection once it is accepted. It returns
// net.ErrClosed where the listener is closed, or ctx's error.
func (l *Listener) Connect(ctx context.Context, far net.Conn) error {
	select {
	case l.backlog <- far:
		return nil
	case <-l.closed:
		return net.ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}
