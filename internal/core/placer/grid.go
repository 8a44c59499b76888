package placer

import (
	"cmp"
	"slices"

	"lentilrock.example/internal/cell/descriptor"
)

const (
	// levels is the number of levels into which the grid divides free processor time and
	// free memory.
	levels    = 16
	cellCount = levels * levels
	// probesPerCell limits the workers of a cell that the first search examines.
	probesPerCell = 8
)

// bestFitOrder lists the cells in order of the free capacity of their workers, least first.
var bestFitOrder = makeBestFitOrder()

func makeBestFitOrder() [cellCount]int {
	var order [cellCount]int
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order[:], func(a, b int) int {
		return cmp.Compare(a/levels+a%levels, b/levels+b%levels)
	})
	return order
}

// grid groups workers into cells by their free processor time and memory, so that a
// decision examines a few workers of a fitting cell instead of all workers.
type grid struct {
	// scale is the capacity that belongs to the highest level.
	scale descriptor.Size
	cells [cellCount][]*worker
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

func (g *grid) insert(w *worker) {
	w.cell = g.cellOf(w.free())
	w.position = len(g.cells[w.cell])
	g.cells[w.cell] = append(g.cells[w.cell], w)
}

func (g *grid) remove(w *worker) {
	members := g.cells[w.cell]
	last := members[len(members)-1]
	members[w.position] = last
	last.position = w.position
	members[len(members)-1] = nil
	g.cells[w.cell] = members[:len(members)-1]
}

// move puts a worker whose free capacity changed into the matching cell.
func (g *grid) move(w *worker) {
	if g.cellOf(w.free()) == w.cell {
		return
	}
	g.remove(w)
	g.insert(w)
}

// pick returns a worker that meets the requirements, or nil. It examines all candidates only
// if none of the first probes, probesPerCell in each cell, fits.
func (g *grid) pick(req Requirements) *worker {
	if req.SpreadCount != nil {
		return g.pickSpread(req)
	}
	if best := g.search(req, probesPerCell); best != nil {
		return best
	}
	return g.search(req, 0)
}

// search returns the best worker of the first cell in bestFitOrder that has a fitting one.
// It examines at most probes workers of each cell, or all of them if probes is 0.
func (g *grid) search(req Requirements, probes int) *worker {
	minCell := g.cellOf(req.Size)
	for _, cell := range bestFitOrder {
		if cell/levels < minCell/levels || cell%levels < minCell%levels {
			continue
		}
		if best := bestOf(g.cells[cell], req, probes); best != nil {
			return best
		}
	}
	return nil
}

func bestOf(members []*worker, req Requirements, probes int) *worker {
	if probes > 0 && len(members) > probes {
		members = members[len(members)-probes:]
	}
	var best *worker
	bestScore := 0.0
	for _, w := range members {
		if !w.accepts(req) {
			continue
		}
		score := w.score(req)
		if best == nil || score < bestScore {
			best = w
			bestScore = score
		}
	}
	return best
}

// pickSpread returns the worker with the lowest SpreadCount among the first
// maxSpreadCandidates that meet the requirements. A worker with a count of 0 ends the search.
func (g *grid) pickSpread(req Requirements) *worker {
	minCell := g.cellOf(req.Size)
	var best *worker
	bestCount := 0
	compared := 0
	for _, cell := range bestFitOrder {
		if cell/levels < minCell/levels || cell%levels < minCell%levels {
			continue
		}
		for _, w := range g.cells[cell] {
			if !w.accepts(req) {
				continue
			}
			count := req.SpreadCount(w.host)
			if best == nil || count < bestCount {
				best = w
				bestCount = count
			}
			compared++
			if bestCount == 0 || compared >= maxSpreadCandidates {
				return best
			}
		}
	}
	return best
}
