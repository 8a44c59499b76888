// Package adviser caches which workers are eligible to run a step, for queues whose policy allows
// only some workers, and selects the workers to request advice about.
//
// The eligibility of a worker for a step never changes, but the tickets expire: advice about an
// eligible worker is requested again, about an ineligible one never.
//
// # Usage
//
//	queried := cache.Choose(candidates, shares.QuerySize(queue, waiting))
//	cache.QuerySent(now)
//	...
//	eligible := cache.RecordResponse(now, queried, tickets, incarnations, validity)
//	shares.Update(queue, eligible, len(queried))
//	value, ok := cache.Ticket(worker, incarnation, now)
package adviser

import (
	"cmp"
	"slices"
	"time"

	"lentilrock.example/internal/container/sorter"
)

const (
	// initialShare is the assumed share of eligible workers before the first response.
	initialShare = 0.5
	// shareWeight is the weight of a new response in the moving average.
	shareWeight = 0.1
	// minQueried and maxQueried bound the number of workers in a request.
	minQueried = 12
	maxQueried = 40
	// extraQueried is the number of workers that are added to the expected need.
	extraQueried = 4
	// minShare bounds the size of requests for queues that allow few workers.
	minShare = 0.1
	// ticketMargin is subtracted from the validity of a ticket, for the transmission of a start.
	ticketMargin = 300 * time.Millisecond
	// retryPause is the backoff after a request that failed.
	retryPause = 250 * time.Millisecond
	// queryTimeout is how long after it was sent a request without a response counts as lost.
	queryTimeout = 4 * time.Second
)

// Ticket allows tasks of a step to start on one incarnation of a worker.
type Ticket struct {
	Value       string
	Incarnation int64
	Until       time.Time
}

// Candidate is a worker that may be included in a request; a lower score is better.
type Candidate struct {
	ID    string
	Score float64
}

// Cache holds the eligibility and the tickets of workers for one step. The zero value is empty.
type Cache struct {
	tickets map[string]Ticket
	// ticketed are the IDs of the workers with a ticket, sorted.
	ticketed   []string
	isEligible map[string]bool
	queriedAt  time.Time
	isPending  bool
	notBefore  time.Time
}

// Ticket returns the ticket for an incarnation of a worker; false if there is no valid one.
func (c *Cache) Ticket(worker string, incarnation int64, now time.Time) (string, bool) {
	t, found := c.tickets[worker]
	if !found || t.Incarnation != incarnation || !now.Before(t.Until) {
		return "", false
	}
	return t.Value, true
}

// TicketedWorkers returns the sorted IDs of the workers with a ticket, which may have expired.
func (c *Cache) TicketedWorkers() []string { return c.ticketed }

// Drop deletes a ticket that the worker refused.
func (c *Cache) Drop(worker string) {
	delete(c.tickets, worker)
	c.ticketed = sorter.Keys(c.tickets)
}

// CanQuery reports whether no request is pending and the backoff after a failed one is over.
func (c *Cache) CanQuery(now time.Time) bool {
	return (!c.isPending || now.Sub(c.queriedAt) >= queryTimeout) && !now.Before(c.notBefore)
}

// IsIneligible reports whether a worker is known to be ineligible.
func (c *Cache) IsIneligible(worker string) bool {
	eligible, known := c.isEligible[worker]
	return known && !eligible
}

// IsEligible reports whether a worker is known to be eligible.
func (c *Cache) IsEligible(worker string) bool { return c.isEligible[worker] }

// Choose returns the IDs of at most limit workers to request advice about: first those that are
// known to be eligible, then by score. It sorts candidates in place.
func (c *Cache) Choose(candidates []Candidate, limit int) []string {
	slices.SortStableFunc(candidates, func(x, y Candidate) int {
		if c.isEligible[x.ID] != c.isEligible[y.ID] {
			if c.isEligible[x.ID] {
				return -1
			}
			return 1
		}
		return cmp.Compare(x.Score, y.Score)
	})
	ids := make([]string, 0, limit)
	for i := 0; i < len(candidates) && i < limit; i++ {
		ids = append(ids, candidates[i].ID)
	}
	return ids
}

// QueriedAt returns when the last request was sent; zero if none was.
func (c *Cache) QueriedAt() time.Time { return c.queriedAt }

// QuerySent records that a request is pending.
func (c *Cache) QuerySent(now time.Time) { c.isPending, c.queriedAt = true, now }

// QueryFailed records that a request failed and begins the backoff.
func (c *Cache) QueryFailed(now time.Time) { c.isPending, c.notBefore = false, now.Add(retryPause) }

// RecordResponse records the tickets for the workers of a request and returns how many of these
// workers are eligible. Incarnations are those of the known workers; others get no ticket.
func (c *Cache) RecordResponse(now time.Time, queried []string, tickets map[string]string, incarnations map[string]int64, valid time.Duration) int {
	c.isPending = false
	if c.isEligible == nil {
		c.isEligible, c.tickets = make(map[string]bool), make(map[string]Ticket)
	}
	until := now.Add(valid - ticketMargin)
	eligible := 0
	for _, id := range queried {
		value, isEligible := tickets[id]
		c.isEligible[id] = isEligible
		if !isEligible {
			continue
		}
		eligible++
		if incarnation, known := incarnations[id]; known {
			c.tickets[id] = Ticket{Value: value, Incarnation: incarnation, Until: until}
		}
	}
	c.ticketed = sorter.Keys(c.tickets)
	return eligible
}

// Shares are the learned shares of eligible workers, by queue. The zero value is empty.
type Shares struct {
	byQueue map[string]float64
}

// Of returns the share of eligible workers for a queue.
func (s *Shares) Of(queue string) float64 {
	if share, found := s.byQueue[queue]; found {
		return share
	}
	return initialShare
}

// Update adds a response to the moving average of a queue.
func (s *Shares) Update(queue string, eligible, queried int) {
	if queried == 0 {
		return
	}
	if s.byQueue == nil {
		s.byQueue = make(map[string]float64)
	}
	share := s.Of(queue)
	s.byQueue[queue] = share + shareWeight*(float64(eligible)/float64(queried)-share)
}

// QuerySize returns the number of workers to request advice about for a number of waiting tasks.
func (s *Shares) QuerySize(queue string, waiting int) int {
	want := int(float64(waiting)/max(s.Of(queue), minShare)) + extraQueried
	return min(max(want, minQueried), maxQueried)
}
