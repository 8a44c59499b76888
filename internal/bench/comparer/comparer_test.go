package comparer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/bench/baseline"
	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/core/planner"
)

const seed = 1

func newPlanner(hosts []descriptor.Host) *planner.Planner {
	p := planner.New(planner.Options{})
	for _, host := range hosts {
		p.PutWorker(host)
	}
	return p
}

// TestUrgentWaitingMeetsTarget guards against a planner that delays urgent tasks behind other work.
// It checks the users' targets: the 99th percentile of the waiting time of urgent tasks is below
// 1.4 s and at most a tenth of that of first come first served, and every task starts.
func TestUrgentWaitingMeetsTarget(t *testing.T) {
	for _, cluster := range []Cluster{Lakeshore, Svacinka} {
		t.Run(cluster.Name, func(t *testing.T) {
			trace := Generate(cluster, 0.9, seed)
			plannerResult := Run(newPlanner(cluster.Hosts()), trace)
			rng := rand.New(rand.NewPCG(seed, seed))
			baselineResult := Run(baseline.New(baseline.FirstFit, cluster.Hosts(), rng), trace)
			require.LessOrEqual(t, plannerResult.Waiting["urgent"].P99*10, baselineResult.Waiting["urgent"].P99)
			require.Zero(t, plannerResult.Unstarted, "every task starts")
			require.Less(t, plannerResult.Waiting["urgent"].P99, 1400*time.Millisecond, "target for the 99th percentile of urgent waiting")
		})
	}
}

// TestPackingIsWithinFivePercentOfLowerBound guards against a planner that spreads tasks over too
// many workers. It places tasks in a cluster with more workers than needed and compares the number
// in use with the lower bound, the total demand for the scarcest resource in units of workers.
func TestPackingIsWithinFivePercentOfLowerBound(t *testing.T) {
	for _, cluster := range []Cluster{Lakeshore, Svacinka} {
		t.Run(cluster.Name, func(t *testing.T) {
			large := cluster
			large.Workers = 2000
			p := newPlanner(large.Hosts())
			rng := rand.New(rand.NewPCG(seed, seed))
			var total descriptor.Size
			for i := range 4000 {
				job := descriptor.Job{
					ID: descriptor.JobID(fmt.Sprintf("job-%d", i)), Team: "t", Kind: descriptor.KindBatch,
					Tasks: 1, Size: descriptor.Size{
						MilliCores:  int64(between(rng, 0.25, 6) * 1000),
						MemoryBytes: int64(between(rng, 0.25, 12) * gibibyte),
					},
				}
				total = total.Add(job.Size)
				p.Submit(time.Unix(0, 0), job, []int{0}, job.Size)
			}
			for len(p.Plan(time.Unix(0, 0), 64).Placements) > 0 {
			}
			used := 0
			for _, name := range p.Pool().Names() {
				if p.Pool().Free(name) != cluster.Capacity {
					used++
				}
			}
			bound := total.Share(cluster.Capacity)
			t.Logf("%d workers, lower bound %.1f", used, bound)
			require.LessOrEqual(t, float64(used), bound*1.05)
		})
	}
}

// BenchmarkDecide measures a release and a placement in a cell that is about 90% full.
func BenchmarkDecide(b *testing.B) {
	for _, size := range []struct{ workers, tasks int }{{48, 730}, {2_000, 30_370}, {27_000, 410_000}} {
		b.Run(fmt.Sprintf("workers=%d", size.workers), func(b *testing.B) {
			cluster := Svacinka
			cluster.Workers = size.workers
			p := newPlanner(cluster.Hosts())
			rng := rand.New(rand.NewPCG(seed, seed))
			now := time.Unix(0, 0)
			var running []descriptor.TaskID
			next := 0
			submitAndPlace := func() {
				job := descriptor.Job{
					ID: descriptor.JobID(fmt.Sprintf("job-%d", next)), Team: teams[next%len(teams)],
					Kind: descriptor.KindBatch, Tasks: 1, Size: descriptor.Size{
						MilliCores:  int64(between(rng, 0.25, 2) * 1000),
						MemoryBytes: int64(between(rng, 0.5, 8) * gibibyte),
					},
				}
				next++
				p.Submit(now, job, []int{0}, job.Size)
				for _, placement := range p.Plan(now, 8).Placements {
					running = append(running, placement.Task)
				}
			}
			for len(running) < size.tasks {
				submitAndPlace()
			}
			b.ResetTimer()
			for range b.N {
				i := rng.IntN(len(running))
				p.Release(running[i])
				running[i] = running[len(running)-1]
				running = running[:len(running)-1]
				submitAndPlace()
			}
		})
	}
}

// BenchmarkCancelBurst measures one cancellation in a burst that cancels all queued jobs, which would
// delay an urgent placement.
func BenchmarkCancelBurst(b *testing.B) {
	p := newPlanner(Svacinka.Hosts())
	now := time.Unix(0, 0)
	for i := range b.N {
		id := descriptor.JobID(fmt.Sprintf("job-%d", i))
		p.Submit(now, descriptor.Job{ID: id, Team: "t", Kind: descriptor.KindBatch, Tasks: 1}, []int{0},
			descriptor.Size{MilliCores: 1000, MemoryBytes: gibibyte})
	}
	b.ResetTimer()
	for i := range b.N {
		p.RemoveJob(descriptor.JobID(fmt.Sprintf("job-%d", i)))
	}
}
