package signaller

import (
	"time"

	"lentilrock.example/internal/cell/applier"
	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/cell/recorder"
	"lentilrock.example/internal/platform/messages"
)

// Action is something to carry out: one of the action types of this package.
type Action interface {
	action()
}

// Append adds records to a stream of the log. The appender may repeat it until it is
// acknowledged, since each record is idempotent.
type Append struct {
	Stream  string
	Records []recorder.Record
}

// SendStart starts an attempt of a task on a worker.
type SendStart struct {
	Worker descriptor.Host
	Start  messages.Start
}

// SendHeartbeat renews a worker's leases and asks for its inventory.
type SendHeartbeat struct {
	Worker    descriptor.Host
	Heartbeat messages.Heartbeat
}

// SendStop stops an attempt.
type SendStop struct {
	Worker descriptor.Host
	Stop   messages.Stop
}

// SendThrottle holds an attempt to its size, or lets go of it.
type SendThrottle struct {
	Worker   descriptor.Host
	Throttle messages.Throttle
}

// AskHeir asks the heir of a shard for its word.
type AskHeir struct {
	Heir    descriptor.HostID
	Shard   descriptor.ShardID
	Epoch   int64
	AskedAt time.Time
	// Held and Renounce are those of HeirAsked.
	Held     []recorder.Intent
	Renounce []string
}

// AnswerHeir answers a HeirAsked.
type AnswerHeir struct {
	Ref uint64
	OK  bool
}

// Dispatch sends a request to an upstream.
type Dispatch struct {
	Ref      uint64
	Key      string
	Attempt  int
	Upstream descriptor.Host
	Deadline time.Time
}

// AskOutcome asks an upstream what became of a request.
type AskOutcome struct {
	Key      string
	Upstream descriptor.Host
}

// AskLoad asks an upstream how much of it is in use.
type AskLoad struct {
	Upstream descriptor.Host
}

// AskDispatcher asks another host whether it may still dispatch a request.
type AskDispatcher struct {
	Host descriptor.HostID
	Key  string
}

// AnswerDispatcher answers a DispatcherAsked.
type AnswerDispatcher struct {
	Ref   uint64
	Ended bool
}

// AnswerState is the kind of answer that a caller gets.
type AnswerState string

// The kinds of answers.
const (
	AnswerDeadline    AnswerState = "deadline"
	AnswerDone        AnswerState = "done"
	AnswerNotKnownYet AnswerState = "not_known_yet"
	AnswerNotRun      AnswerState = "not_run"
	AnswerRefused     AnswerState = "refused"
)

// Answer ends a caller's request.
type Answer struct {
	Ref    uint64
	Key    string
	State  AnswerState
	Body   []byte
	Reason string
	// RetryAfter is when a refused caller may try again; 0 where it should not.
	RetryAfter time.Duration
}

// Settled says what became of a record that this host proposed.
type Settled struct {
	RecordID string
	Offset   int64
	Verdict  applier.Verdict
	// Failed reports that the record will never take effect since the log refused it.
	Failed bool
}

// SaveSnapshot appends a snapshot of a stream.
type SaveSnapshot struct {
	Stream string
	Offset int64
	State  []byte
}

// Report is a line for the log of the process.
type Report struct {
	Text   string
	Fields map[string]string
}

func (AnswerDispatcher) action() {}
func (AnswerHeir) action()       {}
func (Answer) action()           {}
func (Append) action()           {}
func (AskDispatcher) action()    {}
func (AskHeir) action()          {}
func (AskLoad) action()          {}
func (AskOutcome) action()       {}
func (Dispatch) action()         {}
func (Report) action()           {}
func (SaveSnapshot) action()     {}
func (SendHeartbeat) action()    {}
func (SendStart) action()        {}
func (SendStop) action()         {}
func (SendThrottle) action()     {}
func (Settled) action()          {}

// Outbox collects actions in order. Its zero value is empty.
type Outbox struct {
	actions []Action
}

// Add appends an action.
func (o *Outbox) Add(action Action) {
	o.actions = append(o.actions, action)
}

// Report adds a line for the log of the process; pairs are names and values.
func (o *Outbox) Report(text string, pairs ...string) {
	fields := make(map[string]string, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		fields[pairs[i]] = pairs[i+1]
	}
	o.Add(Report{Text: text, Fields: fields})
}

// Take returns the collected actions and empties the outbox.
func (o *Outbox) Take() []Action {
	actions := o.actions
	o.actions = nil
	return actions
}
