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

// TestUrgentWorkWaitsLittle holds the planner to the users' targets: urgent waiting at the
// 99th percentile ten times better than first come first served, and no kind starves.
func TestUrgentWorkWaitsLittle(t *testing.T) {
	for _, user := range []User{Lakeshore, Svacinka} {
		t.Run(user.Name, func(t *testing.T) {
			trace := Generate(user, 0.9, seed)
			ours := Run(newPlanner(user.Hosts()), trace)
			random := rand.New(rand.NewPCG(seed, seed))
			theirs := Run(baseline.New(baseline.FirstFit, user.Hosts(), random), trace)
			require.LessOrEqual(t, ours.Waiting["urgent"].P99*10, theirs.Waiting["urgent"].P99)
			require.Zero(t, ours.Unstarted, "no kind starves")
			require.Less(t, ours.Waiting["urgent"].P99, 1400*time.Millisecond, "the letter's target")
		})
	}
}

// TestPackingIsCloseToTheLowerBound fills an endless supply of workers and compares the
// count in use with the fractional lower bound.
func TestPackingIsCloseToTheLowerBound(t *testing.T) {
	for _, user := range []User{Lakeshore, Svacinka} {
		t.Run(user.Name, func(t *testing.T) {
			many := user
			many.Workers = 2000
			p := newPlanner(many.Hosts())
			random := rand.New(rand.NewPCG(seed, seed))
			var total descriptor.Size
			for i := range 4000 {
				job := descriptor.Job{
					ID: descriptor.JobID(fmt.Sprintf("job-%d", i)), Team: "t", Kind: descriptor.KindBatch,
					Tasks: 1, Size: descriptor.Size{
						MilliCores:  int64(between(random, 0.25, 6) * 1000),
						MemoryBytes: int64(between(random, 0.25, 12) * gibibyte),
					},
				}
				total = total.Add(job.Size)
				p.Submit(time.Unix(0, 0), job, []int{0}, job.Size)
			}
			for len(p.Plan(time.Unix(0, 0), 64).Placements) > 0 {
			}
			used := 0
			for _, name := range p.Pool().Names() {
				if p.Pool().Free(name) != user.Capacity {
					used++
				}
			}
			bound := total.Share(user.Capacity)
			t.Logf("%d workers, lower bound %.1f", used, bound)
			require.LessOrEqual(t, float64(used), bound*1.05)
		})
	}
}

// BenchmarkDecide measures one placement and its release in a cell that is 90% full.
func BenchmarkDecide(b *testing.B) {
	for _, size := range []struct{ workers, tasks int }{{48, 730}, {2_000, 30_370}, {27_000, 410_000}} {
		b.Run(fmt.Sprintf("workers=%d", size.workers), func(b *testing.B) {
			user := Svacinka
			user.Workers = size.workers
			p := newPlanner(user.Hosts())
			random := rand.New(rand.NewPCG(seed, seed))
			now := time.Unix(0, 0)
			var running []descriptor.TaskID
			next := 0
			add := func() {
				job := descriptor.Job{
					ID: descriptor.JobID(fmt.Sprintf("job-%d", next)), Team: teams[next%len(teams)],
					Kind: descriptor.KindBatch, Tasks: 1, Size: descriptor.Size{
						MilliCores:  int64(between(random, 0.25, 2) * 1000),
						MemoryBytes: int64(between(random, 0.5, 8) * gibibyte),
					},
				}
				next++
				p.Submit(now, job, []int{0}, job.Size)
				for _, placement := range p.Plan(now, 8).Placements {
					running = append(running, placement.Task)
				}
			}
			for len(running) < size.tasks {
				add()
			}
			b.ResetTimer()
			for range b.N {
				i := random.IntN(len(running))
				p.Release(running[i])
				running[i] = running[len(running)-1]
				running = running[:len(running)-1]
				add()
			}
		})
	}
}

// BenchmarkCancelWave measures how a wave of cancels delays an urgent placement.
func BenchmarkCancelWave(b *testing.B) {
	p := newPlanner(Svacinka.Hosts())
	now := time.Unix(0, 0)
	for i := range b.N {
		id := descriptor.JobID(fmt.Sprintf("job-%d", i))
		p.Submit(now, descriptor.Job{ID: id, Team: "t", Kind: descriptor.KindBatch, Tasks: 1}, []int{0},
			descriptor.Size{MilliCores: 1000, MemoryBytes: gibibyte})
	}
	b.ResetTimer()
	for i := range b.N {
		p.Withdraw(descriptor.JobID(fmt.Sprintf("job-%d", i)))
	}
}
