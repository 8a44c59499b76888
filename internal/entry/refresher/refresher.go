// Package refresher reads what has changed since a question arrived, for many callers at once. A view
// that was read before a question can't tell that something does not exist.
//
// # Usage
//
//	r := refresher.New(refresher.Options{Read: readToEnd, Clock: clock})
//	if err := r.Refresh(ctx); err == nil {
//		// the view has all that existed when Refresh was called
//	}
package refresher

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
)

const (
	// readTimeout bounds a read, and how long a caller waits. A store that is a hundred times slower than
	// usual still replies within it.
	readTimeout = time.Second
	// pause separates the reads, so that many questions do not use up the reads that the store allows.
	pause = 100 * time.Millisecond
)

// Options configure a Refresher.
type Options struct {
	// Read reads all that has changed until it is called.
	Read  func(ctx context.Context) error
	Clock clockwork.Clock
}

// Refresher shares reads between callers. It is safe for concurrent use.
type Refresher struct {
	options Options

	mu sync.Mutex
	// next is the read that has not begun yet; nil if no caller waits for one.
	next      *read
	isRunning bool
}

// read is a read that callers wait for. Its error is set once done is closed.
type read struct {
	done chan struct{}
	err  error
}

// New returns a Refresher.
func New(options Options) *Refresher { return &Refresher{options: options} }

// Refresh returns nil once a read that began after the call has succeeded. It waits for readTimeout at most.
func (r *Refresher) Refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	next := r.join()
	select {
	case <-next.done:
		return errors.Wrap(next.err, "read the latest changes")
	case <-ctx.Done():
		return errors.Errorf("wait for the latest changes: %w", ctx.Err())
	}
}

// join returns the read that begins next.
func (r *Refresher) join() *read {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next = &read{done: make(chan struct{})}
	}
	if !r.isRunning {
		r.isRunning = true
		go r.run()
	}
	return r.next
}

// run reads for as long as callers wait.
func (r *Refresher) run() {
	for {
		current := r.takeNext()
		if current == nil {
			return
		}
		// The read does not depend on the caller that asked for it first, since others wait too.
		ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
		current.err = r.options.Read(ctx)
		cancel()
		close(current.done)
		r.options.Clock.Sleep(pause)
	}
}

// takeNext returns the read that begins now; nil ends run.
func (r *Refresher) takeNext() *read {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.next
	r.next = nil
	r.isRunning = current != nil
	return current
}
