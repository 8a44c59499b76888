// Package pacer computes the speed of the filler tasks on a worker, which use its spare
// capacity, so that the serving tasks on the same worker meet their latency objectives.
//
// It lowers the speed quickly and raises it slowly: an objective is missed for a few readings
// at most, and a speed that has just caused a miss is not tried again at once.
//
// # Usage
//
//	var p pacer.Pacer
//	percent := p.Next(now, ratio) // ratio is the largest tail latency / objective on the worker
package pacer

import "time"

const (
	// breachRatio is the ratio of tail latency to objective at or above which an objective is
	// missed.
	breachRatio = 1.0
	// nearRatio is the ratio at or above which the speed is lowered before an objective is
	// missed.
	nearRatio = 0.85
	// calmRatio is the ratio below which the speed may rise.
	calmRatio = 0.65
	// breachPercent is the speed after the first reading that misses the objective; the next
	// such reading stops the tasks.
	breachPercent = 25
	// nearDivisor divides the speed at a ratio of nearRatio or above.
	nearDivisor = 2
	// raiseStep is the increase of the speed at a time, in percentage points.
	raiseStep = 15
	// FullPercent is the speed without a limit, at which a run begins, in percent.
	FullPercent = 100
	// UnknownPercent stands for the speed of a run that a former holder may have throttled.
	UnknownPercent = -1
	// settlingTime is the least time between two changes: a reading covers the last half
	// second, and an order takes effect a tenth of a second after it arrives.
	settlingTime = 700 * time.Millisecond
	// raiseDelay is how long the ratio must stay below calmRatio before the speed rises.
	raiseDelay = 1500 * time.Millisecond
)

// Pacer holds the speed of the filler tasks on a worker. Its zero value is full speed.
type Pacer struct {
	// cut is the reduction from full speed, in percentage points.
	cut       int
	changedAt time.Time
	// calmSince is when the ratio fell below calmRatio; zero while it is not below.
	calmSince time.Time
}

// Percent returns the current speed in percent of full speed, from 0 to 100.
func (p *Pacer) Percent() int { return FullPercent - p.cut }

// Next applies a reading, the largest ratio of tail latency to objective among the serving
// tasks on the worker, and returns the new speed in percent of full speed, from 0 to 100.
func (p *Pacer) Next(now time.Time, ratio float64) int {
	if ratio >= calmRatio {
		p.calmSince = time.Time{}
	} else if p.calmSince.IsZero() {
		p.calmSince = now
	}
	if now.Sub(p.changedAt) < settlingTime {
		return p.Percent()
	}
	switch {
	case ratio >= breachRatio && p.Percent() > breachPercent:
		p.set(now, breachPercent)
	case ratio >= breachRatio:
		p.set(now, 0)
	case ratio >= nearRatio:
		p.set(now, p.Percent()/nearDivisor)
	case !p.calmSince.IsZero() && now.Sub(p.calmSince) >= raiseDelay:
		p.set(now, min(p.Percent()+raiseStep, FullPercent))
	}
	return p.Percent()
}

func (p *Pacer) set(now time.Time, percent int) {
	if percent != p.Percent() {
		p.cut, p.changedAt = FullPercent-percent, now
	}
}
