// Package limiter keeps the ledger of what each workspace has running over all workers, and decides whether more may
// start within its limit. It handles the load of callers who together send more than their workspace may run: they wait,
// and the others have the rest of the capacity.
//
// Everything counts that may be running: runs that are being stopped, starts without a reply, and after a takeover an upper
// bound of the runs that former holders may have started on workers that have not replied yet. A ledger is reset for each
// round of placement, as all that it has follows from the runs and workers that the holder knows.
//
// # Usage
//
//	l := limiter.New(workspaces)
//	l.Reset()
//	l.AddRun(run.Owner)
//	l.AddHidden("ovens", limiter.UnknownWorkers, limiter.Bound{Tasks: need.Times(3)})
//	l.AddWorker(limiter.UnknownWorkers, capacity)
//	if l.MayStart("ovens", need, 1) {
//		l.AddRun(describer.Owner{Workspace: "ovens", Need: need})
//	}
package limiter

import (
	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/fleet/describer"
)

// ErrNeverFits means that a task or a gang of a job needs more than the limit of its workspace.
var ErrNeverFits = errors.New("it can never start within the limit of its workspace")

// Workers is a set of workers that may have runs of former holders which this one does not know.
type Workers int

const (
	// UnknownWorkers may have such runs of any job of a former holder.
	UnknownWorkers Workers = iota
	// UnlistedWorkers may have such runs of jobs whose persisted progress does not list the runs on closed workers.
	UnlistedWorkers
	workerSets
)

// maxSum bounds sums of resources, so that they stay within their types.
const maxSum = 1 << 60

// Bound is an upper bound of what a job may have running that is not known.
type Bound struct {
	// Tasks is what its tasks need, without Fillers, which may need more processors than their workers have.
	Tasks, Fillers describer.Resources
	// IsUnlimited reports that only the capacity of the workers bounds it.
	IsUnlimited bool
}

// Add adds the tasks of a step.
func (b *Bound) Add(step *describer.Step, count int) {
	need := step.Need.Times(count)
	if step.IsFiller {
		b.Fillers = sum(b.Fillers, need)
		return
	}
	b.Tasks = sum(b.Tasks, need)
}

// account is what a workspace with a limit may have running.
type account struct {
	limit  describer.Resources
	used   describer.Resources
	hidden [workerSets]Bound
}

// Limiter is the ledger of one round. Nil has no limits.
type Limiter struct {
	accounts map[string]*account
	// unattributed is what runs of unknown jobs need. It counts for each workspace, as any may have started them.
	unattributed describer.Resources
	capacity     [workerSets]describer.Resources
	// hasAnyCapacity reports that a worker of the set has an unknown capacity.
	hasAnyCapacity [workerSets]bool
}

// New returns a ledger without runs, or nil if no workspace has a limit.
func New(workspaces map[string]describer.Workspace) *Limiter {
	l := &Limiter{}
	for name, w := range workspaces {
		if w.Limit == (describer.Resources{}) {
			continue
		}
		if l.accounts == nil {
			l.accounts = make(map[string]*account, len(workspaces))
		}
		l.accounts[name] = &account{limit: w.Limit}
	}
	if l.accounts == nil {
		return nil
	}
	return l
}

// Reset removes all runs and workers, and keeps the limits. It saves the memory of a new ledger in each round.
func (l *Limiter) Reset() {
	for _, a := range l.accounts {
		*a = account{limit: a.limit}
	}
	*l = Limiter{accounts: l.accounts}
}

// IsLimited reports whether a workspace has a limit.
func (l *Limiter) IsLimited(workspace string) bool {
	if l == nil {
		return false
	}
	_, found := l.accounts[workspace]
	return found
}

// AddRun counts a run that may be active.
func (l *Limiter) AddRun(o describer.Owner) {
	switch {
	case l == nil:
	case o.IsUnknown:
		l.unattributed = sum(l.unattributed, o.Need)
	default:
		if a, found := l.accounts[o.Workspace]; found {
			a.used = sum(a.used, o.Need)
		}
	}
}

// AddHidden counts what a job of a workspace may have running on a set of workers that is not known.
func (l *Limiter) AddHidden(workspace string, on Workers, b Bound) {
	if !l.IsLimited(workspace) {
		return
	}
	h := &l.accounts[workspace].hidden[on]
	h.Tasks, h.Fillers = sum(h.Tasks, b.Tasks), sum(h.Fillers, b.Fillers)
	h.IsUnlimited = h.IsUnlimited || b.IsUnlimited
}

// AddWorker adds a worker to a set. Without a known capacity it may run anything.
func (l *Limiter) AddWorker(set Workers, capacity describer.Resources) {
	l.hasAnyCapacity[set] = l.hasAnyCapacity[set] || capacity == describer.Resources{}
	l.capacity[set] = sum(l.capacity[set], capacity)
}

// MayStart reports whether a number of tasks may start together within the limit of their workspace.
func (l *Limiter) MayStart(workspace string, need describer.Resources, count int) bool {
	if l == nil {
		return true
	}
	a, found := l.accounts[workspace]
	return !found || sum(l.usedOf(a), need.Times(count)).Within(a.limit)
}

// Missing returns what has to become free for a number of tasks to start, without resources of which enough is free.
func (l *Limiter) Missing(workspace string, need describer.Resources, count int) describer.Resources {
	if !l.IsLimited(workspace) {
		return describer.Resources{}
	}
	total, limit := sum(l.Used(workspace), need.Times(count)), l.accounts[workspace].limit
	missing := func(total, limit int64) int64 {
		if limit == 0 {
			return 0
		}
		return max(total-limit, 0)
	}
	return describer.Resources{
		MilliCPU: missing(total.MilliCPU, limit.MilliCPU), MemoryMB: missing(total.MemoryMB, limit.MemoryMB), GPU: missing(total.GPU, limit.GPU),
	}
}

// HasHidden reports whether a workspace with a limit may have runs that are not known.
func (l *Limiter) HasHidden(workspace string) bool {
	if !l.IsLimited(workspace) {
		return false
	}
	return l.hiddenOf(l.accounts[workspace]) != describer.Resources{}
}

// Limit returns the limit of a workspace; zero if it has none.
func (l *Limiter) Limit(workspace string) describer.Resources {
	if !l.IsLimited(workspace) {
		return describer.Resources{}
	}
	return l.accounts[workspace].limit
}

// NeedAtOnce returns what has to be free for a step to start: the need of a task, or of the whole gang.
func NeedAtOnce(s *describer.Step) describer.Resources {
	if s.Gang {
		return s.Need.Times(s.Count)
	}
	return s.Need
}

// CheckJob returns an error that wraps ErrNeverFits if a step of a job can never start within a limit.
func CheckJob(job *describer.Job, limit describer.Resources) error {
	for i := range job.Steps {
		if need := NeedAtOnce(&job.Steps[i]); !need.Within(limit) {
			return errors.Errorf("step %d needs %d thousandths of a core, %d MB and %d GPUs at once, over %d, %d and %d (0 is no limit) of workspace %q: %w",
				i, need.MilliCPU, need.MemoryMB, need.GPU, limit.MilliCPU, limit.MemoryMB, limit.GPU, job.Workspace, ErrNeverFits)
		}
	}
	return nil
}

// Used returns what a workspace with a limit may have running at most.
func (l *Limiter) Used(workspace string) describer.Resources {
	if !l.IsLimited(workspace) {
		return describer.Resources{}
	}
	return l.usedOf(l.accounts[workspace])
}

func (l *Limiter) usedOf(a *account) describer.Resources {
	return sum(sum(a.used, l.unattributed), l.hiddenOf(a))
}

// hiddenOf returns what a workspace may have running at most that is not known.
func (l *Limiter) hiddenOf(a *account) describer.Resources {
	var total describer.Resources
	for set := range workerSets {
		total = sum(total, l.hidden(a, set))
	}
	return total
}

// hidden returns the smaller of what the jobs of a workspace may have running on a set of workers and what these can hold.
func (l *Limiter) hidden(a *account, set Workers) describer.Resources {
	if !l.hasAnyCapacity[set] && l.capacity[set] == (describer.Resources{}) {
		return describer.Resources{}
	}
	h, room := a.hidden[set], l.capacity[set]
	tasks := describer.Resources{
		MilliCPU: min(h.Tasks.MilliCPU, room.MilliCPU), MemoryMB: min(h.Tasks.MemoryMB, room.MemoryMB), GPU: min(h.Tasks.GPU, room.GPU),
	}
	switch {
	case h.IsUnlimited && l.hasAnyCapacity[set]:
		return describer.Resources{MilliCPU: maxSum, MemoryMB: maxSum, GPU: maxSum}
	case h.IsUnlimited:
		tasks = room
	case l.hasAnyCapacity[set]:
		tasks = h.Tasks
	}
	return sum(tasks, h.Fillers)
}

// sum returns a sum whose amounts stay within their types.
func sum(a, b describer.Resources) describer.Resources {
	c := a.Plus(b)
	return describer.Resources{MilliCPU: min(c.MilliCPU, maxSum), MemoryMB: min(c.MemoryMB, maxSum), GPU: min(c.GPU, maxSum)}
}
