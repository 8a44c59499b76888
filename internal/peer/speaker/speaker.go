// Package speaker defines what entry hosts say to each other: heartbeats, questions to an
// heir, callers' requests on their way to a holder, and changes on their way to their home.
//
// # Usage
//
//	answer, err := messenger.Call[speaker.CallerRequest, speaker.CallerAnswer](
//		ctx, m, address, speaker.CallRequest, request)
package speaker

import (
	"time"

	"lentilrock.example/internal/cell/applier"
	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/cell/recorder"
	"lentilrock.example/internal/core/signaller"
)

// Kinds of calls.
const (
	CallDispatcher = "dispatcher"
	CallGreeting   = "greeting"
	CallHeir       = "heir"
	CallPropose    = "propose"
	CallRequest    = "request"
)

// CallerRequest is a request of a caller.
type CallerRequest struct {
	Key        string    `cbor:"key"`
	Service    string    `cbor:"service"`
	Body       []byte    `cbor:"body"`
	Repeatable bool      `cbor:"repeatable"`
	Urgent     bool      `cbor:"urgent"`
	Deadline   time.Time `cbor:"deadline"`
}

// CallerAnswer is what the caller gets.
type CallerAnswer struct {
	Key        string                `cbor:"key" json:"key"`
	State      signaller.AnswerState `cbor:"state" json:"state"`
	Body       []byte                `cbor:"body" json:"body,omitempty"`
	Reason     string                `cbor:"reason" json:"reason,omitempty"`
	RetryAfter time.Duration         `cbor:"retry_after" json:"retry_after_ns,omitempty"`
}

// Greeting is the heartbeat between hosts of a data centre.
type Greeting struct {
	Host       descriptor.HostID `cbor:"host"`
	DataCentre string            `cbor:"data_centre"`
}

// HeirQuestion asks an heir for its word.
type HeirQuestion struct {
	Holder   descriptor.HostID  `cbor:"holder"`
	Shard    descriptor.ShardID `cbor:"shard"`
	Epoch    int64              `cbor:"epoch"`
	Held     []recorder.Intent  `cbor:"held,omitempty"`
	Renounce []string           `cbor:"renounce,omitempty"`
}

// DispatcherQuestion asks whether a host may still dispatch a request.
type DispatcherQuestion struct {
	Host descriptor.HostID `cbor:"host"`
	Key  string            `cbor:"key"`
}

// Word is a yes or no.
type Word struct {
	OK bool `cbor:"ok"`
}

// Proposal is a change that an operator or caller asks for; one of its bodies is set.
type Proposal struct {
	// ID names the change; asking again under the same one is safe.
	ID     string              `cbor:"id"`
	Author recorder.Author     `cbor:"author"`
	Config *recorder.Config    `cbor:"config,omitempty"`
	Submit *recorder.Submit    `cbor:"submit,omitempty"`
	Close  *recorder.CloseJobs `cbor:"close,omitempty"`
}

// OutcomeState is what became of a proposal.
type OutcomeState string

// The states of proposals.
const (
	// OutcomeApplied is in force.
	OutcomeApplied OutcomeState = "applied"
	// OutcomeLost reached its offset without effect.
	OutcomeLost OutcomeState = "lost"
	// OutcomeRefused was never written.
	OutcomeRefused OutcomeState = "refused"
	// OutcomeNotKnownYet may be in force or not.
	OutcomeNotKnownYet OutcomeState = "not_known_yet"
)

// Outcome says what became of a proposal.
type Outcome struct {
	ID      string          `cbor:"id" json:"id"`
	State   OutcomeState    `cbor:"state" json:"state"`
	Offset  int64           `cbor:"offset" json:"offset"`
	Verdict applier.Verdict `cbor:"verdict" json:"verdict"`
	Reason  string          `cbor:"reason" json:"reason,omitempty"`
}
