// Package snapshotter decides when a stream's state is worth a snapshot.
//
// # Usage
//
//	s := snapshotter.New(5_000)
//	s.Save(stream, &state, &out)
package snapshotter

import (
	"cmp"

	"lentilrock.example/internal/cell/applier"
	"lentilrock.example/internal/core/signaller"
)

// DefaultEvery is how many records of a stream lie between two snapshots.
const DefaultEvery = 5_000

// Snapshotter remembers the newest snapshot of each stream.
type Snapshotter struct {
	every int64
	last  map[string]int64
}

// New returns a snapshotter; 0 takes DefaultEvery.
func New(every int64) Snapshotter {
	return Snapshotter{every: cmp.Or(every, DefaultEvery), last: make(map[string]int64)}
}

// Saved takes in that a snapshot covers a stream up to an offset.
func (s *Snapshotter) Saved(stream string, offset int64) { s.last[stream] = offset }

// Save writes a snapshot where enough records have been applied since the last.
func (s *Snapshotter) Save(stream string, state *applier.State, out *signaller.Outbox) {
	if state.Next-s.last[stream] < s.every {
		return
	}
	data, err := state.Encode()
	if err != nil {
		out.Report("A snapshot can't be written.", "stream", stream, "error", err.Error())
		return
	}
	s.Saved(stream, state.Next)
	out.Add(signaller.SaveSnapshot{Stream: stream, Offset: state.Next, State: data})
}
