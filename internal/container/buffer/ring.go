// Package buffer implements the bounded queue (ring buffer) that connects the
// goroutines of a process.
//
// # Usage
//
//	ring := buffer.New[event](1024)
//	if !ring.Offer(e) {
//		// full: refuse the work, with a reason
//	}
//	e, ok := ring.Take(ctx)
package buffer

import (
	"context"
	"sync"
)

// Ring is a bounded first-in-first-out queue between goroutines.
type Ring[T any] struct {
	mu    sync.Mutex
	items []T
	// head is the index of the oldest item.
	head  int
	count int
	// filled wakes a waiting Take, freed a waiting Put.
	filled chan struct{}
	freed  chan struct{}
}

// New returns an empty ring with a capacity in items; a capacity below 1 counts as 1.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{
		items:  make([]T, max(capacity, 1)),
		filled: make(chan struct{}, 1),
		freed:  make(chan struct{}, 1),
	}
}

// Len returns the number of items.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Offer adds an item without waiting. It reports false, and drops the item, if the ring is
// full.
func (r *Ring[T]) Offer(item T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == len(r.items) {
		return false
	}
	r.items[(r.head+r.count)%len(r.items)] = item
	r.count++
	signal(r.filled)
	return true
}

// Put adds an item and waits for free space if the ring is full. It reports false if ctx is
// done first.
func (r *Ring[T]) Put(ctx context.Context, item T) bool {
	for !r.Offer(item) {
		select {
		case <-r.freed:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// Poll removes and returns the oldest item without waiting. It reports false if the ring is
// empty.
func (r *Ring[T]) Poll() (T, bool) {
	var zero T
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == 0 {
		return zero, false
	}
	item := r.items[r.head]
	r.items[r.head] = zero
	r.head = (r.head + 1) % len(r.items)
	r.count--
	signal(r.freed)
	if r.count > 0 {
		signal(r.filled)
	}
	return item, true
}

// Take removes and returns the oldest item and waits for one if the ring is empty. It reports
// false if ctx is done first.
func (r *Ring[T]) Take(ctx context.Context) (T, bool) {
	for {
		if item, found := r.Poll(); found {
			return item, true
		}
		select {
		case <-r.filled:
		case <-ctx.Done():
			var zero T
			return zero, false
		}
	}
}

// signal wakes a goroutine that waits on c, now or at its next wait.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
