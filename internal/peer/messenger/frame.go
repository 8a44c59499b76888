// Package messenger carries typed messages between entry hosts: calls with one reply each,
// in CBOR frames over WebSocket.
//
// Every frame has a version; fields that a reader does not know are passed over, so that
// hosts of two builds can talk during an upgrade. Frames are bounded in size and rate, and
// a peer that goes beyond, or sends what can't be read, is cut off alone.
//
// # Usage
//
//	m := messenger.New(messenger.Options{Self: hello})
//	messenger.Handle(m, "heir", func(ctx context.Context, from Hello, q Question) (Word, error) { ... })
//	mux.Handle(messenger.Path, m)
//	word, err := messenger.Call[Question, Word](ctx, m, address, "heir", question)
package messenger

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"lentilrock.example/internal/cell/descriptor"
)

// Path is where a host takes its peers' connections.
const Path = "/v1/peer"

// Version is the version of the frames that this build sends.
const Version = 1

// MaxFrameBytes bounds a frame.
const MaxFrameBytes = 4 << 20

// Hello says who a peer is; it is the first frame on each connection.
type Hello struct {
	Host       descriptor.HostID `cbor:"host"`
	DataCentre string            `cbor:"data_centre"`
	Region     string            `cbor:"region"`
}

type frame struct {
	Version int    `cbor:"version"`
	Ref     uint64 `cbor:"ref"`
	// Kind names the handler of a call; it is empty in a reply.
	Kind  string          `cbor:"kind,omitempty"`
	Body  cbor.RawMessage `cbor:"body,omitempty"`
	Error string          `cbor:"error,omitempty"`
}

// ErrPeer reports an error that the peer's handler returned.
var ErrPeer = errors.New("peer answered with an error")

// ErrUnreachable reports a peer that could not be called; the call had no effect.
var ErrUnreachable = errors.New("peer is unreachable")

// ErrLost reports a call whose reply was lost; it may have had its effect.
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
