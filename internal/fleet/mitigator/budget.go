package mitigator

import "time"

const (
	// budgetTime is the time over which actions are counted.
	budgetTime = 2 * time.Second
	// budgetDivisor is the part of the active runs that may be moved or copied within budgetTime, and minBudget the number that
	// always may.
	budgetDivisor = 20
	minBudget     = 4
)

// Budget bounds the actions, so that a wrong guess does not move everything. The zero value is full.
type Budget struct {
	since time.Time
	taken int
}

// Take reports whether one more action is allowed while a number of runs is active, and counts it.
func (b *Budget) Take(now time.Time, active int) bool {
	if now.Sub(b.since) >= budgetTime {
		b.since, b.taken = now, 0
	}
	if b.taken >= max(minBudget, active/budgetDivisor) {
		return false
	}
	b.taken++
	return true
}
