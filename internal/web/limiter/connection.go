package limiter

import (
	"io"
	"math"
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/web/binder"
	"lentilrock.example/internal/web/budgeter"
)

// maxLingerBytes is how much of a request is read after its response.
const maxLingerBytes = 1 << 20

// largeWrite is the size from which on data counts while it is written. Smaller data is in the buffer of the connection.
const largeWrite = 4 << 10

// connection is a connection that counts what it receives.
type connection struct {
	net.Conn
	limiter *Limiter
	// lease is what the connection holds now. It is replaced when the connection leaves HTTP, under limiter.mu.
	lease atomic.Pointer[budgeter.Lease]
	// lingers is set if the response did not wait for the rest of the request.
	lingers atomic.Bool
	// isClosed is guarded by limiter.mu.
	isClosed bool
	// receiveBuffer is the size of the kernel's buffer in bytes. Only the goroutine that reads from the connection uses it.
	receiveBuffer int
}

// enlarge gives the connection a larger receive buffer for a body of which that many bytes may follow, if there is memory for what
// the kernel may hold then. Without one the body takes more round trips.
func (c *connection) enlarge(bytes int64) {
	size := int(min(bytes, int64(c.lease.Load().Limits().BodyBuffer)))
	if size <= c.receiveBuffer {
		return
	}
	if !c.lease.Load().Retain(budgeter.UnreadBytes(size) - budgeter.UnreadBytes(c.receiveBuffer)) {
		c.limiter.count(budgeter.CauseBuffer)
		return
	}
	c.receiveBuffer = size
	// A connection that is closed meanwhile needs none.
	_ = binder.SetReceiveBuffer(c.Conn, size)
}

func (c *connection) enter(phase budgeter.Phase) {
	c.lease.Load().Enter(phase, c.limiter.options.Clock.Now())
}

// reserve reserves memory, and closes the connections that are shed for it.
func (c *connection) reserve(bytes int64) error {
	shed, err := c.lease.Load().Reserve(bytes, c.limiter.options.Clock.Now())
	c.limiter.closeAll(shed)
	if err != nil {
		c.limiter.count(budgeter.CauseMemory)
	}
	return errors.Wrap(err, "reserve memory")
}

// Read reads, and reserves the memory that the decoded form of the data takes. It returns an error marked budgeter.ErrBusy,
// which ends the request, if there is none; the client has had its reply if that was the request's header.
func (c *connection) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n == 0 {
		return n, err
	}
	phase := c.lease.Load().Phase()
	if phase == budgeter.Idle {
		phase = budgeter.Header
		c.enter(phase)
	}
	c.lease.Load().Receive(n, c.limiter.options.Clock.Now())
	var factor int
	switch phase {
	case budgeter.Header:
		factor = budgeter.HeaderFactor
	case budgeter.Body:
		factor = budgeter.BodyFactor
	default:
		return n, err
	}
	if busy := c.reserve(int64(n * factor)); busy != nil {
		if phase == budgeter.Header {
			return 0, c.refuseHeader(busy)
		}
		return 0, busy
	}
	return n, err
}

// refuseHeader replies to a request whose header finds no memory, and returns the error that makes the server close the connection
// without a reply of its own, which would be 400 Bad Request.
func (c *connection) refuseHeader(busy error) error {
	const reply = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// A client that does not read is not waited for.
	_ = c.SetWriteDeadline(c.limiter.options.Clock.Now().Add(discardTime))
	if _, err := c.Conn.Write([]byte(reply)); err == nil {
		c.lingers.Store(true)
	}
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: busy}
}

// CloseWrite closes the side of the connection on which the process sends.
func (c *connection) CloseWrite() error {
	half, canClose := c.Conn.(interface{ CloseWrite() error })
	if !canClose {
		return errors.ErrUnsupported
	}
	return errors.Wrap(half.CloseWrite(), "close for writing")
}

// linger reads for a short time what the client still sends. A connection that is closed with unread data is reset, and the client
// may then lose its response.
func (c *connection) linger() {
	_ = c.SetDeadline(c.limiter.options.Clock.Now().Add(discardTime))
	if c.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes)
	}
}

// Write writes; a write that is blocked for too long ends with the connection.
func (c *connection) Write(data []byte) (int, error) {
	if len(data) > largeWrite && c.lease.Load().Phase() != budgeter.Taken {
		held := min(int64(len(data)), c.lease.Load().Limits().Memory/2)
		if err := c.reserve(held); err != nil {
			return 0, err
		}
		defer c.lease.Load().Release(held)
	}
	c.lease.Load().BeginWrite(c.limiter.options.Clock.Now())
	defer c.lease.Load().EndWrite()
	return c.Conn.Write(data)
}

// leaveHTTP moves the connection to the pool of those that have left HTTP, or closes it if there is no room.
func (c *connection) leaveHTTP() {
	l, former, now := c.limiter, c.lease.Load(), c.limiter.options.Clock.Now()
	if l.taken != l.pool {
		lease, shed, err := l.taken.Open(former.Address(), now)
		l.closeAll(shed)
		if err != nil {
			l.count(budgeter.CauseConnections)
			_ = c.abort()
			return
		}
		l.mu.Lock()
		delete(l.connections, former)
		c.lease.Store(lease)
		if !c.isClosed {
			l.connections[lease] = c
		}
		isClosed := c.isClosed || lease.IsClosed()
		l.mu.Unlock()
		former.Close()
		if isClosed {
			_ = c.abort()
			return
		}
	}
	c.enter(budgeter.Taken)
	c.enlarge(math.MaxInt64)
}

// Close closes the connection and releases all that it holds, after a moment for the client to read a response that did not wait for
// the rest of its request.
func (c *connection) Close() error {
	if c.lingers.Swap(false) {
		c.linger()
	}
	return c.abort()
}

// abort closes the connection at once and releases all that it holds.
func (c *connection) abort() error {
	c.limiter.mu.Lock()
	c.isClosed = true
	lease := c.lease.Load()
	delete(c.limiter.connections, lease)
	c.limiter.mu.Unlock()
	err := c.Conn.Close()
	lease.Close()
	return err
}
