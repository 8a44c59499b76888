// Package estimator estimates the resources that the tasks of a class use, from the usage
// that workers report with a delay.
//
// Tasks are placed with the larger of the declared size and a high quantile of the measured
// usage, so that a class that declares too little does not overcommit its workers.
//
// # Usage
//
//	e := estimator.Estimator{}
//	e.Observe("menu-plan", usage)
//	size := e.SizeFor("menu-plan", declared)
package estimator

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"lentilrock.example/internal/cell/descriptor"
)

const (
	// minSamples is the number of measurements of a class below which its declared size is
	// used as it is.
	minSamples = 20
	// quantile is the percentage of the measurements that the estimated size covers.
	quantile = 95.0
	// maxClasses is the maximum number of classes with histograms; the usage of further
	// classes is ignored.
	maxClasses = 256
	// maxMilliCores is the upper end of the range of the CPU histograms.
	maxMilliCores = 10_000_000
	// memoryUnit is the resolution of the memory histograms in bytes.
	memoryUnit = 1 << 20
	// maxMemoryUnits is the upper end of the range of the memory histograms.
	maxMemoryUnits = 1 << 24
	// significantDigits is the precision of the histograms in decimal digits.
	significantDigits = 2
	// roundingPercent is the relative error of a histogram bucket in percent.
	roundingPercent = 2
)

// class holds the usage histograms of one class of tasks.
type class struct {
	cores  *hdrhistogram.Histogram
	memory *hdrhistogram.Histogram
}

// Estimator holds the measured usage of each class. Its zero value has no measurements. It is
// not safe for concurrent use.
type Estimator struct {
	classes map[string]*class
}

// Observe records the measured usage of a task of the named class. A zero usage is ignored.
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
	// RecordValue fails only for values beyond the range, which no real task reaches. They
	// are left out.
	_ = c.cores.RecordValue(usage.MilliCores)
	_ = c.memory.RecordValue((usage.MemoryBytes + memoryUnit - 1) / memoryUnit)
}

// SizeFor returns the size to place a task of the named class with. Accelerators are always as
// declared.
func (e *Estimator) SizeFor(name string, declared descriptor.Size) descriptor.Size {
	c, found := e.classes[name]
	if !found || c.cores.TotalCount() < minSamples {
		return declared
	}
	cores := c.cores.ValueAtQuantile(quantile)
	memory := c.memory.ValueAtQuantile(quantile) * memoryUnit
	return descriptor.Size{
		MilliCores:   maxSize(declared.MilliCores, cores),
		MemoryBytes:  maxSize(declared.MemoryBytes, memory),
		Accelerators: declared.Accelerators,
	}
}

// maxSize returns the larger value. If measured exceeds declared by no more than the rounding
// of the histogram, it returns declared.
func maxSize(declared, measured int64) int64 {
	if measured <= declared+declared*roundingPercent/100 {
		return declared
	}
	return measured
}
