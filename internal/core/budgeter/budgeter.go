// Package budgeter implements a retry budget. Each answered request earns a fraction of a
// retry, so that retries can't multiply the load of a service that is failing.
//
// # Usage
//
//	budget := budgeter.New(50)
//	if budget.Spend() {
//		// retry
//	}
//	budget.Earn()
package budgeter

// earnedPerRequest is the fraction of a retry that each answered request earns.
const earnedPerRequest = 0.1

// Budget is a token bucket of retries. It is not safe for concurrent use.
type Budget struct {
	tokens   float64
	capacity float64
}

// New returns a full budget that holds at most capacity retries.
func New(capacity float64) Budget { return Budget{tokens: capacity, capacity: capacity} }

// Spend takes one retry from the budget. It reports false if less than one is left.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Earn credits the budget for an answered request.
func (b *Budget) Earn() { b.tokens = min(b.tokens+earnedPerRequest, b.capacity) }
