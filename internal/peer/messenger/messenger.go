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
)

const (
	// framesPerSecond and frameBurst bound what one peer may send.
	framesPerSecond = 20_000
	frameBurst      = 4_000
	dialTimeout     = time.Second
	writeTimeout    = 2 * time.Second
	// maxCalls bounds the calls of one peer that are being handled.
	maxCalls = 1_024
)

type handler func(ctx context.Context, from Hello, body []byte) (cbor.RawMessage, error)

// Options are the settings of a messenger.
type Options struct {
	Self Hello
	// Client dials peers; nil takes the default one.
	Client *http.Client
	// Scheme is "ws" or "wss"; empty means "ws".
	Scheme string
	Clock  clockwork.Clock
	// Report takes a line for the log; nil drops it.
	Report func(text string, err error)
}

// Messenger holds the connections to and from peers.
type Messenger struct {
	options  Options
	handlers map[string]handler

	mu    sync.Mutex
	peers map[netip.AddrPort]*connection
	// accepted are the connections that peers dialled.
	accepted map[*connection]bool
	// BytesSent and the like are counted per messenger.
	counts Counts
}

// Counts are totals since the start.
type Counts struct {
	FramesSent     uint64
	FramesReceived uint64
	BytesSent      uint64
	BytesReceived  uint64
	// ByDataCentre counts the bytes sent to each data centre.
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

// Handle sets the handler of a kind of call. All handlers must be set before use.
func Handle[Q, R any](m *Messenger, kind string, handle func(ctx context.Context, from Hello, question Q) (R, error)) {
	m.handlers[kind] = func(ctx context.Context, from Hello, body []byte) (cbor.RawMessage, error) {
		question, err := decode[Q](body)
		if err != nil {
			return nil, errors.Errorf("read question: %w", err)
		}
		reply, err := handle(ctx, from, question)
		if err != nil {
			return nil, err
		}
		return encode(reply)
	}
}

// Call calls the handler of a kind at a peer and returns its reply. Errors wrap ErrPeer,
// ErrUnreachable or ErrLost.
func Call[Q, R any](ctx context.Context, m *Messenger, peer netip.AddrPort, kind string, question Q) (R, error) {
	var none R
	body, err := encode(question)
	if err != nil {
		return none, errors.Errorf("call peer %s: %w", peer, errors.Mark(err, ErrUnreachable))
	}
	c, err := m.connect(ctx, peer)
	if err != nil {
		return none, errors.Errorf("call peer %s: %w", peer, err)
	}
	reply, err := c.call(ctx, kind, body)
	if err != nil {
		return none, errors.Errorf("call peer %s: %w", peer, err)
	}
	return decode[R](reply)
}

// Counts returns the totals.
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

// connect returns the open connection to a peer, or dials it.
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
	dialing, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	url := m.options.Scheme + "://" + peer.String() + Path
	socket, reply, err := websocket.Dial(dialing, url, &websocket.DialOptions{HTTPClient: m.options.Client})
	if reply != nil && reply.Body != nil {
		defer reply.Body.Close()
	}
	if err != nil {
		return errors.Errorf("dial: %w", err)
	}
	if err := c.greet(dialing, socket, true); err != nil {
		_ = socket.CloseNow()
		return errors.Errorf("greet: %w", err)
	}
	go func() {
		c.read()
		m.drop(peer, c)
	}()
	return nil
}

// ServeHTTP takes a peer's connection and serves it until it ends.
func (m *Messenger) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	socket, err := websocket.Accept(w, r, nil)
	if err != nil {
		m.options.Report("A peer's connection was not accepted.", err)
		return
	}
	c := newConnection(m)
	greeting, cancel := context.WithTimeout(r.Context(), dialTimeout)
	defer cancel()
	if err := c.greet(greeting, socket, false); err != nil {
		m.options.Report("A peer did not say who it is.", err)
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

// Close ends all connections.
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
