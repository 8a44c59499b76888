package dispatcher_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/standin/fencer"
)

// loadSeed makes the generated jobs the same in each run.
const loadSeed = 7

// mixedLoad submits a mix of quick jobs and batch jobs like that of a busy cell.
type mixedLoad struct {
	cell   *cell
	random *rand.Rand
	// jobsPerSecond is the rate of submissions.
	jobsPerSecond float64
	// due is the number of jobs to submit now; the fraction carries over to the next tick.
	due   float64
	count int
}

func (l *mixedLoad) between(low, high int) int { return low + l.random.IntN(high-low+1) }

// submitDue submits the jobs that are due in one tick of the cell.
func (l *mixedLoad) submitDue() {
	for l.due += l.jobsPerSecond * tickInterval.Seconds(); l.due >= 1; l.due-- {
		l.count++
		id := describer.JobID(fmt.Sprintf("%016x", l.count))
		if l.random.IntN(10) > 0 {
			quick := describer.Step{Count: l.between(3, 17), Need: resources(l.between(1000, 3400), 3200), Estimate: 800 * time.Millisecond}
			l.cell.submit(id, describer.Queue{Name: "quick", Advice: describer.AdviceTerms{Decide: 21 * time.Millisecond, Valid: 2500 * time.Millisecond}}, quick)
			continue
		}
		first := describer.Step{Count: l.between(8, 34), Need: resources(l.between(2200, 6800), 4700), Estimate: 3800 * time.Millisecond}
		second := first
		second.After = []int{0}
		l.cell.submit(id, describer.Queue{Name: "batch", Priority: 2, MaxAttempts: 4, Advice: describer.AdviceTerms{Decide: 390 * time.Millisecond, Valid: 2500 * time.Millisecond}}, first, second)
	}
}

func resources(milliCPU, memoryMB int) describer.Resources {
	return describer.Resources{MilliCPU: int64(milliCPU), MemoryMB: int64(memoryMB)}
}

func newLoad(t testing.TB, workers int, jobsPerSecond float64) *mixedLoad {
	l := &mixedLoad{cell: newCell(t, workers), random: rand.New(rand.NewPCG(loadSeed, 0)), jobsPerSecond: jobsPerSecond}
	for i := range workers {
		l.cell.fleet.Update(fmt.Sprintf("w-%d", i), func(w *fencer.Worker) { w.Info.Capacity = resources(16000, 32768) })
	}
	// The advice allows about 70 percent of the workers for quick steps and 35 percent for
	// batch steps.
	l.cell.advise = func(request orderer.AdviceRequest) orderer.Advice {
		tickets := make(map[string]string)
		share := 0.35
		if request.Terms.Decide < 100*time.Millisecond {
			share = 0.7
		}
		for _, id := range request.Workers {
			if l.random.Float64() < share {
				tickets[id] = "t"
			}
		}
		return orderer.Advice{Tickets: tickets}
	}
	l.cell.d.SetAdviceHosts(30)
	return l
}

// BenchmarkBusyCell measures the processor time that the claim holder needs for one second of a
// busy cell.
func BenchmarkBusyCell(b *testing.B) {
	for _, size := range []struct {
		workers int
		rate    float64
	}{{48, 15}, {350, 42}, {350, 80}} {
		b.Run(fmt.Sprintf("%d workers, %g jobs a second", size.workers, size.rate), func(b *testing.B) {
			l := newLoad(b, size.workers, size.rate)
			for b.Loop() {
				for range int(time.Second / tickInterval) {
					l.submitDue()
					l.cell.tick()
					l.cell.clock.Advance(tickInterval)
				}
			}
		})
	}
}
