// Package applier implements the replicated state machine of the cell: it applies the
// records of a stream of the platform's log to the state, one after the other.
//
// The state is a pure function of the records and their offsets: all hosts that have read
// up to the same offset have the same state, and a record that lost a race has no effect on
// any of them. The state never moves backwards: a snapshot or record below the current
// offset is ignored.
//
// A claim makes one host the leader of a shard (its holder); the claim's epoch is the
// fencing token.
//
// # Usage
//
//	state := applier.State{}
//	for _, entry := range batch {
//		verdict := state.Apply(entry.Offset, entry.Record)
//		...
//	}
//	data, err := state.Encode()
package applier

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/cell/recorder"
)

const (
	// maxClosedJobs is how many ended jobs the state retains.
	maxClosedJobs = 5_000
	// maxClosedRequests is how many ended requests the state retains. A key that was evicted
	// could run again, so clients must stop retrying before that.
	maxClosedRequests = 200_000
	// maxResults is how many of the ended requests retain their result.
	maxResults = 5_000
	// maxAudit is how many entries of the audit trail the state retains at least; the trail
	// is trimmed to this length once it is a quarter longer.
	maxAudit = 2_000
)

// ConfigEntry is the current value of a configuration key.
type ConfigEntry struct {
	Value string `json:"value"`
	// Version counts the changes of the key, from 1.
	Version int64           `json:"version"`
	Author  recorder.Author `json:"author"`
	At      time.Time       `json:"at"`
	// Offset is the offset of the record that set the value.
	Offset int64 `json:"offset"`
}

// Claim is the latest claim on a shard.
type Claim struct {
	Epoch  int64             `json:"epoch"`
	Holder descriptor.HostID `json:"holder"`
	// Heir is the designated successor; zero if there is none.
	Heir descriptor.HostID `json:"heir,omitzero"`
	// Released reports that the holder gave the shard up.
	Released bool `json:"released,omitempty"`
	// Long reports that the holder waits for the whole cap before it acts; see recorder.Claim.
	Long bool `json:"long,omitempty"`
	// Offset is the offset of the claim's record.
	Offset int64 `json:"offset"`
}

// JobState is the state of a job.
type JobState struct {
	Job descriptor.Job `json:"job"`
	// Ended is the latest ended attempt of each task, by task index.
	Ended map[int]recorder.EndedTask `json:"ended,omitempty"`
	// Failures is the number of failed attempts of each task, by task index.
	Failures map[int]int `json:"failures,omitempty"`
	// Begun is the worker of each one-shot task that may have been started, by task index.
	Begun map[int]string `json:"begun,omitempty"`
	// End is the final state of the job; empty while it is open.
	End    recorder.JobEnd `json:"end,omitempty"`
	Reason string          `json:"reason,omitempty"`
	Author recorder.Author `json:"author"`
	At     time.Time       `json:"at"`
	Offset int64           `json:"offset"`
}

// Request is the state of a request that must run at most once.
type Request struct {
	// Intent is set only if HasIntent is true.
	Intent    recorder.Intent `json:"intent"`
	HasIntent bool            `json:"has_intent,omitempty"`
	// Outcome is set only if Closed is true.
	Outcome recorder.Outcome `json:"outcome,omitzero"`
	Closed  bool             `json:"closed,omitempty"`
	// Offset is the offset of the first record of the request.
	Offset int64 `json:"offset"`
}

// AuditEntry is an entry of the audit trail.
type AuditEntry struct {
	ID      string          `json:"id"`
	Offset  int64           `json:"offset"`
	At      time.Time       `json:"at"`
	Author  recorder.Author `json:"author"`
	Action  string          `json:"action"`
	Subject string          `json:"subject"`
	Verdict Verdict         `json:"verdict"`
}

// State is the state after applying the records of one stream. Its zero value is the state
// before offset 0.
type State struct {
	// Next is the offset of the first record not yet applied.
	Next     int64                          `json:"next"`
	Config   map[string]ConfigEntry         `json:"config,omitempty"`
	Claims   map[string]Claim               `json:"claims,omitempty"`
	Jobs     map[descriptor.JobID]*JobState `json:"jobs,omitempty"`
	Requests map[string]*Request            `json:"requests,omitempty"`
	Audit    []AuditEntry                   `json:"audit,omitempty"`

	// ClosedJobs, ClosedRequests and Results are the eviction queues, oldest first: ended jobs,
	// ended requests, and the ended requests that retain their result.
	ClosedJobs     []descriptor.JobID `json:"closed_jobs,omitempty"`
	ClosedRequests []string           `json:"closed_requests,omitempty"`
	Results        []string           `json:"results,omitempty"`
}

// Apply applies the record at an offset to the state. A record below Next was applied before
// and is ignored.
func (s *State) Apply(offset int64, r recorder.Record) Verdict {
	if offset < s.Next {
		return rejected("offset %d was applied before", offset)
	}
	s.Next = offset + 1
	switch body := r.Body.(type) {
	case recorder.Claim:
		return s.audit(offset, r, "claim", body.Shard.String(), s.applyClaim(offset, body))
	case recorder.CloseJobs:
		return s.applyCloseJobs(offset, r, body)
	case recorder.Config:
		return s.audit(offset, r, "set", body.Key, s.applyConfig(offset, r, body))
	case recorder.Intent:
		return s.applyIntent(offset, body)
	case recorder.Note:
		return s.audit(offset, r, "note", body.Subject, changed("", body.Text))
	case recorder.Outcome:
		return s.applyOutcome(offset, body)
	case recorder.Release:
		return s.audit(offset, r, "release", body.Shard.String(), s.applyRelease(body))
	case recorder.Submit:
		return s.audit(offset, r, "submit", string(body.Job.ID), s.applySubmit(offset, r, body))
	case recorder.TaskBegun:
		return s.applyTaskBegun(body)
	case recorder.TasksEnded:
		return s.applyTasksEnded(body)
	}
	return rejected("record kind %q has no effect here", r.Kind())
}

// Skip advances Next past an offset whose record this build can't decode.
func (s *State) Skip(offset int64) {
	s.Next = max(s.Next, offset+1)
}

// Claim returns the latest claim on a shard; its epoch is 0 if there is none.
func (s *State) Claim(shard descriptor.ShardID) Claim {
	return s.Claims[shard.String()]
}

func (s *State) audit(offset int64, r recorder.Record, action, subject string, v Verdict) Verdict {
	s.Audit = append(s.Audit, AuditEntry{
		ID: r.ID, Offset: offset, At: r.At, Author: r.Author,
		Action: action, Subject: subject, Verdict: v,
	})
	if len(s.Audit) > maxAudit+maxAudit/4 {
		s.Audit = slices.Clone(s.Audit[len(s.Audit)-maxAudit:])
	}
	return v
}

func (s *State) applyClaim(offset int64, c recorder.Claim) Verdict {
	shard := c.Shard.String()
	current := s.Claims[shard]
	if c.Epoch != current.Epoch+1 {
		return rejected("epoch %d is not the next after %d of %s", c.Epoch, current.Epoch, current.Holder)
	}
	if s.Claims == nil {
		s.Claims = make(map[string]Claim)
	}
	s.Claims[shard] = Claim{Epoch: c.Epoch, Holder: c.Holder, Heir: c.Heir, Long: c.Long, Offset: offset}
	return changed(current.Holder.String(), c.Holder.String())
}

func (s *State) applyRelease(r recorder.Release) Verdict {
	shard := r.Shard.String()
	current := s.Claims[shard]
	if r.Epoch != current.Epoch {
		return rejected("epoch %d is not the present %d", r.Epoch, current.Epoch)
	}
	current.Released = true
	s.Claims[shard] = current
	return changed(current.Holder.String(), "")
}

func (s *State) applyConfig(offset int64, r recorder.Record, c recorder.Config) Verdict {
	current := s.Config[c.Key]
	if c.Replaces != current.Version && current.Version == 0 {
		return rejected("version %d is not the present one: the key was never set", c.Replaces)
	}
	if c.Replaces != current.Version {
		v := rejected("version %d was replaced by version %d of %s", c.Replaces, current.Version, current.Author.Name)
		v.Before = current.Value
		return v
	}
	if s.Config == nil {
		s.Config = make(map[string]ConfigEntry)
	}
	s.Config[c.Key] = ConfigEntry{
		Value: c.Value, Version: current.Version + 1, Author: r.Author, At: r.At, Offset: offset,
	}
	return changed(current.Value, c.Value)
}

// Encode returns the state as JSON, the content of a snapshot.
func (s *State) Encode() ([]byte, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, errors.Errorf("encode state: %w", err)
	}
	return data, nil
}

// Restore replaces the state by a snapshot of a later offset. It reports false, and changes
// nothing, if the snapshot is not newer than the state.
func (s *State) Restore(data []byte) (bool, error) {
	var next State
	if err := json.Unmarshal(data, &next); err != nil {
		return false, errors.Errorf("decode state: %w", err)
	}
	if next.Next <= s.Next {
		return false, nil
	}
	*s = next
	return true, nil
}
