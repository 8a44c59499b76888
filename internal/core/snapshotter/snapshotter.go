// Package snapshotter emits a snapshot of a stream's state once a set number of records has
// been applied since the newest snapshot.
//
// # Usage
//
//	s := snapshotter.New(5_000)
//	s.SaveIfDue(stream, &state, &out)
package snapshotter

import (
	"cmp"

	"lentilrock.example/internal/cell/applier"
	"lentilrock.example/internal/core/signaller"
)

// DefaultEvery is the default number of records of a stream between two snapshots.
const DefaultEvery = 5_000

// Snapshotter tracks the newest snapshot of each stream.
type Snapshotter struct {
	// interval is the number of records between two snapshots.
	interval int64
	// lastOffsets maps a stream to the offset up to which its newest snapshot covers it.
	lastOffsets map[string]int64
}

// New returns a snapshotter with an interval in records; 0 means DefaultEvery.
func New(interval int64) Snapshotter {
	return Snapshotter{interval: cmp.Or(interval, DefaultEvery), lastOffsets: make(map[string]int64)}
}

// RecordSnapshot records that a snapshot covers the records of a stream below an offset.
func (s *Snapshotter) RecordSnapshot(stream string, offset int64) { s.lastOffsets[stream] = offset }

// SaveIfDue emits a snapshot of a stream if enough records were applied since its newest one. If
// the state can't be encoded, it reports the error and tries again at the next call.
func (s *Snapshotter) SaveIfDue(stream string, state *applier.State, out *signaller.Outbox) {
	if state.Next-s.lastOffsets[stream] < s.interval {
		return
	}
	data, err := state.Encode()
	if err != nil {
		out.Report("A snapshot could not be encoded; the next step tries again.", "stream", stream, "error", err.Error())
		return
	}
	s.RecordSnapshot(stream, state.Next)
	out.Add(signaller.SaveSnapshot{Stream: stream, Offset: state.Next, State: data})
}
