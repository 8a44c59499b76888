package messenger

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"lentilrock.example/internal/web/limiter"
)

const (
	// framesPerSecond and frameBurst limit the rate of the frames received on one connection; a
	// peer that exceeds it is disconnected.
	framesPerSecond = 20_000
	frameBurst      = 4_000
	dialTimeout     = time.Second
	writeTimeout    = 2 * time.Second
	// maxCalls is the maximum number of calls handled at the same time for one connection.
	maxCalls = 1_024
	// frameFactor is the memory of a frame by byte: the buffer grows by copies, and the decoded body is another one.
	frameFactor = 3
	// maxHelloBytes is the maximum size of a Hello.
	maxHelloBytes = 16 << 10
)

type handler func(ctx context.Context, from Hello, body []byte) (cbor.RawMessage, error)

// Options are the settings of a messenger.
type Options struct {
	// Self is the Hello that the messenger sends to its peers.
	Self Hello
	// Client is the HTTP client that dials peers; nil means http.DefaultClient.
	Client *http.Client
	// Scheme is "ws" or "wss"; empty means "ws".
	Scheme string
	// Clock is the source of time; nil means the system clock.
	Clock clockwork.Clock
	// Report writes a log line; nil discards it.
	Report func(text string, err error)
}

// Messenger manages the connections to and from peers and the handlers of their calls.
type Messenger struct {
	options  Options
	handlers map[string]handler

	mu sync.Mutex
	// peers holds the connections that this host dialled.
	peers map[netip.AddrPort]*connection
	// accepted holds the connections that peers dialled.
	accepted map[*connection]bool
	counts   Counts
}

// Counts are the traffic totals of one messenger since it was created. Bytes are those of
// encoded frames, without the Hello messages and WebSocket headers.
type Counts struct {
	FramesSent     uint64
	FramesReceived uint64
	BytesSent      uint64
	BytesReceived  uint64
	// ByDataCentre is the number of bytes sent to each data centre.
	ByDataCentre map[string]uint64
}

// New returns a messenger without connections.
func New(options Options) *Messenger {
	if options.Clock == nil {
		options.Clock = clockwork.NewRealClock()
	}
	if options.Report == nil {
		options.Report = func(string, error) {}
	}
	if options.Scheme == "" {
		options.Scheme = "ws"
	}
	return &Messenger{
		options:  options,
		handlers: make(map[string]handler),
		peers:    make(map[netip.AddrPort]*connection),
		accepted: make(map[*connection]bool),
		counts:   Counts{ByDataCentre: make(map[string]uint64)},
	}
}

// Handle registers the handler for a kind of call. All handlers must be registered before the
// messenger is used.
func Handle[Q, R any](m *Messenger, kind string, handle func(ctx context.Context, from Hello, request Q) (R, error)) {
	m.handlers[kind] = func(ctx context.Context, from Hello, body []byte) (cbor.RawMessage, error) {
		request, err := decode[Q](body)
		if err != nil {
			return nil, errors.Errorf("read question: %w", err)
		}
		reply, err := handle(ctx, from, request)
		if err != nil {
			return nil, err
		}
		return encode(reply)
	}
}

// Call sends a request of the given kind to a peer and returns the reply. Errors are marked
// with ErrPeer, ErrUnreachable or ErrLost, except that of a reply that can't be decoded.
func Call[Q, R any](ctx context.Context, m *Messenger, peer netip.AddrPort, kind string, request Q) (R, error) {
	var zero R
	body, err := encode(request)
	if err != nil {
		return zero, errors.Errorf("call peer %s: %w", peer, errors.Mark(err, ErrUnreachable))
	}
	c, err := m.connect(ctx, peer)
	if err != nil {
		return zero, errors.Errorf("call peer %s: %w", peer, err)
	}
	reply, err := c.call(ctx, kind, body)
	if err != nil {
		return zero, errors.Errorf("call peer %s: %w", peer, err)
	}
	return decode[R](reply)
}

// Counts returns a copy of the traffic totals.
func (m *Messenger) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := m.counts
	counts.ByDataCentre = make(map[string]uint64, len(m.counts.ByDataCentre))
	for dataCentre, bytes := range m.counts.ByDataCentre {
		counts.ByDataCentre[dataCentre] = bytes
	}
	return counts
}

func (m *Messenger) countSent(dataCentre string, bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.FramesSent++
	m.counts.BytesSent += uint64(bytes)
	m.counts.ByDataCentre[dataCentre] += uint64(bytes)
}

func (m *Messenger) countReceived(bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.FramesReceived++
	m.counts.BytesReceived += uint64(bytes)
}

// connect returns the connection to a peer and dials it if there is none. Concurrent calls to
// one peer share a single dial.
func (m *Messenger) connect(ctx context.Context, peer netip.AddrPort) (*connection, error) {
	m.mu.Lock()
	c, found := m.peers[peer]
	if !found {
		c = newConnection(m)
		m.peers[peer] = c
	}
	m.mu.Unlock()
	if found {
		return c, c.waitReady(ctx)
	}
	if err := m.dial(ctx, peer, c); err != nil {
		m.drop(peer, c)
		c.fail(errors.Mark(err, ErrUnreachable))
		return nil, errors.Mark(err, ErrUnreachable)
	}
	return c, nil
}

func (m *Messenger) drop(peer netip.AddrPort, c *connection) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers[peer] == c {
		delete(m.peers, peer)
	}
}

func (m *Messenger) dial(ctx context.Context, peer netip.AddrPort, c *connection) error {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	url := m.options.Scheme + "://" + peer.String() + Path
	socket, reply, err := websocket.Dial(dialCtx, url, &websocket.DialOptions{HTTPClient: m.options.Client})
	if reply != nil && reply.Body != nil {
		defer reply.Body.Close()
	}
	if err != nil {
		return errors.Errorf("dial: %w", err)
	}
	if err := c.handshake(dialCtx, socket, true); err != nil {
		_ = socket.CloseNow()
		return errors.Errorf("greet: %w", err)
	}
	go func() {
		c.read()
		m.drop(peer, c)
	}()
	return nil
}

// ServeHTTP accepts a peer's connection and serves its calls until it closes.
func (m *Messenger) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	socket, err := websocket.Accept(w, r, nil)
	if err != nil {
		m.options.Report("WebSocket upgrade failed; the peer's connection is refused.", err)
		return
	}
	c := newConnection(m)
	c.memory = limiter.MemoryOf(r.Context())
	handshakeCtx, cancel := context.WithTimeout(r.Context(), dialTimeout)
	defer cancel()
	if err := c.handshake(handshakeCtx, socket, false); err != nil {
		m.options.Report("Handshake with a peer failed; its connection is closed.", err)
		_ = socket.CloseNow()
		return
	}
	m.mu.Lock()
	m.accepted[c] = true
	m.mu.Unlock()
	c.read()
	m.mu.Lock()
	delete(m.accepted, c)
	m.mu.Unlock()
}

// Close closes all connections. Calls in flight fail with ErrLost.
func (m *Messenger) Close() {
	m.mu.Lock()
	peers := m.peers
	m.peers = make(map[netip.AddrPort]*connection)
	connections := make([]*connection, 0, len(peers)+len(m.accepted))
	for _, c := range peers {
		connections = append(connections, c)
	}
	for c := range m.accepted {
		connections = append(connections, c)
	}
	m.mu.Unlock()
	for _, c := range connections {
		c.fail(errors.Mark(errors.New("messenger was closed"), ErrLost))
	}
}

func newLimiter() *rate.Limiter {
	return rate.NewLimiter(framesPerSecond, frameBurst)
}
