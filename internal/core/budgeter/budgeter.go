// Package budgeter bounds retries: each answered request earns a part of one, so that
// retries can't multiply the load of a service that is failing.
//
// # Usage
//
//	budget := budgeter.New(50)
//	if budget.Spend() {
//		// retry
//	}
//	budget.Earn()
package budgeter

// earned is the part of a retry that each answered request earns.
const earned = 0.1

// Budget is a count of retries in reserve.
type Budget struct {
	tokens float64
	most   float64
}

// New returns a full budget of at most so many retries.
func New(most float64) Budget { return Budget{tokens: most, most: most} }

// Spend takes a retry. It reports false where none is left.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Earn takes in that a request was answered.
func (b *Budget) Earn() { b.tokens = min(b.tokens+earned, b.most) }
