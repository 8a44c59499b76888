// Package messages defines the JSON messages of the platform's services: the log, the host
// list, the workers and the upstreams.
//
// The package contains everything that lentilrock assumes about the platform's message
// formats; docs/interfaces/platform.md states the guarantees that each service must give. The
// simulated services under internal/standin use the same messages.
//
// # Usage
//
//	var page messages.Page
//	err := json.Unmarshal(data, &page)
package messages

import (
	"encoding/json"
	"time"
)

// AppendRequest is the request to append records to a stream, atomically and in order.
type AppendRequest struct {
	Records []json.RawMessage `json:"records"`
}

// AppendReply is the reply to an AppendRequest.
type AppendReply struct {
	// Offset is the offset of the first appended record.
	Offset int64 `json:"offset"`
}

// Entry is a record together with its offset in the stream.
type Entry struct {
	Offset int64           `json:"offset"`
	Record json.RawMessage `json:"record"`
}

// Page is the reply to a read: a sequence of consecutive records. The log guarantees that Next
// equals Tail only if every record acknowledged before the read was sent is included.
type Page struct {
	// First is the lowest offset that the log still stores.
	First int64 `json:"first"`
	// Next is the offset from which to continue reading.
	Next int64 `json:"next"`
	// Tail is the offset that the next appended record gets.
	Tail    int64   `json:"tail"`
	Entries []Entry `json:"entries"`
}

// LogFault selects the faults that the simulated log injects.
type LogFault struct {
	// Down refuses all appends and reads.
	Down bool `json:"down"`
	// AppendsDown refuses appends but still serves reads.
	AppendsDown bool `json:"appends_down"`
	// Delay delays each append once, and each read twice: before and after it waits for records.
	Delay time.Duration `json:"delay_ns"`
	// LoseAcks is the number of appends that take effect but whose acknowledgement is lost.
	LoseAcks int `json:"lose_acks"`
	// RefusedPrefixes lists IP prefixes; appends and reads from their addresses are refused.
	RefusedPrefixes []string `json:"cut"`
}
