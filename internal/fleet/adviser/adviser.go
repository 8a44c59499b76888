// Package adviser keeps what is known of the workers that may run a step of a queue whose
// policy allows only some of them, and says about which to ask.
//
// The answer for a step never changes, but its tickets lapse: a worker that is known to be
// good is asked about again, a bad one never.
//
// # Usage
//
//	asked := book.Choose(candidates, book.Want(waiting, shares.Of(queue)), now)
//	book.Asked(now)
//	...
//	good := book.Answered(now, asked, tickets, incarnations, validity)
//	shares.Learn(queue, good, len(asked))
//	value, ok := book.Ticket(worker, incarnation, now)
package adviser

import (
	"cmp"
	"slices"
	"time"

	"lentilrock.example/internal/container/sorter"
)

const (
	// priorShare is the assumed share of good workers before the first answer.
	priorShare = 0.5
	// shareWeight is that of a new answer in the moving average.
	shareWeight = 0.1
	// minAsked and maxAsked bound the workers that a question names.
	minAsked = 12
	maxAsked = 40
	// spareAsked is asked on top of the expected need.
	spareAsked = 4
	// minShare bounds the questions of queues that allow few workers.
	minShare = 0.1
	// ticketMargin is taken off a ticket's life for the way of a start.
	ticketMargin = 300 * time.Millisecond
	// retryPause is the pause after a question that was not answered.
	retryPause = 250 * time.Millisecond
	// lostAfter is when a question counts as lost.
	lostAfter = 4 * time.Second
)

// Ticket lets tasks of a step start on one life of a worker.
type Ticket struct {
	Value       string
	Incarnation int64
	Until       time.Time
}

// Candidate is a worker that might be asked about; a lower score is better.
type Candidate struct {
	ID    string
	Score float64
}

// Book is what is known of the workers that may run a step. Its zero value knows nothing.
type Book struct {
	tickets map[string]Ticket
	// holders are the workers with a ticket, by name.
	holders   []string
	isGood    map[string]bool
	askedAt   time.Time
	isAsking  bool
	notBefore time.Time
}

// Ticket returns the valid ticket at a life of a worker.
func (b *Book) Ticket(worker string, incarnation int64, now time.Time) (string, bool) {
	t, found := b.tickets[worker]
	if !found || t.Incarnation != incarnation || !now.Before(t.Until) {
		return "", false
	}
	return t.Value, true
}

// Holders returns the workers for which there is a ticket, which may have lapsed, by name.
func (b *Book) Holders() []string { return b.holders }

// Drop forgets a ticket that the worker refused.
func (b *Book) Drop(worker string) {
	delete(b.tickets, worker)
	b.holders = sorter.Keys(b.tickets)
}

// MayAsk reports whether no question is under way and none failed just now.
func (b *Book) MayAsk(now time.Time) bool {
	return (!b.isAsking || now.Sub(b.askedAt) >= lostAfter) && !now.Before(b.notBefore)
}

// IsBad reports whether a worker is known not to be allowed.
func (b *Book) IsBad(worker string) bool {
	good, known := b.isGood[worker]
	return known && !good
}

// IsGood reports whether a worker is known to be allowed.
func (b *Book) IsGood(worker string) bool { return b.isGood[worker] }

// Choose returns the workers to ask about: the good ones first, then by their score.
func (b *Book) Choose(candidates []Candidate, want int) []string {
	slices.SortStableFunc(candidates, func(x, y Candidate) int {
		if b.isGood[x.ID] != b.isGood[y.ID] {
			if b.isGood[x.ID] {
				return -1
			}
			return 1
		}
		return cmp.Compare(x.Score, y.Score)
	})
	ids := make([]string, 0, want)
	for i := 0; i < len(candidates) && i < want; i++ {
		ids = append(ids, candidates[i].ID)
	}
	return ids
}

// Asked notes that a question is under way.
func (b *Book) Asked(now time.Time) { b.isAsking, b.askedAt = true, now }

// Failed notes that a question was not answered.
func (b *Book) Failed(now time.Time) { b.isAsking, b.notBefore = false, now.Add(retryPause) }

// Answered takes in the tickets for the workers that were asked about. It returns how many
// are good. Incarnations are those of the workers that are known.
func (b *Book) Answered(now time.Time, asked []string, tickets map[string]string, incarnations map[string]int64, valid time.Duration) int {
	b.isAsking = false
	if b.isGood == nil {
		b.isGood, b.tickets = make(map[string]bool), make(map[string]Ticket)
	}
	until := now.Add(valid - ticketMargin)
	good := 0
	for _, id := range asked {
		value, isGood := tickets[id]
		b.isGood[id] = isGood
		if !isGood {
			continue
		}
		good++
		if incarnation, known := incarnations[id]; known {
			b.tickets[id] = Ticket{Value: value, Incarnation: incarnation, Until: until}
		}
	}
	b.holders = sorter.Keys(b.tickets)
	return good
}

// Shares are the learned shares of good workers, by queue. The zero value knows nothing.
type Shares struct {
	byQueue map[string]float64
}

// Of returns the share of a queue.
func (s *Shares) Of(queue string) float64 {
	if share, found := s.byQueue[queue]; found {
		return share
	}
	return priorShare
}

// Learn takes in an answer.
func (s *Shares) Learn(queue string, good, asked int) {
	if asked == 0 {
		return
	}
	if s.byQueue == nil {
		s.byQueue = make(map[string]float64)
	}
	share := s.Of(queue)
	s.byQueue[queue] = share + shareWeight*(float64(good)/float64(asked)-share)
}

// Want returns about how many workers to ask for so many waiting tasks.
func (s *Shares) Want(queue string, waiting int) int {
	want := int(float64(waiting)/max(s.Of(queue), minShare)) + spareAsked
	return min(max(want, minAsked), maxAsked)
}
