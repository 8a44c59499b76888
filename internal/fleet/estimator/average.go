package estimator

import "time"

// averageWeight is the divisor of the moving average of durations: a new sample counts one quarter, as steps have few tasks.
const averageWeight = 4

// Average is a moving average of durations. The zero value is 0.
type Average time.Duration

// Add adds a duration.
func (a *Average) Add(sample time.Duration) {
	if *a == 0 {
		*a = Average(sample)
	}
	*a += (Average(sample) - *a) / averageWeight
}
