// Package rotator selects a bounded number of items from a list that is ordered by importance: the first ones
// always, and the others in rotation, so that each is selected after a while.
//
// # Usage
//
//	var r rotator.Rotator
//	for _, step := range rotator.Select(&r, steps, 64) {
//		...
//	}
package rotator

import "slices"

// Rotator remembers how far the rotation has come. The zero value begins with the first item.
type Rotator struct {
	offset int
}

// Select returns all items, or limit of them if there are more: the first half of the limit, and others in
// rotation.
func Select[T any](r *Rotator, items []T, limit int) []T {
	if len(items) <= limit {
		return items
	}
	fixed := limit / 2
	selected := slices.Clone(items[:fixed])
	others := items[fixed:]
	count := limit - fixed
	for i := range count {
		selected = append(selected, others[(r.offset+i)%len(others)])
	}
	r.offset = (r.offset + count) % len(others)
	return selected
}
