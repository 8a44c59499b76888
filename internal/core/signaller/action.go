package signaller

import (
	"time"

	"lentilrock.example/internal/cell/applier"
	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/cell/recorder"
	"lentilrock.example/internal/platform/messages"
)

// Action is an output of the decision core, to be carried out by the process. It is one of
// the action types of this package.
type Action interface {
	action()
}

// Append appends records to a stream of the log. The appender may retry it until it is
// acknowledged, because each record is idempotent.
type Append struct {
	Stream  string
	Records []recorder.Record
}

// SendStart asks a worker to start an attempt of a task.
type SendStart struct {
	Worker descriptor.Host
	Start  messages.Start
}

// SendHeartbeat renews the leases of a worker and requests its inventory.
type SendHeartbeat struct {
	Worker    descriptor.Host
	Heartbeat messages.Heartbeat
}

// SendStop asks a worker to stop an attempt.
type SendStop struct {
	Worker descriptor.Host
	Stop   messages.Stop
}

// SendThrottle limits an attempt to its size, or lifts the limit.
type SendThrottle struct {
	Worker   descriptor.Host
	Throttle messages.Throttle
}

// AskHeir asks the heir of a shard, its designated successor, to confirm that it has neither
// made nor begun a claim that would supersede the epoch. The confirmation extends the holder's
// window while the log can't be read.
type AskHeir struct {
	Heir    descriptor.HostID
	Shard   descriptor.ShardID
	Epoch   int64
	AskedAt time.Time
	// Held and Renounce become the fields of the same names in HeirAsked.
	Held     []recorder.Intent
	Renounce []string
}

// AnswerHeir replies to a HeirAsked. Ref is that of the query.
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

// AskOutcome queries an upstream for the outcome of a request.
type AskOutcome struct {
	Key      string
	Upstream descriptor.Host
}

// AskLoad queries an upstream for its load.
type AskLoad struct {
	Upstream descriptor.Host
}

// AskDispatcher asks another host whether it may still dispatch a request.
type AskDispatcher struct {
	Host descriptor.HostID
	Key  string
}

// AnswerDispatcher replies to a DispatcherAsked. Ref is that of the query.
type AnswerDispatcher struct {
	Ref uint64
	// Ended reports that this host will no longer dispatch the request.
	Ended bool
}

// AnswerState is the state of a request in the response to its caller.
type AnswerState string

// The states of responses.
const (
	AnswerDeadline    AnswerState = "deadline"
	AnswerDone        AnswerState = "done"
	AnswerNotKnownYet AnswerState = "not_known_yet"
	AnswerNotRun      AnswerState = "not_run"
	AnswerRefused     AnswerState = "refused"
)

// Answer is the final response to a caller's request.
type Answer struct {
	Ref    uint64
	Key    string
	State  AnswerState
	Body   []byte
	Reason string
	// RetryAfter is the time after which a refused caller may retry; 0 means that it should
	// not retry.
	RetryAfter time.Duration
}

// Settled reports the result of a record that this host proposed.
type Settled struct {
	RecordID string
	Offset   int64
	Verdict  applier.Verdict
	// Failed reports that the log refused the record, which will never take effect.
	Failed bool
}

// SaveSnapshot appends a snapshot of a stream.
type SaveSnapshot struct {
	Stream string
	// Offset is the offset of the first record that the snapshot does not cover.
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

// Report adds a line for the log of the process. Pairs are alternating names and values of its
// fields.
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
