// Package applier folds the records of a stream of the platform's log into the state
// that they amount to.
//
// The fold is a pure function of the records and their offsets: every host that has
// read up to an offset holds the same state, and a record that lost a race is void on
// all of them alike. The state never goes back: a snapshot or record below the present
// offset is ignored.
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
	// maxClosedJobs is how many ended jobs the state remembers.
	maxClosedJobs = 5_000
	// maxClosedRequests is how many ended requests the state remembers. A key that
	// was forgotten could run again, so callers must stop retrying before that.
	maxClosedRequests = 200_000
	// maxResults is how many of the ended requests keep their result.
	maxResults = 5_000
	// maxAudit is how many entries of the audit trail the state remembers.
	maxAudit = 2_000
)

// ConfigEntry is the present value of a configuration key.
type ConfigEntry struct {
	Value   string          `json:"value"`
	Version int64           `json:"version"`
	Author  recorder.Author `json:"author"`
	At      time.Time       `json:"at"`
	// Offset is where the value took effect.
	Offset int64 `json:"offset"`
}

// Claim is the present holder of a shard.
type Claim struct {
	Epoch    int64             `json:"epoch"`
	Holder   descriptor.HostID `json:"holder"`
	Heir     descriptor.HostID `json:"heir,omitzero"`
	Released bool              `json:"released,omitempty"`
	Long     bool              `json:"long,omitempty"`
	// Offset is where the claim took effect.
	Offset int64 `json:"offset"`
}

// JobRecord is what the log says of a job.
type JobRecord struct {
	Job descriptor.Job `json:"job"`
	// Ended holds the last end of each task that ended, by index.
	Ended map[int]recorder.EndedTask `json:"ended,omitempty"`
	// Failures counts the failed attempts of each task, by index.
	Failures map[int]int `json:"failures,omitempty"`
	// Begun names the worker of each one-shot task that may have been started.
	Begun  map[int]string  `json:"begun,omitempty"`
	End    recorder.JobEnd `json:"end,omitempty"`
	Reason string          `json:"reason,omitempty"`
	Author recorder.Author `json:"author"`
	At     time.Time       `json:"at"`
	Offset int64           `json:"offset"`
}

// Request is what the log says of a request that may not be repeated.
type Request struct {
	Intent    recorder.Intent  `json:"intent"`
	HasIntent bool             `json:"has_intent,omitempty"`
	Outcome   recorder.Outcome `json:"outcome,omitzero"`
	Closed    bool             `json:"closed,omitempty"`
	Offset    int64            `json:"offset"`
}

// AuditEntry is a line of the audit trail.
type AuditEntry struct {
	ID      string          `json:"id"`
	Offset  int64           `json:"offset"`
	At      time.Time       `json:"at"`
	Author  recorder.Author `json:"author"`
	Action  string          `json:"action"`
	Subject string          `json:"subject"`
	Verdict Verdict         `json:"verdict"`
}

// State is the fold of one stream. Its zero value is the state before offset 0.
type State struct {
	// Next is the offset of the first record not yet applied.
	Next     int64                           `json:"next"`
	Config   map[string]ConfigEntry          `json:"config,omitempty"`
	Claims   map[string]Claim                `json:"claims,omitempty"`
	Jobs     map[descriptor.JobID]*JobRecord `json:"jobs,omitempty"`
	Requests map[string]*Request             `json:"requests,omitempty"`
	Audit    []AuditEntry                    `json:"audit,omitempty"`

	ClosedJobs     []descriptor.JobID `json:"closed_jobs,omitempty"`
	ClosedRequests []string           `json:"closed_requests,omitempty"`
	Results        []string           `json:"results,omitempty"`
}

// Apply folds the record at an offset into the state. A record below Next was applied
// before and is ignored.
func (s *State) Apply(offset int64, r recorder.Record) Verdict {
	if offset < s.Next {
		return void("offset %d was applied before", offset)
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
	return void("record kind %q has no effect here", r.Kind())
}

// Skip passes over an offset whose record this build can't read.
func (s *State) Skip(offset int64) {
	s.Next = max(s.Next, offset+1)
}

// Claim returns the present claim of a shard; its epoch is 0 where there is none.
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
	present := s.Claims[shard]
	if c.Epoch != present.Epoch+1 {
		return void("epoch %d is not the next after %d of %s", c.Epoch, present.Epoch, present.Holder)
	}
	if s.Claims == nil {
		s.Claims = make(map[string]Claim)
	}
	s.Claims[shard] = Claim{Epoch: c.Epoch, Holder: c.Holder, Heir: c.Heir, Long: c.Long, Offset: offset}
	return changed(present.Holder.String(), c.Holder.String())
}

func (s *State) applyRelease(r recorder.Release) Verdict {
	shard := r.Shard.String()
	present := s.Claims[shard]
	if r.Epoch != present.Epoch {
		return void("epoch %d is not the present %d", r.Epoch, present.Epoch)
	}
	present.Released = true
	s.Claims[shard] = present
	return changed(present.Holder.String(), "")
}

func (s *State) applyConfig(offset int64, r recorder.Record, c recorder.Config) Verdict {
	present := s.Config[c.Key]
	if c.Replaces != present.Version && present.Version == 0 {
		return void("version %d is not the present one: the key was never set", c.Replaces)
	}
	if c.Replaces != present.Version {
		v := void("version %d was replaced by version %d of %s", c.Replaces, present.Version, present.Author.Name)
		v.Before = present.Value
		return v
	}
	if s.Config == nil {
		s.Config = make(map[string]ConfigEntry)
	}
	s.Config[c.Key] = ConfigEntry{
		Value: c.Value, Version: present.Version + 1, Author: r.Author, At: r.At, Offset: offset,
	}
	return changed(present.Value, c.Value)
}

// Encode returns the state as a snapshot's content.
func (s *State) Encode() ([]byte, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, errors.Errorf("encode state: %w", err)
	}
	return data, nil
}

// Restore replaces the state by a snapshot of a later offset. It reports false, and
// changes nothing, where the snapshot is not ahead of the state.
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
