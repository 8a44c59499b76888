package follower

import (
	"time"

	"lentilrock.example/internal/entry/storer"
)

const (
	// JobsPause is the pause between reads of the jobs on hosts other than the holder, which
	// read jobs only to report their state.
	JobsPause = 700 * time.Millisecond
	// claimsPause is the pause between reads of the claims on hosts other than the holder. Their
	// view may lag, since they query the holder about jobs that have not ended.
	claimsPause = 600 * time.Millisecond
	// holderClaimsPause is the same pause on the holder, which appends the records itself.
	holderClaimsPause = 250 * time.Millisecond
	// operatorsPause is how long configurations are collected before they are read.
	operatorsPause = 100 * time.Millisecond
	// holderWorkersPause is the pause between reads of the host list on the holder. It bounds the
	// delay until the holder reads a change of a worker.
	holderWorkersPause = 300 * time.Millisecond
	// workersPause is the same pause on the other hosts, which need the list only after a claim.
	workersPause = time.Second
)

// Pause returns the pause between reads of a topic on the holder or on another host. The holder reads
// the jobs without pauses.
func Pause(topic storer.Topic, isHolder bool) time.Duration {
	switch topic {
	case storer.Jobs:
		if isHolder {
			return 0
		}
		return JobsPause
	case storer.Claims:
		if isHolder {
			return holderClaimsPause
		}
		return claimsPause
	case storer.Workers:
		if isHolder {
			return holderWorkersPause
		}
		return workersPause
	}
	return operatorsPause
}
