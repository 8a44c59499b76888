// Package describer defines the work of a cell and the workers that do it: jobs made of
// steps, the queues that they are handed in to, and what a worker says of itself.
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
)

// JobID names a job; its caller chose it.
type JobID string

// Resources are the room that a task takes or a worker has.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int64 `cbor:"1,keyasint,omitempty"`
	MemoryMB int64 `cbor:"2,keyasint,omitempty"`
	GPU      int64 `cbor:"3,keyasint,omitempty"`
}

// Plus returns the sum of two amounts.
func (r Resources) Plus(o Resources) Resources {
	return Resources{MilliCPU: r.MilliCPU + o.MilliCPU, MemoryMB: r.MemoryMB + o.MemoryMB, GPU: r.GPU + o.GPU}
}

// Minus returns what is left of r without o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{MilliCPU: r.MilliCPU - o.MilliCPU, MemoryMB: r.MemoryMB - o.MemoryMB, GPU: r.GPU - o.GPU}
}

// Times returns r taken count times.
func (r Resources) Times(count int) Resources {
	n := int64(count)
	return Resources{MilliCPU: r.MilliCPU * n, MemoryMB: r.MemoryMB * n, GPU: r.GPU * n}
}

// Fits reports whether r is no more than room in each respect.
func (r Resources) Fits(room Resources) bool {
	return r.MilliCPU <= room.MilliCPU && r.MemoryMB <= room.MemoryMB && r.GPU <= room.GPU
}

// Step is a part of a job: tasks of one kind that may run side by side.
type Step struct {
	Count int       `cbor:"1,keyasint,omitempty"`
	Need  Resources `cbor:"2,keyasint,omitempty"`
	// Estimate is the caller's rough guess of how long a task takes.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists the steps whose tasks must all be done first.
	After []int `cbor:"4,keyasint,omitempty"`
	// Checkpoints reports that a task saves its progress.
	Checkpoints bool `cbor:"5,keyasint,omitempty"`
	// Gang reports that the tasks work only while all of one run are present.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack reports that tasks slow down when they are spread over racks.
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// Label must be among the worker's labels; empty means any worker.
	Label string `cbor:"8,keyasint,omitempty"`
	// DataRack is the rack where the data is; tasks elsewhere are slower.
	DataRack string `cbor:"9,keyasint,omitempty"`
	// MaxPerWorker bounds the tasks of the step on one worker; 0 means no bound.
	MaxPerWorker int `cbor:"10,keyasint,omitempty"`
	// Speculative reports that copies of a task may run side by side.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// LongRunning reports that tasks run until the job is cancelled.
	LongRunning bool   `cbor:"12,keyasint,omitempty"`
	Image       string `cbor:"13,keyasint,omitempty"`
	// TailTarget bounds the tail latency of a task that serves; 0 means that it does not serve.
	TailTarget time.Duration `cbor:"14,keyasint,omitempty"`
	// Fills reports that the tasks use what others leave of the processor.
	Fills bool `cbor:"15,keyasint,omitempty"`
	// MayMiss is how many tasks may be taken down on purpose at a time.
	MayMiss int `cbor:"16,keyasint,omitempty"`
}

// Charge returns the room that a task takes on a worker.
func (s Step) Charge() Resources {
	charge := s.Need
	if s.Fills {
		charge.MilliCPU = 0
	}
	return charge
}

// AdviceTerms are the costs of asking which workers may run a step.
type AdviceTerms struct {
	Decide    time.Duration `cbor:"1,keyasint,omitempty"`
	PerWorker time.Duration `cbor:"2,keyasint,omitempty"`
	// Valid is how long a ticket can be used.
	Valid time.Duration `cbor:"3,keyasint,omitempty"`
}

// Queue is where jobs of one kind are handed in.
type Queue struct {
	Name    string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	// Priority 0 comes first.
	Priority    int           `cbor:"3,keyasint,omitempty"`
	MaxAttempts int           `cbor:"4,keyasint,omitempty"`
	Stretch     float64       `cbor:"5,keyasint,omitempty"`
	Latency     time.Duration `cbor:"6,keyasint,omitempty"`
	Advice      AdviceTerms   `cbor:"7,keyasint,omitempty"`
	// Host and Prefix select the queue of a call.
	Host   string `cbor:"-"`
	Prefix string `cbor:"-"`
}

// NeedsAdvice reports whether starts of the queue need a ticket.
func (q Queue) NeedsAdvice() bool { return q.Advice.Valid > 0 }

// Job is what a caller handed in.
type Job struct {
	ID    JobID  `cbor:"1,keyasint"`
	Queue Queue  `cbor:"2,keyasint"`
	Spec  string `cbor:"3,keyasint"`
	Steps []Step `cbor:"4,keyasint"`
	// Repeat is how many times the steps run on a timetable; 0 means once, at once.
	Repeat   int           `cbor:"5,keyasint,omitempty"`
	StartAt  time.Time     `cbor:"6,keyasint,omitempty"`
	Interval time.Duration `cbor:"7,keyasint,omitempty"`
	// Received is when the entry host took the job in.
	Received time.Time `cbor:"8,keyasint,omitempty"`
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(j.Repeat, 1) }

// Due returns when an occurrence may begin.
func (j *Job) Due(occurrence int) time.Time {
	if j.Repeat == 0 {
		return time.Time{}
	}
	return j.StartAt.Add(time.Duration(occurrence) * j.Interval)
}

// JobState is what callers hear of a job.
type JobState uint8

// States of a job.
const (
	JobQueued JobState = iota
	JobRunning
	JobCompleted
	JobFailed
	JobCancelled
)

// IsFinal reports whether the state stays.
func (s JobState) IsFinal() bool { return s >= JobCompleted }

// Service is a pool of workers.
type Service struct {
	Name           string
	GuardsCapacity bool
	Standby        bool
}

// Config is what the operators have set.
type Config struct {
	Version  int64
	Queues   []Queue
	Services []Service
	// MaxBody is the largest body of a call, in bytes.
	MaxBody int64
}

// Route returns the queue of a call, that of its host with the longest prefix of its path,
// and the rest of the path.
func (c Config) Route(host, path string) (Queue, string, bool) {
	var best Queue
	for _, q := range c.Queues {
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && len(q.Prefix) > len(best.Prefix) {
			best = q
		}
	}
	return best, path[len(best.Prefix):], best.Prefix != ""
}

// Worker is what a worker says of itself in the host list.
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
	// Remaining is the least time until a draining worker leaves.
	Remaining time.Duration
	// Incarnation is the start of this life of the worker, in Unix milliseconds.
	Incarnation int64
}

// MachineState is what a machine does.
type MachineState uint8

// States of a machine.
const (
	// MachineDown is also that of a state which is not known here.
	MachineDown MachineState = iota
	MachineUp
	MachineMoving
	MachineInUpkeep
)

// Machine is a machine of the platform. A worker is one life of a machine.
type Machine struct {
	ID string
	// Pool is the service whose worker the machine is.
	Pool     string
	State    MachineState
	Capacity Resources
	// Worker is the id of the machine's present life; empty where it has none.
	Worker string
}

// Wave asks for the upkeep of machines.
type Wave struct {
	Number   int64
	Machines []string
	// Duration is in what time all of them should have had it.
	Duration time.Duration
	// MaxDown is how many may be down for it at a time.
	MaxDown int
}

// HasLabel reports whether the worker has a label; each has the empty one.
func (w Worker) HasLabel(label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}

// StepRef names a step of an occurrence of a job.
type StepRef struct {
	Job        JobID
	Occurrence int
	Step       int
}

// String returns the step's name at workers.
func (r StepRef) String() string {
	return string(r.Job) + "." + strconv.Itoa(r.Occurrence) + "." + strconv.Itoa(r.Step)
}

// TaskRef names a task.
type TaskRef struct {
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's name at workers.
func (r TaskRef) String() string {
	return StepRef{r.Job, r.Occurrence, r.Step}.String() + "." + strconv.Itoa(r.Index)
}

// ParseTaskRef reads the name of a task.
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
