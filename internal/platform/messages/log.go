// Package messages holds the JSON messages of the platform's services: the log, the
// host list, the workers and the upstreams.
//
// They are the whole of what lentilrock assumes of the platform's formats; the page
// docs/interfaces/platform.md states what each service must promise. The stand-ins
// of the tests speak the same messages.
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

// AppendRequest adds records to the end of a stream, in order, all or none.
type AppendRequest struct {
	Records []json.RawMessage `json:"records"`
}

// AppendReply gives the offset of the first record appended.
type AppendReply struct {
	Offset int64 `json:"offset"`
}

// Entry is a record at its offset.
type Entry struct {
	Offset int64           `json:"offset"`
	Record json.RawMessage `json:"record"`
}

// Page is a run of records. The log promises that Next equals Tail only where every
// record acknowledged before the read was sent is included.
type Page struct {
	// First is the lowest offset that is still kept.
	First int64 `json:"first"`
	// Next is the offset to read from next.
	Next int64 `json:"next"`
	// Tail is the offset that the next append gets.
	Tail    int64   `json:"tail"`
	Entries []Entry `json:"entries"`
}

// LogFault switches the faults of the log stand-in.
type LogFault struct {
	Down bool `json:"down"`
	// AppendsDown refuses appends alone.
	AppendsDown bool `json:"appends_down"`
	// Delay holds back each answer.
	Delay time.Duration `json:"delay_ns"`
	// LoseAcks drops the acknowledgement of so many appends after they took effect.
	LoseAcks int `json:"lose_acks"`
	// Cut refuses callers from these IP prefixes.
	Cut []string `json:"cut"`
}
