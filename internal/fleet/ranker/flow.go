package ranker

import (
	"math"
	"time"

	"lentilrock.example/internal/container/clamper"
	"lentilrock.example/internal/fleet/describer"
)

// overduePower is how fast the share falls with which a run counts that takes longer than expected: at twice the expected
// duration it counts an eighth. An estimate that is far too short then makes no flow.
const overduePower = 3

// Flow is the processor capacity that a set of runs frees, by their expected durations. The zero value and nil are that
// of no runs.
type Flow struct {
	// cores is the number of cores that become free a second.
	cores float64
}

// Add adds a run of a task of a step, with its expected duration and the time that it has run. One that runs until the job
// is cancelled frees nothing.
func (f *Flow) Add(s *describer.Step, expected, elapsed time.Duration) {
	if s.LongRunning || expected <= 0 {
		return
	}
	rate := cores(s) / expected.Seconds()
	if elapsed > expected {
		rate *= math.Pow(expected.Seconds()/elapsed.Seconds(), overduePower)
	}
	f.cores += rate
}

// Fill returns the time in which the processor capacity for a number of tasks of a step becomes free.
func (f *Flow) Fill(s *describer.Step, tasks int) time.Duration {
	return f.FillCores(float64(tasks) * cores(s))
}

// FillCores returns the time in which a number of cores becomes free; 0 if the number is not positive, and the longest
// duration if nothing becomes free.
func (f *Flow) FillCores(count float64) time.Duration {
	// A flow below minCores is that of runs which are long overdue.
	const minCores = 0.001
	switch {
	case count <= 0:
		return 0
	case f == nil || f.cores < minCores:
		return math.MaxInt64
	}
	return clamper.Duration(count/f.cores, time.Second)
}

func cores(s *describer.Step) float64 { return float64(s.Charge().MilliCPU) / 1000 }
