// Package buffer holds the bounded ring that joins the duties of a process.
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

// Ring is a first-in-first-out queue of bounded length between goroutines.
type Ring[T any] struct {
	mu     sync.Mutex
	items  []T
	head   int
	count  int
	filled chan struct{}
	freed  chan struct{}
}

// New returns an empty ring for capacity items, at least 1.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{
		items:  make([]T, max(capacity, 1)),
		filled: make(chan struct{}, 1),
		freed:  make(chan struct{}, 1),
	}
}

// Len returns the count of items.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Offer adds an item. It reports false, and drops the item, where the ring is full.
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

// Put adds an item, waiting for room. It reports false where ctx ended first.
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

// Poll takes the oldest item away. It reports false where the ring is empty.
func (r *Ring[T]) Poll() (T, bool) {
	var none T
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == 0 {
		return none, false
	}
	item := r.items[r.head]
	r.items[r.head] = none
	r.head = (r.head + 1) % len(r.items)
	r.count--
	signal(r.freed)
	if r.count > 0 {
		signal(r.filled)
	}
	return item, true
}

// Take takes the oldest item away, waiting for one. It reports false where ctx ended
// first.
func (r *Ring[T]) Take(ctx context.Context) (T, bool) {
	for {
		if item, found := r.Poll(); found {
			return item, true
		}
		select {
		case <-r.filled:
		case <-ctx.Done():
			var none T
			return none, false
		}
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
