// Package acknowledger decides which results of ended runs a worker may forget: those whose effects
// are durable. An end is the worker's report of the result of a run that ended.
//
// # Usage
//
//	if ends.Record(end.Number) {
//		// apply the result
//		ends.AwaitBatch(end.Number, batch)
//	}
//	ends.MarkDurable(batch)
//	look.Acknowledged = ends.Acknowledged()
package acknowledger

// pendingEnd is an end that may be acknowledged once its batch is durable.
type pendingEnd struct {
	number int64
	batch  int64
}

// ResultTracker tracks the ends that one incarnation of a worker reports. The zero value is that of
// a new incarnation.
type ResultTracker struct {
	received     int64
	acknowledged int64
	pending      []pendingEnd
}

// Record records an end and reports whether it is new.
func (e *ResultTracker) Record(number int64) bool {
	if number <= e.received {
		return false
	}
	e.received = number
	return true
}

// AwaitBatch records that an end is persisted with a batch.
func (e *ResultTracker) AwaitBatch(number, batch int64) {
	e.pending = append(e.pending, pendingEnd{number, batch})
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

// Acknowledged returns the number of the last end that the worker may forget.
func (e *ResultTracker) Acknowledged() int64 { return e.acknowledged }
