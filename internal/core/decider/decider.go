// Package decider is the decision core of an entry host: it turns events into actions,
// without input, output, time or chance of its own.
//
// It folds the log, claims shards (package claimer), places and follows tasks (planner
// and tracker) and admits requests (admitter). The same core runs in serve, in replay, in
// the benchmarks and in the tests.
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
	"lentilrock.example/internal/core/estimator"
	"lentilrock.example/internal/core/limiter"
	"lentilrock.example/internal/core/pacer"
	"lentilrock.example/internal/core/planner"
	"lentilrock.example/internal/core/signaller"
	"lentilrock.example/internal/core/snapshotter"
	"lentilrock.example/internal/core/tracker"
	"lentilrock.example/internal/core/watcher"
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
	// SnapshotEvery is how many records of a stream lie between two snapshots.
	SnapshotEvery int64
}

// appendPause is how long the log counts as down after it refused an append.
const appendPause = time.Second

// Decider is the core of one entry host.
type Decider struct {
	options Options
	author  recorder.Author

	config applier.State
	local  applier.State

	claimers []*claimer.Claimer
	planner  *planner.Planner
	tracker  *tracker.Tracker
	admitter *admitter.Admitter
	sizes    estimator.Estimator

	peers     *watcher.Watcher
	hosts     []descriptor.Host
	proposals map[string]bool
	// held are the intents that this host holds as an heir, by key.
	held map[string]recorder.Intent
	// renounced are the workers that this host must not renew as an heir, with the epoch
	// that it holds for.
	renounced map[string]int64
	// promises are when the heir of a shard renounced a worker.
	promises map[string]time.Time
	// formerHeirUntil is when the heirs before the present one can renew no more.
	formerHeirUntil map[descriptor.ShardID]time.Time

	lastRead      time.Time
	readOK        bool
	appendBlocked time.Time
	// nextEnds is when the ends of tasks may be appended again.
	nextEnds      time.Time
	snapshots     snapshotter.Snapshotter
	configVersion int64
	// isDrained reports that operators took this host out of service.
	isDrained bool
	wasUp     bool
	isLeaving bool
	closing   map[descriptor.JobID]bool
	now       time.Time
}

// New returns a core that knows nothing of its cell yet.
func New(options Options) *Decider {
	options.Claims = options.Claims.WithDefaults()
	options.Tracker = options.Tracker.WithDefaults()
	d := &Decider{
		options:         options,
		author:          recorder.Author{Name: options.Self.String()},
		planner:         planner.New(options.Planner),
		peers:           watcher.New(options.Self, options.DataCentre, options.Claims.Suspect, options.Claims.Cap),
		proposals:       make(map[string]bool),
		held:            make(map[string]recorder.Intent),
		renounced:       make(map[string]int64),
		promises:        make(map[string]time.Time),
		formerHeirUntil: make(map[descriptor.ShardID]time.Time),
		snapshots:       snapshotter.New(options.SnapshotEvery),
		closing:         make(map[descriptor.JobID]bool),
	}
	for _, shard := range options.Layout.Shards(options.DataCentre) {
		d.claimers = append(d.claimers, claimer.New(shard, options.Self, options.Claims))
	}
	d.tracker = tracker.New(options.Tracker, d.planner, d, d, &d.sizes)
	d.admitter = admitter.New(options.Requests, options.Self, options.Layout, d, d)
	return d
}

// Step takes in an event at now and adds what follows to out.
func (d *Decider) Step(now time.Time, event signaller.Event, out *signaller.Outbox) {
	d.now = now
	switch e := event.(type) {
	case signaller.AppendFailed:
		d.appendFailed(now, e, out)
	case signaller.DispatchEnded:
		d.admitter.Ended(now, e, out)
	case signaller.DispatcherAnswered:
		d.admitter.DispatcherAnswered(now, e)
	case signaller.DispatcherAsked:
		out.Add(signaller.AnswerDispatcher{Ref: e.Ref, Ended: !d.admitter.MayStillDispatch(e.Key)})
	case signaller.HeirAnswered:
		d.heirAnswered(now, e, out)
	case signaller.HeirAsked:
		d.heirAsked(e, out)
	case signaller.HostsListed:
		d.hostsListed(now, e)
	case signaller.Left:
		d.leave()
	case signaller.LoadAnswered:
		d.admitter.LoadAnswered(now, e, out)
	case signaller.LogFailed:
		d.readOK = false
	case signaller.LogRead:
		d.logRead(now, e, out)
	case signaller.OutcomeAnswered:
		d.admitter.OutcomeAnswered(now, e, out)
	case signaller.PeerHeard:
		d.peers.Heard(now, e.Host, e.DataCentre)
	case signaller.Proposed:
		d.propose(e, out)
	case signaller.RequestArrived:
		d.admitter.Arrive(now, e, out)
	case signaller.Restored:
		d.restore(e, out)
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

func (d *Decider) tick(now time.Time, out *signaller.Outbox) {
	d.tickLog(now, out)
	d.tickClaims(now, out)
	d.syncShards(now, out)
	d.tracker.Tick(now, out)
	d.tracker.Drain(out)
	d.recordEnds(now, out)
	d.tracker.Place(now, out)
	d.admitter.HostEnded(now, d.hasEnded)
	d.admitter.Tick(now, out)
	d.snapshot(now, out)
}

// hasEnded reports whether another life of a host, given as "name@incarnation", is live.
func (d *Decider) hasEnded(host string) bool {
	return d.View(d.now).HasEnded(descriptor.ParseHostID(host))
}

// propose appends records for a caller or operator, who hears what becomes of them.
func (d *Decider) propose(e signaller.Proposed, out *signaller.Outbox) {
	for _, record := range e.Records {
		d.proposals[record.ID] = true
	}
	out.Add(signaller.Append(e))
}

func (d *Decider) leave() {
	d.isLeaving = true
}

// HasLeft reports whether a leaving host has nothing in flight and acts for no shard any
// more. While the log is down a shard can't be released; its heir takes it over later.
func (d *Decider) HasLeft() bool {
	if !d.isLeaving || d.admitter.InFlight(d.CanAppend()) > 0 {
		return false
	}
	for _, c := range d.claimers {
		isGivenUp := c.State() == claimer.StateLeaving && !d.CanAppend()
		if c.IsHolder() && !isGivenUp {
			return false
		}
	}
	return true
}

// IsReady reports whether the host knows its configuration and its data centre's claims.
func (d *Decider) IsReady() bool {
	return !d.isGoing() && !d.lastRead.IsZero() && d.configVersion > 0
}

func (d *Decider) restore(e signaller.Restored, out *signaller.Outbox) {
	state := &d.local
	if e.Stream == recorder.ConfigStream {
		state = &d.config
	}
	isNewer, err := state.Restore(e.State)
	switch {
	case err != nil:
		out.Report("A snapshot can't be read.", "stream", e.Stream, "error", err.Error())
	case isNewer:
		d.snapshots.Saved(e.Stream, state.Next)
		d.useConfig()
		out.Report("A snapshot was restored.", "stream", e.Stream)
	}
}

// snapshot writes the states into the log well before the records that they cover are
// trimmed.
func (d *Decider) snapshot(now time.Time, out *signaller.Outbox) {
	if !d.claimers[0].CanAct(now) || !d.CanAppend() {
		return
	}
	d.snapshots.Save(recorder.DataCentreStream(d.options.DataCentre), &d.local, out)
	d.snapshots.Save(recorder.ConfigStream, &d.config, out)
}
