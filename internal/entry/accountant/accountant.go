// Package accountant bounds the unfinished jobs of a cell by the memory that they take on a host. Every host reads
// all of them, and the one that holds the cell carries them, so a job that does not fit is refused before it is
// persisted. No queue may take more than a part of the room. When room is short, no workspace may take more than its weighted
// part: one that sends several times its usual rate is refused, and the others are not.
//
// # Usage
//
//	a := accountant.New(accountant.Options{MemoryMB: 284, Hosts: hosts})
//	if err := a.Admit(now, state, job); err != nil {
//		// errors.As(err, &full) with a *accountant.FullError tells when to try again
//	}
package accountant

import (
	"fmt"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
)

const (
	// memoryDivisor is the part of a host's memory that jobs may take.
	memoryDivisor = 5
	// queueDivisor is the part of the room that the jobs of one queue may take.
	queueDivisor = 2
	// sharedDivisor is the part of the room that is left to workspaces below their weighted part.
	sharedDivisor = 4
	// refreshInterval is how old the sums over all jobs may be. Jobs that this host has admitted since count, too.
	refreshInterval = 500 * time.Millisecond
	// admittedTime is how long an admitted job counts that is not in the log.
	admittedTime = 5 * time.Second
	// maxRetryAfter bounds the time after which a refused caller is told to try again, in seconds.
	maxRetryAfter = 60
)

// FullError means that a job is refused since the unfinished jobs of its queue, of its workspace or of all queues leave no
// room for it.
type FullError struct {
	Queue string
	// Workspace is set if the job is over the part of its workspace.
	Workspace string
	// Need is the memory that the job takes, Free what is left for it, both in bytes.
	Need, Free int64
	// RetryAfter is when there is likely to be room, going by the callers' estimates of the unfinished jobs.
	RetryAfter time.Duration
}

// Error returns the message for the caller.
func (e *FullError) Error() string {
	if e.Workspace != "" {
		return fmt.Sprintf("workspace %q has room for %d more bytes of unfinished jobs, and this job takes %d", e.Workspace, max(e.Free, 0), e.Need)
	}
	return fmt.Sprintf("queue %q has room for %d more bytes of unfinished jobs, and this job takes %d", e.Queue, max(e.Free, 0), e.Need)
}

// Options configure an Accountant.
type Options struct {
	// MemoryMB is the memory of this host in MiB; 0 if it is unknown.
	MemoryMB int64
	// Hosts returns the hosts of the cell.
	Hosts func() []journaler.Host
	// Workspaces returns those of the configuration; nil if there are none.
	Workspaces func() []describer.Workspace
}

// Accountant has the sums over the jobs of a cell. It is not safe for concurrent use.
type Accountant struct {
	options Options
	// capacity is the memory for jobs in bytes; 0 means that there is no bound.
	capacity    int64
	refreshedAt time.Time
	total       account
	byQueue     map[string]*account
	// byWorkspace has the workspaces with unfinished jobs in all queues and in each. It is empty if none are configured.
	byWorkspace map[scope]map[string]*account
	weights     map[string]float64
	// admitted are the jobs that this host has admitted and that the log does not have yet.
	admitted map[describer.JobID]admission
}

// account is a sum of memory, with the part of it that is likely to become free by second.
type account struct {
	used  int64
	freed [maxRetryAfter + 1]int64
}

type admission struct {
	queue     string
	workspace string
	need      int64
	at        time.Time
	// end is when the job should end, zero if that is unknown.
	end time.Time
}

// New returns an Accountant.
func New(options Options) *Accountant {
	return &Accountant{options: options, admitted: make(map[describer.JobID]admission)}
}

// Admit returns nil if there is room for a job that is about to be persisted, and counts it from then on. Otherwise it
// returns a *FullError, or an error that wraps journaler.ErrTooLarge if there will never be room.
func (a *Accountant) Admit(now time.Time, state *journaler.State, job *describer.Job) error {
	if a.refreshedAt.IsZero() || now.Sub(a.refreshedAt) >= refreshInterval {
		a.refresh(now, state)
	}
	if a.capacity <= 0 {
		return nil
	}
	need, queue := job.Footprint(), a.queue(job.Queue.Name)
	inQueue, inAll := a.capacity/queueDivisor-queue.used, a.capacity-a.total.used
	if need > a.capacity/queueDivisor {
		return errors.Errorf("a job that takes %d bytes, over %d: %w", need, a.capacity/queueDivisor, journaler.ErrTooLarge)
	}
	if missing := need - min(inQueue, inAll); missing > 0 {
		wait := max(queue.secondsUntil(need-inQueue), a.total.secondsUntil(need-inAll))
		return &FullError{Queue: job.Queue.Name, Need: need, Free: need - missing, RetryAfter: time.Duration(wait) * time.Second}
	}
	if len(a.weights) > 0 {
		if err := a.checkShares(job, need, queue); err != nil {
			return err
		}
	}
	admitted := admission{queue: job.Queue.Name, workspace: job.Workspace, need: need, at: now, end: job.ExpectedEnd()}
	a.admitted[job.ID] = admitted
	a.add(admitted, secondOf(admitted.end, now))
	return nil
}

// queue returns the account of a queue.
func (a *Accountant) queue(name string) *account {
	q, found := a.byQueue[name]
	if !found {
		q = &account{}
		a.byQueue[name] = q
	}
	return q
}

// refresh computes the sums over the jobs of a state.
func (a *Accountant) refresh(now time.Time, state *journaler.State) {
	a.refreshedAt, a.capacity = now, a.newCapacity()
	a.total, a.byQueue, a.byWorkspace = account{}, make(map[string]*account), make(map[scope]map[string]*account)
	a.weights = a.newWeights()
	for _, e := range state.Jobs {
		if e.Job == nil {
			continue
		}
		if e.JobState().IsFinal() {
			a.total.used += e.Footprint()
			continue
		}
		a.add(admission{queue: e.Job.Queue.Name, workspace: e.Job.Workspace, need: e.Footprint()}, secondOf(e.ExpectedEnd, now))
	}
	for id, admitted := range a.admitted {
		if _, found := state.Find(id); found || now.Sub(admitted.at) >= admittedTime {
			delete(a.admitted, id)
			continue
		}
		a.add(admitted, secondOf(admitted.end, now))
	}
}

// add adds the memory of an unfinished job that is likely to end in a second.
func (a *Accountant) add(job admission, second int) {
	sums := []*account{&a.total, a.queue(job.queue)}
	if len(a.weights) > 0 {
		sums = append(sums, a.workspace(allQueues, job.workspace), a.workspace(scope{job.queue, true}, job.workspace))
	}
	for _, sum := range sums {
		sum.used += job.need
		sum.freed[second] += job.need
	}
}

// newCapacity returns the memory for jobs on the smallest host, as any of them may become the holder, in bytes; 0 if
// the memory of no host is known.
func (a *Accountant) newCapacity() int64 {
	smallest := max(a.options.MemoryMB, 0)
	for _, h := range a.options.Hosts() {
		if h.MemoryMB > 0 && (smallest == 0 || h.MemoryMB < smallest) {
			smallest = h.MemoryMB
		}
	}
	return min(smallest, math.MaxInt32) << 20 / memoryDivisor
}

// secondOf returns the second from now on in which a job is expected to end. Nothing is known of a job without an
// expected end, or after it.
func secondOf(end, now time.Time) int {
	if end.IsZero() || !end.After(now) || end.Sub(now) >= maxRetryAfter*time.Second {
		return maxRetryAfter
	}
	return int(end.Sub(now)/time.Second) + 1
}

// secondsUntil returns the seconds until an amount of memory is likely to have become free, at least 1.
func (q *account) secondsUntil(amount int64) int {
	for second := 1; second < maxRetryAfter; second++ {
		if amount -= q.freed[second]; amount <= 0 {
			return second
		}
	}
	return maxRetryAfter
}
