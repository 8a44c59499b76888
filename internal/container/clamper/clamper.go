// Package clamper calculates with numbers and durations that come from outside: a result beyond the range of
// its type becomes the nearest value in it, on every processor. A plain sum would wrap around, and a
// conversion of a float beyond the range of an integer depends on the processor.
//
// # Usage
//
//	total := clamper.Add(total, step.Estimate)
//	objective := received.Add(clamper.Scale(total, queue.Stretch))
//	valid := clamper.Duration(milliseconds, time.Millisecond)
package clamper

import (
	"math"
	"time"
)

const (
	minDuration = time.Duration(math.MinInt64)
	maxDuration = time.Duration(math.MaxInt64)
)

// Add returns the sum of two durations.
func Add(a, b time.Duration) time.Duration {
	switch sum := a + b; {
	case a > 0 && b > 0 && sum < 0:
		return maxDuration
	case a < 0 && b < 0 && sum >= 0:
		return minDuration
	default:
		return sum
	}
}

// Scale returns a duration multiplied by a factor.
func Scale(d time.Duration, factor float64) time.Duration { return Duration(factor, d) }

// Duration returns the duration of a number of units; 0 if the number is not a number.
func Duration(count float64, unit time.Duration) time.Duration {
	return time.Duration(Integer(count*float64(unit), math.MinInt64, math.MaxInt64))
}

// Integer returns the integer part of a number, or the nearest of the bounds if it is not between them; 0 or
// the nearest bound for what is not a number.
func Integer(number float64, low, high int64) int64 {
	switch {
	case math.IsNaN(number):
		return max(low, min(high, 0))
	case number <= float64(low):
		return low
	case number >= float64(high):
		return high
	}
	return int64(number)
}
