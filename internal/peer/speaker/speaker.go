// Package speaker defines the messages between entry hosts: heartbeats, requests to a shard's
// designated successor (the heir), client requests that are forwarded to a shard's claim
// holder, and changes that are forwarded to the data centre that owns their subject.
//
// The claim is the record in the log that makes one host the leader of a shard; its epoch is
// the fencing token.
//
// # Usage
//
//	reply, err := messenger.Call[speaker.CallerRequest, speaker.CallerReply](
//		ctx, m, address, speaker.CallRequest, request)
package speaker

import (
	"time"

	"lentilrock.example/internal/cell/applier"
	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/cell/recorder"
	"lentilrock.example/internal/core/signaller"
)

// Kinds of calls between entry hosts.
const (
	CallDispatcher = "dispatcher"
	CallHeartbeat  = "greeting"
	CallHeir       = "heir"
	CallPropose    = "propose"
	CallRequest    = "request"
)

// CallerRequest is a client's request to a service, forwarded to the claim holder.
type CallerRequest struct {
	Key     string `cbor:"key"`
	Service string `cbor:"service"`
	Body    []byte `cbor:"body"`
	// Repeatable reports that the request may be executed more than once.
	Repeatable bool      `cbor:"repeatable"`
	Urgent     bool      `cbor:"urgent"`
	Deadline   time.Time `cbor:"deadline"`
}

// CallerReply is the response to the client.
type CallerReply struct {
	Key    string                `cbor:"key" json:"key"`
	State  signaller.AnswerState `cbor:"state" json:"state"`
	Body   []byte                `cbor:"body" json:"body,omitempty"`
	Reason string                `cbor:"reason" json:"reason,omitempty"`
	// RetryAfter is how long the client should wait before a retry; 0 gives no advice.
	RetryAfter time.Duration `cbor:"retry_after" json:"retry_after_ns,omitempty"`
}

// Heartbeat is the heartbeat between the entry hosts of a data centre; it is both the request
// and the reply.
type Heartbeat struct {
	Host       descriptor.HostID `cbor:"host"`
	DataCentre string            `cbor:"data_centre"`
}

// HeirRequest is a claim holder's request to its heir, the designated successor, to confirm
// that it has neither made nor started a claim on the shard since the holder's epoch.
type HeirRequest struct {
	Holder descriptor.HostID  `cbor:"holder"`
	Shard  descriptor.ShardID `cbor:"shard"`
	Epoch  int64              `cbor:"epoch"`
	// Held lists the holder's intents that are not in the log yet; the heir is asked to store
	// them in memory.
	Held []recorder.Intent `cbor:"held,omitempty"`
	// Renounce lists the workers whose leases the heir must no longer renew.
	Renounce []string `cbor:"renounce,omitempty"`
}

// DispatcherRequest asks a host whether it can no longer dispatch a request. Host is the
// incarnation that is asked; any other incarnation replies no.
type DispatcherRequest struct {
	Host descriptor.HostID `cbor:"host"`
	Key  string            `cbor:"key"`
}

// Confirmation is the yes-or-no reply to a HeirRequest or a DispatcherRequest.
type Confirmation struct {
	OK bool `cbor:"ok"`
}

// Proposal is a change that an operator or client requests. Exactly one of Config, Submit and
// Close is set.
type Proposal struct {
	// ID is the idempotency key of the change: a retry under the same ID is safe.
	ID     string              `cbor:"id"`
	Author recorder.Author     `cbor:"author"`
	Config *recorder.Config    `cbor:"config,omitempty"`
	Submit *recorder.Submit    `cbor:"submit,omitempty"`
	Close  *recorder.CloseJobs `cbor:"close,omitempty"`
}

// OutcomeState is the result of a proposal.
type OutcomeState string

// The results of proposals.
const (
	// OutcomeApplied means that the change is in effect.
	OutcomeApplied OutcomeState = "applied"
	// OutcomeLost means that the change was appended to the log but had no effect at its
	// offset, for example because a concurrent change came first.
	OutcomeLost OutcomeState = "lost"
	// OutcomeRefused means that the change was not appended to the log.
	OutcomeRefused OutcomeState = "refused"
	// OutcomeNotKnownYet means that the change may or may not be in effect.
	OutcomeNotKnownYet OutcomeState = "not_known_yet"
)

// Outcome is the reply to a Proposal.
type Outcome struct {
	ID    string       `cbor:"id" json:"id"`
	State OutcomeState `cbor:"state" json:"state"`
	// Offset is the proposal's offset in its log stream, where it was appended.
	Offset  int64           `cbor:"offset" json:"offset"`
	Verdict applier.Verdict `cbor:"verdict" json:"verdict"`
	Reason  string          `cbor:"reason" json:"reason,omitempty"`
}
