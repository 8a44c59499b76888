package marker

import (
	"math"
	"math/bits"
)

// wordBits is the number of bits of a word of a set.
const wordBits = 64

// Set is a set of numbers from 0 on. It takes a bit for each number up to the largest one in it. The zero
// value is empty.
type Set struct {
	words []uint64
}

// Has reports whether a number is in the set.
func (s *Set) Has(number int) bool {
	word := number / wordBits
	return word < len(s.words) && s.words[word]&(1<<(number%wordBits)) != 0
}

// Add adds a number.
func (s *Set) Add(number int) {
	word := number / wordBits
	if word >= len(s.words) {
		s.words = append(s.words, make([]uint64, word+1-len(s.words))...)
	}
	s.words[word] |= 1 << (number % wordBits)
}

// Count returns how many numbers from begin to before end are in the set.
func (s *Set) Count(begin, end int) int {
	count := 0
	for begin < end {
		word, offset := begin/wordBits, begin%wordBits
		if word >= len(s.words) {
			break
		}
		length := min(wordBits-offset, end-begin)
		count += bits.OnesCount64(s.words[word] >> offset << (wordBits - length))
		begin += length
	}
	return count
}

// NextMissing returns the lowest number from begin on that is not in the set.
func (s *Set) NextMissing(begin int) int {
	next, found := s.next(begin, math.MaxUint64)
	if !found {
		return max(begin, len(s.words)*wordBits)
	}
	return next
}

// nextMember returns the lowest number from begin on that is in the set; false if there is none.
func (s *Set) nextMember(begin int) (int, bool) { return s.next(begin, 0) }

// next returns the lowest number from begin on whose bit is set in a word of the set after an exclusive or
// with mask; false if there is none.
func (s *Set) next(begin int, mask uint64) (int, bool) {
	for word := begin / wordBits; word < len(s.words); word++ {
		if value := (s.words[word] ^ mask) >> (begin % wordBits); value != 0 {
			return begin + bits.TrailingZeros64(value), true
		}
		begin = (word + 1) * wordBits
	}
	return 0, false
}
