package connector

import (
	"net"
	"sync/atomic"
)

// Meter counts the bytes that a client sends and receives, including HTTP headers.
type Meter struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

// Sent returns the number of bytes sent.
func (m *Meter) Sent() uint64 { return m.sent.Load() }

// Received returns the number of bytes received.
func (m *Meter) Received() uint64 { return m.received.Load() }

// meteredConn counts the bytes of a connection in a meter.
type meteredConn struct {
	net.Conn
	meter *Meter
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.sent.Add(uint64(n))
	return n, err
}
