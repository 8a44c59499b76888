package messenger

import (
	"context"
	"net"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"lentilrock.example/internal/web/budgeter"
	"lentilrock.example/internal/web/limiter"
)

type echoMessage struct {
	Text string `cbor:"text"`
}

// newerEchoMessage is echoMessage as a newer build would send it, with one more field.
type newerEchoMessage struct {
	Text string `cbor:"text"`
	More int    `cbor:"more"`
}

func newServer(t *testing.T) (server *httptest.Server, address netip.AddrPort) {
	t.Helper()
	m := New(Options{Self: Hello{DataCentre: "a"}})
	Handle(m, "echo", func(_ context.Context, _ Hello, q echoMessage) (echoMessage, error) {
		if q.Text == "" {
			return q, errors.New("text is empty")
		}
		return q, nil
	})
	server = httptest.NewServer(m)
	t.Cleanup(func() {
		m.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return server, netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

// TestCallReturnsReplyOrMarkedError checks that unknown fields of a newer build are ignored
// and that each kind of failure carries its own error.
func TestCallReturnsReplyOrMarkedError(t *testing.T) {
	_, address := newServer(t)
	client := New(Options{Self: Hello{DataCentre: "b"}})
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()

	reply, err := Call[newerEchoMessage, echoMessage](ctx, client, address, "echo", newerEchoMessage{"hello", 7})
	require.NoError(t, err, "unknown fields are ignored")
	require.Equal(t, "hello", reply.Text)
	_, err = Call[echoMessage, echoMessage](ctx, client, address, "echo", echoMessage{})
	require.True(t, errors.Is(err, ErrPeer), "%v", err)
	_, err = Call[echoMessage, echoMessage](ctx, client, address, "missing", echoMessage{})
	require.ErrorContains(t, err, `call kind missing is unknown`)
	_, err = Call[echoMessage, echoMessage](ctx, client, netip.MustParseAddrPort("127.0.0.1:1"), "echo", echoMessage{})
	require.True(t, errors.Is(err, ErrUnreachable), "%v", err)
}

// TestInvalidMessageClosesOnlyItsConnection guards against a faulty peer that takes the
// messenger down or disturbs the connections of other peers.
func TestInvalidMessageClosesOnlyItsConnection(t *testing.T) {
	valid, err := cbor.Marshal(Hello{DataCentre: "b"})
	require.NoError(t, err)
	tests := []struct {
		name         string
		hello, frame []byte
	}{
		{"undecodable hello", []byte("hello"), nil},
		{"undecodable frame", valid, []byte{0xff, 0x00}},
		{"oversized frame", valid, make([]byte, MaxFrameBytes+1)},
	}
	server, address := newServer(t)
	client := New(Options{Self: Hello{DataCentre: "c"}})
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			socket, reply, err := websocket.Dial(ctx, server.URL, nil)
			require.NoError(t, err)
			if reply.Body != nil {
				defer reply.Body.Close()
			}
			require.NoError(t, socket.Write(ctx, websocket.MessageBinary, test.hello))
			if test.frame != nil {
				_, _, err = socket.Read(ctx)
				require.NoError(t, err)
				// The server may close the connection while the frame is being sent.
				_ = socket.Write(ctx, websocket.MessageBinary, test.frame)
			}
			_, _, err = socket.Read(ctx)
			require.Error(t, err, "the connection is closed")
			_, err = Call[echoMessage, echoMessage](ctx, client, address, "echo", echoMessage{"still here"})
			require.NoError(t, err, "the connection of another peer still works")
		})
	}
}

// TestUnresponsiveConnectionIsReplaced guards against a caller that keeps using an open
// connection on which replies no longer arrive, for example because the network drops its
// packets without closing it.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	var isStalled atomic.Bool
	m := New(Options{Self: Hello{DataCentre: "a"}})
	defer m.Close()
	Handle(m, "echo", func(ctx context.Context, _ Hello, q echoMessage) (echoMessage, error) {
		if isStalled.Load() {
			<-ctx.Done()
		}
		return q, nil
	})
	server := httptest.NewServer(m)
	defer server.Close()
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	client := New(Options{Self: Hello{DataCentre: "b"}})
	defer client.Close()
	call := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		_, err := Call[echoMessage, echoMessage](ctx, client, address, "echo", echoMessage{"hello"})
		return err
	}
	require.NoError(t, call(time.Minute))
	first := client.peers[address]
	isStalled.Store(true)
	require.True(t, errors.Is(call(2*unresponsiveTimeout), ErrLost))
	isStalled.Store(false)
	require.Eventually(t, func() bool { return call(time.Minute) == nil }, time.Minute, time.Millisecond)
	require.NotSame(t, first, client.peers[address], "the next call uses a new connection")
}

// TestFramesOfPeersCount guards against frames that are bounded each and not in sum: calls that wait hold the memory of their
// listener, and release it with their replies.
func TestFramesOfPeersCount(t *testing.T) {
	const peers, frameBytes = 10, 100 << 10
	wait := make(chan struct{})
	m := New(Options{Self: Hello{DataCentre: "a"}})
	Handle(m, "wait", func(_ context.Context, _ Hello, q echoMessage) (int, error) {
		<-wait
		return len(q.Text), nil
	})
	defer m.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	limits := budgeter.PoolLimits{Connections: 2 * peers, Memory: 1 << 20}
	l := limiter.New(listener, limits, limiter.Options{Name: "peers", Clock: clockwork.NewRealClock(), Logger: zap.NewNop(), Scope: tally.NoopScope})
	server := l.Server(m)
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	address := netip.MustParseAddrPort(listener.Addr().String())
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	call := func() error {
		client := New(Options{Self: Hello{DataCentre: "b"}})
		defer client.Close()
		size, err := Call[echoMessage, int](ctx, client, address, "wait", echoMessage{strings.Repeat("x", frameBytes)})
		if err == nil && size != frameBytes {
			return errors.Errorf("size is %d", size)
		}
		return err
	}
	results := make(chan error, peers)
	for range peers {
		go func() { results <- call() }()
	}
	// Those that find no memory fail while the others wait.
	require.Error(t, <-results)
	require.NoError(t, ctx.Err(), "all calls wait")
	close(wait)
	served := 0
	for range peers - 1 {
		if err := <-results; err == nil {
			served++
		}
	}
	require.Positive(t, served)
	require.Eventually(t, func() bool { return call() == nil }, 10*time.Second, time.Millisecond)
}
