package messenger

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
)

// silentTime is how long a call waits at least before a connection on which nothing is heard
// counts as silent: several round trips between regions.
const silentTime = 250 * time.Millisecond

// connection is a connection to or from a peer; both sides may call.
type connection struct {
	messenger *Messenger
	ready     chan struct{}
	socket    *websocket.Conn
	peer      Hello
	// handling counts the peer's calls that are being handled.
	handling atomic.Int64

	mu      sync.Mutex
	nextRef uint64
	waiting map[uint64]chan frame
	failure error
	// heardAt is when the last frame came.
	heardAt time.Time
	done    context.Context
	cancel  context.CancelFunc
}

func newConnection(m *Messenger) *connection {
	c := &connection{messenger: m, waiting: make(map[uint64]chan frame)}
	c.ready = make(chan struct{})
	c.done, c.cancel = context.WithCancel(context.Background())
	return c
}

// greet exchanges the hellos of both sides; the one that dialled says its own first.
func (c *connection) greet(ctx context.Context, socket *websocket.Conn, isDialler bool) error {
	socket.SetReadLimit(MaxFrameBytes)
	steps := []func(context.Context, *websocket.Conn) error{c.readHello, c.sayHello}
	if isDialler {
		slices.Reverse(steps)
	}
	for _, step := range steps {
		if err := step(ctx, socket); err != nil {
			return err
		}
	}
	c.socket = socket
	close(c.ready)
	return nil
}

func (c *connection) sayHello(ctx context.Context, socket *websocket.Conn) error {
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
	began := c.messenger.options.Clock.Now()
	reply := make(chan frame, 1)
	ref, err := c.expect(reply)
	if err != nil {
		return nil, err
	}
	defer c.forget(ref)
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
		c.dropIfSilent(began)
		return nil, errors.Mark(ctx.Err(), ErrLost)
	}
}

// dropIfSilent ends a connection on which nothing was heard since a call began that timed
// out: it may have gone silent for good, while a new one would work.
func (c *connection) dropIfSilent(began time.Time) {
	now := c.messenger.options.Clock.Now()
	c.mu.Lock()
	isSilent := c.heardAt.Before(began) && now.Sub(began) >= silentTime
	c.mu.Unlock()
	if isSilent {
		c.fail(errors.Mark(errors.New("the connection is silent"), ErrLost))
	}
}

func (c *connection) expect(reply chan frame) (uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure != nil {
		return 0, errors.Mark(c.failure, ErrUnreachable)
	}
	c.nextRef++
	c.waiting[c.nextRef] = reply
	return c.nextRef, nil
}

func (c *connection) forget(ref uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, ref)
}

func (c *connection) send(ctx context.Context, f frame) error {
	f.Version = Version
	data, err := cbor.Marshal(f)
	if err != nil {
		return errors.Errorf("encode frame: %w", err)
	}
	writing, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := c.socket.Write(writing, websocket.MessageBinary, data); err != nil {
		return errors.Errorf("write frame: %w", err)
	}
	c.messenger.countSent(c.peer.DataCentre, len(data))
	return nil
}

// read serves the connection until it ends.
func (c *connection) read() {
	limiter := newLimiter()
	for {
		_, data, err := c.socket.Read(c.done)
		if err != nil {
			c.fail(errors.Errorf("read frame: %w", err))
			return
		}
		c.messenger.countReceived(len(data))
		c.mu.Lock()
		c.heardAt = c.messenger.options.Clock.Now()
		c.mu.Unlock()
		if !limiter.AllowN(c.messenger.options.Clock.Now(), 1) {
			c.cut(errors.New("peer sends too many frames"))
			return
		}
		f, err := decode[frame](data)
		if err != nil {
			c.cut(errors.Errorf("peer sends rubbish: %w", err))
			return
		}
		if f.Kind == "" {
			c.deliver(f)
			continue
		}
		if !c.handle(f) {
			c.cut(errors.New("peer has too many calls open"))
			return
		}
	}
}

func (c *connection) cut(err error) {
	c.messenger.options.Report("A peer was cut off.", err)
	c.fail(err)
}

func (c *connection) deliver(f frame) {
	c.mu.Lock()
	reply, found := c.waiting[f.Ref]
	delete(c.waiting, f.Ref)
	c.mu.Unlock()
	if found {
		reply <- f
	}
}

// handle answers a call in a goroutine of its own. It reports false where too many are
// being handled.
func (c *connection) handle(f frame) bool {
	if c.handling.Add(1) > maxCalls {
		return false
	}
	go func() {
		defer c.handling.Add(-1)
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

// fail ends the connection; open calls end as lost.
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
