// Package estimator learns how long tasks take and how fast workers are, from the runs of a cell. It has no clock:
// the time comes with each sample. The same samples in the same order give the same estimates.
//
// # Usage
//
//	var e estimator.Estimator
//	e.RecordDuration("queue", "image", estimate, measured)
//	mean, spread := e.Expected("queue", "image", estimate)
//	e.RecordEnd("worker", now, &progress, measured, mean)
//	if e.Speed("worker") < 0.5 {
//		// the worker is slow now
//	}
package estimator

import (
	"math"
	"time"

	"lentilrock.example/internal/container/clamper"
)

const (
	// priorWeight is how many samples the prior counts as: the declared estimate for a queue, and the queue for an image.
	priorWeight = 4
	// maxWeight bounds the number of samples that the averages remember, so that they follow a change.
	maxWeight = 64
	// reach is how many deviations from the mean one sample counts at most: a run of seven times the length, which three in a
	// hundred are, lies four deviations away.
	reach = 2.5
	// minDeviation and firstDeviation are the lowest and the initial deviation of the logarithms that bounds a sample.
	minDeviation, firstDeviation = 0.1, 0.5
	// maxDeviation bounds the deviation, which otherwise grows with the samples that it admits, and the mean with its square. The
	// deviation of runs with a spread of 0.5, of which three in a hundred take seven times as long, is about 0.6.
	maxDeviation = 1.0
	// maxRatio bounds the ratio of measured to declared durations and its inverse: a declared estimate further off is none.
	maxRatio = 100
	// maxKeys bounds the queues that are remembered, and the images.
	maxKeys = 4096
	// learnedSamples is the number of samples of a queue from which on its durations tell how fast workers are.
	learnedSamples = 16
	// revisionSamples is the number of new durations after which derived values should be computed anew.
	revisionSamples = 256
)

// Estimator has what was learned of a cell. The zero value has learned nothing. It is not safe for concurrent use.
type Estimator struct {
	queues  memory[string]
	images  memory[imageKey]
	samples int
	workers map[string]*speed
	now     time.Time
}

type imageKey struct{ queue, image string }

// history has the averages of logarithms of ratios of measured to declared durations.
type history struct {
	weight   float64
	mean     float64
	variance float64
}

// add adds a sample, whose distance from the mean of the prior and the samples so far is bounded.
func (h *history) add(sample, priorMean float64) {
	mean := h.meanWith(priorMean)
	deviation := math.Sqrt((h.weight*h.variance + priorWeight*firstDeviation*firstDeviation) / (h.weight + priorWeight))
	bound := reach * min(max(deviation, minDeviation), maxDeviation)
	distance := max(-bound, min(sample-mean, bound))
	h.weight = min(h.weight+1, maxWeight)
	h.mean += (mean + distance - h.mean) / h.weight
	h.variance += (distance*distance - h.variance) / h.weight
}

// meanWith returns the mean with a prior.
func (h *history) meanWith(prior float64) float64 {
	return (h.weight*h.mean + priorWeight*prior) / (h.weight + priorWeight)
}

// RecordDuration records how long a whole run of a task took, on a worker of usual speed. A task without a declared
// estimate is not recorded.
func (e *Estimator) RecordDuration(queue, image string, estimate, measured time.Duration) {
	if estimate <= 0 || measured <= 0 {
		return
	}
	sample := math.Log(boundRatio(measured.Seconds() / estimate.Seconds()))
	q := e.queues.forSample(queue)
	e.images.forSample(imageKey{queue, image}).add(sample, q.meanWith(0))
	q.add(sample, 0)
	e.samples++
}

// boundRatio returns a ratio of durations within bounds.
func boundRatio(ratio float64) float64 { return max(1.0/maxRatio, min(ratio, maxRatio)) }

// Expected returns the duration to expect of a task with a declared estimate, and its spread, the standard deviation. It returns
// the estimate and 0 if nothing was learned of the queue.
func (e *Estimator) Expected(queue, image string, estimate time.Duration) (mean, spread time.Duration) {
	ratio, variance := e.ratio(queue, image)
	mean = clamper.Scale(estimate, boundRatio(math.Exp(ratio+variance/2)))
	return mean, clamper.Scale(mean, math.Sqrt(math.Expm1(variance)))
}

// Typical returns the duration that half of the tasks with a declared estimate exceed, against which the speed of a worker is
// measured. The mean is longer, and by it all workers would seem fast.
func (e *Estimator) Typical(queue, image string, estimate time.Duration) time.Duration {
	ratio, _ := e.ratio(queue, image)
	return clamper.Scale(estimate, boundRatio(math.Exp(ratio)))
}

// ratio returns mean and variance of the logarithm of the ratio of measured to declared durations; 0 if nothing was learned.
func (e *Estimator) ratio(queue, image string) (mean, variance float64) {
	q, isKnown := e.queues.get(queue)
	if !isKnown {
		return 0, 0
	}
	mean, variance = q.meanWith(0), q.weight*q.variance/(q.weight+priorWeight)
	if i, hasImage := e.images.get(imageKey{queue, image}); hasImage {
		mean = i.meanWith(mean)
		variance = (i.weight*i.variance + priorWeight*variance) / (i.weight + priorWeight)
	}
	return mean, min(variance, maxDeviation*maxDeviation)
}

// IsLearned reports whether the expected durations of a queue are good enough to tell how fast workers are.
func (e *Estimator) IsLearned(queue string) bool {
	q, isKnown := e.queues.get(queue)
	return isKnown && q.weight >= learnedSamples
}

// Revision returns a number that changes once enough was learned for values to be computed anew that are derived from
// expected durations; 0 before.
func (e *Estimator) Revision() int {
	if e.samples < priorWeight {
		return 0
	}
	return 1 + e.samples/revisionSamples
}
