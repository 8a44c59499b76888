// Package marker holds sets of numbers and encodes them compactly. The encoding takes at most one bit a
// number and two bytes, and a few bytes if the numbers are in few runs.
//
// # Usage
//
//	var done marker.Set
//	done.Add(task)
//	data := done.Encode(len(tasks))
//	for i := range marker.Decode(data, len(tasks)) {
//		done.Add(i)
//	}
package marker

import (
	"encoding/binary"
	"iter"
)

// Forms of the encoding, in its first byte.
const (
	// formRuns is followed by the lengths of the runs of numbers that are alternately outside and
	// inside the set, beginning at 0 with one that is outside and may be empty.
	formRuns = iota + 1
	// formBits is followed by a bit for each number, the lowest ones first.
	formBits
)

// Encode returns the encoding of the numbers below bound that are in the set.
func (s *Set) Encode(bound int) []byte {
	maxSize := 1 + (bound+7)/8
	runs := []byte{formRuns}
	for end := 0; end < bound; {
		begin, found := s.nextMember(end)
		if !found || begin >= bound {
			break
		}
		runs = binary.AppendUvarint(runs, uint64(begin-end))
		end = min(s.NextMissing(begin), bound)
		if runs = binary.AppendUvarint(runs, uint64(end-begin)); len(runs) > maxSize {
			return s.encodeBits(bound)
		}
	}
	return runs
}

// encodeBits returns the encoding with a bit for each number below bound.
func (s *Set) encodeBits(bound int) []byte {
	data := []byte{formBits}
	for _, word := range s.words[:min((bound+wordBits-1)/wordBits, len(s.words))] {
		data = binary.LittleEndian.AppendUint64(data, word)
	}
	return data[:min(len(data), 1+(bound+7)/8)]
}

// Decode returns the numbers below bound that are in an encoded set, in ascending order. It ends early at
// data that Encode has not returned.
func Decode(data []byte, bound int) iter.Seq[int] {
	return func(yield func(int) bool) {
		switch {
		case len(data) == 0:
		case data[0] == formRuns:
			decodeRuns(data[1:], bound, yield)
		case data[0] == formBits:
			decodeBits(data[1:], bound, yield)
		}
	}
}

func decodeRuns(data []byte, bound int, yield func(int) bool) {
	next := 0
	for isInside := false; len(data) > 0; isInside = !isInside {
		length, size := binary.Uvarint(data)
		if size <= 0 || length > uint64(bound-next) {
			return
		}
		data = data[size:]
		for end := next + int(length); next < end; next++ {
			if isInside && !yield(next) {
				return
			}
		}
	}
}

func decodeBits(data []byte, bound int, yield func(int) bool) {
	for i := range min(bound, 8*len(data)) {
		if data[i/8]&(1<<(i%8)) != 0 && !yield(i) {
			return
		}
	}
}
