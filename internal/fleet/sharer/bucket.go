package sharer

import (
	"cmp"
	"slices"
	"time"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/tasker"
)

const (
	// memory is how long before the newest job of a workspace others count for its rate. Twice that is below the time for
	// which the log has jobs that have ended, so that each holder counts the same ones.
	memory = time.Minute
	// minArrivals is how many jobs a bucket has at least before old ones are looked for.
	minArrivals = 64
)

// class is the first criterion of the order.
type class int

const (
	longRunning class = iota
	withinRate
	inExcess
)

// group is the steps of one class and priority.
type group struct {
	class    class
	priority int
}

// groupOf returns the group of a step of a workspace.
func (s *Sharer) groupOf(step *tasker.Step, sh *share) group {
	if step.Spec.LongRunning {
		return group{class: longRunning}
	}
	job := step.Job.Spec
	b := sh.bucket
	if b == nil || job.Workspace != sh.name {
		b = s.buckets[job.Workspace]
	}
	if b != nil && len(b.excess) > 0 && b.excess[job.ID] {
		return group{class: inExcess, priority: step.Job.Queue.Priority}
	}
	return group{class: withinRate, priority: step.Job.Queue.Priority}
}

func sortedGroups(sizes map[group]int) []group {
	sorted := make([]group, 0, len(sizes))
	for g := range sizes {
		sorted = append(sorted, g)
	}
	slices.SortFunc(sorted, func(a, b group) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.priority, b.priority))
	})
	return sorted
}

// arrival is a job that was received.
type arrival struct {
	id       describer.JobID
	received time.Time
}

// bucket is the token bucket of a workspace. It is one second deep, and has room for one job at least.
type bucket struct {
	arrivals []arrival
	// excess are the jobs in excess; nil while there are none.
	excess map[describer.JobID]bool
	// kept is how many arrivals were left when the jobs in excess were last found.
	kept int
	// isSettled reports that the jobs in excess are known.
	isSettled bool
}

// AddJob adds a job that is read from the log at a time. The order of the calls does not matter, and a job that is known
// changes nothing. Without workspaces no jobs are kept. A job that was received later than now, as the clock of its host is
// ahead, counts as received now: the other jobs of its workspace would be too old to count.
func (s *Sharer) AddJob(j *describer.Job, now time.Time) {
	if len(s.weights) == 0 || s.known[j.ID] {
		return
	}
	received := j.Received
	if received.After(now) {
		received = now
	}
	s.known[j.ID] = true
	b := s.buckets[j.Workspace]
	if b == nil {
		b = &bucket{}
		s.buckets[j.Workspace] = b
	}
	b.arrivals, b.isSettled = append(b.arrivals, arrival{j.ID, received}), false
	if len(b.arrivals) > 2*b.kept+minArrivals {
		s.settleBucket(j.Workspace, b)
	}
}

// IsInExcess reports whether a job is in excess of the guaranteed rate of its workspace. Old jobs are not.
func (s *Sharer) IsInExcess(j *describer.Job) bool {
	b, found := s.buckets[j.Workspace]
	return found && b.excess[j.ID]
}

// settle finds the jobs in excess of the workspaces with new jobs.
func (s *Sharer) settle() {
	for name, b := range s.buckets {
		if !b.isSettled {
			s.settleBucket(name, b)
		}
	}
}

// settleBucket finds the jobs in excess of a workspace. Jobs count in the order in which entry hosts received them, which
// each holder reads from the log alike; the offsets of two submissions may be those of different topics.
func (s *Sharer) settleBucket(name string, b *bucket) {
	b.isSettled = true
	slices.SortFunc(b.arrivals, func(a, b arrival) int { return cmp.Or(a.received.Compare(b.received), cmp.Compare(a.id, b.id)) })
	dropped := b.take(s.Weight(name))
	for _, a := range b.arrivals[:dropped] {
		delete(s.known, a.id)
		delete(b.excess, a.id)
	}
	b.arrivals = slices.Delete(b.arrivals, 0, dropped)
	b.kept = len(b.arrivals)
}

// take takes a token for each job of a bucket that is filled at a rate of jobs a second. A job without a token is in
// excess and takes none. It returns how many of the oldest jobs no longer matter: those before one that found the bucket
// full, so that the others are found alike without them, and at the most those of twice the memory.
func (b *bucket) take(rate float64) (dropped int) {
	depth := max(rate, 1)
	tokens, at, newest := depth, b.arrivals[0].received, b.arrivals[len(b.arrivals)-1].received
	for i, a := range b.arrivals {
		tokens, at = min(tokens+a.received.Sub(at).Seconds()*rate, depth), a.received
		age := newest.Sub(a.received)
		if age > memory && tokens == depth {
			dropped = i
		}
		if age > 2*memory {
			dropped = i + 1
		}
		if tokens < 1 {
			if b.excess == nil {
				b.excess = make(map[describer.JobID]bool)
			}
			b.excess[a.id] = true
			continue
		}
		delete(b.excess, a.id)
		tokens--
	}
	return dropped
}
