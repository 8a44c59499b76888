// Package signaller defines what goes into the decision core and what comes out of it:
// events, which the duties of a process feed in, and actions, which they carry out.
//
// All of them are plain values that can be written to a trace and read back.
//
// # Usage
//
//	var out signaller.Outbox
//	core.Step(now, signaller.Tick{}, &out)
//	for _, action := range out.Take() {
//		switch a := action.(type) {
//		case signaller.SendStart:
//			...
//		}
//	}
package signaller

import (
	"time"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/cell/recorder"
	"lentilrock.example/internal/platform/messages"
)

// Event is something that happened: one of the event types of this package.
type Event interface {
	event()
}

// Entry is a record of the log at its offset.
type Entry struct {
	Offset int64
	Record recorder.Record
	// Unreadable marks a record of a kind that this build lacks.
	Unreadable bool
}

// LogRead is an answered read of a stream.
type LogRead struct {
	Stream  string
	SentAt  time.Time
	Entries []Entry
	// AtTail reports that the read reached the end of the stream.
	AtTail bool
}

// LogFailed is a read of a stream without an answer.
type LogFailed struct {
	Stream string
}

// Restored is a snapshot of a stream, read at the start or after trimming.
type Restored struct {
	Stream string
	State  []byte
}

// AppendFailed says that the log refused records, so that they will never take effect.
type AppendFailed struct {
	Records []recorder.Record
	Reason  string
}

// HostsListed is an answer of the host list.
type HostsListed struct {
	SentAt time.Time
	Hosts  []descriptor.Host
}

// PeerHeard is a heartbeat of another entry host.
type PeerHeard struct {
	Host       descriptor.HostID
	DataCentre string
}

// HeirAsked is a holder's question to this host as its heir.
type HeirAsked struct {
	Ref    uint64
	Holder descriptor.HostID
	Shard  descriptor.ShardID
	Epoch  int64
	// Held lists the intents of the holder that are not in the log yet.
	Held []recorder.Intent
	// Renounce lists workers that the heir must not renew any more.
	Renounce []string
}

// HeirAnswered is the heir's answer to this host.
type HeirAnswered struct {
	Heir    descriptor.HostID
	Shard   descriptor.ShardID
	Epoch   int64
	AskedAt time.Time
	// OK reports that the heir has no claim on the epoch made or under way, and that it
	// holds the intents and has renounced the workers of the question.
	OK bool
	// HeldKeys lists the keys of the question's intents.
	HeldKeys []string
	// Renounced lists the workers of the question.
	Renounced []string
}

// WorkerAnswered is a worker's answer to a heartbeat.
type WorkerAnswered struct {
	Worker    string
	SentAt    time.Time
	Inventory messages.Inventory
}

// WorkerFailed is a heartbeat without an answer.
type WorkerFailed struct {
	Worker string
}

// StartResult is what became of a start.
type StartResult string

// The results of starts.
const (
	// StartRefused will never run.
	StartRefused StartResult = "refused"
	// StartTaken runs.
	StartTaken StartResult = "taken"
	// StartUnknown may run or not.
	StartUnknown StartResult = "unknown"
)

// StartAnswered is the end of a start's call.
type StartAnswered struct {
	Attempt messages.AttemptID
	Worker  string
	Result  StartResult
	Reason  string
}

// RequestArrived is a caller's request at the host that holds its shard.
type RequestArrived struct {
	// Ref names the caller's connection in actions that answer it.
	Ref        uint64
	Key        string
	Service    string
	BodyHash   uint64
	Repeatable bool
	Urgent     bool
	Deadline   time.Time
}

// DispatchResult is what became of a dispatch to an upstream.
type DispatchResult string

// The results of dispatches.
const (
	// DispatchDone brought the whole answer.
	DispatchDone DispatchResult = "done"
	// DispatchLeaving was refused by an upstream that is leaving.
	DispatchLeaving DispatchResult = "leaving"
	// DispatchNotSent never left this host.
	DispatchNotSent DispatchResult = "not_sent"
	// DispatchUnknown may have run.
	DispatchUnknown DispatchResult = "unknown"
)

// DispatchEnded is the end of a dispatch.
type DispatchEnded struct {
	Key      string
	Attempt  int
	Upstream string
	Result   DispatchResult
	Answer   []byte
	Reason   string
}

// OutcomeAnswered is an upstream's answer to the question what became of a request.
type OutcomeAnswered struct {
	Key      string
	Upstream string
	// Failed reports that the upstream did not answer.
	Failed  bool
	Outcome messages.Outcome
}

// DispatcherAnswered is another host's answer to the question whether it may still
// dispatch a request.
type DispatcherAnswered struct {
	Key  string
	Host descriptor.HostID
	// Ended reports that the host will not dispatch the request any more.
	Ended bool
}

// DispatcherAsked is that question to this host.
type DispatcherAsked struct {
	Ref uint64
	Key string
}

// LoadAnswered is an upstream's answer to the question how much of it is in use.
type LoadAnswered struct {
	Upstream string
	Failed   bool
	Load     messages.Load
}

// Proposed asks for records to be appended on behalf of a caller or operator.
type Proposed struct {
	Stream  string
	Records []recorder.Record
}

// Left asks the host to leave: to finish what it has and to release its shards.
type Left struct{}

// Tick lets time pass.
type Tick struct{}

func (AppendFailed) event()       {}
func (DispatchEnded) event()      {}
func (DispatcherAnswered) event() {}
func (DispatcherAsked) event()    {}
func (HeirAnswered) event()       {}
func (HeirAsked) event()          {}
func (HostsListed) event()        {}
func (Left) event()               {}
func (LoadAnswered) event()       {}
func (LogFailed) event()          {}
func (LogRead) event()            {}
func (OutcomeAnswered) event()    {}
func (PeerHeard) event()          {}
func (Proposed) event()           {}
func (RequestArrived) event()     {}
func (Restored) event()           {}
func (StartAnswered) event()      {}
func (Tick) event()               {}
func (WorkerAnswered) event()     {}
func (WorkerFailed) event()       {}
