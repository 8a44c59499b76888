// Package binder opens listeners whose clients can make the kernel hold little before the process reads: the queue of connections
// that are not accepted yet has a length, and each connection a small receive buffer, until SetReceiveBuffer enlarges it. What is
// in these buffers counts towards the memory of the process on the users' platform, and comes while the process does not run, too.
//
// # Usage
//
//	listener, err := binder.Listen(address, binder.Options{Backlog: 512, ReceiveBuffer: 4 << 10})
//	c, err := listener.Accept()
//	err = binder.SetReceiveBuffer(c, 64<<10) // a large body follows
package binder

import (
	"context"
	"net"
	"net/netip"
	"syscall"

	"github.com/cockroachdb/errors"
)

// BufferFactor is how many bytes a connection holds at most by byte of its receive buffer: the kernel doubles the size for its own
// bookkeeping (socket(7)), and fills that with data if segments are large.
const BufferFactor = 2

// Options bound what the kernel holds for a listener. Zero values leave the kernel's defaults.
type Options struct {
	// Backlog is the number of connections that wait to be accepted. The kernel drops the opening packets of others, and their
	// clients send them again.
	Backlog int
	// ReceiveBuffer is the size of the receive buffer of each connection in bytes.
	ReceiveBuffer int
}

// Listen returns a TCP listener. It returns an error if the address cannot be bound or an option is refused.
func Listen(address netip.AddrPort, options Options) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		if options.ReceiveBuffer == 0 {
			return nil
		}
		// Connections inherit the size; it has to be set before the first one, which agrees on the scale of its window.
		return control(c, func(fd int) error {
			return syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, options.ReceiveBuffer)
		})
	}}
	listener, err := config.Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return nil, errors.Errorf("listen on %s: %w", address, err)
	}
	if options.Backlog == 0 {
		return listener, nil
	}
	if err := setBacklog(listener, options.Backlog); err != nil {
		_ = listener.Close()
		return nil, errors.Errorf("set the queue of %s to %d connections: %w", address, options.Backlog, err)
	}
	return listener, nil
}

// setBacklog shortens the queue of a listener. Package net has no option for it; a second listen(2) changes the length.
func setBacklog(listener net.Listener, backlog int) error {
	raw, err := rawConn(listener)
	if err != nil {
		return err
	}
	return control(raw, func(fd int) error { return syscall.Listen(fd, backlog) })
}

// SetReceiveBuffer sets the size of a connection's receive buffer in bytes. The window that the other side may fill follows.
func SetReceiveBuffer(c net.Conn, bytes int) error {
	raw, err := rawConn(c)
	if err != nil {
		return err
	}
	return control(raw, func(fd int) error {
		if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes); err != nil {
			return err
		}
		// The window keeps the bound of the listener's buffer otherwise.
		return syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_WINDOW_CLAMP, bytes)
	})
}

func rawConn(socket any) (syscall.RawConn, error) {
	s, isSocket := socket.(syscall.Conn)
	if !isSocket {
		return nil, errors.Errorf("a %T has no descriptor", socket)
	}
	raw, err := s.SyscallConn()
	return raw, errors.Wrap(err, "get descriptor")
}

// control calls do with the descriptor of a socket.
func control(c syscall.RawConn, do func(fd int) error) error {
	var failure error
	if err := c.Control(func(fd uintptr) { failure = do(int(fd)) }); err != nil {
		return errors.Wrap(err, "use descriptor")
	}
	return errors.Wrap(failure, "set option of socket")
}
