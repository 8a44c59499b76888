// Package recorder defines the records that lentilrock appends to the streams of the
// platform's log, and encodes and decodes them.
//
// A record takes effect only at its offset, when package applier applies it to the state.
// Each kind of record is idempotent by its own content (a claim by its epoch, a configuration
// change by the version it replaces, an intent by its key), so that a record may be appended
// again after its acknowledgement was lost.
//
// A claim makes one host the leader of a shard (its holder); the claim's epoch is the fencing
// token of all that the holder does.
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

// Version is the record format version that this build writes.
const Version = 1

// ConfigStream is the name of the stream of the cell's configuration.
const ConfigStream = "config"

// DataCentreStream returns the name of the stream of a data centre's claims, jobs and requests.
func DataCentreStream(dataCentre string) string {
	return "dc." + dataCentre
}

// SnapshotStream returns the name of the stream that stores the snapshots of a stream.
func SnapshotStream(stream string) string {
	return stream + ".snapshots"
}

// Author is the originator of a record.
type Author struct {
	// Name is the name of the operator, team or host.
	Name string `json:"name"`
	// From is the address from which the command was sent; empty for records of the system
	// itself.
	From string `json:"from,omitempty"`
}

// Body is the content of a record: one of the types of this package that have a kind, such as
// Claim or Submit.
type Body interface {
	kind() string
}

// Record is an entry of a stream.
type Record struct {
	ID string
	// Version is the format version of the build that wrote the record.
	Version int
	// At is the wall-clock time at which the record was made.
	At     time.Time
	Author Author
	Body   Body
}

// New returns a record with the current format version.
func New(id string, at time.Time, author Author, body Body) Record {
	return Record{ID: id, Version: Version, At: at, Author: author, Body: body}
}

// Kind returns the name under which the record's kind is stored, or "" without a body.
func (r Record) Kind() string {
	if r.Body == nil {
		return ""
	}
	return r.Body.kind()
}

// Claim makes a host the holder (leader) of a shard. It takes effect only if Epoch, the
// fencing token, is the shard's current epoch plus one.
type Claim struct {
	Shard  descriptor.ShardID `json:"shard"`
	Epoch  int64              `json:"epoch"`
	Holder descriptor.HostID  `json:"holder"`
	// Heir is the designated successor, the host that may make the next claim after one claim
	// window (setting claims.window); zero if there is none.
	Heir descriptor.HostID `json:"heir,omitzero"`
	// Long reports that the holder waits for the whole cap (setting claims.cap) before it acts,
	// so that the next claimant must also wait that long. The holder's next claim clears it.
	Long bool `json:"long,omitempty"`
}

// Release ends a holder's claim immediately, so that the next claimant need not wait.
type Release struct {
	Shard descriptor.ShardID `json:"shard"`
	Epoch int64              `json:"epoch"`
}

// Submit accepts a job.
type Submit struct {
	Job descriptor.Job `json:"job"`
}

// TaskEnd is the result of an attempt of a task.
type TaskEnd string

// The results of attempts.
const (
	// TaskDone means that the attempt succeeded; the task needs no further attempt.
	TaskDone TaskEnd = "done"
	// TaskFailed means that the attempt failed; it counts against the job's retries.
	TaskFailed TaskEnd = "failed"
	// TaskLost means that the attempt was lost with its worker or lease, or was stopped to
	// free its capacity.
	TaskLost TaskEnd = "lost"
)

// EndedTask is the result of one attempt of a task.
type EndedTask struct {
	Index   int     `json:"index"`
	Attempt int     `json:"attempt"`
	End     TaskEnd `json:"end"`
	Worker  string  `json:"worker,omitempty"`
	// Checkpointed reports that the next attempt can resume from a checkpoint of this one.
	Checkpointed bool `json:"checkpointed,omitempty"`
}

// TaskBegun records, before the start, that a one-shot task is about to be started. It takes
// effect once per task, and only under the shard's current epoch.
type TaskBegun struct {
	Shard  descriptor.ShardID `json:"shard"`
	Epoch  int64              `json:"epoch"`
	Task   descriptor.TaskID  `json:"task"`
	Worker string             `json:"worker"`
}

// TasksEnded records the results of ended attempts of a job's tasks.
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

// CloseJobs moves jobs to a final state. A job that already has one keeps it.
type CloseJobs struct {
	Jobs   []descriptor.JobID `json:"jobs"`
	End    JobEnd             `json:"end"`
	Reason string             `json:"reason,omitempty"`
}

// Intent records, before the dispatch, that a host is about to dispatch a request that must
// run at most once. It takes effect only under the shard's current epoch and for a new key.
type Intent struct {
	Shard    descriptor.ShardID `json:"shard"`
	Epoch    int64              `json:"epoch"`
	Key      string             `json:"key"`
	BodyHash uint64             `json:"body_hash"`
	Service  string             `json:"service"`
	// Upstreams lists the upstreams that the request may be sent to, the preferred one first.
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

// Outcome closes a request with its final state. Only the first one for a key takes effect.
// Without a preceding intent, it prevents any dispatch of the key.
type Outcome struct {
	Key    string     `json:"key"`
	End    RequestEnd `json:"end"`
	Status int        `json:"status,omitempty"`
	Result []byte     `json:"result,omitempty"`
	Reason string     `json:"reason,omitempty"`
}

// Config sets one key of the configuration, as a compare-and-set: it takes effect only if the
// key's current version is Replaces. A key that was never set has version 0.
type Config struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Replaces int64  `json:"replaces"`
}

// Snapshot holds the state of a stream after applying all records below Offset.
type Snapshot struct {
	Stream string          `json:"stream"`
	Offset int64           `json:"offset"`
	State  json.RawMessage `json:"state"`
}

// Note adds an entry to the audit trail and has no other effect.
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

// envelope is the stored form of a record.
type envelope struct {
	ID      string          `json:"id"`
	Version int             `json:"version"`
	At      time.Time       `json:"at"`
	Author  Author          `json:"author"`
	Kind    string          `json:"kind"`
	Body    json.RawMessage `json:"body"`
}

// ErrUnknownKind reports a record of a kind that only newer builds know; readers skip it.
var ErrUnknownKind = errors.New("record kind is unknown to this build")

// Encode returns the JSON form in which the log stores a record.
func Encode(r Record) ([]byte, error) {
	body, err := json.Marshal(r.Body)
	if err != nil {
		return nil, errors.Errorf("encode body of record %s: %w", r.ID, err)
	}
	data, err := json.Marshal(envelope{
		ID: r.ID, Version: r.Version, At: r.At, Author: r.Author, Kind: r.Kind(), Body: body,
	})
	if err != nil {
		return nil, errors.Errorf("encode record %s: %w", r.ID, err)
	}
	return data, nil
}

// Decode decodes a stored record. For an unknown kind it returns an error that wraps
// ErrUnknownKind, with all fields of the record set except Body.
func Decode(data []byte) (Record, error) {
	var s envelope
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

// MarshalJSON implements json.Marshaler with Encode.
func (r Record) MarshalJSON() ([]byte, error) { return Encode(r) }

// UnmarshalJSON implements json.Unmarshaler with Decode.
func (r *Record) UnmarshalJSON(data []byte) error {
	record, err := Decode(data)
	*r = record
	return err
}
