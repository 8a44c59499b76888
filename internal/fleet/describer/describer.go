// Package describer defines the work of a cell and the workers that run it: jobs made of steps, the
// queues to which they are submitted, and the host list entries of workers and machines.
//
// # Usage
//
//	job := describer.Job{ID: "5c0e7a21d94b36f8", Steps: []describer.Step{{Count: 4}}}
//	ref := describer.TaskRef{Job: job.ID, Step: 0, Index: 3}
//	name := ref.String() // "5c0e7a21d94b36f8.0.0.3"
//	ref, err := describer.ParseTaskRef(name)
package describer

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/container/clamper"
)

// JobID identifies a job. The caller chooses it.
type JobID string

// Resources are the resources that a task needs or that a worker has.
type Resources struct {
	// MilliCPU is the processor share in thousandths of a core.
	MilliCPU int64 `cbor:"1,keyasint,omitempty"`
	MemoryMB int64 `cbor:"2,keyasint,omitempty"`
	GPU      int64 `cbor:"3,keyasint,omitempty"`
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{MilliCPU: r.MilliCPU + o.MilliCPU, MemoryMB: r.MemoryMB + o.MemoryMB, GPU: r.GPU + o.GPU}
}

// Minus returns r reduced by o. Each amount may become negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{MilliCPU: r.MilliCPU - o.MilliCPU, MemoryMB: r.MemoryMB - o.MemoryMB, GPU: r.GPU - o.GPU}
}

// Times returns r multiplied by count.
func (r Resources) Times(count int) Resources {
	n := int64(count)
	return Resources{MilliCPU: r.MilliCPU * n, MemoryMB: r.MemoryMB * n, GPU: r.GPU * n}
}

// MaxAmount is the maximum of each resource that a task needs or a worker has. Sums over all runs of a worker stay
// within their types.
const MaxAmount = 1_000_000_000_000

// IsValid reports whether no amount is negative or over MaxAmount.
func (r Resources) IsValid() bool {
	return min(r.MilliCPU, r.MemoryMB, r.GPU) >= 0 && max(r.MilliCPU, r.MemoryMB, r.GPU) <= MaxAmount
}

// Fits reports whether each amount of r is at most that of available.
func (r Resources) Fits(available Resources) bool {
	return r.MilliCPU <= available.MilliCPU && r.MemoryMB <= available.MemoryMB && r.GPU <= available.GPU
}

// CountIn returns how many times r fits into available, at most limit.
func (r Resources) CountIn(available Resources, limit int) int {
	count := int64(limit)
	for _, amount := range [][2]int64{{r.MilliCPU, available.MilliCPU}, {r.MemoryMB, available.MemoryMB}, {r.GPU, available.GPU}} {
		if amount[0] > 0 {
			count = min(count, amount[1]/amount[0])
		}
	}
	return int(max(count, 0))
}

// Step is a part of a job: tasks of one kind that may run concurrently.
type Step struct {
	Count int       `cbor:"1,keyasint,omitempty"`
	Need  Resources `cbor:"2,keyasint,omitempty"`
	// Estimate is the caller's rough estimate of the duration of a task.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists the indexes of the steps whose tasks must all be done first.
	After []int `cbor:"4,keyasint,omitempty"`
	// Checkpoints reports that a task saves checkpoints.
	Checkpoints bool `cbor:"5,keyasint,omitempty"`
	// Gang reports that the tasks make progress only while all of them are active in the same run.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack reports that tasks are slower when they are spread over racks.
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// Label must be among the worker's labels; empty means any worker.
	Label string `cbor:"8,keyasint,omitempty"`
	// DataRack is the rack of the input data; tasks on other racks are slower.
	DataRack string `cbor:"9,keyasint,omitempty"`
	// MaxPerWorker is the maximum number of the step's tasks on one worker; 0 means no limit.
	MaxPerWorker int `cbor:"10,keyasint,omitempty"`
	// Speculative reports that speculative copies of a task may run concurrently.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// LongRunning reports that tasks run until the job is cancelled.
	LongRunning bool   `cbor:"12,keyasint,omitempty"`
	Image       string `cbor:"13,keyasint,omitempty"`
	// TailTarget is the objective for the tail latency of a task that serves users; 0 means that
	// it does not serve users.
	TailTarget time.Duration `cbor:"14,keyasint,omitempty"`
	// IsFiller reports that the step has filler tasks, which use spare processor capacity.
	IsFiller bool `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable is how many tasks may be taken down deliberately at a time; 0 means no limit for
	// upkeep, and one at a time off a drained worker.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}

// Charge returns the resources that a task occupies on a worker. Filler tasks are not charged for
// the processor, since they use only spare capacity.
func (s Step) Charge() Resources {
	charge := s.Need
	if s.IsFiller {
		charge.MilliCPU = 0
	}
	return charge
}

// AdviceTerms are the costs of requesting advice on which workers may run a step.
type AdviceTerms struct {
	Decide    time.Duration `cbor:"1,keyasint,omitempty"`
	PerWorker time.Duration `cbor:"2,keyasint,omitempty"`
	// Valid is the validity of a ticket.
	Valid time.Duration `cbor:"3,keyasint,omitempty"`
}

// Queue is a queue to which jobs of one kind are submitted.
type Queue struct {
	Name    string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	// Priority 0 is the highest.
	Priority    int `cbor:"3,keyasint,omitempty"`
	MaxAttempts int `cbor:"4,keyasint,omitempty"`
	// Stretch and Latency define the objective of a job: Stretch times the length of its critical
	// path, plus Latency, from its receipt on. A Stretch below 1 counts as 1.
	Stretch float64       `cbor:"5,keyasint,omitempty"`
	Latency time.Duration `cbor:"6,keyasint,omitempty"`
	Advice  AdviceTerms   `cbor:"7,keyasint,omitempty"`
	// Host and Prefix select the queue of a request.
	Host   string `cbor:"-"`
	Prefix string `cbor:"-"`
	// IsPublic reports that requests need no key.
	IsPublic bool `cbor:"-"`
}

// NeedsAdvice reports whether starts of tasks of the queue need a ticket.
func (q Queue) NeedsAdvice() bool { return q.Advice.Valid > 0 }

// HasHarmfulStarts reports whether a start of the step in a queue does harm if it is carried out late, in a later incarnation of
// its worker. Copies of a task may run at the same time, and a ticket is refused by a later incarnation.
func (s Step) HasHarmfulStarts(q Queue) bool { return !s.Speculative && !q.NeedsAdvice() }

// Job is a job as its caller submitted it.
type Job struct {
	ID    JobID  `cbor:"1,keyasint"`
	Queue Queue  `cbor:"2,keyasint"`
	Spec  string `cbor:"3,keyasint"`
	Steps []Step `cbor:"4,keyasint"`
	// Repeat is how many times the steps run, one Interval apart from StartAt on; 0 means that
	// they run once, immediately.
	Repeat   int           `cbor:"5,keyasint,omitempty"`
	StartAt  time.Time     `cbor:"6,keyasint,omitempty"`
	Interval time.Duration `cbor:"7,keyasint,omitempty"`
	// Received is when the entry host received the job.
	Received time.Time `cbor:"8,keyasint,omitempty"`
	// Workspace is the name of the workspace to which the job belongs; empty if it belongs to none.
	Workspace string `cbor:"9,keyasint,omitempty"`
}

// Bounds of a job. They keep the number of its tasks and its due times within their types; what is derived from its
// durations is bounded where it is computed.
const (
	// MaxTasks is the maximum number of tasks of a job, summed over all its occurrences.
	MaxTasks = 100_000
	// MaxGang is the maximum number of tasks of a gang, which start together.
	MaxGang = 5000
	// MaxDependencies is the maximum number of dependencies of all steps of a job together.
	MaxDependencies = 100_000
	// maxDuration is the maximum of each duration of a job.
	maxDuration = 10 * 365 * 24 * time.Hour
)

// earliestStart and latestStart bound the start of a scheduled job.
var (
	earliestStart = time.Unix(0, 0)
	latestStart   = time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC)
)

// Validate returns an error that names what is wrong with a job: a number that is negative or too large, or a
// dependency on a step that is not before it.
func (j *Job) Validate() error {
	if len(j.Steps) == 0 {
		return errors.New("the job has no steps")
	}
	if j.Repeat < 0 || j.Repeat > MaxTasks {
		return errors.Errorf("the job repeats %d times, outside 0 to %d", j.Repeat, MaxTasks)
	}
	if j.Repeat > 0 && (j.StartAt.Before(earliestStart) || j.StartAt.After(latestStart)) {
		return errors.Errorf("the job starts at %d ms since 1970, outside 0 to %d", j.StartAt.UnixMilli(), latestStart.UnixMilli())
	}
	if j.Interval < 0 || j.Interval > maxDuration {
		return errors.Errorf("the interval is %v, outside 0 to %v", j.Interval, maxDuration)
	}
	if j.Interval > 0 && int64(j.Repeat) > int64(latestStart.Sub(earliestStart)/j.Interval) {
		return errors.Errorf("the job repeats %d times with an interval of %v, until after the year 2200", j.Repeat, j.Interval)
	}
	tasks, dependencies := 0, 0
	for i, s := range j.Steps {
		if err := s.validate(i); err != nil {
			return err
		}
		// Each factor is at most MaxTasks, so neither the product nor the sum overflows.
		if tasks += s.Count * j.Occurrences(); tasks > MaxTasks {
			return errors.Errorf("the job has over %d tasks, with step %d of %d tasks and %d occurrences", MaxTasks, i, s.Count, j.Occurrences())
		}
		if dependencies += len(s.After); dependencies > MaxDependencies {
			return errors.Errorf("the steps have over %d dependencies", MaxDependencies)
		}
	}
	return nil
}

// validate returns an error that names what is wrong with the step with the given index.
func (s Step) validate(index int) error {
	switch {
	case s.Count <= 0 || s.Count > MaxTasks:
		return errors.Errorf("step %d has %d tasks, outside 1 to %d", index, s.Count, MaxTasks)
	case s.Gang && s.Count > MaxGang:
		return errors.Errorf("step %d is a gang of %d tasks, over %d", index, s.Count, MaxGang)
	case !s.Need.IsValid():
		return errors.Errorf("step %d needs %d thousandths of a core, %d MB and %d GPUs, outside 0 to %d each", index, s.Need.MilliCPU, s.Need.MemoryMB, s.Need.GPU, int64(MaxAmount))
	case s.Estimate < 0 || s.Estimate > maxDuration:
		return errors.Errorf("step %d has an estimate of %v, outside 0 to %v", index, s.Estimate, maxDuration)
	}
	for _, d := range s.After {
		if d < 0 || d >= index {
			return errors.Errorf("step %d comes after step %d, which is not before it", index, d)
		}
	}
	return nil
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(j.Repeat, 1) }

// Due returns the earliest time at which an occurrence may begin; zero means immediately.
func (j *Job) Due(occurrence int) time.Time {
	if j.Repeat == 0 {
		return time.Time{}
	}
	return j.StartAt.Add(time.Duration(occurrence) * j.Interval)
}

// DueOccurrences returns how many occurrences may have begun by now.
func (j *Job) DueOccurrences(now time.Time) int {
	elapsed := now.Sub(j.StartAt)
	switch {
	case j.Repeat == 0:
		return 1
	case elapsed < 0:
		return 0
	case j.Interval > 0:
		return int(min(int64(elapsed/j.Interval)+1, int64(j.Occurrences())))
	}
	return j.Occurrences()
}

// Footprint returns an estimate of the memory that an unfinished job takes on a host, in bytes.
func (j *Job) Footprint() int64 {
	const jobBytes, stepBytes = 2 << 10, 384
	tasks, size := 0, jobBytes+len(j.Spec)
	for i := range j.Steps {
		s := &j.Steps[i]
		tasks += s.Count
		size += stepBytes + 8*len(s.After) + len(s.Label) + len(s.DataRack) + len(s.Image)
	}
	// Sets of the tasks and steps that are done take a bit for each, twice as many while they grow.
	return int64(size + (tasks+len(j.Steps))*j.Occurrences()/4)
}

// ExpectedEnd returns when a job that was just received should end, going by the caller's estimates; zero if it
// goes on until it is cancelled.
func (j *Job) ExpectedEnd() time.Time {
	path := j.CriticalPath(func(index int) time.Duration { return j.Steps[index].Estimate })
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return time.Time{}
		}
	}
	if j.Repeat > 0 {
		return j.Due(j.Occurrences() - 1).Add(path)
	}
	return j.Received.Add(path)
}

// CriticalPath returns the length of the longest chain of steps of an occurrence that depend on each other. The
// function returns the length of a step.
func (j *Job) CriticalPath(length func(index int) time.Duration) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for i := range j.Steps {
		begin := time.Duration(0)
		for _, d := range j.Steps[i].After {
			begin = max(begin, ends[d])
		}
		ends[i] = clamper.Add(begin, length(i))
		longest = max(longest, ends[i])
	}
	return longest
}

// JobState is the state of a job as reported to callers.
type JobState uint8

// States of a job.
const (
	JobQueued JobState = iota
	JobRunning
	JobCompleted
	JobFailed
	JobCancelled
)

// IsFinal reports whether the state can no longer change.
func (s JobState) IsFinal() bool { return s >= JobCompleted }

// Service is a pool of workers.
type Service struct {
	Name             string
	EnforcesCapacity bool
	Standby          bool
}

// Config is the configuration that the operators have set.
type Config struct {
	Version  int64
	Queues   []Queue
	Services []Service
	// Workspaces are the groups of callers; without any, requests need no key.
	Workspaces []Workspace
	// RequiresKeys reports that the operators have listed workspaces, even if none of them could be read.
	RequiresKeys bool
	// Unread is what could not be read of the configuration.
	Unread Unread
	// MaxBody is the maximum size of a request body, in bytes.
	MaxBody int64
}

// Route returns the queue of a request and the rest of the path after the queue's prefix. The
// queue is the one with the request's host and the longest matching prefix of its path. It returns
// false if no queue matches.
func (c Config) Route(host, path string) (Queue, string, bool) {
	var best Queue
	for _, q := range c.Queues {
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && len(q.Prefix) > len(best.Prefix) {
			best = q
		}
	}
	return best, path[len(best.Prefix):], best.Prefix != ""
}

// Worker is the entry of a worker in the host list.
type Worker struct {
	ID         string
	Service    string
	Address    netip.AddrPort
	DataCentre string
	Kind       string
	Rack       string
	Labels     []string
	Capacity   Resources
	Draining   bool
	// Remaining is the minimum time until a draining worker leaves.
	Remaining time.Duration
	// Incarnation is the start time of this incarnation of the worker, in Unix milliseconds.
	Incarnation int64
}

// MachineState is the state of a machine.
type MachineState uint8

// States of a machine.
const (
	// MachineDown also stands for unknown states.
	MachineDown MachineState = iota
	MachineUp
	MachineMoving
	MachineInUpkeep
)

// Machine is a machine of the platform. It runs one worker at a time; after upkeep it returns
// as a new worker.
type Machine struct {
	ID string
	// Pool is the name of the service to which the machine's worker belongs.
	Pool     string
	State    MachineState
	Capacity Resources
	// Worker is the ID of the machine's current worker; empty if it has none.
	Worker string
}

// Wave is a rolling maintenance of machines: each of them has to undergo upkeep.
type Wave struct {
	Number   int64
	Machines []string
	// Duration is the time within which all machines should have had their upkeep.
	Duration time.Duration
	// MaxDown is the maximum number of machines that may be down for upkeep at the same time.
	MaxDown int
}

// HasLabel reports whether the worker has a label; every worker has the empty one.
func (w Worker) HasLabel(label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}

// MaxRun is the highest number of a run that a worker or a record may name. Numbers of later runs and epochs are
// above it only after centuries.
const MaxRun = 1 << 53

// StepRef identifies a step of an occurrence of a job.
type StepRef struct {
	Job        JobID
	Occurrence int
	Step       int
}

// String returns the step's name, such as "job.0.1", which is also the prefix of its tasks' names.
func (r StepRef) String() string {
	return string(r.Job) + "." + strconv.Itoa(r.Occurrence) + "." + strconv.Itoa(r.Step)
}

// TaskRef identifies a task.
type TaskRef struct {
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// String returns the name of the task on workers, such as "job.0.1.2" for the occurrence, the step
// and the index.
func (r TaskRef) String() string {
	return StepRef{r.Job, r.Occurrence, r.Step}.String() + "." + strconv.Itoa(r.Index)
}

// ParseTaskRef parses the name of a task in the format of TaskRef.String. It returns an error if
// the name does not have four parts or a number is invalid.
func ParseTaskRef(name string) (TaskRef, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return TaskRef{}, errors.Errorf("task name %q does not have four parts", name)
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return TaskRef{}, errors.Errorf("task name %q: part %q is not a number", name, part)
		}
		numbers[i] = n
	}
	return TaskRef{Job: JobID(parts[0]), Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}
