// Package acknowledger decides which results of ended runs a worker may forget: those whose effects
// are durable.
//
// # Usage
//
//	if results.Record(end.Number) {
//		// apply the result
//		results.AwaitBatch(end.Number, batch)
//	}
//	results.MarkDurable(batch)
//	poll.Acknowledged = results.Unconfirmed()
package acknowledger

// pendingResult is a result that may be acknowledged once its batch is durable.
type pendingResult struct {
	number int64
	batch  int64
}

// ResultTracker tracks the results that one incarnation of a worker reports. The zero value is that of
// a new incarnation.
type ResultTracker struct {
	received     int64
	acknowledged int64
	// confirmed is the number up to which the worker has confirmed that it has forgotten the results.
	confirmed int64
	pending   []pendingResult
}

// Record records a result and reports whether it is new.
func (e *ResultTracker) Record(number int64) bool {
	if number <= e.received {
		return false
	}
	e.received = number
	return true
}

// AwaitBatch records that a result is persisted with a batch.
func (e *ResultTracker) AwaitBatch(number, batch int64) {
	e.pending = append(e.pending, pendingResult{number, batch})
}

// MarkDurable records that all batches up to the given one are durable.
func (e *ResultTracker) MarkDurable(batch int64) {
	count := 0
	for count < len(e.pending) && e.pending[count].batch <= batch {
		e.acknowledged = e.pending[count].number
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
