// Package sorter lists the keys of maps in order, and finds the nearest of some words.
//
// # Usage
//
//	for _, name := range sorter.Keys(workers) {
//		...
//	}
package sorter

import (
	"cmp"
	"slices"
)

// Keys returns the keys of a map in order.
func Keys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// maxDistance is how many letters a suggestion may differ in.
const maxDistance = 3

// Nearest returns the word that differs least from a wrong one, or "" where none is near.
func Nearest(wrong string, words []string) string {
	best := ""
	bestDistance := maxDistance + 1
	for _, word := range words {
		if d := distance(wrong, word); d < bestDistance && d < len(word) {
			best = word
			bestDistance = d
		}
	}
	return best
}

// Suggest returns the end of an error message that offers the nearest word, or "".
func Suggest(wrong string, words []string) string {
	if nearest := Nearest(wrong, words); nearest != "" {
		return "; did you mean " + nearest + "?"
	}
	return ""
}

// distance counts the letters to add, drop or change to turn a into b.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
