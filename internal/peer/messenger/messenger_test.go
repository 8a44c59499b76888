package messenger

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

type question struct {
	Text string `cbor:"text"`
}

type laterQuestion struct {
	Text string `cbor:"text"`
	More int    `cbor:"more"`
}

func newServer(t *testing.T) (server *httptest.Server, address netip.AddrPort) {
	t.Helper()
	m := New(Options{Self: Hello{DataCentre: "a"}})
	Handle(m, "echo", func(_ context.Context, _ Hello, q question) (question, error) {
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

func TestCall(t *testing.T) {
	_, address := newServer(t)
	client := New(Options{Self: Hello{DataCentre: "b"}})
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()

	reply, err := Call[laterQuestion, question](ctx, client, address, "echo", laterQuestion{"hello", 7})
	require.NoError(t, err, "a field that the reader does not know is passed over")
	require.Equal(t, "hello", reply.Text)
	_, err = Call[question, question](ctx, client, address, "echo", question{})
	require.True(t, errors.Is(err, ErrPeer), "%v", err)
	_, err = Call[question, question](ctx, client, address, "sing", question{})
	require.ErrorContains(t, err, `call kind sing is unknown`)
	_, err = Call[question, question](ctx, client, netip.MustParseAddrPort("127.0.0.1:1"), "echo", question{})
	require.True(t, errors.Is(err, ErrUnreachable), "%v", err)
}

func TestAPeerThatSendsRubbishIsCutOffAlone(t *testing.T) {
	valid, err := cbor.Marshal(Hello{DataCentre: "b"})
	require.NoError(t, err)
	tests := []struct {
		name         string
		hello, frame []byte
	}{
		{"a hello that is none", []byte("hello"), nil},
		{"a broken frame", valid, []byte{0xff, 0x00}},
		{"an oversized frame", valid, make([]byte, MaxFrameBytes+1)},
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
				// The other side may cut the connection while the frame is being sent.
				_ = socket.Write(ctx, websocket.MessageBinary, test.frame)
			}
			_, _, err = socket.Read(ctx)
			require.Error(t, err, "the connection is cut")
			_, err = Call[question, question](ctx, client, address, "echo", question{"still here"})
			require.NoError(t, err, "others are not harmed")
		})
	}
}

// TestSilentConnection has a peer that stops answering on its open connections, as a network
// may do that keeps them open.
func TestSilentConnection(t *testing.T) {
	var isSilent atomic.Bool
	m := New(Options{Self: Hello{DataCentre: "a"}})
	defer m.Close()
	Handle(m, "echo", func(ctx context.Context, _ Hello, q question) (question, error) {
		if isSilent.Load() {
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
		_, err := Call[question, question](ctx, client, address, "echo", question{"hello"})
		return err
	}
	require.NoError(t, call(time.Minute))
	former := client.peers[address]
	isSilent.Store(true)
	require.True(t, errors.Is(call(2*silentTime), ErrLost))
	isSilent.Store(false)
	require.Eventually(t, func() bool { return call(time.Minute) == nil }, time.Minute, time.Millisecond)
	require.NotSame(t, former, client.peers[address], "the next call dials anew")
}
