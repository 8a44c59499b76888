// Package spooler writes log lines in the background, so that a stalled reader of the output never delays
// scheduling decisions. Lines that do not fit into the buffer are dropped and counted. The count is logged
// before the next line that is written.
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

// ringSize is the number of lines that can wait to be written, enough for several seconds of a busy host.
const ringSize = 8192

// Spooler is a zap write syncer that buffers lines and writes them in the background.
type Spooler struct {
	out  io.Writer
	ring *buffer.Ring[[]byte]
	// unreported counts the dropped lines that were not yet logged.
	unreported atomic.Uint64
	// dropped counts all dropped lines.
	dropped atomic.Uint64
	cancel  context.CancelFunc
	done    chan struct{}
}

// New returns a Spooler that writes to out, and starts its goroutine. Close stops it.
func New(out io.Writer) *Spooler {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Spooler{out: out, ring: buffer.New[[]byte](ringSize), cancel: cancel, done: make(chan struct{})}
	go s.run(ctx)
	return s
}

// Write adds a copy of the line to the buffer, or drops it if the buffer is full. It never blocks or fails.
func (s *Spooler) Write(line []byte) (int, error) {
	if !s.ring.Offer(slices.Clone(line)) {
		s.unreported.Add(1)
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing, since lines are written as soon as the output accepts them.
func (s *Spooler) Sync() error { return nil }

// Dropped returns the number of lines dropped so far.
func (s *Spooler) Dropped() uint64 { return s.dropped.Load() }

// run writes lines until ctx ends, then those left in the buffer.
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

// write writes a line. If lines were dropped since the last write, it first writes a warning with their
// count.
func (s *Spooler) write(line []byte) {
	// Write errors are ignored, since a log that can't be written can't report them.
	if unreported := s.unreported.Swap(0); unreported > 0 {
		_, _ = fmt.Fprintf(s.out, `{"level":"warn","msg":"logs: Log lines dropped, buffer full.","count":%d}`+"\n", unreported)
	}
	_, _ = s.out.Write(line)
}

// drain writes the lines left in the buffer.
func (s *Spooler) drain() {
	for {
		line, found := s.ring.Poll()
		if !found {
			return
		}
		s.write(line)
	}
}

// Close writes the buffered lines and stops the goroutine. Lines written to the Spooler afterwards are
// lost.
func (s *Spooler) Close() {
	s.cancel()
	<-s.done
}
