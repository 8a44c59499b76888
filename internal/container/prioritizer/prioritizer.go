// Package prioritizer implements a generic priority queue on a binary heap.
//
// # Usage
//
//	queue := prioritizer.New(func(a, b job) bool { return a.due.Before(b.due) })
//	queue.Push(first)
//	next, found := queue.Pop()
package prioritizer

import (
	"container/heap"
)

// Queue is a priority queue; Pop returns the least item first. It is not safe for concurrent
// use.
type Queue[T any] struct {
	items items[T]
}

// New returns an empty queue ordered by isLess.
func New[T any](isLess func(a, b T) bool) *Queue[T] {
	return &Queue[T]{items: items[T]{isLess: isLess}}
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return len(q.items.list) }

// Push adds an item.
func (q *Queue[T]) Push(item T) { heap.Push(&q.items, item) }

// Pop removes and returns the least item. It reports false if the queue is empty.
func (q *Queue[T]) Pop() (T, bool) {
	var zero T
	if q.Len() == 0 {
		return zero, false
	}
	return heap.Pop(&q.items).(T), true
}

// Peek returns the least item without removing it. It reports false if the queue is empty.
func (q *Queue[T]) Peek() (T, bool) {
	var zero T
	if q.Len() == 0 {
		return zero, false
	}
	return q.items.list[0], true
}

// items implements heap.Interface.
type items[T any] struct {
	list   []T
	isLess func(a, b T) bool
}

func (i *items[T]) Len() int           { return len(i.list) }
func (i *items[T]) Less(a, b int) bool { return i.isLess(i.list[a], i.list[b]) }
func (i *items[T]) Swap(a, b int)      { i.list[a], i.list[b] = i.list[b], i.list[a] }
func (i *items[T]) Push(item any)      { i.list = append(i.list, item.(T)) }

func (i *items[T]) Pop() any {
	var zero T
	last := len(i.list) - 1
	item := i.list[last]
	i.list[last] = zero
	i.list = i.list[:last]
	return item
}
