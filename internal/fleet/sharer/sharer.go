// Package sharer orders the steps that wait for capacity so that each workspace gets its share when capacity is short. It
// handles the load of a workspace that sends several times its usual rate while others send theirs: their jobs go first,
// and what they leave is lent to the others.
//
// Long-running steps go first, as they are of no use while they are down. Then come the jobs within the guaranteed rate of
// their workspace, then those in excess of it, each in the order of the priorities of their queues. Within a priority the
// workspace that uses the least of its fair share goes first, in levels of a quarter of that share; within a level the
// ranks decide, so that objectives keep their meaning among workspaces that are served about equally well.
//
// # Usage
//
//	s := sharer.New()
//	s.SetWorkspaces(workspaces)
//	s.AddJob(job, now)
//	s.Reset()
//	s.AddRun(run.Owner.Workspace, run.Charge)
//	steps = s.Order(tasker.ReadySteps(jobs, now), capacity, 1024, now)
package sharer

import (
	"container/heap"
	"math"
	"time"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/tasker"
)

const (
	// levels is the number of levels up to the fair share of a workspace. With finer ones, small differences in use
	// override the objectives; with coarser ones, a workspace stays further behind.
	levels = 4
	// defaultWeight is the weight if no workspace has one.
	defaultWeight = 1
)

// Sharer orders steps by the shares of their workspaces. Without workspaces it leaves the order as it is.
type Sharer struct {
	weights map[string]float64
	// meanWeight is that of jobs without a workspace, and of workspaces without a weight.
	meanWeight float64
	buckets    map[string]*bucket
	known      map[describer.JobID]bool
	// shares are the workspaces that wait or run, by name. Those of an earlier round are kept, to save the memory of new ones.
	shares map[string]*share
	round  int64
	// sumOfWeights is that of the workspaces of the current round.
	sumOfWeights float64
	// entries are the steps of the current round that are not ordered yet.
	entries []entry
	// excessSteps counts the steps in excess in the current round.
	excessSteps int
}

// ExcessSteps returns how many of the steps that were last ordered are of jobs in excess.
func (s *Sharer) ExcessSteps() int { return s.excessSteps }

// entry is a step that waits.
type entry struct {
	step  *tasker.Step
	share *share
	group group
}

// New returns a Sharer without workspaces and jobs.
func New() *Sharer {
	return &Sharer{buckets: make(map[string]*bucket), known: make(map[describer.JobID]bool), shares: make(map[string]*share), meanWeight: defaultWeight}
}

// SetWorkspaces replaces the workspaces. It reports whether there were none and now are some: the jobs of the log have to
// be added then, as none were kept.
func (s *Sharer) SetWorkspaces(workspaces map[string]describer.Workspace) bool {
	needsJobs := len(s.weights) == 0 && len(workspaces) > 0
	clear(s.shares)
	if len(workspaces) == 0 {
		clear(s.buckets)
		clear(s.known)
	}
	s.weights = make(map[string]float64, len(workspaces))
	sum, count := 0.0, 0
	for _, w := range workspaces {
		if w.Weight > 0 {
			sum, count = sum+w.Weight, count+1
		}
	}
	s.meanWeight = defaultWeight
	if count > 0 {
		s.meanWeight = sum / float64(count)
	}
	for name, w := range workspaces {
		s.weights[name] = w.Weight
		if w.Weight <= 0 {
			s.weights[name] = s.meanWeight
		}
	}
	for _, b := range s.buckets {
		b.isSettled = false
	}
	return needsJobs
}

// Weight returns the weight of a workspace, or of the jobs without one.
func (s *Sharer) Weight(name string) float64 {
	if weight, found := s.weights[name]; found {
		return weight
	}
	return s.meanWeight
}

// share is a workspace with runs or with steps that wait.
type share struct {
	name   string
	weight float64
	// bucket is that of the workspace; nil if it has no jobs.
	bucket *bucket
	// round is the one in which it was last used.
	round int64
	// factor turns a share of the capacity into a part of the workspace's fair share.
	factor float64
	used   describer.Resources
	// steps are those of the current group, by rank.
	steps []*tasker.Step
	level int
}

// Reset begins a round without runs.
func (s *Sharer) Reset() {
	s.round++
	s.sumOfWeights = 0
}

// AddRun adds what a run of a workspace, or of none, uses.
func (s *Sharer) AddRun(workspace string, charge describer.Resources) {
	sh := s.shareOf(workspace)
	sh.used = sh.used.Plus(charge)
}

// shareOf returns the share under which the jobs of a workspace count: that of the empty name if it is not configured.
func (s *Sharer) shareOf(workspace string) *share {
	sh, found := s.shares[workspace]
	if !found {
		if _, isConfigured := s.weights[workspace]; !isConfigured && workspace != "" {
			return s.shareOf("")
		}
		sh = &share{name: workspace, weight: s.Weight(workspace), bucket: s.buckets[workspace]}
		s.shares[workspace] = sh
	}
	if sh.round != s.round {
		sh.round, sh.used = s.round, describer.Resources{}
		s.sumOfWeights += sh.weight
	}
	return sh
}

// Order returns steps, which are ordered by rank, in the order in which they get capacity. Only the first ones are ordered,
// up to a limit; the others follow in any order.
func (s *Sharer) Order(steps []*tasker.Step, capacity describer.Resources, limit int, now time.Time) []*tasker.Step {
	if len(s.weights) == 0 || len(steps) < 2 {
		return steps
	}
	s.settle()
	s.entries = s.entries[:0]
	sizes := make(map[group]int)
	for _, step := range steps {
		sh := s.shareOf(step.Job.Spec.Workspace)
		g := s.groupOf(step, sh)
		sizes[g]++
		s.entries = append(s.entries, entry{step, sh, g})
	}
	s.excessSteps = 0
	ordered := make([]*tasker.Step, 0, len(steps))
	for _, g := range sortedGroups(sizes) {
		if g.class == inExcess {
			s.excessSteps += sizes[g]
		}
		if len(ordered) < limit {
			ordered = s.fill(ordered, g, capacity, limit, now)
		}
	}
	for _, e := range s.entries {
		if e.step != nil {
			ordered = append(ordered, e.step)
		}
	}
	clear(s.entries)
	return ordered
}

// fill appends the steps of a group, up to the limit, and removes them from the entries. The tasks of a step that was
// appended count as if they ran, so that workspaces take turns. Those of a gang don't count, as it may not fit and would
// set back the other steps of its workspace.
func (s *Sharer) fill(ordered []*tasker.Step, g group, capacity describer.Resources, limit int, now time.Time) []*tasker.Step {
	var waiting shareHeap
	for i, e := range s.entries {
		switch {
		case e.step == nil || e.group != g:
			continue
		case g.class == longRunning:
			ordered = append(ordered, e.step)
		default:
			if len(e.share.steps) == 0 {
				e.share.factor = s.sumOfWeights / e.share.weight
				e.share.level = e.share.levelIn(capacity)
				waiting = append(waiting, e.share)
			}
			e.share.steps = append(e.share.steps, e.step)
		}
		s.entries[i].step = nil
	}
	heap.Init(&waiting)
	for len(waiting) > 0 && len(ordered) < limit {
		sh := waiting[0]
		step := sh.steps[0]
		ordered, sh.steps = append(ordered, step), sh.steps[1:]
		if !step.Spec.Gang {
			sh.used = sh.used.Plus(step.Spec.Charge().Times(step.WaitingTasks(now)))
			sh.level = sh.levelIn(capacity)
		}
		if len(sh.steps) == 0 {
			heap.Pop(&waiting)
			continue
		}
		heap.Fix(&waiting, 0)
	}
	// What is over the limit follows by workspace.
	for _, sh := range waiting {
		ordered, sh.steps = append(ordered, sh.steps...), nil
	}
	return ordered
}

// levelIn returns how much of its fair share of the dominant resource the workspace uses, in levels.
func (sh *share) levelIn(capacity describer.Resources) int {
	return int(min(DominantPart(sh.used, capacity)*sh.factor*levels, math.MaxInt32))
}

// DominantPart returns the part of a capacity that is used of the resource of which the largest part is used.
func DominantPart(used, capacity describer.Resources) float64 {
	part := 0.0
	for _, amount := range [][2]int64{{used.MilliCPU, capacity.MilliCPU}, {used.MemoryMB, capacity.MemoryMB}, {used.GPU, capacity.GPU}} {
		if amount[1] > 0 {
			part = max(part, float64(amount[0])/float64(amount[1]))
		}
	}
	return part
}

// shareHeap has the workspace on top that goes next.
type shareHeap []*share

// Len returns the number of workspaces.
func (h shareHeap) Len() int { return len(h) }

// Less reports whether a workspace goes before another one.
func (h shareHeap) Less(i, j int) bool {
	if h[i].level != h[j].level {
		return h[i].level < h[j].level
	}
	return h[i].steps[0].Rank.Compare(h[j].steps[0].Rank) < 0
}

// Swap swaps two workspaces.
func (h shareHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds a workspace.
func (h *shareHeap) Push(x any) {
	if sh, isShare := x.(*share); isShare {
		*h = append(*h, sh)
	}
}

// Pop removes the last workspace.
func (h *shareHeap) Pop() any {
	last := len(*h) - 1
	sh := (*h)[last]
	*h = (*h)[:last]
	return sh
}
