// Package reporter logs why work waits: jobs of which nothing runs, workspaces that have reached their limits, and jobs
// in excess of guaranteed rates. It bounds the rate of its log lines and decides nothing.
//
// # Usage
//
//	r := reporter.New(registrar)
//	r.ReportHeld(held, ledger)
//	r.ReportExcess(shares.ExcessSteps(), len(steps))
//	r.ReportIdle(reporter.Round{Ledger: ledger, Shares: shares, Requests: requests})
package reporter

import (
	"cmp"
	"slices"
	"time"

	"lentilrock.example/internal/container/sorter"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/limiter"
	"lentilrock.example/internal/fleet/registrar"
	"lentilrock.example/internal/fleet/requester"
	"lentilrock.example/internal/fleet/selector"
	"lentilrock.example/internal/fleet/sharer"
	"lentilrock.example/internal/fleet/summarizer"
	"lentilrock.example/internal/fleet/tasker"
)

const (
	// idleCheckInterval is how often the jobs are looked at for ones of which nothing runs.
	idleCheckInterval = time.Second
	// minIdleTime is how long a job has nothing running until that is logged.
	minIdleTime = 3 * time.Second
)

// idleJobs are the jobs that have a ready step and of which nothing runs, with the time since when.
type idleJobs struct {
	since     map[describer.JobID]time.Time
	checkedAt time.Time
}

// Round is what a round of placements knows apart from the registrar's state.
type Round struct {
	// HasUnknownRuns reports that a worker may have runs of former holders, and HasUnlistedRuns that one may have runs that
	// the persisted progress leaves out.
	HasUnknownRuns  bool
	HasUnlistedRuns bool
	Ledger          *limiter.Limiter
	Shares          *sharer.Sharer
	Requests        *requester.Requester
}

// Reporter limits how often each kind of log line is written.
type Reporter struct {
	*registrar.Registrar
	idle idleJobs
	// These are when the last log lines of each kind about limits were written.
	reachedLoggedAt, impossibleLoggedAt, excessLoggedAt time.Time
}

// New returns a reporter for the jobs of a registrar.
func New(r *registrar.Registrar) *Reporter { return &Reporter{Registrar: r} }

// ReportIdle logs the job that has had nothing running for the longest time although a step of it is ready, with what
// tells why. It logs one job at a time, as under load many of them wait.
func (r *Reporter) ReportIdle(round Round) {
	if r.Now.Sub(r.idle.checkedAt) < idleCheckInterval {
		return
	}
	r.idle.checkedAt = r.Now
	since := make(map[describer.JobID]time.Time)
	for id, j := range r.Jobs {
		if isRunning(j) || j.FirstReady(r.Now) == nil {
			continue
		}
		if since[id] = r.idle.since[id]; since[id].IsZero() {
			since[id] = r.Now
		}
	}
	r.idle.since = since
	if len(since) == 0 {
		return
	}
	longest := slices.MinFunc(sorter.Keys(since), func(a, b describer.JobID) int { return cmp.Or(since[a].Compare(since[b]), cmp.Compare(a, b)) })
	idleTime := r.Now.Sub(since[longest])
	if idleTime < minIdleTime {
		return
	}
	j := r.Jobs[longest]
	s := j.FirstReady(r.Now)
	mayHaveRuns := round.HasUnknownRuns && j.MayHaveUnknownRuns || round.HasUnlistedRuns && j.MayHaveUnlistedRuns
	fields := []any{
		"step", s.Ref().String(), "idle_time", idleTime, "idle_jobs", len(since), "remaining_tasks", s.RemainingTasks,
		"waiting_tasks", s.WaitingTasks(r.Now), "unresolved_runs", len(j.Runs), "may_have_unknown_runs", mayHaveRuns,
	}
	if name := j.Spec.Workspace; name != "" {
		fields = append(fields, "workspace", name, "is_over_limit", !round.Ledger.MayStart(name, limiter.NeedAtOnce(s.Spec), 1), "is_in_excess", round.Shares.IsInExcess(j.Spec))
	}
	r.Report("Nothing of a job runs although a step of it is ready.", append(fields, r.roomFor(s, round.Requests)...)...)
}

// isRunning reports whether a worker has confirmed a run of a job that is not being stopped.
func isRunning(j *tasker.Job) bool {
	for r := range j.Runs {
		if !r.Stopping && !r.ConfirmedAt.IsZero() {
			return true
		}
	}
	return false
}

// roomFor returns the fields of a log line that tell where a task of a step could start.
func (r *Reporter) roomFor(s *tasker.Step, requests *requester.Requester) []any {
	accepting, fitting, ineligible, ticketed := 0, 0, 0, 0
	for _, w := range r.Ordered {
		if !w.AcceptsTasks(r.Now) || !selector.Matches(s, w) {
			continue
		}
		accepting++
		if !s.Spec.Charge().Fits(w.FreeCapacityFor(s, r.Now)) {
			continue
		}
		fitting++
		if s.Advice.IsIneligible(w.Info.ID) {
			ineligible++
		}
		if _, isValid := s.Advice.Ticket(w.Info.ID, w.Incarnation, r.Now); isValid {
			ticketed++
		}
	}
	fields := []any{"accepting_workers", accepting, "with_room", fitting}
	if count, last := summarizer.Confined(s, r.Now); count > 0 {
		fields = append(fields, "confined_tasks", count, "confined_to", last.Worker, "confined_until", last.Until)
	}
	if !s.Job.Queue.NeedsAdvice() {
		return fields
	}
	fields = append(fields, "with_room_ineligible", ineligible, "with_room_ticketed", ticketed, "advice_requests", requests.Pending())
	if at := s.Advice.QueriedAt(); !at.IsZero() {
		fields = append(fields, "advice_requested_before", r.Now.Sub(at))
	}
	return fields
}
