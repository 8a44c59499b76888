package messages

import (
	"time"
)

// Headers of a request to an upstream.
const (
	HeaderRequestID = "Request-Id"
	HeaderAttempt   = "Request-Attempt"
	// HeaderLeaving marks the answer of an upstream that takes no new work.
	HeaderLeaving = "Upstream-Leaving"
)

// Part is a piece of an upstream's answer; parts travel one JSON object a line.
type Part struct {
	Attempt int    `json:"attempt"`
	Seq     int    `json:"seq"`
	Data    []byte `json:"data,omitempty"`
	// Last marks the part with the highest sequence number.
	Last bool `json:"last,omitempty"`
}

// OutcomeState is what an upstream knows of a request.
type OutcomeState string

// The states of requests at an upstream.
const (
	OutcomeRun     OutcomeState = "run"
	OutcomeRunning OutcomeState = "running"
	OutcomeUnknown OutcomeState = "unknown"
)

// Outcome is an upstream's answer to the question what became of a request.
type Outcome struct {
	State  OutcomeState `json:"state"`
	Result []byte       `json:"result,omitempty"`
}

// Load says how much of an upstream is in use.
type Load struct {
	Busy        int `json:"busy"`
	Connections int `json:"connections"`
}

// UpstreamFault switches the faults of an upstream stand-in.
type UpstreamFault struct {
	// Begin is the time before a request that was read begins.
	Begin time.Duration `json:"begin_ns"`
	// Delay is the time that a request takes.
	Delay time.Duration `json:"delay_ns"`
	// Shuffle sends the parts out of order, doubled, and mixed with old ones.
	Shuffle bool `json:"shuffle"`
	// Truncate ends the answer before its last part.
	Truncate bool `json:"truncate"`
	// DropReplies closes the connection after the work is done, so many times.
	DropReplies int `json:"drop_replies"`
	// Leaving refuses new requests.
	Leaving bool `json:"leaving"`
	// Down answers nothing.
	Down bool `json:"down"`
}

// RequestRun is a request that ran at an upstream stand-in.
type RequestRun struct {
	ID      string    `json:"id"`
	Attempt int       `json:"attempt"`
	Began   time.Time `json:"began"`
}

// UpstreamRuns is what an upstream stand-in recorded.
type UpstreamRuns struct {
	Runs []RequestRun `json:"runs"`
	// PeakBusy is the most requests that ran at a time.
	PeakBusy int `json:"peak_busy"`
}
