// Package journaler defines the records that a cell stores in the platform's log, and computes the
// state that results from applying them.
//
// Each record has a key, and the newest record of a key replaces the former ones, so the store
// itself holds a snapshot. The state keeps the offset of each part and ignores older records of it,
// so that pages of the newest records and a later range of the log may overlap.
//
// The claim is the record that makes one host the leader, called the holder. Its epoch is the
// fencing token of the holder's orders.
//
// # Usage
//
//	state := journaler.New()
//	state.Apply(journaler.Record{Key: key, Value: value}, offset)
//	entry := state.Jobs["5c0e7a21d94b36f8"]
package journaler

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"lentilrock.example/internal/fleet/describer"
)

// Keys and key prefixes of the records.
const (
	heartbeatKey   = "b"
	claimKey       = "c"
	drainPrefix    = "d/"
	hostPrefix     = "h/"
	jobPrefix      = "j/"
	progressPrefix = "p/"
	wavePrefix     = "u/"
	cancelPrefix   = "x/"
)

// maxJobBytes is the size of the largest record of a job or its progress. The store refuses records of more
// than 256 KiB, and with them the other records of the append.
const maxJobBytes = 192 << 10

// maxEpoch bounds the epoch of a claim, so that later claims and the numbers of their runs stay within their types.
const maxEpoch = 1 << 40

const (
	// maxEndedSteps is the number of steps up to which they are kept of a job that has ended, for runs that a worker
	// still lists.
	maxEndedSteps = 16
	// endedBytes and endedStepBytes are the memory that a job that has ended, and a step of it, take about.
	endedBytes     = 1 << 10
	endedStepBytes = 192
)

// ErrTooLarge means that the record of a job is larger than the store may accept.
var ErrTooLarge = errors.New("the job is too large")

// Record is an entry of the log. A record without a value removes its key.
type Record struct {
	Key   string
	Value []byte
}

// Claim makes one host the holder, which alone gives orders to workers. Its epoch is the fencing
// token.
type Claim struct {
	Epoch       int64  `cbor:"1,keyasint"`
	Host        string `cbor:"2,keyasint"`
	Incarnation string `cbor:"3,keyasint"`
	// Released reports that the holder has left, so that any host may claim.
	Released bool `cbor:"4,keyasint,omitempty"`
	// Lease is the longest lease that this holder or one before it grants; 0 if it is unknown.
	Lease time.Duration `cbor:"5,keyasint,omitempty"`
	// Authority is the longest time after the sending of its last append for which the leases of this holder or of one
	// before it last; 0 if it is unknown.
	Authority time.Duration `cbor:"6,keyasint,omitempty"`
	// Address is where the host serves its peers; empty if it is unknown.
	Address string `cbor:"7,keyasint,omitempty"`
}

// Heartbeat is a heartbeat of the holder.
type Heartbeat struct {
	Epoch int64 `cbor:"1,keyasint"`
}

// Cancel requests that a job is cancelled.
type Cancel struct {
	At time.Time `cbor:"1,keyasint"`
	// By is the operator who requested it; empty if a caller did.
	By string `cbor:"2,keyasint,omitempty"`
}

// Drain requests that no new task is started on a worker, or on all workers of a rack.
type Drain struct {
	// Kind is "worker" or "rack".
	Kind string    `cbor:"1,keyasint"`
	Name string    `cbor:"2,keyasint"`
	By   string    `cbor:"3,keyasint"`
	At   time.Time `cbor:"4,keyasint"`
	// IsLifted reports that the drain has ended.
	IsLifted bool `cbor:"5,keyasint,omitempty"`
}

// Host is an entry host's address for its peers.
type Host struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	Address     string `cbor:"3,keyasint"`
	DataCentre  string `cbor:"4,keyasint"`
	// Cores is the host's processor share in cores, weighted by processor speed; 0 if it is unknown.
	Cores float64 `cbor:"5,keyasint,omitempty"`
	// MemoryMB is the memory of the host in MiB; 0 if it is unknown.
	MemoryMB int64 `cbor:"6,keyasint,omitempty"`
}

// WaveProgress lists the machines of a wave whose upkeep has begun.
type WaveProgress struct {
	Epoch  int64    `cbor:"1,keyasint"`
	Number int64    `cbor:"2,keyasint"`
	Done   []string `cbor:"3,keyasint"`
}

// Outcome is the result of a job.
type Outcome uint8

// Outcomes of a job. The zero value is that of a job that has not ended.
const (
	OutcomeNone Outcome = iota
	OutcomeCompleted
	OutcomeFailed
	OutcomeCancelled
)

// StepProgress is the persisted progress of a step of an occurrence.
type StepProgress struct {
	Occurrence int `cbor:"1,keyasint,omitempty"`
	Step       int `cbor:"2,keyasint,omitempty"`
	// Done lists the tasks that are done as ranges, each a pair of first and last index.
	Done []int `cbor:"3,keyasint,omitempty"`
	// Failed has the numbers of the runs that failed, by task index. The
	// failures of a gang are stored at index 0.
	Failed map[int][]int64 `cbor:"4,keyasint,omitempty"`
	// Closed has the runs on workers that were closed when the record was written.
	Closed []ClosedRun `cbor:"5,keyasint,omitempty"`
}

// HasContent reports whether there is progress of the step at all.
func (s StepProgress) HasContent() bool {
	return len(s.Done) > 0 || len(s.Failed) > 0 || len(s.Closed) > 0
}

// ClosedRun is a run on a worker that gets no tasks, as it is unresponsive or leaves.
type ClosedRun struct {
	Worker string `cbor:"1,keyasint"`
	Index  int    `cbor:"2,keyasint"`
	Run    int64  `cbor:"3,keyasint"`
}

// Progress is the persisted progress of a job.
type Progress struct {
	Epoch   int64          `cbor:"1,keyasint"`
	Begun   bool           `cbor:"2,keyasint,omitempty"`
	Outcome Outcome        `cbor:"3,keyasint,omitempty"`
	Steps   []StepProgress `cbor:"4,keyasint,omitempty"`
	Reason  string         `cbor:"5,keyasint,omitempty"`
	// Done has the tasks of a large job that are done, in the encoding of package marker. The tasks are
	// numbered through all occurrences and their steps. Steps then list none.
	Done []byte `cbor:"6,keyasint,omitempty"`
	// HasUnlistedRuns reports that the runs on closed workers are missing in Steps, as the record
	// would be too large with them.
	HasUnlistedRuns bool `cbor:"7,keyasint,omitempty"`
	// ListsLastRuns reports that the progress of a job that has ended lists its runs on closed workers, which hosts of
	// older versions left out.
	ListsLastRuns bool `cbor:"8,keyasint,omitempty"`
	// HasNoRuns reports that all runs of a job that has ended are resolved.
	HasNoRuns bool `cbor:"9,keyasint,omitempty"`
}

// JobKey returns the key of the submission record of a job.
func JobKey(id describer.JobID) string { return jobPrefix + string(id) }

// encMode encodes times with microseconds; the default is whole seconds, and both can be decoded.
var encMode = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}()

// Encode returns the encoded value of a record.
func Encode(value any) ([]byte, error) {
	data, err := encMode.Marshal(value)
	return data, errors.Wrap(err, "encode record")
}

func record(key string, value any) (Record, error) {
	data, err := Encode(value)
	if err != nil {
		return Record{}, errors.Errorf("record with key %q: %w", key, err)
	}
	return Record{Key: key, Value: data}, nil
}

// NewHeartbeat returns the record of a heartbeat.
func NewHeartbeat(b Heartbeat) (Record, error) { return record(heartbeatKey, b) }

// NewClaim returns the record of a claim.
func NewClaim(c Claim) (Record, error) { return record(claimKey, c) }

// NewCancel returns the record of a cancellation.
func NewCancel(id describer.JobID, c Cancel) (Record, error) {
	return record(cancelPrefix+string(id), c)
}

// NewDrain returns the record of a drain, or of the end of one.
func NewDrain(d Drain) (Record, error) { return record(drainPrefix+d.Kind+"/"+d.Name, d) }

// NewHost returns the record of an entry host.
func NewHost(h Host) (Record, error) { return record(hostPrefix+h.Name, h) }

// NewJob returns the record of a submission. The error wraps ErrTooLarge if the store may not accept it.
func NewJob(j *describer.Job) (Record, error) {
	r, err := record(JobKey(j.ID), j)
	if len(r.Value) > maxJobBytes {
		return Record{}, errors.Errorf("record of %d bytes, over %d: %w", len(r.Value), maxJobBytes, ErrTooLarge)
	}
	return r, err
}

// NewWave returns the record of the progress of a wave.
func NewWave(w WaveProgress) (Record, error) {
	return record(wavePrefix+strconv.FormatInt(w.Number, 10), w)
}

// NewProgress returns the record of a job's progress. If the store may not accept the record, it leaves out
// what a later holder can do without: first the runs on closed workers, then the failed runs, which a
// later holder counts anew. The tasks that are done always fit.
func NewProgress(id describer.JobID, p Progress) (Record, error) {
	key := progressPrefix + string(id)
	r, err := record(key, p)
	if err != nil || len(r.Value) <= maxJobBytes {
		return r, err
	}
	p.HasUnlistedRuns = true
	p.Steps = keepOnly(p.Steps, func(s StepProgress) StepProgress { s.Closed = nil; return s })
	if r, err = record(key, p); err != nil || len(r.Value) <= maxJobBytes {
		return r, err
	}
	p.Steps = keepOnly(p.Steps, func(s StepProgress) StepProgress { s.Failed = nil; return s })
	return record(key, p)
}

// keepOnly returns what reduce leaves of the steps, without those of which nothing is left.
func keepOnly(steps []StepProgress, reduce func(s StepProgress) StepProgress) []StepProgress {
	var kept []StepProgress
	for _, s := range steps {
		if s = reduce(s); s.HasContent() {
			kept = append(kept, s)
		}
	}
	return kept
}

// RemoveJob returns the records that remove the submission and the cancellation of a job. The
// progress has the outcome of the job, so it must be removed last, with RemoveHeldJob.
func RemoveJob(id describer.JobID) []Record {
	return []Record{{Key: JobKey(id)}, {Key: cancelPrefix + string(id)}}
}

// RemoveHeldJob returns the records that remove the progress of a job, and the submission if a holder
// persisted it beside the progress.
func RemoveHeldJob(id describer.JobID) []Record {
	return []Record{{Key: JobKey(id)}, {Key: progressPrefix + string(id)}}
}

// JobOf returns the ID of the job whose submission a record is; false for other records.
func JobOf(r Record) (describer.JobID, bool) {
	id, found := strings.CutPrefix(r.Key, jobPrefix)
	return describer.JobID(id), found && len(r.Value) > 0
}

// ErrForeignJob means that the ID of a submission belongs to a job of another workspace, so that the submission never runs.
var ErrForeignJob = errors.New("the id belongs to another job")

// CheckWorkspace returns ErrForeignJob if a submission has the ID of a known job that belongs to another workspace. A job
// without a workspace is no secret of any, and its submission may have been repeated with a key since.
func CheckWorkspace(known *describer.Job, submission Record) error {
	if known.Workspace == "" {
		return nil
	}
	var job struct {
		Workspace string `cbor:"9,keyasint"`
	}
	if err := cbor.Unmarshal(submission.Value, &job); err != nil {
		return errors.Errorf("decode submission of job %q: %w", known.ID, err)
	}
	if job.Workspace != known.Workspace {
		return errors.Errorf("submit job %s: %w", known.ID, ErrForeignJob)
	}
	return nil
}

// CheckForwarded returns an error if a record is not one that a host forwards to a peer to persist: a submission, a
// cancellation or a drain, of a size that the store accepts.
func CheckForwarded(r Record) error {
	isForwarded := strings.HasPrefix(r.Key, jobPrefix) || strings.HasPrefix(r.Key, cancelPrefix) || strings.HasPrefix(r.Key, drainPrefix)
	if !isForwarded || len(r.Value) == 0 || len(r.Value) > maxJobBytes {
		return errors.Errorf("record with key %q and %d bytes is none that a host forwards", r.Key, len(r.Value))
	}
	return nil
}

// ProgressOf returns the ID of the job whose progress has a key; false for other keys.
func ProgressOf(key string) (describer.JobID, bool) {
	id, found := strings.CutPrefix(key, progressPrefix)
	return describer.JobID(id), found
}

// HostOf returns the name of the entry host that a record announces; false for other records.
func HostOf(r Record) (string, bool) { return strings.CutPrefix(r.Key, hostPrefix) }

// IsRoute reports whether a record tells where requests can be sent: it announces an entry host, or
// is the claim.
func IsRoute(r Record) bool { return r.Key == claimKey || strings.HasPrefix(r.Key, hostPrefix) }

// Entry is the state of a job according to the log.
type Entry struct {
	ID describer.JobID
	// Job is nil if only a cancellation or progress was read so far.
	Job       *describer.Job
	Cancelled bool
	// Cancel has the time and the operator of the cancellation; zero if none was read.
	Cancel   Cancel
	Progress Progress
	// JobOffset is the offset of the submission in its topic.
	JobOffset int64
	// ExpectedEnd is when the job should end, going by the caller's estimates; zero if that is unknown.
	ExpectedEnd    time.Time
	footprint      int64
	progressOffset int64
}

// Footprint returns an estimate of the memory that the job takes on a host, in bytes.
func (e *Entry) Footprint() int64 { return e.footprint }

// setJob sets the job of the entry. Of one that has ended only what its state needs is kept: no spec, and no steps
// if there are many.
func (e *Entry) setJob(job *describer.Job) {
	e.Job, e.ExpectedEnd = job, time.Time{}
	switch err := job.Validate(); {
	case e.Progress.Outcome != OutcomeNone:
		ended := *job
		if ended.Spec = ""; len(ended.Steps) > maxEndedSteps {
			ended.Steps = nil
		}
		e.Job, e.footprint = &ended, int64(endedBytes+endedStepBytes*len(ended.Steps))
	case err != nil:
		// Its numbers mean nothing, and it ends at once.
		e.footprint = endedBytes
	default:
		e.footprint, e.ExpectedEnd = job.Footprint(), job.ExpectedEnd()
	}
}

// HasProgress reports whether a holder has persisted progress of the job. No holder starts a task
// of the job before that.
func (e *Entry) HasProgress() bool { return e.progressOffset >= 0 }

// JobState returns the state of the job as reported to callers. A cancellation alone is no final state: the
// job may have completed before the holder reads it, and the holder persists which of the two came first.
func (e *Entry) JobState() describer.JobState {
	switch {
	case e.Progress.Outcome == OutcomeCompleted:
		return describer.JobCompleted
	case e.Progress.Outcome == OutcomeFailed:
		return describer.JobFailed
	case e.Progress.Outcome == OutcomeCancelled:
		return describer.JobCancelled
	case e.Progress.Begun:
		return describer.JobRunning
	}
	return describer.JobQueued
}

// State is the result of applying the records of the log. It covers the topic of jobs and the
// topic of claims, which have separate offsets.
type State struct {
	Claim Claim
	// ClaimOffset is the offset of the claim record; -1 if there is none.
	ClaimOffset int64
	// HolderOffset is the offset of the newest record that the current holder wrote.
	HolderOffset int64
	Jobs         map[describer.JobID]*Entry
	Hosts        map[string]Host
	// Drains are the drains, including ended ones, by "kind/name".
	Drains map[string]Drain
	// Waves has the progress of waves, by number.
	Waves map[int64]WaveProgress
	// LateStarts are the starts without a reply that may have been carried out after the newest record of them.
	LateStarts []LateStart
	// OmittedLateStarts is for how long after that record another one may have been carried out that it omits.
	OmittedLateStarts time.Duration
	// offsets has the offsets of the newest records of the roster, the late starts, the hosts and the drains, by key.
	offsets map[string]int64
	// rosters are the parts of the newest roster; only the first one is used if it has no others.
	rosters [rosterParts]Roster
}

// New returns the state before any record.
func New() *State {
	return &State{
		ClaimOffset: -1, HolderOffset: -1,
		Waves: make(map[int64]WaveProgress), Drains: make(map[string]Drain),
		Jobs: make(map[describer.JobID]*Entry), Hosts: make(map[string]Host), offsets: make(map[string]int64),
	}
}

// Find returns the entry of a job; false if no submission of it was read.
func (s *State) Find(id describer.JobID) (*Entry, bool) {
	entry, found := s.Jobs[id]
	return entry, found && entry.Job != nil
}

// Pending returns the number of queued jobs of a queue; an empty name counts those of all queues.
func (s *State) Pending(queue string) int {
	count := 0
	for _, e := range s.Jobs {
		if e.Job != nil && (queue == "" || e.Job.Queue.Name == queue) && e.JobState() == describer.JobQueued {
			count++
		}
	}
	return count
}

// Apply applies a record to the state and returns the entry of the job that changed, if any. An
// error means that the record can't be decoded or that its key is of no known kind. The state is
// then unchanged, except that a cancellation that can't be decoded still cancels its job.
func (s *State) Apply(r Record, offset int64) (*Entry, error) {
	switch {
	case r.Key == heartbeatKey:
		return nil, s.applyHeartbeat(r, offset)
	case IsRoster(r):
		return nil, s.applyRoster(r, offset)
	case r.Key == lateStartsKey:
		return nil, s.applyLateStarts(r, offset)
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
	return nil, errors.Errorf("key %q does not belong to a known kind of record", r.Key)
}

func (s *State) applyHeartbeat(r Record, offset int64) error {
	var heartbeat Heartbeat
	if err := cbor.Unmarshal(r.Value, &heartbeat); err != nil {
		return errors.Errorf("decode heartbeat: %w", err)
	}
	s.recordHolderOffset(heartbeat.Epoch, offset)
	return nil
}

func (s *State) recordHolderOffset(epoch, offset int64) {
	if epoch == s.Claim.Epoch {
		s.HolderOffset = max(s.HolderOffset, offset)
	}
}

// applyClaim records a later claim, or the release of the current one.
func (s *State) applyClaim(r Record, offset int64) error {
	var claim Claim
	if err := cbor.Unmarshal(r.Value, &claim); err != nil {
		return errors.Errorf("decode claim: %w", err)
	}
	if claim.Epoch <= 0 || claim.Epoch > maxEpoch {
		return errors.Errorf("the claim of host %q has the epoch %d, outside 1 to %d", claim.Host, claim.Epoch, int64(maxEpoch))
	}
	isRelease := claim.Epoch == s.Claim.Epoch && claim.Incarnation == s.Claim.Incarnation && claim.Released
	if offset <= s.ClaimOffset || claim.Epoch <= s.Claim.Epoch && !isRelease {
		return nil
	}
	s.Claim, s.ClaimOffset = claim, offset
	s.HolderOffset = max(s.HolderOffset, offset)
	return nil
}

// applyDrain records the newest drain, or its end, for a worker or rack. The log order decides which
// is newest, as the clocks of operators may differ.
func (s *State) applyDrain(r Record, offset int64) error {
	if offset < s.offsets[r.Key] {
		return nil
	}
	var drain Drain
	if err := cbor.Unmarshal(r.Value, &drain); err != nil {
		return errors.Errorf("decode drain: %w", err)
	}
	s.Drains[r.Key[len(drainPrefix):]], s.offsets[r.Key] = drain, offset
	return nil
}

// IsDrained reports whether a worker or its rack is drained, so that no task may be started there.
func (s *State) IsDrained(worker, rack string) bool {
	isDrained := func(key string) bool { d, found := s.Drains[key]; return found && !d.IsLifted }
	return len(s.Drains) > 0 && (isDrained("worker/"+worker) || isDrained("rack/"+rack))
}

// applyWave records the progress of a wave unless it lists fewer machines than are recorded: a
// machine whose upkeep has begun remains listed.
func (s *State) applyWave(r Record, offset int64) error {
	var next WaveProgress
	if err := cbor.Unmarshal(r.Value, &next); err != nil {
		return errors.Errorf("decode progress of a wave: %w", err)
	}
	s.recordHolderOffset(next.Epoch, offset)
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
		return errors.Errorf("decode entry host %q: %w", name, err)
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

// applyJob records the first submission with an ID; a repeated one changes nothing.
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
		return nil, errors.Errorf("decode submission of job %q: %w", id, err)
	}
	if job.ID != id {
		return nil, errors.Errorf("the submission of job %q names job %q", id, job.ID)
	}
	e := s.entry(id)
	e.JobOffset = offset
	e.setJob(&job)
	return e, nil
}

func (s *State) applyProgress(id describer.JobID, r Record, offset int64) (*Entry, error) {
	if len(r.Value) == 0 {
		s.deleteIncomplete(id)
		return nil, nil
	}
	var progress Progress
	if err := cbor.Unmarshal(r.Value, &progress); err != nil {
		return nil, errors.Errorf("decode progress of job %q: %w", id, err)
	}
	s.recordHolderOffset(progress.Epoch, offset)
	e := s.entry(id)
	if offset > e.progressOffset {
		e.Progress, e.progressOffset = progress, offset
		if e.Job != nil && progress.Outcome != OutcomeNone {
			e.setJob(e.Job)
		}
	}
	return e, nil
}

// RemoveUnlistedProgress removes the jobs whose progress was persisted before an offset and is not in a list
// of the topic of claims that is complete up to that offset. A host that missed records of the log may have
// missed their removal. Jobs submitted after a time stay: they are too young to have been removed.
func (s *State) RemoveUnlistedProgress(listed map[string]bool, end int64, submittedBefore time.Time) {
	for id, e := range s.Jobs {
		isOld := e.Job == nil || e.Job.Received.Before(submittedBefore)
		if isOld && e.HasProgress() && e.progressOffset < end && !listed[progressPrefix+string(id)] {
			delete(s.Jobs, id)
		}
	}
}

// RemoveUnlistedJobs does the same for jobs without progress, with a list of the topic of jobs: a submission
// in the topic of claims always has progress beside it.
func (s *State) RemoveUnlistedJobs(listed map[string]bool, end int64, submittedBefore time.Time) {
	for id, e := range s.Jobs {
		isOld := e.Job != nil && e.Job.Received.Before(submittedBefore)
		if isOld && !e.HasProgress() && e.JobOffset < end && !listed[JobKey(id)] {
			delete(s.Jobs, id)
		}
	}
}

// deleteIncomplete deletes the entry of a job whose submission was removed or was never read.
func (s *State) deleteIncomplete(id describer.JobID) {
	if e, found := s.Jobs[id]; found && e.Job == nil {
		delete(s.Jobs, id)
	}
}

func (s *State) applyCancel(id describer.JobID, r Record) (*Entry, error) {
	if len(r.Value) == 0 {
		s.deleteIncomplete(id)
		return nil, nil
	}
	e := s.entry(id)
	e.Cancelled = true
	// The first cancellation is recorded, and one that can't be decoded still cancels the job.
	if e.Cancel.At.IsZero() {
		if err := cbor.Unmarshal(r.Value, &e.Cancel); err != nil {
			return e, errors.Errorf("decode cancellation of job %q: %w", id, err)
		}
	}
	return e, nil
}
