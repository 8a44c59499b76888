// Package journaler defines the records that a cell keeps in the platform's store and
// folds them into the state that they amount to.
//
// Each record has a key, and the newest record of a key replaces the former ones, so the
// store itself holds a snapshot. The fold keeps the offset of each part and ignores a
// record below it, so pages of newest records and a later stretch of the log may overlap.
//
// # Usage
//
//	state := journaler.New()
//	state.Apply(journaler.Record{Key: key, Value: value}, offset)
//	entry := state.Jobs["5c0e7a21d94b36f8"]
package journaler

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"lentilrock.example/internal/fleet/describer"
)

// Keys and prefixes of keys of the records.
const (
	beatKey        = "b"
	claimKey       = "c"
	drainPrefix    = "d/"
	hostPrefix     = "h/"
	jobPrefix      = "j/"
	progressPrefix = "p/"
	rosterKey      = "w"
	wavePrefix     = "u/"
	cancelPrefix   = "x/"
)

// Record is an entry of the log. A record without a value removes its key.
type Record struct {
	Key   string
	Value []byte
}

// Claim says which host orders at the workers. Its epoch is the fencing token.
type Claim struct {
	Epoch       int64  `cbor:"1,keyasint"`
	Host        string `cbor:"2,keyasint"`
	Incarnation string `cbor:"3,keyasint"`
	// Released reports that the holder left and any host may claim.
	Released bool `cbor:"4,keyasint,omitempty"`
	// Lease is the longest that this holder or one before it promises; 0 where it does not say.
	Lease time.Duration `cbor:"5,keyasint,omitempty"`
}

// Beat shows that the holder lives.
type Beat struct {
	Epoch int64 `cbor:"1,keyasint"`
}

// Member is a worker at which runs of the holder may be.
type Member struct {
	ID      string         `cbor:"1,keyasint"`
	Address netip.AddrPort `cbor:"2,keyasint"`
	// IsSilent reports that the worker did not answer: the progress of the jobs has all runs
	// that it may have, and it got no other.
	IsSilent bool `cbor:"3,keyasint,omitempty"`
}

// Roster lists the workers at which runs of the holder may be. The host list can lose one
// that lives, and a successor must still ask it.
type Roster struct {
	Epoch   int64    `cbor:"1,keyasint"`
	Members []Member `cbor:"2,keyasint"`
}

// Cancel says that a job is not wanted any more.
type Cancel struct {
	At time.Time `cbor:"1,keyasint"`
	// By is the operator who asked for it; empty where a caller did.
	By string `cbor:"2,keyasint,omitempty"`
}

// Drain says that a worker, or all of a rack, gets nothing new.
type Drain struct {
	// Kind is "worker" or "rack".
	Kind string    `cbor:"1,keyasint"`
	Name string    `cbor:"2,keyasint"`
	By   string    `cbor:"3,keyasint"`
	At   time.Time `cbor:"4,keyasint"`
	// IsLifted reports that the drain is over.
	IsLifted bool `cbor:"5,keyasint,omitempty"`
}

// Host is an entry host's address for its peers.
type Host struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	Address     string `cbor:"3,keyasint"`
	DataCentre  string `cbor:"4,keyasint"`
	// Cores is the host's share of a processor; 0 where it does not say.
	Cores float64 `cbor:"5,keyasint,omitempty"`
}

// WaveProgress has the machines of a wave whose upkeep has begun.
type WaveProgress struct {
	Epoch  int64    `cbor:"1,keyasint"`
	Number int64    `cbor:"2,keyasint"`
	Done   []string `cbor:"3,keyasint"`
}

// Outcome is how a job ended.
type Outcome uint8

// Outcomes of a job. The zero value is a job that has not ended.
const (
	OutcomeNone Outcome = iota
	OutcomeCompleted
	OutcomeFailed
)

// StepProgress is what lasts of a step of an occurrence.
type StepProgress struct {
	Occurrence int `cbor:"1,keyasint,omitempty"`
	Step       int `cbor:"2,keyasint,omitempty"`
	// Done lists the tasks that are done as pairs of first and last index.
	Done []int `cbor:"3,keyasint,omitempty"`
	// Failed has the runs that failed, by index.
	Failed map[int][]int64 `cbor:"4,keyasint,omitempty"`
	// Silent has the runs at workers that did not answer when this was written.
	Silent []SilentRun `cbor:"5,keyasint,omitempty"`
}

// SilentRun is a run at a worker that does not answer.
type SilentRun struct {
	Worker string `cbor:"1,keyasint"`
	Index  int    `cbor:"2,keyasint"`
	Run    int64  `cbor:"3,keyasint"`
}

// Progress is what the holder keeps of a job.
type Progress struct {
	Epoch   int64          `cbor:"1,keyasint"`
	Begun   bool           `cbor:"2,keyasint,omitempty"`
	Outcome Outcome        `cbor:"3,keyasint,omitempty"`
	Steps   []StepProgress `cbor:"4,keyasint,omitempty"`
	Reason  string         `cbor:"5,keyasint,omitempty"`
}

// JobKey returns the key of a job's submission.
func JobKey(id describer.JobID) string { return jobPrefix + string(id) }

// Encode returns the bytes of a record's value.
func Encode(value any) ([]byte, error) {
	data, err := cbor.Marshal(value)
	return data, errors.Wrap(err, "encode record")
}

func record(key string, value any) (Record, error) {
	data, err := Encode(value)
	if err != nil {
		return Record{}, errors.Errorf("record %s: %w", key, err)
	}
	return Record{Key: key, Value: data}, nil
}

// NewBeat returns the record of a beat.
func NewBeat(b Beat) (Record, error) { return record(beatKey, b) }

// NewClaim returns the record of a claim.
func NewClaim(c Claim) (Record, error) { return record(claimKey, c) }

// NewCancel returns the record of a cancellation.
func NewCancel(id describer.JobID, c Cancel) (Record, error) {
	return record(cancelPrefix+string(id), c)
}

// NewDrain returns the record of a drain, or of its end.
func NewDrain(d Drain) (Record, error) { return record(drainPrefix+d.Kind+"/"+d.Name, d) }

// NewHost returns the record of an entry host.
func NewHost(h Host) (Record, error) { return record(hostPrefix+h.Name, h) }

// NewJob returns the record of a submission.
func NewJob(j *describer.Job) (Record, error) { return record(JobKey(j.ID), j) }

// NewRoster returns the record of a roster.
func NewRoster(r Roster) (Record, error) { return record(rosterKey, r) }

// NewWave returns the record of how far a wave is.
func NewWave(w WaveProgress) (Record, error) {
	return record(wavePrefix+strconv.FormatInt(w.Number, 10), w)
}

// NewProgress returns the record of a job's progress.
func NewProgress(id describer.JobID, p Progress) (Record, error) {
	return record(progressPrefix+string(id), p)
}

// ForgetJob returns the records that remove a job and its cancellation. Its progress says
// that it has ended, so that goes last.
func ForgetJob(id describer.JobID) []Record {
	return []Record{{Key: JobKey(id)}, {Key: cancelPrefix + string(id)}}
}

// ForgetProgress returns the record that removes what was kept of a job's progress.
func ForgetProgress(id describer.JobID) Record { return Record{Key: progressPrefix + string(id)} }

// HostOf returns the entry host that a record announces; false where it announces none.
func HostOf(r Record) (string, bool) { return strings.CutPrefix(r.Key, hostPrefix) }

// Entry is what the log says of a job.
type Entry struct {
	ID describer.JobID
	// Job is nil where only a cancel or progress was read so far.
	Job       *describer.Job
	Cancelled bool
	// Cancel says when and by whom; its zero value was not read.
	Cancel   Cancel
	Progress Progress
	// JobOffset is where the submission stands among the jobs.
	JobOffset      int64
	progressOffset int64
}

// HasProgress reports whether a holder has kept anything about the job. None starts a task
// before that.
func (e *Entry) HasProgress() bool { return e.progressOffset >= 0 }

// JobState returns the job's state as callers hear it.
func (e *Entry) JobState() describer.JobState {
	switch {
	case e.Progress.Outcome == OutcomeCompleted:
		return describer.JobCompleted
	case e.Progress.Outcome == OutcomeFailed:
		return describer.JobFailed
	case e.Cancelled:
		return describer.JobCancelled
	case e.Progress.Begun:
		return describer.JobRunning
	}
	return describer.JobQueued
}

// State is the fold of the log: of the topic of jobs and that of claims, whose offsets are
// apart.
type State struct {
	Claim Claim
	// ClaimOffset is where the claim stands; -1 where there is none.
	ClaimOffset int64
	// HolderOffset is the newest record that the present holder wrote.
	HolderOffset int64
	Jobs         map[describer.JobID]*Entry
	Hosts        map[string]Host
	Roster       Roster
	// Drains are the drains and their ends, by kind and name.
	Drains map[string]Drain
	// Waves has how far waves of upkeep are, by their numbers.
	Waves map[int64]WaveProgress
	// offsets has where the newest records of the roster, the hosts and the drains stand, by key.
	offsets map[string]int64
}

// New returns the state before any record.
func New() *State {
	return &State{
		ClaimOffset: -1, HolderOffset: -1,
		Waves: make(map[int64]WaveProgress), Drains: make(map[string]Drain),
		Jobs: make(map[describer.JobID]*Entry), Hosts: make(map[string]Host), offsets: make(map[string]int64),
	}
}

// Find returns the entry of a job; false where the log had no submission of it.
func (s *State) Find(id describer.JobID) (*Entry, bool) {
	entry, found := s.Jobs[id]
	return entry, found && entry.Job != nil
}

// Pending counts the jobs of a queue of which nothing has begun; an empty name counts all.
func (s *State) Pending(queue string) int {
	count := 0
	for _, e := range s.Jobs {
		if e.Job != nil && (queue == "" || e.Job.Queue.Name == queue) && e.JobState() == describer.JobQueued {
			count++
		}
	}
	return count
}

// Apply folds a record into the state and returns the entry of the job that it changed, if
// any. An error means that the record can't be read; the state is unchanged.
func (s *State) Apply(r Record, offset int64) (*Entry, error) {
	switch {
	case r.Key == beatKey:
		return nil, s.applyBeat(r, offset)
	case r.Key == rosterKey:
		return nil, s.applyRoster(r, offset)
	case strings.HasPrefix(r.Key, wavePrefix):
		return nil, s.applyWave(r, offset)
	case strings.HasPrefix(r.Key, drainPrefix):
		return nil, s.applyDrain(r, offset)
	case r.Key == claimKey:
		return nil, s.applyClaim(r, offset)
	case strings.HasPrefix(r.Key, hostPrefix):
		return nil, s.applyHost(r, offset)
	case strings.HasPrefix(r.Key, jobPrefix):
		return s.applyJob(describer.JobID(r.Key[len(jobPrefix):]), r, offset)
	case strings.HasPrefix(r.Key, progressPrefix):
		return s.applyProgress(describer.JobID(r.Key[len(progressPrefix):]), r, offset)
	case strings.HasPrefix(r.Key, cancelPrefix):
		return s.applyCancel(describer.JobID(r.Key[len(cancelPrefix):]), r)
	}
	return nil, errors.Errorf("record %q is of no known kind", r.Key)
}

func (s *State) applyBeat(r Record, offset int64) error {
	var beat Beat
	if err := cbor.Unmarshal(r.Value, &beat); err != nil {
		return errors.Errorf("read beat: %w", err)
	}
	s.heard(beat.Epoch, offset)
	return nil
}

func (s *State) heard(epoch, offset int64) {
	if epoch == s.Claim.Epoch {
		s.HolderOffset = max(s.HolderOffset, offset)
	}
}

// applyClaim takes in a later claim, or the release of the present one.
func (s *State) applyClaim(r Record, offset int64) error {
	var claim Claim
	if err := cbor.Unmarshal(r.Value, &claim); err != nil {
		return errors.Errorf("read claim: %w", err)
	}
	isRelease := claim.Epoch == s.Claim.Epoch && claim.Incarnation == s.Claim.Incarnation && claim.Released
	if offset <= s.ClaimOffset || claim.Epoch <= s.Claim.Epoch && !isRelease {
		return nil
	}
	s.Claim, s.ClaimOffset = claim, offset
	s.HolderOffset = max(s.HolderOffset, offset)
	return nil
}

func (s *State) applyRoster(r Record, offset int64) error {
	var roster Roster
	if err := cbor.Unmarshal(r.Value, &roster); err != nil {
		return errors.Errorf("read roster: %w", err)
	}
	s.heard(roster.Epoch, offset)
	if offset >= s.offsets[r.Key] {
		s.Roster, s.offsets[r.Key] = roster, offset
	}
	return nil
}

// applyDrain takes in the newest word on a drain; operators' clocks may be apart, so the log's
// order decides.
func (s *State) applyDrain(r Record, offset int64) error {
	if offset < s.offsets[r.Key] {
		return nil
	}
	var drain Drain
	if err := cbor.Unmarshal(r.Value, &drain); err != nil {
		return errors.Errorf("read drain: %w", err)
	}
	s.Drains[r.Key[len(drainPrefix):]], s.offsets[r.Key] = drain, offset
	return nil
}

// IsDrained reports whether a worker, or its rack, gets nothing new.
func (s *State) IsDrained(worker, rack string) bool {
	isDrained := func(key string) bool { d, found := s.Drains[key]; return found && !d.IsLifted }
	return len(s.Drains) > 0 && (isDrained("worker/"+worker) || isDrained("rack/"+rack))
}

// applyWave adds what is new: a machine whose upkeep has begun stays so.
func (s *State) applyWave(r Record, offset int64) error {
	var next WaveProgress
	if err := cbor.Unmarshal(r.Value, &next); err != nil {
		return errors.Errorf("read wave: %w", err)
	}
	s.heard(next.Epoch, offset)
	if len(next.Done) >= len(s.Waves[next.Number].Done) {
		s.Waves[next.Number] = next
	}
	return nil
}

func (s *State) applyHost(r Record, offset int64) error {
	name := r.Key[len(hostPrefix):]
	if offset < s.offsets[r.Key] {
		return nil
	}
	if len(r.Value) == 0 {
		delete(s.Hosts, name)
		s.offsets[r.Key] = offset
		return nil
	}
	var host Host
	if err := cbor.Unmarshal(r.Value, &host); err != nil {
		return errors.Errorf("read host %s: %w", name, err)
	}
	s.Hosts[name], s.offsets[r.Key] = host, offset
	return nil
}

func (s *State) entry(id describer.JobID) *Entry {
	e, found := s.Jobs[id]
	if !found {
		e = &Entry{ID: id, JobOffset: -1, progressOffset: -1}
		s.Jobs[id] = e
	}
	return e
}

// applyJob keeps the first submission of an id; a repeated one changes nothing.
func (s *State) applyJob(id describer.JobID, r Record, offset int64) (*Entry, error) {
	if len(r.Value) == 0 {
		delete(s.Jobs, id)
		return nil, nil
	}
	if e, found := s.Jobs[id]; found && e.Job != nil {
		return e, nil
	}
	var job describer.Job
	if err := cbor.Unmarshal(r.Value, &job); err != nil {
		return nil, errors.Errorf("read job %s: %w", id, err)
	}
	e := s.entry(id)
	e.Job, e.JobOffset = &job, offset
	return e, nil
}

func (s *State) applyProgress(id describer.JobID, r Record, offset int64) (*Entry, error) {
	if len(r.Value) == 0 {
		s.dropBare(id)
		return nil, nil
	}
	var progress Progress
	if err := cbor.Unmarshal(r.Value, &progress); err != nil {
		return nil, errors.Errorf("read progress of %s: %w", id, err)
	}
	s.heard(progress.Epoch, offset)
	e := s.entry(id)
	if offset > e.progressOffset {
		e.Progress, e.progressOffset = progress, offset
	}
	return e, nil
}

// dropBare forgets the entry of a job whose submission is gone or was never read.
func (s *State) dropBare(id describer.JobID) {
	if e, found := s.Jobs[id]; found && e.Job == nil {
		delete(s.Jobs, id)
	}
}

func (s *State) applyCancel(id describer.JobID, r Record) (*Entry, error) {
	if len(r.Value) == 0 {
		s.dropBare(id)
		return nil, nil
	}
	e := s.entry(id)
	e.Cancelled = true
	// The first cancellation counts, and one that can't be read is still one.
	if e.Cancel.At.IsZero() {
		if err := cbor.Unmarshal(r.Value, &e.Cancel); err != nil {
			return e, errors.Errorf("read cancellation of %s: %w", id, err)
		}
	}
	return e, nil
}
