// Package assembler reassembles the response of an upstream from its parts.
//
// Parts may arrive out of order, more than once, or from an earlier attempt. The response is
// complete only once every part up to the last has arrived.
//
// # Usage
//
//	a := assembler.New(attempt, maxBytes)
//	err := a.Add(part)
//	body, isComplete := a.Body()
package assembler

import (
	"bytes"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/platform/messages"
)

// maxParts is the maximum number of parts of one response.
const maxParts = 1 << 16

// ErrTooLarge reports a response that exceeds its size limit.
var ErrTooLarge = errors.New("answer is too large")

// Assembler collects the parts of one response.
type Assembler struct {
	attempt int
	// limit is the maximum size of the response, in bytes.
	limit int
	// size is the total size of the collected parts, in bytes.
	size int
	// parts is the content of the collected parts, by sequence number.
	parts map[int][]byte
	// last is the sequence number of the last part, or -1 while it is unknown.
	last int
}

// New returns an assembler for the response to one attempt of a request, of at most limit
// bytes.
func New(attempt, limit int) *Assembler {
	return &Assembler{attempt: attempt, limit: limit, last: -1, parts: make(map[int][]byte)}
}

// Add adds a part. It drops parts of other attempts and duplicates. It returns an error for a
// sequence number out of range, for parts that contradict each other, and, wrapping
// ErrTooLarge, for a response over the limit.
func (a *Assembler) Add(p messages.Part) error {
	if p.Attempt != a.attempt {
		return nil
	}
	if p.Seq < 0 || p.Seq >= maxParts {
		return errors.Newf("part has sequence number %d, want 0 to %d", p.Seq, maxParts-1)
	}
	if existing, found := a.parts[p.Seq]; found {
		if !bytes.Equal(existing, p.Data) {
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

// checkLast records the last part and checks that no part follows it.
func (a *Assembler) checkLast(p messages.Part) error {
	isAfterLast := a.last >= 0 && p.Seq > a.last
	if isAfterLast || (p.Last && a.last >= 0) {
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

// Body returns the complete response. It reports false while a part is missing.
func (a *Assembler) Body() ([]byte, bool) {
	if a.last < 0 || len(a.parts) != a.last+1 {
		return nil, false
	}
	body := make([]byte, 0, a.size)
	for seq := range len(a.parts) {
		body = append(body, a.parts[seq]...)
	}
	return body, true
}
