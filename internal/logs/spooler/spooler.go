// Package spooler writes log lines in the background, so that a reader that does not read
// never holds up a decision. Lines that find no room are dropped, counted, and told of once
// there is room again.
//
// # Usage
//
//	s := spooler.New(os.Stdout)
//	logger := zap.New(zapcore.NewCore(encoder, s, zap.InfoLevel))
//	defer s.Close()
package spooler

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync/atomic"

	"lentilrock.example/internal/container/buffer"
)

// ringSize bounds the lines that wait to be written: some seconds of a busy host.
const ringSize = 8192

// Spooler is a sink for log lines.
type Spooler struct {
	out     io.Writer
	ring    *buffer.Ring[[]byte]
	dropped atomic.Uint64
	total   atomic.Uint64
	cancel  context.CancelFunc
	done    chan struct{}
}

// New returns a spooler that writes to out.
func New(out io.Writer) *Spooler {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Spooler{out: out, ring: buffer.New[[]byte](ringSize), cancel: cancel, done: make(chan struct{})}
	go s.run(ctx)
	return s
}

// Write takes a line in, or drops it where there is no room. It never blocks.
func (s *Spooler) Write(line []byte) (int, error) {
	if !s.ring.Offer(slices.Clone(line)) {
		s.dropped.Add(1)
		s.total.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: lines are written as soon as the reader takes them.
func (s *Spooler) Sync() error { return nil }

// Dropped returns how many lines found no room so far.
func (s *Spooler) Dropped() uint64 { return s.total.Load() }

func (s *Spooler) run(ctx context.Context) {
	defer close(s.done)
	for {
		line, ok := s.ring.Take(ctx)
		if !ok {
			s.drain()
			return
		}
		s.write(line)
	}
}

// write writes a line, after a word on those that were dropped before it.
func (s *Spooler) write(line []byte) {
	// There is nowhere to tell of a log that can't be written.
	if dropped := s.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(s.out, `{"level":"warn","msg":"logs: Lines were dropped.","count":%d}`+"\n", dropped)
	}
	_, _ = s.out.Write(line)
}

func (s *Spooler) drain() {
	for {
		line, found := s.ring.Poll()
		if !found {
			return
		}
		s.write(line)
	}
}

// Close writes what waits and ends.
func (s *Spooler) Close() {
	s.cancel()
	<-s.done
}
