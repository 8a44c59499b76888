// Package assembler puts the parts of an upstream's answer back together.
//
// Parts may come out of order, doubled, or from an older attempt; the answer is whole only
// once every part up to the last is there.
//
// # Usage
//
//	a := assembler.New(attempt, maxBytes)
//	err := a.Add(part)
//	body, whole := a.Whole()
package assembler

import (
	"bytes"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/platform/messages"
)

// maxParts bounds the parts of one answer.
const maxParts = 1 << 16

// ErrTooLarge reports an answer over its limit.
var ErrTooLarge = errors.New("answer is too large")

// Assembler collects the parts of one answer.
type Assembler struct {
	attempt int
	limit   int
	size    int
	parts   map[int][]byte
	// last is the sequence number of the last part; -1 while it is not known.
	last int
}

// New returns an assembler for the answer of an attempt of at most limit bytes.
func New(attempt, limit int) *Assembler {
	return &Assembler{attempt: attempt, limit: limit, last: -1, parts: make(map[int][]byte)}
}

// Add takes in a part. Parts of another attempt and doubled ones are dropped; parts that
// contradict each other are an error.
func (a *Assembler) Add(p messages.Part) error {
	if p.Attempt != a.attempt {
		return nil
	}
	if p.Seq < 0 || p.Seq >= maxParts {
		return errors.Newf("part has sequence number %d, want 0 to %d", p.Seq, maxParts-1)
	}
	if known, found := a.parts[p.Seq]; found {
		if !bytes.Equal(known, p.Data) {
			return errors.Newf("part %d came twice with different content", p.Seq)
		}
		return nil
	}
	if err := a.checkLast(p); err != nil {
		return err
	}
	a.size += len(p.Data)
	if a.size > a.limit {
		return errors.Errorf("answer is over %d bytes: %w", a.limit, ErrTooLarge)
	}
	a.parts[p.Seq] = p.Data
	return nil
}

func (a *Assembler) checkLast(p messages.Part) error {
	isBeyond := a.last >= 0 && p.Seq > a.last
	if isBeyond || (p.Last && a.last >= 0) {
		return errors.Newf("part %d does not fit the last part %d", p.Seq, a.last)
	}
	if !p.Last {
		return nil
	}
	for seq := range a.parts {
		if seq > p.Seq {
			return errors.Newf("part %d is beyond the last part %d", seq, p.Seq)
		}
	}
	a.last = p.Seq
	return nil
}

// Whole returns the answer. It reports false while a part is missing.
func (a *Assembler) Whole() ([]byte, bool) {
	if a.last < 0 || len(a.parts) != a.last+1 {
		return nil, false
	}
	body := make([]byte, 0, a.size)
	for seq := range len(a.parts) {
		body = append(body, a.parts[seq]...)
	}
	return body, true
}
