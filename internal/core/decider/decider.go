// Package decider is the decision core of an entry host: a deterministic state machine that turns events into actions.
// It does no I/O and reads neither clocks nor random numbers.
//
// It applies the records of the platform's log, claims shards (package claimer), places and tracks tasks (planner and
// tracker) and admits requests (admitter). The same core runs in serve, in replay, in the benchmarks and in the tests.
//
// The claim of a shard is the record in the log that makes one host the holder of the shard. The epoch of the claim is
// the fencing token. The heir that a claim names is the designated successor.
//
// # Usage
//
//	d := decider.New(decider.Options{Self: self, DataCentre: "erie-a", Layout: layout})
//	var out signaller.Outbox
//	d.Step(now, signaller.Tick{}, &out)
//	for _, action := range out.Take() {
//		// carry it out
//	}
package decider

import (
	"time"

	"lentilrock.example/internal/cell/applier"
	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/cell/recorder"
	"lentilrock.example/internal/core/admitter"
	"lentilrock.example/internal/core/claimer"
	"lentilrock.example/internal/core/detector"
	"lentilrock.example/internal/core/estimator"
	"lentilrock.example/internal/core/limiter"
	"lentilrock.example/internal/core/pacer"
	"lentilrock.example/internal/core/planner"
	"lentilrock.example/internal/core/signaller"
	"lentilrock.example/internal/core/snapshotter"
	"lentilrock.example/internal/core/tracker"
)

// Options are the settings of a core.
type Options struct {
	Self       descriptor.HostID
	DataCentre string
	Layout     descriptor.Layout
	Claims     claimer.Options
	Tracker    pacer.Options
	Requests   limiter.Options
	Planner    planner.Options
	// SnapshotEvery is the number of records of a stream between two snapshots.
	SnapshotEvery int64
}

// appendPause is how long the log counts as down after it has refused an append.
const appendPause = time.Second

// Decider is the core of one entry host.
type Decider struct {
	options Options
	author  recorder.Author

	// config is the state of the configuration stream.
	config applier.State
	// local is the state of the data centre's stream.
	local applier.State

	claimers []*claimer.Claimer
	planner  *planner.Planner
	tracker  *tracker.Tracker
	admitter *admitter.Admitter
	sizes    estimator.Estimator

	peers *detector.Detector
	hosts []descriptor.Host
	// proposals are the IDs of the records whose verdicts must be reported.
	proposals map[string]bool
	// heldIntents are the intents that this host holds as an heir, by key.
	heldIntents map[string]recorder.Intent
	// renouncedWorkers are the workers whose leases this host must not renew as an heir, each with the epoch to which
	// this applies.
	renouncedWorkers map[string]int64
	// renunciations are the times at which the heir of a shard confirmed that it no longer renews the leases of a
	// worker, by renunciationKey.
	renunciations map[string]time.Time
	// formerHeirExpiry is the time, by shard, from which no former heir can renew leases.
	formerHeirExpiry map[descriptor.ShardID]time.Time

	// lastRead is when the last read that reached the tail of the data centre's stream was sent.
	lastRead time.Time
	// isLogReadable reports that no read of the log has failed since the last successful read of the data centre's
	// stream.
	isLogReadable      bool
	appendBlockedUntil time.Time
	// nextResultsAt is when the results of ended tasks may be appended again.
	nextResultsAt time.Time
	snapshots     snapshotter.Snapshotter
	configVersion int64
	// isDrained reports that operators have drained this host.
	isDrained bool
	// wasLogUp reports that the log was up on the last tick.
	wasLogUp       bool
	isShuttingDown bool
	// closingJobs are the jobs for which a closing record was appended and not read yet.
	closingJobs map[descriptor.JobID]bool
	now         time.Time
}

// New returns a core that has not read the log or the host list yet.
func New(options Options) *Decider {
	options.Claims = options.Claims.WithDefaults()
	options.Tracker = options.Tracker.WithDefaults()
	d := &Decider{
		options:          options,
		author:           recorder.Author{Name: options.Self.String()},
		planner:          planner.New(options.Planner),
		peers:            detector.New(options.Self, options.DataCentre, options.Claims.FailureTimeout, options.Claims.MaxExtension),
		proposals:        make(map[string]bool),
		heldIntents:      make(map[string]recorder.Intent),
		renouncedWorkers: make(map[string]int64),
		renunciations:    make(map[string]time.Time),
		formerHeirExpiry: make(map[descriptor.ShardID]time.Time),
		snapshots:        snapshotter.New(options.SnapshotEvery),
		closingJobs:      make(map[descriptor.JobID]bool),
	}
	for _, shard := range options.Layout.Shards(options.DataCentre) {
		d.claimers = append(d.claimers, claimer.New(shard, options.Self, options.Claims))
	}
	d.tracker = tracker.New(options.Tracker, d.planner, d, d, &d.sizes)
	d.admitter = admitter.New(options.Requests, options.Self, options.Layout, d, d)
	return d
}

// Step applies an event at now and adds the resulting actions to out.
func (d *Decider) Step(now time.Time, event signaller.Event, out *signaller.Outbox) {
	d.now = now
	switch e := event.(type) {
	case signaller.AppendFailed:
		d.handleAppendFailed(now, e, out)
	case signaller.DispatchEnded:
		d.admitter.DispatchEnded(now, e, out)
	case signaller.DispatcherAnswered:
		d.admitter.DispatcherAnswered(now, e)
	case signaller.DispatcherAsked:
		out.Add(signaller.AnswerDispatcher{Ref: e.Ref, Ended: !d.admitter.MayStillDispatch(e.Key)})
	case signaller.HeirAnswered:
		d.handleHeirAnswered(now, e, out)
	case signaller.HeirAsked:
		d.handleHeirAsked(e, out)
	case signaller.HostsListed:
		d.handleHostsListed(now, e)
	case signaller.Left:
		d.leave()
	case signaller.LoadAnswered:
		d.admitter.LoadAnswered(now, e, out)
	case signaller.LogFailed:
		d.isLogReadable = false
	case signaller.LogRead:
		d.handleLogRead(now, e, out)
	case signaller.OutcomeAnswered:
		d.admitter.OutcomeAnswered(now, e, out)
	case signaller.PeerHeard:
		d.peers.RecordHeartbeat(now, e.Host, e.DataCentre)
	case signaller.Proposed:
		d.propose(e, out)
	case signaller.RequestArrived:
		d.admitter.Arrive(now, e, out)
	case signaller.Restored:
		d.handleRestored(e, out)
	case signaller.StartAnswered:
		d.tracker.StartAnswered(now, e, out)
	case signaller.Tick:
		d.tick(now, out)
	case signaller.WorkerAnswered:
		d.tracker.WorkerAnswered(now, e, out)
	case signaller.WorkerFailed:
		d.tracker.WorkerFailed(now, e.Worker)
	}
}

// tick runs the periodic work of all parts. Results of ended tasks are appended before new tasks are placed.
func (d *Decider) tick(now time.Time, out *signaller.Outbox) {
	d.tickLog(now, out)
	d.tickClaims(now, out)
	d.syncShards(now, out)
	d.tracker.Tick(now, out)
	d.tracker.Drain(out)
	d.appendResults(now, out)
	d.tracker.Place(now, out)
	d.admitter.MarkEndedDispatchers(now, d.hasEnded)
	d.admitter.Tick(now, out)
	d.snapshot(now, out)
}

// hasEnded reports whether an incarnation of a host, given as "name@incarnation", has ended, because another
// incarnation of the host is live.
func (d *Decider) hasEnded(host string) bool {
	return d.Membership(d.now).HasEnded(descriptor.ParseHostID(host))
}

// propose appends records for a caller or operator, to whom their verdicts are reported.
func (d *Decider) propose(e signaller.Proposed, out *signaller.Outbox) {
	for _, record := range e.Records {
		d.proposals[record.ID] = true
	}
	out.Add(signaller.Append(e))
}

// leave starts the shutdown: the host completes its requests and releases its shards.
func (d *Decider) leave() {
	d.isShuttingDown = true
}

// HasLeft reports whether a host that shuts down has no requests in flight and no longer acts for any shard. While the
// log is down, a shard can't be released; its heir takes it over later.
func (d *Decider) HasLeft() bool {
	if !d.isShuttingDown || d.admitter.InFlight(d.CanAppend()) > 0 {
		return false
	}
	for _, c := range d.claimers {
		isReleaseBlocked := c.State() == claimer.StateLeaving && !d.CanAppend()
		if c.IsHolder() && !isReleaseBlocked {
			return false
		}
	}
	return true
}

// IsReady reports whether the host has read its configuration and its data centre's claims, and neither shuts down nor
// is drained.
func (d *Decider) IsReady() bool {
	return !d.isReleasingShards() && !d.lastRead.IsZero() && d.configVersion > 0
}

// handleRestored replaces a stream's state by a snapshot, if the snapshot is newer.
func (d *Decider) handleRestored(e signaller.Restored, out *signaller.Outbox) {
	state := &d.local
	if e.Stream == recorder.ConfigStream {
		state = &d.config
	}
	isNewer, err := state.Restore(e.State)
	switch {
	case err != nil:
		out.Report("Snapshot unreadable; its stream's state is unchanged.", "stream", e.Stream, "error", err.Error())
	case isNewer:
		d.snapshots.RecordSnapshot(e.Stream, state.Next)
		d.applyConfig()
		out.Report("Snapshot restored; it replaces its stream's older state.", "stream", e.Stream)
	}
}

// snapshot appends snapshots of the states to the log, well before the log trims the records that they cover. Only the
// holder of the data centre's first shard does so.
func (d *Decider) snapshot(now time.Time, out *signaller.Outbox) {
	if !d.claimers[0].CanAct(now) || !d.CanAppend() {
		return
	}
	d.snapshots.SaveIfDue(recorder.DataCentreStream(d.options.DataCentre), &d.local, out)
	d.snapshots.SaveIfDue(recorder.ConfigStream, &d.config, out)
}
