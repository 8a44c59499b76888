// Package prioritizer holds a priority queue of any type.
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

// Queue is a priority queue; Pop takes the least item first.
type Queue[T any] struct {
	items items[T]
}

// New returns an empty queue ordered by isLess.
func New[T any](isLess func(a, b T) bool) *Queue[T] {
	return &Queue[T]{items: items[T]{isLess: isLess}}
}

// Len returns the count of items.
func (q *Queue[T]) Len() int { return len(q.items.list) }

// Push adds an item.
func (q *Queue[T]) Push(item T) { heap.Push(&q.items, item) }

// Pop takes the least item away. It reports false where the queue is empty.
func (q *Queue[T]) Pop() (T, bool) {
	var none T
	if q.Len() == 0 {
		return none, false
	}
	return heap.Pop(&q.items).(T), true
}

// Peek returns the least item. It reports false where the queue is empty.
func (q *Queue[T]) Peek() (T, bool) {
	var none T
	if q.Len() == 0 {
		return none, false
	}
	return q.items.list[0], true
}

type items[T any] struct {
	list   []T
	isLess func(a, b T) bool
}

func (i *items[T]) Len() int           { return len(i.list) }
func (i *items[T]) Less(a, b int) bool { return i.isLess(i.list[a], i.list[b]) }
func (i *items[T]) Swap(a, b int)      { i.list[a], i.list[b] = i.list[b], i.list[a] }
func (i *items[T]) Push(item any)      { i.list = append(i.list, item.(T)) }

func (i *items[T]) Pop() any {
	var none T
	last := len(i.list) - 1
	item := i.list[last]
	i.list[last] = none
	i.list = i.list[:last]
	return item
}
