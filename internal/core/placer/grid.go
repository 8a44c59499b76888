package placer

import (
	"cmp"
	"slices"

	"lentilrock.example/internal/cell/descriptor"
)

const (
	// levels is the number of levels into which the grid divides free processor time and
	// free memory.
	levels      = 16
	bucketCount = levels * levels
	// probesPerBucket limits the workers of a bucket that the first search examines.
	probesPerBucket = 8
)

// bestFitOrder lists the buckets in order of the free capacity of their workers, least first.
var bestFitOrder = makeBestFitOrder()

func makeBestFitOrder() [bucketCount]int {
	var order [bucketCount]int
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order[:], func(a, b int) int {
		return cmp.Compare(a/levels+a%levels, b/levels+b%levels)
	})
	return order
}

// grid groups workers into buckets by their free processor time and memory, so that a
// decision examines a few workers of a fitting bucket instead of all workers.
type grid struct {
	// scale is the capacity that belongs to the highest level.
	scale   descriptor.Size
	buckets [bucketCount][]*worker
}

func level(amount, scale int64) int {
	if scale <= 0 || amount <= 0 {
		return 0
	}
	return int(min(amount*levels/(scale+1), levels-1))
}

func (g *grid) bucketOf(free descriptor.Size) int {
	return level(free.MilliCores, g.scale.MilliCores)*levels + level(free.MemoryBytes, g.scale.MemoryBytes)
}

func (g *grid) insert(w *worker) {
	w.bucket = g.bucketOf(w.free())
	w.position = len(g.buckets[w.bucket])
	g.buckets[w.bucket] = append(g.buckets[w.bucket], w)
}

func (g *grid) remove(w *worker) {
	members := g.buckets[w.bucket]
	last := members[len(members)-1]
	members[w.position] = last
	last.position = w.position
	members[len(members)-1] = nil
	g.buckets[w.bucket] = members[:len(members)-1]
}

// move puts a worker whose free capacity changed into the matching bucket.
func (g *grid) move(w *worker) {
	if g.bucketOf(w.free()) == w.bucket {
		return
	}
	g.remove(w)
	g.insert(w)
}

// pick returns a worker that meets the requirements, or nil. It first examines up to probesPerBucket workers
// of each bucket, and all of them only if none fits.
func (g *grid) pick(req Requirements) *worker {
	if req.SpreadCount != nil {
		return g.pickSpread(req)
	}
	if best := g.search(req, probesPerBucket); best != nil {
		return best
	}
	return g.search(req, 0)
}

// search returns the best worker of the first bucket in bestFitOrder that has a fitting one.
// It examines at most probes workers of each bucket, or all of them if probes is 0.
func (g *grid) search(req Requirements, probes int) *worker {
	minBucket := g.bucketOf(req.Size)
	for _, bucket := range bestFitOrder {
		if bucket/levels < minBucket/levels || bucket%levels < minBucket%levels {
			continue
		}
		if best := bestOf(g.buckets[bucket], req, probes); best != nil {
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
	minBucket := g.bucketOf(req.Size)
	var best *worker
	bestCount := 0
	compared := 0
	for _, bucket := range bestFitOrder {
		if bucket/levels < minBucket/levels || bucket%levels < minBucket%levels {
			continue
		}
		for _, w := range g.buckets[bucket] {
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
