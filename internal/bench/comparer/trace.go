// Package comparer runs schedulers on the same recorded trace of mixed work, in a time of
// its own, and measures waiting, packing and cost.
//
// # Usage
//
//	trace := comparer.Generate(comparer.Svacinka, 0.9, seed)
//	result := comparer.Run(scheduler, trace)
//	fmt.Println(result.Waiting["urgent"].P99)
package comparer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"lentilrock.example/internal/cell/descriptor"
)

const (
	gibibyte = 1 << 30
	// workersPerUser and rackSize are today's sizes of both users.
	workersPerUser = 48
	rackSize       = 8
	// traceTime is how long work arrives.
	traceTime = 2 * time.Hour
)

// User is a user's workers.
type User struct {
	Name     string
	Capacity descriptor.Size
	Workers  int
}

// Today's users.
var (
	Lakeshore = User{"lakeshore", descriptor.Size{MilliCores: 16_000, MemoryBytes: 32 * gibibyte}, workersPerUser}
	Svacinka  = User{"svacinka", descriptor.Size{MilliCores: 16_000, MemoryBytes: 64 * gibibyte}, workersPerUser}
)

// Hosts lists the workers of a user.
func (u User) Hosts() []descriptor.Host {
	hosts := make([]descriptor.Host, 0, u.Workers)
	for i := range u.Workers {
		hosts = append(hosts, descriptor.Host{
			Name: fmt.Sprintf("%s-w%05d", u.Name, i), Role: descriptor.RoleWorker,
			State: descriptor.ListLive, Rack: fmt.Sprintf("r%d", i/rackSize), Capacity: u.Capacity,
		})
	}
	return hosts
}

// Arrival is a job that arrives at a time after the trace's start.
type Arrival struct {
	At  time.Duration
	Job descriptor.Job
	// RunTime is how long each task really runs; the declared one is far off.
	RunTime time.Duration
}

// Trace is the recorded work of a user.
type Trace struct {
	User     User
	Arrivals []Arrival
}

// kind is a class of work in the mix: its part of the load, and the ranges of its jobs.
type kind struct {
	name     string
	kind     descriptor.Kind
	priority int
	load     float64
	tasks    [2]int
	cores    [2]float64
	gib      [2]float64
	run      [2]time.Duration
}

var mix = []kind{
	{"batch", descriptor.KindBatch, descriptor.PriorityLow, 0.45, [2]int{1, 60}, [2]float64{0.5, 4}, [2]float64{0.5, 12}, [2]time.Duration{time.Minute, 10 * time.Minute}},
	{"gang", descriptor.KindGang, descriptor.PriorityNormal, 0.20, [2]int{4, 24}, [2]float64{1, 6}, [2]float64{1, 12}, [2]time.Duration{2 * time.Minute, 8 * time.Minute}},
	{"service", descriptor.KindService, descriptor.PriorityNormal, 0.20, [2]int{2, 6}, [2]float64{0.5, 2}, [2]float64{0.5, 4}, [2]time.Duration{30 * time.Minute, 90 * time.Minute}},
	{"urgent", descriptor.KindBatch, descriptor.PriorityUrgent, 0.05, [2]int{1, 3}, [2]float64{0.25, 1}, [2]float64{0.25, 2}, [2]time.Duration{5 * time.Second, 40 * time.Second}},
}

// Generate returns a trace whose work asks for a part of the scarcest resource.
func Generate(user User, load float64, seed uint64) Trace {
	random := rand.New(rand.NewPCG(seed, seed))
	trace := Trace{User: user}
	total := 0.0
	for _, k := range mix {
		total += k.load
	}
	for _, k := range mix {
		trace.add(random, k, load*k.load/total)
	}
	return trace
}

// add adds jobs of a kind until they ask for a part of the whole.
func (t *Trace) add(random *rand.Rand, k kind, load float64) {
	workers := float64(t.User.Workers)
	budget := load * workers * traceTime.Seconds()
	for i := 0; budget > 0; i++ {
		job := descriptor.Job{
			ID: descriptor.JobID(fmt.Sprintf("%s-%d", k.name, i)), Team: teams[i%len(teams)], Kind: k.kind,
			Priority: k.priority, Tasks: k.tasks[0] + random.IntN(k.tasks[1]-k.tasks[0]+1),
			Size: descriptor.Size{
				MilliCores:  int64(between(random, k.cores[0], k.cores[1]) * 1000),
				MemoryBytes: int64(between(random, k.gib[0], k.gib[1]) * gibibyte),
			},
		}
		run := time.Duration(between(random, float64(k.run[0]), float64(k.run[1])))
		job.RunTime = time.Duration(float64(run) * between(random, 0.3, 3))
		at := time.Duration(random.Float64() * float64(traceTime))
		t.Arrivals = append(t.Arrivals, Arrival{At: at, Job: job, RunTime: run})
		budget -= job.Size.Share(t.User.Capacity) * float64(job.Tasks) * run.Seconds()
	}
}

var teams = []string{"dispatch", "orders", "planning"}

// between draws from a range, small values more often.
func between(random *rand.Rand, least, most float64) float64 {
	return least * math.Pow(most/least, random.Float64())
}
