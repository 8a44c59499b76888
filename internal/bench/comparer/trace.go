// Package comparer compares schedulers. It simulates each one, in simulated time, on the same
// synthetic trace of mixed work and measures waiting times, packing and the cost of decisions.
//
// The two users are Lakeshore and Svacinka, the organizations that run lentilrock. Each has a
// cluster of 48 workers today.
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
	// workersPerCluster and rackSize are today's sizes of both users' clusters.
	workersPerCluster = 48
	rackSize          = 8
	// traceTime is the length of the trace: jobs arrive within it.
	traceTime = 2 * time.Hour
)

// Cluster describes the workers of one user.
type Cluster struct {
	Name     string
	Capacity descriptor.Size
	Workers  int
}

// Today's clusters of both users.
var (
	Lakeshore = Cluster{"lakeshore", descriptor.Size{MilliCores: 16_000, MemoryBytes: 32 * gibibyte}, workersPerCluster}
	Svacinka  = Cluster{"svacinka", descriptor.Size{MilliCores: 16_000, MemoryBytes: 64 * gibibyte}, workersPerCluster}
)

// Hosts returns the host list entries of the workers of a cluster.
func (c Cluster) Hosts() []descriptor.Host {
	hosts := make([]descriptor.Host, 0, c.Workers)
	for i := range c.Workers {
		hosts = append(hosts, descriptor.Host{
			Name: fmt.Sprintf("%s-w%05d", c.Name, i), Role: descriptor.RoleWorker,
			State: descriptor.HostLive, Rack: fmt.Sprintf("r%d", i/rackSize), Capacity: c.Capacity,
		})
	}
	return hosts
}

// Arrival is a job that is submitted at the time At after the start of the trace.
type Arrival struct {
	At  time.Duration
	Job descriptor.Job
	// RunTime is the actual run time of each task. The declared one, in Job, is 0.3 to 3 times
	// as long.
	RunTime time.Duration
}

// Trace is the sequence of jobs submitted to a cluster, grouped by workload and not sorted by time.
type Trace struct {
	Cluster  Cluster
	Arrivals []Arrival
}

// workload is a class of jobs in the mix: its weight in the load, and the ranges from which the
// number of tasks, the cores and memory of a task, and the run time are drawn.
type workload struct {
	name      string
	kind      descriptor.Kind
	priority  int
	share     float64
	tasks     [2]int
	cores     [2]float64
	memoryGiB [2]float64
	runTime   [2]time.Duration
}

var workloads = []workload{
	{"batch", descriptor.KindBatch, descriptor.PriorityLow, 0.45, [2]int{1, 60}, [2]float64{0.5, 4}, [2]float64{0.5, 12}, [2]time.Duration{time.Minute, 10 * time.Minute}},
	{"gang", descriptor.KindGang, descriptor.PriorityNormal, 0.20, [2]int{4, 24}, [2]float64{1, 6}, [2]float64{1, 12}, [2]time.Duration{2 * time.Minute, 8 * time.Minute}},
	{"service", descriptor.KindService, descriptor.PriorityNormal, 0.20, [2]int{2, 6}, [2]float64{0.5, 2}, [2]float64{0.5, 4}, [2]time.Duration{30 * time.Minute, 90 * time.Minute}},
	{"urgent", descriptor.KindBatch, descriptor.PriorityUrgent, 0.05, [2]int{1, 3}, [2]float64{0.25, 1}, [2]float64{0.25, 2}, [2]time.Duration{5 * time.Second, 40 * time.Second}},
}

// Generate returns a trace whose jobs need, on average over traceTime, the fraction load of the
// scarcest resource of a cluster. The same seed gives the same trace.
func Generate(cluster Cluster, load float64, seed uint64) Trace {
	rng := rand.New(rand.NewPCG(seed, seed))
	trace := Trace{Cluster: cluster}
	total := 0.0
	for _, wl := range workloads {
		total += wl.share
	}
	for _, wl := range workloads {
		trace.add(rng, wl, load*wl.share/total)
	}
	return trace
}

// add adds jobs of a workload until they need the fraction load of the capacity of the cluster.
func (t *Trace) add(rng *rand.Rand, wl workload, load float64) {
	workers := float64(t.Cluster.Workers)
	budget := load * workers * traceTime.Seconds()
	for i := 0; budget > 0; i++ {
		job := descriptor.Job{
			ID: descriptor.JobID(fmt.Sprintf("%s-%d", wl.name, i)), Team: teams[i%len(teams)], Kind: wl.kind,
			Priority: wl.priority, Tasks: wl.tasks[0] + rng.IntN(wl.tasks[1]-wl.tasks[0]+1),
			Size: descriptor.Size{
				MilliCores:  int64(between(rng, wl.cores[0], wl.cores[1]) * 1000),
				MemoryBytes: int64(between(rng, wl.memoryGiB[0], wl.memoryGiB[1]) * gibibyte),
			},
		}
		runTime := time.Duration(between(rng, float64(wl.runTime[0]), float64(wl.runTime[1])))
		job.RunTime = time.Duration(float64(runTime) * between(rng, 0.3, 3))
		at := time.Duration(rng.Float64() * float64(traceTime))
		t.Arrivals = append(t.Arrivals, Arrival{At: at, Job: job, RunTime: runTime})
		budget -= job.Size.Share(t.Cluster.Capacity) * float64(job.Tasks) * runTime.Seconds()
	}
}

var teams = []string{"dispatch", "orders", "planning"}

// between draws a value from a log-uniform distribution over [low, high], in which small values are
// more frequent.
func between(rng *rand.Rand, low, high float64) float64 {
	return low * math.Pow(high/low, rng.Float64())
}
