// Package signaller defines the inputs and outputs of the decision core: events, which the
// loops of a process feed into it, and actions, which they carry out.
//
// All of them are plain values that can be written to a trace and read back. The replayer
// writes the names of types and fields into traces.
//
// A claim is the record in the log that makes one host the holder of a shard; its epoch is
// the fencing token. The heir is the designated successor of the holder.
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

// Event is an input of the decision core. It is one of the event types of this package.
type Event interface {
	event()
}

// Entry is a record of the log with its offset.
type Entry struct {
	Offset int64
	Record recorder.Record
	// Unreadable reports that this build does not know the kind of the record.
	Unreadable bool
}

// LogRead is a successful read of a stream.
type LogRead struct {
	Stream  string
	SentAt  time.Time
	Entries []Entry
	// AtTail reports that the read reached the end of the stream.
	AtTail bool
}

// LogFailed is a failed read of a stream.
type LogFailed struct {
	Stream string
}

// Restored is a snapshot of a stream, read at start-up or after the stream was trimmed.
type Restored struct {
	Stream string
	State  []byte
}

// AppendFailed reports that the log refused records, which will never take effect.
type AppendFailed struct {
	Records []recorder.Record
	Reason  string
}

// HostsListed is a read of the host list.
type HostsListed struct {
	SentAt time.Time
	Hosts  []descriptor.Host
}

// PeerHeard is a heartbeat, or the reply to a heartbeat, from another entry host.
type PeerHeard struct {
	Host       descriptor.HostID
	DataCentre string
}

// HeirAsked is an AskHeir query from the holder of a shard, received by this host as the heir.
type HeirAsked struct {
	// Ref identifies the query in AnswerHeir.
	Ref    uint64
	Holder descriptor.HostID
	Shard  descriptor.ShardID
	Epoch  int64
	// Held lists the holder's intents that are not in the log yet.
	Held []recorder.Intent
	// Renounce lists the workers whose leases the heir must no longer renew.
	Renounce []string
}

// HeirAnswered is the heir's reply to this host.
type HeirAnswered struct {
	Heir    descriptor.HostID
	Shard   descriptor.ShardID
	Epoch   int64
	AskedAt time.Time
	// OK reports that the heir has neither made nor begun a claim that would supersede the
	// epoch, holds the intents of the query and has renounced its workers.
	OK bool
	// HeldKeys lists the keys of the intents in the query.
	HeldKeys []string
	// Renounced lists the workers in the query.
	Renounced []string
}

// WorkerAnswered is a worker's reply to a heartbeat.
type WorkerAnswered struct {
	Worker    string
	SentAt    time.Time
	Inventory messages.Inventory
}

// WorkerFailed is a heartbeat to a worker without a reply.
type WorkerFailed struct {
	Worker string
}

// StartResult is the result of a start request.
type StartResult string

// The results of start requests.
const (
	// StartRefused means that the attempt will never run.
	StartRefused StartResult = "refused"
	// StartTaken means that the worker has accepted the attempt and runs it.
	StartTaken StartResult = "taken"
	// StartUnknown means that the attempt may or may not run, for example because no reply
	// came.
	StartUnknown StartResult = "unknown"
)

// StartAnswered is the end of a start request.
type StartAnswered struct {
	Attempt messages.AttemptID
	Worker  string
	Result  StartResult
	Reason  string
}

// RequestArrived is a request from a caller, received by the holder of its shard.
type RequestArrived struct {
	// Ref identifies the caller's connection in the actions that respond to the request.
	Ref        uint64
	Key        string
	Service    string
	BodyHash   uint64
	Repeatable bool
	Urgent     bool
	Deadline   time.Time
}

// DispatchResult is the result of a dispatch to an upstream.
type DispatchResult string

// The results of dispatches.
const (
	// DispatchDone means that the complete response was received.
	DispatchDone DispatchResult = "done"
	// DispatchLeaving means that the upstream refused the request because it is leaving.
	DispatchLeaving DispatchResult = "leaving"
	// DispatchNotSent means that the request never left this host.
	DispatchNotSent DispatchResult = "not_sent"
	// DispatchUnknown means that the request may have run.
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

// OutcomeAnswered is an upstream's reply to AskOutcome.
type OutcomeAnswered struct {
	Key      string
	Upstream string
	// Failed reports that the upstream did not reply.
	Failed  bool
	Outcome messages.Outcome
}

// DispatcherAnswered is another host's reply to AskDispatcher.
type DispatcherAnswered struct {
	Key  string
	Host descriptor.HostID
	// Ended reports that the host will no longer dispatch the request.
	Ended bool
}

// DispatcherAsked is a query from another host that asks whether this host may still dispatch a request.
type DispatcherAsked struct {
	Ref uint64
	Key string
}

// LoadAnswered is an upstream's reply to AskLoad.
type LoadAnswered struct {
	Upstream string
	// Failed reports that the upstream did not reply.
	Failed bool
	Load   messages.Load
}

// Proposed requests that records are appended on behalf of a caller or an operator.
type Proposed struct {
	Stream  string
	Records []recorder.Record
}

// Left requests a graceful shutdown: the host finishes its work and releases its shards.
type Left struct{}

// Tick advances the time of the decision core without any other input.
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
