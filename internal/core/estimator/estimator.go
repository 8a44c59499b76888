// Package estimator learns how much the tasks of a class really use, from the usage that
// workers report with a lag.
//
// The size to plan with is the larger of the declared one and a high quantile of what was
// measured, so that a class that declares too little does not overcommit its workers.
//
// # Usage
//
//	e := estimator.Estimator{}
//	e.Observe("menu-plan", usage)
//	size := e.Need("menu-plan", declared)
package estimator

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"lentilrock.example/internal/cell/descriptor"
)

const (
	// minSamples is how many measurements outweigh the declared size.
	minSamples = 20
	// quantile is the part of the measurements, in percent, that the size covers.
	quantile = 95.0
	// maxClasses bounds the classes that are learned.
	maxClasses        = 256
	maxMilliCores     = 10_000_000
	memoryUnit        = 1 << 20
	maxMemoryUnits    = 1 << 24
	significantDigits = 2
	// roundingPercent is the error of a histogram's buckets.
	roundingPercent = 2
)

type class struct {
	cores  *hdrhistogram.Histogram
	memory *hdrhistogram.Histogram
}

// Estimator holds what was learned of each class. Its zero value has learned nothing.
type Estimator struct {
	classes map[string]*class
}

// Observe takes in a measured use of a task.
func (e *Estimator) Observe(name string, usage descriptor.Size) {
	if usage.IsZero() {
		return
	}
	c, found := e.classes[name]
	if !found {
		if len(e.classes) >= maxClasses {
			return
		}
		if e.classes == nil {
			e.classes = make(map[string]*class)
		}
		c = &class{
			cores:  hdrhistogram.New(1, maxMilliCores, significantDigits),
			memory: hdrhistogram.New(1, maxMemoryUnits, significantDigits),
		}
		e.classes[name] = c
	}
	// Values beyond the range are impossible sizes; the histogram leaves them out.
	_ = c.cores.RecordValue(usage.MilliCores)
	_ = c.memory.RecordValue((usage.MemoryBytes + memoryUnit - 1) / memoryUnit)
}

// Need returns the size to plan with.
func (e *Estimator) Need(name string, declared descriptor.Size) descriptor.Size {
	c, found := e.classes[name]
	if !found || c.cores.TotalCount() < minSamples {
		return declared
	}
	cores := c.cores.ValueAtQuantile(quantile)
	memory := c.memory.ValueAtQuantile(quantile) * memoryUnit
	return descriptor.Size{
		MilliCores:   larger(declared.MilliCores, cores),
		MemoryBytes:  larger(declared.MemoryBytes, memory),
		Accelerators: declared.Accelerators,
	}
}

// larger returns the larger value, but the declared one where the difference is within
// the rounding of the histogram.
func larger(declared, learned int64) int64 {
	if learned <= declared+declared*roundingPercent/100 {
		return declared
	}
	return learned
}
