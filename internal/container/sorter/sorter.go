// Package sorter returns the sorted keys of maps and suggests corrections for misspelt words.
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

// Keys returns the keys of a map in ascending order.
func Keys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// maxDistance is the maximum edit distance of a suggestion.
const maxDistance = 3

// Nearest returns the word with the smallest edit distance to wrong, or "" if every distance
// exceeds maxDistance or is not below the length of the word.
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

// Suggest returns the nearest word as the end of an error message, "; did you mean ...?", or
// "" if there is none.
func Suggest(wrong string, words []string) string {
	if nearest := Nearest(wrong, words); nearest != "" {
		return "; did you mean " + nearest + "?"
	}
	return ""
}

// distance returns the Levenshtein distance of a and b in bytes: the number of bytes to
// insert, delete or replace.
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
