package estimator

import (
	"math"
	"slices"
	"time"
)

const (
	// sampleAge is how old a sample of an active run may be: a slow period lasts several seconds. endAge is the same for ended
	// runs, which are many and tell of the time before: with 3 s, the ends before a slow period hid it for 3 s.
	sampleAge = 3 * time.Second
	endAge    = time.Second
	// fadeTime is the half-life of the logarithm of a speed without new samples.
	fadeTime = 2 * time.Second
	// usualSamples is the number of samples of the usual speed that each worker has, so that a single long run does not
	// make it slow.
	usualSamples = 2
	// slowLog is the logarithm of a speed below which a worker is slow now. Above it the speed is the average of its ended runs, as
	// the median of a few samples differs from 1 by a fifth through the spread of the durations alone.
	slowLog = -0.6
	// usualRuns is the number of ended runs from which on their average counts: with a spread of 0.5 in the logarithms, that of
	// 32 runs is off by 0.09 in the mean, and that of 5 by 0.22.
	usualRuns = 32
	// maxSamples bounds the samples of a worker that count.
	maxSamples = 32
	// maxLogSpeed bounds the logarithm of a sample.
	maxLogSpeed = 2.5
	// minWindow is the shortest time over which the progress of a run is measured, and minWindowParts the part of its
	// expected duration that it is at least, as the progress comes in whole percents.
	minWindow      = 300 * time.Millisecond
	minWindowParts = 20
	// fullPercent is the progress of a run that has done all of its work.
	fullPercent = 100
	// dropFactor is how much slower than before a run on the same worker is when its sample counts twice.
	dropFactor = 2
)

// speed has the samples of a worker's speed.
type speed struct {
	// usual has the ended runs outside of slow periods.
	usual history
	// samples are the latest ones, and logSpeed their median at measuredAt.
	samples    []speedSample
	logSpeed   float64
	measuredAt time.Time
}

// speedSample is the logarithm of a speed. That of an active run replaces the one before of the same run.
type speedSample struct {
	run      *Progress
	at       time.Time
	logSpeed float64
}

// Progress is the measured progress of a run. The zero value has none.
type Progress struct {
	done  int
	since time.Time
	// rate and best are the current and the highest rate, in percent a second.
	rate, best float64
	isMeasured bool
}

// Rate returns the share of its work that the run last did in a second, in percent. It returns false before the rate was
// measured.
func (p *Progress) Rate() (float64, bool) { return p.rate, p.isMeasured }

// measure updates the rate. It reports whether a new one was measured.
func (p *Progress) measure(now time.Time, done int, expected time.Duration) bool {
	elapsed := now.Sub(p.since)
	switch {
	case p.since.IsZero() || done < p.done:
		p.since, p.done = now, done
		return false
	case elapsed < max(minWindow, expected/minWindowParts):
		return false
	}
	p.rate = float64(done-p.done) / elapsed.Seconds()
	p.best = max(p.best, p.rate)
	p.since, p.done, p.isMeasured = now, done, true
	return true
}

// RecordProgress records how much of its work, in percent, an active run on a worker has done. The expected duration is that of
// a whole run at the usual speed.
func (e *Estimator) RecordProgress(worker string, now time.Time, p *Progress, done int, expected time.Duration) {
	// A run that has done all of its work may be listed for a while.
	if expected <= 0 || done <= 0 || done >= fullPercent || !p.measure(now, done, expected) {
		return
	}
	sample := speedSample{run: p, at: now, logSpeed: logOf(p.rate / 100 * expected.Seconds())}
	w := e.worker(worker, now)
	w.samples = slices.DeleteFunc(w.samples, func(s speedSample) bool { return s.run == p })
	w.samples = append(w.samples, sample)
	if p.rate*dropFactor < p.best {
		w.samples = append(w.samples, sample)
	}
	w.update(now)
}

// RecordEnd records that a run on a worker is over that took a time, and how long it was expected to take at the usual speed.
func (e *Estimator) RecordEnd(worker string, now time.Time, p *Progress, measured, expected time.Duration) {
	w := e.worker(worker, now)
	w.samples = slices.DeleteFunc(w.samples, func(s speedSample) bool { return s.run == p })
	if measured > 0 && expected > 0 {
		sample := logOf(expected.Seconds() / measured.Seconds())
		w.samples = append(w.samples, speedSample{at: now, logSpeed: sample})
		if w.logSpeed > slowLog {
			w.usual.add(sample, 0)
		}
	}
	w.update(now)
}

// logOf returns the logarithm of a speed within bounds.
func logOf(value float64) float64 {
	return max(-maxLogSpeed, min(math.Log(max(value, math.Exp(-maxLogSpeed))), maxLogSpeed))
}

func (e *Estimator) worker(id string, now time.Time) *speed {
	if now.After(e.now) {
		e.now = now
	}
	if e.workers == nil {
		e.workers = make(map[string]*speed)
	}
	w, found := e.workers[id]
	if !found {
		w = &speed{}
		e.workers[id] = w
	}
	return w
}

// update computes the speed as the median of the samples that are not too old.
func (w *speed) update(now time.Time) {
	w.samples = slices.DeleteFunc(w.samples, func(s speedSample) bool {
		age := now.Sub(s.at)
		return age > sampleAge || s.run == nil && age > endAge
	})
	w.samples = slices.Delete(w.samples, 0, max(len(w.samples)-maxSamples, 0))
	var values [maxSamples + usualSamples]float64
	for i, s := range w.samples {
		values[usualSamples+i] = s.logSpeed
	}
	sorted := values[:usualSamples+len(w.samples)]
	slices.Sort(sorted)
	w.logSpeed, w.measuredAt = sorted[len(sorted)/2], now
	if low := sorted[(len(sorted)-1)/2]; math.Abs(low) < math.Abs(w.logSpeed) {
		w.logSpeed = low
	}
}

// Speed returns how fast a worker is now: 1 is usual, and below 1 it is slower. Without new samples a slow one fades to
// its usual speed.
func (e *Estimator) Speed(worker string) float64 {
	w, found := e.workers[worker]
	if !found {
		return 1
	}
	age := max(e.now.Sub(w.measuredAt), 0)
	if now := w.logSpeed * math.Exp2(-age.Seconds()/fadeTime.Seconds()); now < slowLog {
		return math.Exp(now)
	}
	if w.usual.weight < usualRuns {
		return 1
	}
	return math.Exp(max(w.usual.meanWith(0), slowLog))
}

// Observe records the time, up to which speeds fade.
func (e *Estimator) Observe(now time.Time) {
	if now.After(e.now) {
		e.now = now
	}
}

// Forget removes what is known of a worker's speed.
func (e *Estimator) Forget(worker string) { delete(e.workers, worker) }
