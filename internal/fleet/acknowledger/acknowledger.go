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
//	poll.Acknowledged = results.Acknowledged()
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
	pending      []pendingResult
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

// Acknowledged returns the number of the last result that the worker may forget.
func (e *ResultTracker) Acknowledged() int64 { return e.acknowledged }
