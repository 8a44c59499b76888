// Package messenger implements remote procedure calls between entry hosts: a typed request
// and one reply per call, in CBOR frames over WebSocket.
//
// Every frame carries a version, and decoders ignore unknown fields, so that hosts of two
// builds can communicate during an upgrade. The size of frames and the rate at which they are
// received on one connection are limited. A peer that exceeds a limit or sends an undecodable
// frame is disconnected; the connections of other peers are not affected.
//
// # Usage
//
//	m := messenger.New(messenger.Options{Self: hello})
//	messenger.Handle(m, "heir", func(ctx context.Context, from Hello, q Query) (Reply, error) { ... })
//	mux.Handle(messenger.Path, m)
//	reply, err := messenger.Call[Query, Reply](ctx, m, address, "heir", query)
package messenger

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"lentilrock.example/internal/cell/descriptor"
)

// Path is the URL path at which a host accepts WebSocket connections from its peers.
const Path = "/v1/peer"

// Version is the frame format version that this build sends.
const Version = 1

// MaxFrameBytes is the maximum size of a frame, in bytes.
const MaxFrameBytes = 4 << 20

// Hello identifies a peer. Each side sends it as its first message on a connection.
type Hello struct {
	Host       descriptor.HostID `cbor:"host"`
	DataCentre string            `cbor:"data_centre"`
	Region     string            `cbor:"region"`
}

// frame is one request or reply on a connection.
type frame struct {
	Version int `cbor:"version"`
	// Ref matches a reply to its request. Each side of a connection numbers its own requests.
	Ref uint64 `cbor:"ref"`
	// Kind selects the handler of a request; it is empty in a reply.
	Kind  string          `cbor:"kind,omitempty"`
	Body  cbor.RawMessage `cbor:"body,omitempty"`
	Error string          `cbor:"error,omitempty"`
}

// ErrPeer marks an error that the peer's handler returned.
var ErrPeer = errors.New("peer answered with an error")

// ErrUnreachable marks a call that could not be sent; it had no effect.
var ErrUnreachable = errors.New("peer is unreachable")

// ErrLost marks a call that was sent but got no reply; the peer may have executed it.
var ErrLost = errors.New("reply of peer was lost")

func encode(value any) (cbor.RawMessage, error) {
	data, err := cbor.Marshal(value)
	return data, errors.Wrap(err, "encode message")
}

func decode[T any](data []byte) (T, error) {
	var value T
	if err := cbor.Unmarshal(data, &value); err != nil {
		return value, errors.Errorf("decode message: %w", err)
	}
	return value, nil
}
