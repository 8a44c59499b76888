package messenger

import (
	"context"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"lentilrock.example/internal/web/budgeter"
	"lentilrock.example/internal/web/limiter"
)

// unresponsiveTimeout is the minimum time that a call must have waited, without any frame
// arriving on the connection, before the connection counts as unresponsive. It covers several
// round trips between regions.
const unresponsiveTimeout = 250 * time.Millisecond

// connection is a connection to or from a peer. Both sides may send requests.
type connection struct {
	messenger *Messenger
	// ready is closed once the handshake is complete.
	ready  chan struct{}
	socket *websocket.Conn
	peer   Hello
	// memory is what frames of the peer may hold; those on connections that this host dialled are not counted.
	memory limiter.Memory
	// activeCalls is the number of the peer's calls that are being handled.
	activeCalls atomic.Int64

	mu      sync.Mutex
	nextRef uint64
	// pending holds the reply channels of this host's calls in flight, by frame reference.
	pending map[uint64]chan frame
	// failure is the first error that closed the connection.
	failure error
	// lastReceivedAt is when the last frame arrived.
	lastReceivedAt time.Time
	done           context.Context
	cancel         context.CancelFunc
}

func newConnection(m *Messenger) *connection {
	c := &connection{messenger: m, pending: make(map[uint64]chan frame)}
	c.ready = make(chan struct{})
	c.done, c.cancel = context.WithCancel(context.Background())
	return c
}

// handshake exchanges the Hello messages; the side that dialled sends first.
func (c *connection) handshake(ctx context.Context, socket *websocket.Conn, isDialler bool) error {
	socket.SetReadLimit(maxHelloBytes)
	steps := []func(context.Context, *websocket.Conn) error{c.readHello, c.sendHello}
	if isDialler {
		slices.Reverse(steps)
	}
	for _, step := range steps {
		if err := step(ctx, socket); err != nil {
			return err
		}
	}
	socket.SetReadLimit(MaxFrameBytes)
	c.socket = socket
	close(c.ready)
	return nil
}

func (c *connection) sendHello(ctx context.Context, socket *websocket.Conn) error {
	hello, err := encode(c.messenger.options.Self)
	if err != nil {
		return errors.Errorf("say hello: %w", err)
	}
	return errors.Wrap(socket.Write(ctx, websocket.MessageBinary, hello), "send hello")
}

func (c *connection) readHello(ctx context.Context, socket *websocket.Conn) error {
	_, data, err := socket.Read(ctx)
	if err != nil {
		return errors.Errorf("read hello: %w", err)
	}
	peer, err := decode[Hello](data)
	if err != nil {
		return errors.Errorf("understand hello: %w", err)
	}
	c.peer = peer
	return nil
}

func (c *connection) waitReady(ctx context.Context) error {
	select {
	case <-c.ready:
		return nil
	case <-c.done.Done():
		return errors.Mark(errors.New("connection ended"), ErrUnreachable)
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), ErrUnreachable)
	}
}

func (c *connection) call(ctx context.Context, kind string, body cbor.RawMessage) (cbor.RawMessage, error) {
	sentAt := c.messenger.options.Clock.Now()
	reply := make(chan frame, 1)
	ref, err := c.addPending(reply)
	if err != nil {
		return nil, err
	}
	defer c.removePending(ref)
	if err := c.send(ctx, frame{Ref: ref, Kind: kind, Body: body}); err != nil {
		return nil, errors.Mark(err, ErrLost)
	}
	select {
	case f := <-reply:
		if f.Error != "" {
			return nil, errors.Mark(errors.New(f.Error), ErrPeer)
		}
		return f.Body, nil
	case <-c.done.Done():
		return nil, errors.Mark(errors.New("connection ended"), ErrLost)
	case <-ctx.Done():
		c.closeIfUnresponsive(sentAt)
		return nil, errors.Mark(ctx.Err(), ErrLost)
	}
}

// closeIfUnresponsive closes the connection if no frame has arrived since a call that timed
// out was sent. The network may drop all traffic of an open connection, while a new
// connection to the same peer works.
func (c *connection) closeIfUnresponsive(sentAt time.Time) {
	now := c.messenger.options.Clock.Now()
	c.mu.Lock()
	isUnresponsive := c.lastReceivedAt.Before(sentAt) && now.Sub(sentAt) >= unresponsiveTimeout
	c.mu.Unlock()
	if isUnresponsive {
		c.fail(errors.Mark(errors.New("the connection is silent"), ErrLost))
	}
}

func (c *connection) addPending(reply chan frame) (uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure != nil {
		return 0, errors.Mark(c.failure, ErrUnreachable)
	}
	c.nextRef++
	c.pending[c.nextRef] = reply
	return c.nextRef, nil
}

func (c *connection) removePending(ref uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, ref)
}

func (c *connection) send(ctx context.Context, f frame) error {
	f.Version = Version
	data, err := cbor.Marshal(f)
	if err != nil {
		return errors.Errorf("encode frame: %w", err)
	}
	writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := c.socket.Write(writeCtx, websocket.MessageBinary, data); err != nil {
		return errors.Errorf("write frame: %w", err)
	}
	c.messenger.countSent(c.peer.DataCentre, len(data))
	return nil
}

// read processes incoming frames until the connection closes.
func (c *connection) read() {
	frames := newLimiter()
	for {
		data, held, err := c.readFrame()
		switch {
		case errors.Is(err, budgeter.ErrBusy):
			c.disconnect(errors.Errorf("frames of peers take all memory for them: %w", err))
			return
		case err != nil:
			c.fail(errors.Errorf("read frame: %w", err))
			return
		}
		c.messenger.countReceived(len(data))
		c.mu.Lock()
		c.lastReceivedAt = c.messenger.options.Clock.Now()
		c.mu.Unlock()
		if !frames.AllowN(c.messenger.options.Clock.Now(), 1) {
			c.disconnect(errors.New("peer sends too many frames"))
			return
		}
		f, err := decode[frame](data)
		if err != nil {
			c.disconnect(errors.Errorf("peer sends rubbish: %w", err))
			return
		}
		if f.Kind == "" {
			c.deliver(f)
			c.memory.Release(held)
			continue
		}
		if !c.handle(f, held) {
			c.disconnect(errors.New("peer has too many calls open"))
			return
		}
	}
}

// readFrame reads a frame, and returns the memory that was reserved for it as it arrived. After an error the connection, and with
// it what is reserved, has to be given up.
func (c *connection) readFrame() (data []byte, held int64, err error) {
	_, reader, err := c.socket.Reader(c.done)
	if err != nil {
		return nil, 0, errors.Wrap(err, "begin frame")
	}
	counted := &countingReader{Reader: reader, memory: c.memory}
	data, err = io.ReadAll(counted)
	return data, counted.held, errors.Wrap(err, "read to the end")
}

// countingReader reserves memory for what it reads.
type countingReader struct {
	io.Reader
	memory limiter.Memory
	held   int64
}

// Read returns an error marked budgeter.ErrBusy if there is no memory for the data.
func (r *countingReader) Read(data []byte) (int, error) {
	n, err := r.Reader.Read(data)
	bytes := min(int64(n*frameFactor), r.memory.Largest()-r.held)
	if busy := r.memory.Reserve(bytes); busy != nil {
		return 0, errors.Wrap(busy, "hold frame")
	}
	r.held += bytes
	return n, err
}

func (c *connection) disconnect(err error) {
	c.messenger.options.Report("Peer violated the protocol or its limits; the connection is closed.", err)
	c.fail(err)
}

func (c *connection) deliver(f frame) {
	c.mu.Lock()
	reply, found := c.pending[f.Ref]
	delete(c.pending, f.Ref)
	c.mu.Unlock()
	if found {
		reply <- f
	}
}

// handle runs the handler of a request and sends its reply in a new goroutine, which then releases the memory that the request
// held. It reports false, without running the handler, if maxCalls calls are already active.
func (c *connection) handle(f frame, held int64) bool {
	if c.activeCalls.Add(1) > maxCalls {
		return false
	}
	go func() {
		defer c.activeCalls.Add(-1)
		defer c.memory.Release(held)
		reply := frame{Ref: f.Ref}
		handle, found := c.messenger.handlers[f.Kind]
		if !found {
			reply.Error = "call kind " + f.Kind + " is unknown"
		} else if body, err := handle(c.done, c.peer, f.Body); err != nil {
			reply.Error = err.Error()
		} else {
			reply.Body = body
		}
		if err := c.send(c.done, reply); err != nil {
			c.fail(err)
		}
	}()
	return true
}

// fail closes the connection; calls in flight return ErrLost.
func (c *connection) fail(err error) {
	c.mu.Lock()
	if c.failure == nil {
		c.failure = err
	}
	c.mu.Unlock()
	c.cancel()
	if c.socket != nil {
		_ = c.socket.CloseNow()
	}
}
