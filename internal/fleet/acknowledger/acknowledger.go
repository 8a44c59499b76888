// Package acknowledger decides which ends a worker may forget: those whose effect is kept.
//
// # Usage
//
//	if ends.Take(end.Number) {
//		// take the end in
//		ends.Mark(end.Number, batch)
//	}
//	ends.Saved(batch)
//	look.Acknowledged = ends.Acknowledged()
package acknowledger

// mark is an end that may be forgotten once a batch is kept.
type mark struct {
	number int64
	batch  int64
}

// Ends are the ends of a life of a worker. The zero value is that of a new life.
type Ends struct {
	taken        int64
	acknowledged int64
	marks        []mark
}

// Take reports whether an end is new, and notes it.
func (e *Ends) Take(number int64) bool {
	if number <= e.taken {
		return false
	}
	e.taken = number
	return true
}

// Mark notes that an end is kept with a batch.
func (e *Ends) Mark(number, batch int64) { e.marks = append(e.marks, mark{number, batch}) }

// Saved notes that the batches up to one are kept.
func (e *Ends) Saved(batch int64) {
	count := 0
	for count < len(e.marks) && e.marks[count].batch <= batch {
		e.acknowledged = e.marks[count].number
		count++
	}
	e.marks = e.marks[count:]
}

// Acknowledged returns the last end that may be forgotten.
func (e *Ends) Acknowledged() int64 { return e.acknowledged }
