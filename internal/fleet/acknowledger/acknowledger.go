// Package acknowledger decides which results of ended runs a worker may forget: those whose effects
// are durable. An end is the worker's report of the result of a run that ended.
//
// # Usage
//
//	if ends.Take(end.Number) {
//		// apply the result
//		ends.Mark(end.Number, batch)
//	}
//	ends.Saved(batch)
//	look.Acknowledged = ends.Acknowledged()
package acknowledger

// pendingEnd is an end that may be acknowledged once its batch is durable.
type pendingEnd struct {
	number int64
	batch  int64
}

// Ends tracks the ends that one incarnation of a worker reports. The zero value is that of a new
// incarnation.
type Ends struct {
	received     int64
	acknowledged int64
	pending      []pendingEnd
}

// Take records an end and reports whether it is new.
func (e *Ends) Take(number int64) bool {
	if number <= e.received {
		return false
	}
	e.received = number
	return true
}

// Mark records that an end is persisted with a batch.
func (e *Ends) Mark(number, batch int64) { e.pending = append(e.pending, pendingEnd{number, batch}) }

// Saved records that all batches up to the given one are durable.
func (e *Ends) Saved(batch int64) {
	count := 0
	for count < len(e.pending) && e.pending[count].batch <= batch {
		e.acknowledged = e.pending[count].number
		count++
	}
	e.pending = e.pending[count:]
}

// Acknowledged returns the number of the last end that the worker may forget.
func (e *Ends) Acknowledged() int64 { return e.acknowledged }
