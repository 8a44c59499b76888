// Package acknowledger decides which results of ended runs a worker may forget: those whose effects
// are durable, and whose tasks can't be started again by a start that arrives late.
//
// # Usage
//
//	if results.Record(end.Number) {
//		// apply the result
//		results.Await(acknowledger.Result{Number: end.Number, Batch: batch})
//	}
//	results.MarkDurable(batch, now)
//	poll.Acknowledged = results.Unconfirmed()
package acknowledger

import "time"

// maxHeld bounds the results that wait for a late start, as a worker lists a limited number of them at a time.
const maxHeld = 200

// Result is a result that may be acknowledged once its batch is durable, and not before a time.
type Result struct {
	Number    int64
	Batch     int64
	NotBefore time.Time
}

// ResultTracker tracks the results that one incarnation of a worker reports. The zero value is that of
// a new incarnation.
type ResultTracker struct {
	received     int64
	acknowledged int64
	// confirmed is the number up to which the worker has confirmed that it has forgotten the results.
	confirmed int64
	pending   []Result
}

// Record records a result and reports whether it is new.
func (e *ResultTracker) Record(number int64) bool {
	if number <= e.received {
		return false
	}
	e.received = number
	return true
}

// Await records what a result waits for.
func (e *ResultTracker) Await(result Result) { e.pending = append(e.pending, result) }

// MarkDurable records that all batches up to the given one are durable. A result that may not be acknowledged yet holds back
// those after it, of which there can only be maxHeld.
func (e *ResultTracker) MarkDurable(batch int64, now time.Time) {
	count := 0
	for count < len(e.pending) && e.pending[count].Batch <= batch {
		if now.Before(e.pending[count].NotBefore) && len(e.pending)-count <= maxHeld {
			break
		}
		e.acknowledged = e.pending[count].Number
		count++
	}
	e.pending = e.pending[count:]
}

// Unconfirmed returns the number of the last result that the worker may forget, or 0 if the worker has confirmed
// all of them.
func (e *ResultTracker) Unconfirmed() int64 {
	if e.acknowledged == e.confirmed {
		return 0
	}
	return e.acknowledged
}

// Confirm records that the worker has forgotten the results up to a number.
func (e *ResultTracker) Confirm(number int64) { e.confirmed = max(e.confirmed, number) }
