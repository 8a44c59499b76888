package messages

import (
	"time"
)

// Headers of a request to an upstream.
const (
	HeaderRequestID = "Request-Id"
	HeaderAttempt   = "Request-Attempt"
	// HeaderLeaving marks the response of an upstream that is draining and accepts no new
	// requests.
	HeaderLeaving = "Upstream-Leaving"
)

// Part is a part of an upstream's response. The response body contains one part per line, each
// a JSON object.
type Part struct {
	Attempt int `json:"attempt"`
	// Seq is the sequence number of the part, from 0.
	Seq  int    `json:"seq"`
	Data []byte `json:"data,omitempty"`
	// Last marks the part with the highest sequence number.
	Last bool `json:"last,omitempty"`
}

// OutcomeState is the state of a request at an upstream.
type OutcomeState string

// The states of requests at an upstream.
const (
	OutcomeRun     OutcomeState = "run"
	OutcomeRunning OutcomeState = "running"
	OutcomeUnknown OutcomeState = "unknown"
)

// Outcome is an upstream's reply to a query for the state and result of a request.
type Outcome struct {
	State  OutcomeState `json:"state"`
	Result []byte       `json:"result,omitempty"`
}

// Load is the number of requests and connections that an upstream is serving.
type Load struct {
	Busy        int `json:"busy"`
	Connections int `json:"connections"`
}

// UpstreamFault selects the faults that a simulated upstream injects.
type UpstreamFault struct {
	// Begin is the delay between reading a request and executing it.
	Begin time.Duration `json:"begin_ns"`
	// Delay is the execution time of a request.
	Delay time.Duration `json:"delay_ns"`
	// Shuffle sends the parts out of order, duplicated, and mixed with parts of an earlier
	// attempt.
	Shuffle bool `json:"shuffle"`
	// Truncate ends the response before its last part.
	Truncate bool `json:"truncate"`
	// DropReplies is the number of requests that are executed but whose connection is closed
	// without a response.
	DropReplies int `json:"drop_replies"`
	// Leaving refuses new requests, as a draining upstream does.
	Leaving bool `json:"leaving"`
	// Down leaves all calls without a response.
	Down bool `json:"down"`
}

// RequestRun is a request that a simulated upstream executed.
type RequestRun struct {
	ID      string    `json:"id"`
	Attempt int       `json:"attempt"`
	Began   time.Time `json:"began"`
}

// UpstreamRuns is the execution record of a simulated upstream.
type UpstreamRuns struct {
	Runs []RequestRun `json:"runs"`
	// PeakBusy is the maximum number of requests executed concurrently.
	PeakBusy int `json:"peak_busy"`
}
