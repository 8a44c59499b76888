// Package recorder defines the records that lentilrock keeps in the streams of the
// platform's log, and turns them into the bytes that the log stores and back.
//
// A record takes effect only at its offset, when package applier folds it into the
// state. Each kind of record is idempotent by its own content (a claim by its epoch,
// a configuration change by the version it replaces, an intent by its key), so that
// an append whose acknowledgement was lost may be appended again.
//
// # Usage
//
//	record := recorder.New(id, now, author, recorder.Claim{Shard: shard, Epoch: 4, Holder: self})
//	data, err := recorder.Encode(record)
//	...
//	record, err = recorder.Decode(data)
//	switch body := record.Body.(type) {
//	case recorder.Claim:
//		...
//	}
package recorder

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/cell/descriptor"
)

// Version is the version of the record format that this build writes.
const Version = 1

// ConfigStream is the stream of the cell's configuration.
const ConfigStream = "config"

// DataCentreStream returns the stream of a data centre's claims, jobs and requests.
func DataCentreStream(dataCentre string) string {
	return "dc." + dataCentre
}

// SnapshotStream returns the stream of the snapshots of another stream.
func SnapshotStream(stream string) string {
	return stream + ".snapshots"
}

// Author says who caused a record and from where.
type Author struct {
	// Name is the operator, the team or the host that acted.
	Name string `json:"name"`
	// From is the address that the command came from; empty for the system itself.
	From string `json:"from,omitempty"`
}

// Body is the content of a record: one of the exported struct types of this package.
type Body interface {
	kind() string
}

// Record is an entry of a stream.
type Record struct {
	ID      string
	Version int
	At      time.Time
	Author  Author
	Body    Body
}

// New returns a record of the present version.
func New(id string, at time.Time, author Author, body Body) Record {
	return Record{ID: id, Version: Version, At: at, Author: author, Body: body}
}

// Kind returns the name of the record's kind as stored.
func (r Record) Kind() string {
	if r.Body == nil {
		return ""
	}
	return r.Body.kind()
}

// Claim makes a host the holder of a shard. It takes effect only where Epoch is the
// shard's present epoch plus one.
type Claim struct {
	Shard  descriptor.ShardID `json:"shard"`
	Epoch  int64              `json:"epoch"`
	Holder descriptor.HostID  `json:"holder"`
	// Heir is the host that may claim next after one window; zero where there is none.
	Heir descriptor.HostID `json:"heir,omitzero"`
	// Long says that the holder waits out the cap before it acts, so that whoever
	// claims after it must do so too. The holder's next claim clears it.
	Long bool `json:"long,omitempty"`
}

// Release ends a holder's right to act at once.
type Release struct {
	Shard descriptor.ShardID `json:"shard"`
	Epoch int64              `json:"epoch"`
}

// Submit accepts a job.
type Submit struct {
	Job descriptor.Job `json:"job"`
}

// TaskEnd says how an attempt of a task ended.
type TaskEnd string

// The ends of attempts.
const (
	// TaskDone needs no further attempt.
	TaskDone TaskEnd = "done"
	// TaskFailed counts against the job's retries.
	TaskFailed TaskEnd = "failed"
	// TaskLost was lost with its worker or lease, or gave its room up.
	TaskLost TaskEnd = "lost"
)

// EndedTask says how one attempt of a task ended.
type EndedTask struct {
	Index   int     `json:"index"`
	Attempt int     `json:"attempt"`
	End     TaskEnd `json:"end"`
	Worker  string  `json:"worker,omitempty"`
	// Checkpointed reports that the next attempt can go on where this one stopped.
	Checkpointed bool `json:"checkpointed,omitempty"`
}

// TaskBegun says that a one-shot task is about to be started. It takes effect once for
// each task, and only under the shard's present epoch.
type TaskBegun struct {
	Shard  descriptor.ShardID `json:"shard"`
	Epoch  int64              `json:"epoch"`
	Task   descriptor.TaskID  `json:"task"`
	Worker string             `json:"worker"`
}

// TasksEnded closes tasks of a job.
type TasksEnded struct {
	Job   descriptor.JobID `json:"job"`
	Ended []EndedTask      `json:"ended"`
}

// JobEnd is the final state of a job.
type JobEnd string

// The final states of jobs.
const (
	JobCancelled JobEnd = "cancelled"
	JobDone      JobEnd = "done"
	JobFailed    JobEnd = "failed"
	JobRefused   JobEnd = "refused"
)

// CloseJobs ends jobs for good. A job that ended before keeps its first end.
type CloseJobs struct {
	Jobs   []descriptor.JobID `json:"jobs"`
	End    JobEnd             `json:"end"`
	Reason string             `json:"reason,omitempty"`
}

// Intent says that a host is about to dispatch a request that may not be repeated.
// It takes effect only under the shard's present epoch and for a new key.
type Intent struct {
	Shard    descriptor.ShardID `json:"shard"`
	Epoch    int64              `json:"epoch"`
	Key      string             `json:"key"`
	BodyHash uint64             `json:"body_hash"`
	Service  string             `json:"service"`
	// Upstreams lists where the request may be sent, in order.
	Upstreams  []string          `json:"upstreams"`
	Dispatcher descriptor.HostID `json:"dispatcher"`
	Deadline   time.Time         `json:"deadline"`
}

// RequestEnd is the final state of a request.
type RequestEnd string

// The final states of requests.
const (
	RequestNotRun RequestEnd = "not_run"
	RequestRun    RequestEnd = "run"
)

// Outcome closes the key of a request. The first one for a key stands. Without an
// intent before it, it keeps the key from ever being dispatched.
type Outcome struct {
	Key    string     `json:"key"`
	End    RequestEnd `json:"end"`
	Status int        `json:"status,omitempty"`
	Result []byte     `json:"result,omitempty"`
	Reason string     `json:"reason,omitempty"`
}

// Config changes one key of the configuration. It takes effect only where the key's
// present version is Replaces; a key that was never set has version 0.
type Config struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Replaces int64  `json:"replaces"`
}

// Snapshot holds the folded state of a stream before an offset.
type Snapshot struct {
	Stream string          `json:"stream"`
	Offset int64           `json:"offset"`
	State  json.RawMessage `json:"state"`
}

// Note is an entry of the audit trail with no effect of its own.
type Note struct {
	Subject string `json:"subject"`
	Text    string `json:"text"`
}

func (Claim) kind() string      { return "claim" }
func (CloseJobs) kind() string  { return "close_jobs" }
func (Config) kind() string     { return "config" }
func (Intent) kind() string     { return "intent" }
func (Note) kind() string       { return "note" }
func (Outcome) kind() string    { return "outcome" }
func (Release) kind() string    { return "release" }
func (Snapshot) kind() string   { return "snapshot" }
func (Submit) kind() string     { return "submit" }
func (TaskBegun) kind() string  { return "task_begun" }
func (TasksEnded) kind() string { return "tasks_ended" }

type stored struct {
	ID      string          `json:"id"`
	Version int             `json:"version"`
	At      time.Time       `json:"at"`
	Author  Author          `json:"author"`
	Kind    string          `json:"kind"`
	Body    json.RawMessage `json:"body"`
}

// ErrUnknownKind reports a record that a newer build wrote; readers skip it.
var ErrUnknownKind = errors.New("record kind is unknown to this build")

// Encode returns the bytes that the log stores.
func Encode(r Record) ([]byte, error) {
	body, err := json.Marshal(r.Body)
	if err != nil {
		return nil, errors.Errorf("encode body of record %s: %w", r.ID, err)
	}
	data, err := json.Marshal(stored{
		ID: r.ID, Version: r.Version, At: r.At, Author: r.Author, Kind: r.Kind(), Body: body,
	})
	if err != nil {
		return nil, errors.Errorf("encode record %s: %w", r.ID, err)
	}
	return data, nil
}

// Decode reads a record back. It returns ErrUnknownKind, wrapped, for a kind that this
// build lacks; the record's other fields are then set.
func Decode(data []byte) (Record, error) {
	var s stored
	if err := json.Unmarshal(data, &s); err != nil {
		return Record{}, errors.Errorf("decode record: %w", err)
	}
	record := Record{ID: s.ID, Version: s.Version, At: s.At, Author: s.Author}
	decode, known := decoders[s.Kind]
	if !known {
		return record, errors.Errorf("record %s of kind %q: %w", s.ID, s.Kind, ErrUnknownKind)
	}
	body, err := decode(s.Body)
	if err != nil {
		return record, errors.Errorf("decode %s record %s: %w", s.Kind, s.ID, err)
	}
	record.Body = body
	return record, nil
}

var decoders = map[string]func([]byte) (Body, error){
	Claim{}.kind():      decodeBody[Claim],
	CloseJobs{}.kind():  decodeBody[CloseJobs],
	Config{}.kind():     decodeBody[Config],
	Intent{}.kind():     decodeBody[Intent],
	Note{}.kind():       decodeBody[Note],
	Outcome{}.kind():    decodeBody[Outcome],
	Release{}.kind():    decodeBody[Release],
	Snapshot{}.kind():   decodeBody[Snapshot],
	Submit{}.kind():     decodeBody[Submit],
	TaskBegun{}.kind():  decodeBody[TaskBegun],
	TasksEnded{}.kind(): decodeBody[TasksEnded],
}

func decodeBody[T Body](data []byte) (Body, error) {
	var body T
	if err := json.Unmarshal(data, &body); err != nil {
		return nil, errors.Errorf("read fields: %w", err)
	}
	return body, nil
}

// MarshalJSON writes a record as the log stores it.
func (r Record) MarshalJSON() ([]byte, error) { return Encode(r) }

// UnmarshalJSON reads a record as the log stores it.
func (r *Record) UnmarshalJSON(data []byte) error {
	record, err := Decode(data)
	*r = record
	return err
}
