// Package bookkeeper keeps account of what the workspaces with a limit may have running, and holds back the steps that
// would exceed the limits. It counts the runs that the holder (the host whose claim made it the leader) knows, and upper
// bounds of those that it does not know: started by former holders on workers that have not replied, or without a reply.
//
// # Usage
//
//	b := bookkeeper.New(r, reconciler)
//	b.WorkspacesChanged()
//	ledger := b.Ledger()
//	steps, held := b.WithinLimits(tasker.ReadySteps(jobs, now), ledger, maxStarts, mayPlace)
package bookkeeper

import (
	"slices"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/limiter"
	"lentilrock.example/internal/fleet/monitor"
	"lentilrock.example/internal/fleet/reconciler"
	"lentilrock.example/internal/fleet/registrar"
	"lentilrock.example/internal/fleet/tasker"
)

// maxBoundedSteps is the number of steps of all occurrences up to which the unknown runs of a job are bounded by its tasks.
const maxBoundedSteps = 256

// Bookkeeper makes the ledger of each round.
type Bookkeeper struct {
	*registrar.Registrar
	reconciler *reconciler.Reconciler
	// limits is the ledger of the limits of workspaces; nil if there are none.
	limits *limiter.Limiter
	// holds are the steps for which runs have made way and that still wait.
	holds map[describer.StepRef]*hold
}

// New returns a bookkeeper without limits for the jobs of a registrar.
func New(r *registrar.Registrar, s *reconciler.Reconciler) *Bookkeeper {
	return &Bookkeeper{Registrar: r, reconciler: s}
}

// WorkspacesChanged applies the workspaces of a new configuration.
func (b *Bookkeeper) WorkspacesChanged() { b.limits = limiter.New(b.Workspaces) }

// Ledger returns the ledger of what may be running at the beginning of a round; nil if no workspace has a limit.
func (b *Bookkeeper) Ledger() *limiter.Limiter {
	l := b.limits
	if l == nil {
		return nil
	}
	l.Reset()
	hasHidden := false
	for _, w := range b.Ordered {
		for _, r := range w.Runs {
			l.AddRun(r.Owner)
		}
		b.addLostStarts(l, w)
		hasHidden = b.addHiddenWorker(l, w) || hasHidden
	}
	if hasHidden {
		b.addHiddenRuns(l)
	}
	return l
}

// addLostStarts counts the starts without a reply whose runs are resolved in the incarnation that is known. They can only
// be carried out by a later one, which is noticed at its first reply, and the runs are then known again.
func (b *Bookkeeper) addLostStarts(l *limiter.Limiter, w *monitor.Worker) {
	mayHaveRestarted := w.IsUnresponsive(b.Now) || w.HasFailedPoll || w.Info.Incarnation != 0 && w.Info.Incarnation != w.Incarnation
	if !mayHaveRestarted {
		return
	}
	for _, lost := range w.LostStarts(b.Now) {
		if _, isKnown := w.Runs[monitor.RunKey{Ref: lost.Ref, Number: lost.Number}]; !isKnown {
			l.AddRun(lost.Owner)
		}
	}
}

// addHiddenWorker adds a worker to the sets of those that may have unknown runs, and reports whether it is one of them. A
// worker that has replied to this holder lists all its runs and refuses further starts of former holders.
func (b *Bookkeeper) addHiddenWorker(l *limiter.Limiter, w *monitor.Worker) bool {
	if w.IsSynced {
		return false
	}
	confirmedAt := b.Claim.ConfirmedAt()
	isUnknown, isUnlisted := w.MayHaveUnknownRuns(confirmedAt), w.MayHaveUnlistedRuns(confirmedAt)
	if isUnknown {
		l.AddWorker(limiter.UnknownWorkers, w.Info.Capacity)
	}
	if isUnlisted {
		l.AddWorker(limiter.UnlistedWorkers, w.Info.Capacity)
	}
	return isUnknown || isUnlisted
}

// addHiddenRuns counts what the jobs of former holders may have running on workers that have not replied.
func (b *Bookkeeper) addHiddenRuns(l *limiter.Limiter) {
	for _, j := range b.Jobs {
		if !j.MayHaveUnknownRuns || !l.IsLimited(j.Spec.Workspace) {
			continue
		}
		on := limiter.UnknownWorkers
		if j.MayHaveUnlistedRuns {
			on = limiter.UnlistedWorkers
		}
		l.AddHidden(j.Spec.Workspace, on, b.hiddenRuns(j))
	}
	for id, e := range b.State.Jobs {
		if _, isUnfinished := b.Jobs[id]; isUnfinished || e.Job == nil || e.Progress.Outcome == journaler.OutcomeNone || e.Progress.HasNoRuns || !l.IsLimited(e.Job.Workspace) {
			continue
		}
		on := limiter.UnlistedWorkers
		if b.hasLastRuns(e.Progress) {
			on = limiter.UnknownWorkers
			b.addLastRuns(l, e)
		}
		l.AddHidden(e.Job.Workspace, on, runsAfterEnd(e))
	}
}

// hasLastRuns reports whether the progress of a job that has ended lists its runs on the workers that the roster names as
// closed. Only the holder that has written it rewrites it when another worker closes.
func (b *Bookkeeper) hasLastRuns(p journaler.Progress) bool {
	return p.ListsLastRuns && !p.HasUnlistedRuns && p.Epoch >= b.FormerRosterEpoch
}

// addLastRuns counts the runs of a job that has ended that its progress lists, on closed workers that have not replied.
func (b *Bookkeeper) addLastRuns(l *limiter.Limiter, e *journaler.Entry) {
	for _, s := range e.Progress.Steps {
		for _, r := range s.Closed {
			w, found := b.Workers[r.Worker]
			if found && !w.IsSynced && w.MayHaveUnlistedRuns(b.Claim.ConfirmedAt()) && s.Step >= 0 && s.Step < len(e.Job.Steps) {
				l.AddRun(e.Job.Owner(s.Step))
			}
		}
	}
}

// hiddenRuns returns an upper bound of what a job of a former holder may have running that is not known. A task has one run
// at a time, so that a task with a known run has no other, unless the step allows copies. The other tasks of a gang may
// go on for a while after one of them has completed it.
func (b *Bookkeeper) hiddenRuns(j *tasker.Job) limiter.Bound {
	var bound limiter.Bound
	steps := len(j.Spec.Steps) * j.Spec.Occurrences()
	if steps > maxBoundedSteps {
		bound.IsUnlimited = true
		return bound
	}
	for number := range steps {
		s := j.Step(number/len(j.Spec.Steps), number%len(j.Spec.Steps))
		switch {
		case s.Spec.Speculative:
			bound.Add(s.Spec, tasker.MaxRuns*s.Spec.Count)
		case s.Spec.Gang:
			bound.Add(s.Spec, s.Spec.Count)
		default:
			bound.Add(s.Spec, s.RemainingTasks-b.knownTasks(s))
		}
	}
	return bound
}

// knownTasks returns how many tasks of a step have a run on a worker that has replied, or had one. Former holders start no
// other run of such a task, as they can't learn any more that the run has ended.
func (b *Bookkeeper) knownTasks(s *tasker.Step) int {
	count := 0
	for _, t := range s.KeptTasks() {
		isKnown := t.WasListed || slices.ContainsFunc(t.Runs(), func(r *tasker.Run) bool {
			w, found := b.Workers[r.Worker]
			return found && w.IsSynced
		})
		if isKnown && !t.Done {
			count++
		}
	}
	return count
}

// IsCountedAfterEnd reports whether a job that has ended counts for a limit until it is known that none of its runs is left.
func (b *Bookkeeper) IsCountedAfterEnd(j *tasker.Job) bool {
	mayGoOn := func(s describer.Step) bool { return s.Speculative || s.Gang }
	return b.limits.IsLimited(j.Spec.Workspace) && (j.Outcome != journaler.OutcomeCompleted || slices.ContainsFunc(j.Spec.Steps, mayGoOn))
}

// HasNoRuns reports whether no run of a job is left: none that is known, none of former holders on workers that have not
// replied, and no start without a reply.
func (b *Bookkeeper) HasNoRuns(j *tasker.Job) bool {
	return len(j.Runs) == 0 && !slices.ContainsFunc(b.Ordered, func(w *monitor.Worker) bool {
		isHidden := j.MayHaveUnknownRuns && !w.IsSynced && w.MayHaveUnlistedRuns(b.Claim.ConfirmedAt())
		return isHidden || slices.ContainsFunc(w.LostStarts(b.Now), func(s monitor.LostStart) bool { return s.Ref.Job == j.Spec.ID })
	})
}

// runsAfterEnd returns an upper bound of what a job that has ended may have running. The tasks of one that was completed
// are done, apart from copies and gangs.
func runsAfterEnd(e *journaler.Entry) limiter.Bound {
	b := limiter.Bound{IsUnlimited: len(e.Job.Steps) == 0}
	for i := range e.Job.Steps {
		s := &e.Job.Steps[i]
		count := e.Job.Occurrences()
		switch {
		case s.Speculative:
			count *= tasker.MaxRuns
		case e.Progress.Outcome == journaler.OutcomeCompleted && !s.Gang:
			continue
		}
		b.Add(s, min(count*s.Count, describer.MaxTasks))
	}
	return b
}
