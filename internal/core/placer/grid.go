package placer

import (
	"cmp"
	"slices"

	"lentilrock.example/internal/cell/descriptor"
)

const (
	// levels is how many steps of free processor time and of free memory the grid tells
	// apart.
	levels = 16
	cells  = levels * levels
	// probesPerCell bounds the workers that one decision looks at in a cell.
	probesPerCell = 8
)

// fillOrder lists the cells from the fullest workers to the emptiest.
var fillOrder = makeFillOrder()

func makeFillOrder() [cells]int {
	var order [cells]int
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order[:], func(a, b int) int {
		return cmp.Compare(a/levels+a%levels, b/levels+b%levels)
	})
	return order
}

// grid groups workers by how much of each resource is free, so that a decision looks at
// a few workers of a fitting group instead of at all.
type grid struct {
	// scale is the capacity that counts as the top level.
	scale   descriptor.Size
	members [cells][]*room
}

func level(amount, scale int64) int {
	if scale <= 0 || amount <= 0 {
		return 0
	}
	return int(min(amount*levels/(scale+1), levels-1))
}

func (g *grid) cellOf(free descriptor.Size) int {
	return level(free.MilliCores, g.scale.MilliCores)*levels + level(free.MemoryBytes, g.scale.MemoryBytes)
}

func (g *grid) insert(r *room) {
	r.cell = g.cellOf(r.free())
	r.position = len(g.members[r.cell])
	g.members[r.cell] = append(g.members[r.cell], r)
}

func (g *grid) remove(r *room) {
	members := g.members[r.cell]
	last := members[len(members)-1]
	members[r.position] = last
	last.position = r.position
	members[len(members)-1] = nil
	g.members[r.cell] = members[:len(members)-1]
}

// move puts a worker whose room changed into its cell.
func (g *grid) move(r *room) {
	if g.cellOf(r.free()) == r.cell {
		return
	}
	g.remove(r)
	g.insert(r)
}

// pick finds a worker. Only where the few looked at in each cell don't fit does it look
// at all that might.
func (g *grid) pick(need Need) *room {
	if need.Spread != nil {
		return g.spread(need)
	}
	if best := g.search(need, probesPerCell); best != nil {
		return best
	}
	return g.search(need, 0)
}

// search looks for the best worker of the fullest cell that has a fitting one. With
// probes of 0 it looks at every worker of a cell.
func (g *grid) search(need Need, probes int) *room {
	lowest := g.cellOf(need.Size)
	for _, cell := range fillOrder {
		if cell/levels < lowest/levels || cell%levels < lowest%levels {
			continue
		}
		if best := bestOf(g.members[cell], need, probes); best != nil {
			return best
		}
	}
	return nil
}

func bestOf(members []*room, need Need, probes int) *room {
	if probes > 0 && len(members) > probes {
		members = members[len(members)-probes:]
	}
	var best *room
	bestScore := 0.0
	for _, r := range members {
		if !r.takes(need) {
			continue
		}
		score := r.score(need)
		if best == nil || score < bestScore {
			best = r
			bestScore = score
		}
	}
	return best
}

// spread looks for the worker whose rack and self run the fewest of the job's tasks.
func (g *grid) spread(need Need) *room {
	lowest := g.cellOf(need.Size)
	var best *room
	bestCount := 0
	seen := 0
	for _, cell := range fillOrder {
		if cell/levels < lowest/levels || cell%levels < lowest%levels {
			continue
		}
		for _, r := range g.members[cell] {
			if !r.takes(need) {
				continue
			}
			count := need.Spread(r.host)
			if best == nil || count < bestCount {
				best = r
				bestCount = count
			}
			seen++
			if bestCount == 0 || seen >= spreadProbes {
				return best
			}
		}
	}
	return best
}
