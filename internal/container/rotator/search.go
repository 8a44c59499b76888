package rotator

// Search finds numbers in a range that meet a condition, at a bounded cost. It prefers the first ones and finds
// the others in rotation, so that each is found after a while. The zero value begins the rotation at the start.
type Search struct {
	// Limit is the maximum number of results, and MaxCost the cost at which each half of the search ends.
	Limit   int
	MaxCost int
	// next is where the rotation goes on.
	next int
}

// Find returns the numbers from begin to before end for which isWanted returns true, at most Limit of them. The
// function also returns the cost of the call.
func (s *Search) Find(begin, end int, isWanted func(number int) (bool, int)) []int {
	var found []int
	cost := 0
	scan := func(begin, end int) int {
		for ; begin < end && len(found) < s.Limit && cost < s.MaxCost; begin++ {
			isFound, c := isWanted(begin)
			if cost += c; isFound {
				found = append(found, begin)
			}
		}
		return begin
	}
	next := scan(begin, end)
	if next >= end {
		return found
	}
	if fixed := s.Limit / 2; len(found) > fixed {
		found = found[:fixed]
		next = found[fixed-1] + 1
	}
	if s.next < next || s.next >= end {
		s.next = next
	}
	cost = 0
	first := s.next
	if s.next = scan(first, end); s.next >= end {
		s.next = scan(next, first)
	}
	return found
}
