// Package retrier decides when a caller whose request was refused should try again.
//
// Callers give up 3 s after their first try, so that any wait beyond the shortest one costs some of them their last
// try. The waits are therefore spread only while a host refuses so many requests that their retries would come as a
// burst.
//
// # Usage
//
//	r := retrier.New(rand.IntN)
//	header.Set("Retry-After", strconv.Itoa(r.Next(clock.Now())))
package retrier

import (
	"sync"
	"time"
)

const (
	// minWait and maxWait bound the wait, in seconds. After 3 s callers have given up.
	minWait = 1
	maxWait = 2
	// manyRefusals is the number of refusals in a period from which on waits are spread: a tenth of the write calls
	// that the store handles.
	manyRefusals = 120
	period       = time.Second
)

// Retrier decides on waits. It is safe for concurrent use.
type Retrier struct {
	random func(n int) int

	mu sync.Mutex
	// refusals counts those since begin, and former those of the period before.
	begin            time.Time
	refusals, former int
}

// New returns a retrier that takes random numbers from 0 to n-1 from a function, which must be safe for concurrent use.
// Without one, no waits are spread.
func New(random func(n int) int) *Retrier { return &Retrier{random: random} }

// Next records a refusal and returns the wait for its Retry-After header, in seconds.
func (r *Retrier) Next(now time.Time) int {
	if !r.record(now) || r.random == nil {
		return minWait
	}
	return minWait + r.random(maxWait-minWait+1)
}

// record records a refusal and reports whether there have been many.
func (r *Retrier) record(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if elapsed := now.Sub(r.begin); elapsed < 0 || elapsed >= period {
		r.former = 0
		if elapsed >= period && elapsed < 2*period {
			r.former = r.refusals
		}
		r.begin, r.refusals = now, 0
	}
	r.refusals++
	return max(r.refusals, r.former) >= manyRefusals
}
