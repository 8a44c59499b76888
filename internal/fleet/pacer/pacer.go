// Package pacer decides at which share of their speed the tasks of a worker work that use
// what others leave, so that the tasks that serve beside them keep their latency objectives.
//
// It cuts fast and gives back slowly: a breach lasts a few readings at most, and a share
// that has just caused one is not tried again at once.
//
// # Usage
//
//	var p pacer.Pacer
//	percent := p.Next(now, worst) // worst is the largest of tail latency / objective
package pacer

import "time"

const (
	// breach is the reading from which on an objective is missed.
	breach = 1.0
	// near is the reading from which on the share is lowered ahead of a breach.
	near = 0.85
	// calm is the reading below which the share may rise.
	calm = 0.65
	// firstCut is the share after the first reading of a breach; the next one stops the tasks.
	firstCut = 25
	// nearFactor lowers the share ahead of a breach.
	nearFactor = 2
	// raise is what the share rises by, in percent.
	raise = 15
	// full is the share without a cut, in percent.
	full = 100
	// settleTime passes between changes: readings cover the last half second, and an order
	// takes effect a tenth of a second after it arrives.
	settleTime = 700 * time.Millisecond
	// raiseAfter is how long readings stay calm before the share rises.
	raiseAfter = 1500 * time.Millisecond
)

// Pacer keeps the share of the tasks that fill on a worker. The zero value lets them work
// at full speed.
type Pacer struct {
	// cut is what is taken off the full share, in percent.
	cut       int
	changedAt time.Time
	// calmSince is when readings became calm; zero while they are not.
	calmSince time.Time
}

// Percent returns the present share.
func (p *Pacer) Percent() int { return full - p.cut }

// Next takes in a reading, the largest of tail latency to objective on the worker, and
// returns the share from now on.
func (p *Pacer) Next(now time.Time, worst float64) int {
	if worst >= calm {
		p.calmSince = time.Time{}
	} else if p.calmSince.IsZero() {
		p.calmSince = now
	}
	if now.Sub(p.changedAt) < settleTime {
		return p.Percent()
	}
	switch {
	case worst >= breach && p.Percent() > firstCut:
		p.set(now, firstCut)
	case worst >= breach:
		p.set(now, 0)
	case worst >= near:
		p.set(now, p.Percent()/nearFactor)
	case !p.calmSince.IsZero() && now.Sub(p.calmSince) >= raiseAfter:
		p.set(now, min(p.Percent()+raise, full))
	}
	return p.Percent()
}

func (p *Pacer) set(now time.Time, percent int) {
	if percent != p.Percent() {
		p.cut, p.changedAt = full-percent, now
	}
}
