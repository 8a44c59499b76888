// Package summarizer computes for operators what each workspace has running and waiting, and whether a limit, a share or
// the guaranteed rate holds back a job. It reads the state of the holder (the host whose claim made it the leader), and
// decides nothing.
//
// # Usage
//
//	s := summarizer.New(registrar, shares, ledger, now)
//	for _, usage := range s.Workspaces() {
//		...
//	}
//	hold := s.HoldOf(job)
package summarizer

import (
	"time"

	"lentilrock.example/internal/container/sorter"
	"lentilrock.example/internal/fleet/confiner"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/limiter"
	"lentilrock.example/internal/fleet/registrar"
	"lentilrock.example/internal/fleet/sharer"
	"lentilrock.example/internal/fleet/tasker"
)

// Usage is what a workspace, or the jobs without one, have running and waiting.
type Usage struct {
	// Workspace is empty for the jobs without a workspace.
	Workspace string
	// IsConfigured reports that the configuration has the workspace. If it has not, its jobs share the weight of those
	// without a workspace, and have no limit.
	IsConfigured bool
	// Running is what the runs that may be active need. Runs of unknown jobs need what their worker holds.
	Running describer.Resources
	// Counted is what counted for the limit in the last round of placement: Running, and upper bounds of runs that are
	// not known. It is zero without a limit.
	Counted describer.Resources
	Limit   describer.Resources
	// Weight is 0 if there are no workspaces, or if the workspace is not configured.
	Weight float64
	// Share is the part of the cell's dominant resource that its runs take, and FairShare the part that it gets at least
	// while all workspaces that run or wait want more. FairShare is 0 if Weight is.
	Share, FairShare float64
	// WaitingJobs counts the jobs with tasks that may start, of which ExcessJobs exceed the guaranteed rate, and
	// WaitingTasks these tasks.
	WaitingJobs, WaitingTasks, ExcessJobs int
	// WorstWait is the longest time since a job that waits was received or, if it is scheduled, was due.
	// Long-running jobs that have begun count from when placing a task failed.
	WorstWait time.Duration
}

// isActive reports whether the workspace takes part in the division of the cell.
func (u *Usage) isActive() bool { return u.Running != (describer.Resources{}) || u.WaitingJobs > 0 }

// Hold is what holds back a job.
type Hold struct {
	// Usage is that of its workspace.
	Usage Usage
	// Waiting are the steps with tasks that may start.
	Waiting []*tasker.Step
	// Limited is the first of these that the limit holds back; nil if there is none. IsImpossible reports that it
	// can never start within the limit.
	Limited      *tasker.Step
	IsImpossible bool
	// IsInExcess reports that the job exceeds the guaranteed rate of its workspace.
	IsInExcess bool
}

// Summarizer reads the state of a holder at a time.
type Summarizer struct {
	registrar *registrar.Registrar
	shares    *sharer.Sharer
	ledger    *limiter.Limiter
	now       time.Time
}

// New returns a summarizer of a state. The ledger is that of the last round; nil if no workspace has a limit.
func New(r *registrar.Registrar, shares *sharer.Sharer, ledger *limiter.Limiter, now time.Time) *Summarizer {
	return &Summarizer{registrar: r, shares: shares, ledger: ledger, now: now}
}

// Workspaces returns the usage of all workspaces that are configured, run or wait, by name. The jobs without a workspace
// come first, if there are any.
func (s *Summarizer) Workspaces() []Usage {
	byName := make(map[string]*Usage, len(s.registrar.Workspaces))
	for name := range s.registrar.Workspaces {
		s.usageOf(byName, name)
	}
	s.addRuns(byName)
	for _, j := range s.registrar.Jobs {
		s.addJob(byName, j)
	}
	s.setFairShares(byName)
	usages := make([]Usage, 0, len(byName))
	for _, name := range sorter.Keys(byName) {
		usages = append(usages, *byName[name])
	}
	return usages
}

// usageOf returns the usage of a workspace, which it adds if it is missing.
func (s *Summarizer) usageOf(byName map[string]*Usage, name string) *Usage {
	u, found := byName[name]
	if !found {
		w, isConfigured := s.registrar.Workspaces[name]
		u = &Usage{Workspace: name, IsConfigured: isConfigured, Limit: w.Limit, Counted: s.ledger.Used(name)}
		if len(s.registrar.Workspaces) > 0 && (isConfigured || name == "") {
			u.Weight = s.shares.Weight(name)
		}
		byName[name] = u
	}
	return u
}

// addRuns adds the runs on all workers, and the shares that they take. Runs of unknown jobs count with the jobs without a
// workspace.
func (s *Summarizer) addRuns(byName map[string]*Usage) {
	charges := make(map[string]describer.Resources)
	var capacity describer.Resources
	for _, w := range s.registrar.Ordered {
		if w.IsListed {
			capacity = capacity.Plus(w.Info.Capacity)
		}
		for _, r := range w.Runs {
			u := s.usageOf(byName, r.Owner.Workspace)
			u.Running = u.Running.Plus(r.Owner.Need)
			charges[u.Workspace] = charges[u.Workspace].Plus(r.Charge)
		}
	}
	for name, charge := range charges {
		byName[name].Share = sharer.DominantPart(charge, capacity)
	}
}

// addJob adds what a job has waiting.
func (s *Summarizer) addJob(byName map[string]*Usage, j *tasker.Job) {
	steps := j.WaitingSteps(s.now)
	if len(steps) == 0 {
		return
	}
	u := s.usageOf(byName, j.Spec.Workspace)
	u.WaitingJobs++
	if s.isInExcess(j) {
		u.ExcessJobs++
	}
	for _, step := range steps {
		u.WaitingTasks += step.WaitingTasks(s.now)
		u.WorstWait = max(u.WorstWait, s.waitOf(step))
	}
}

// waitOf returns how long a step that waits has been waiting, as Usage.WorstWait defines it.
func (s *Summarizer) waitOf(step *tasker.Step) time.Duration {
	since := step.Job.Spec.Received
	if due := step.Job.Spec.Due(step.Occurrence); due.After(since) {
		since = due
	}
	if step.Spec.LongRunning && step.Job.Begun {
		since = s.now
		for _, t := range step.KeptTasks() {
			if t.IsWaiting(s.now) && !t.UnplacedSince.IsZero() && t.UnplacedSince.Before(since) {
				since = t.UnplacedSince
			}
		}
	}
	return s.now.Sub(since)
}

// setFairShares divides the cell among the workspaces that run or wait. Those that are not configured have no weight of
// their own and count with the jobs without a workspace.
func (s *Summarizer) setFairShares(byName map[string]*Usage) {
	sum, hasRest := 0.0, false
	for name, u := range byName {
		switch {
		case !u.isActive():
		case name == "" || !u.IsConfigured:
			hasRest = true
		default:
			sum += u.Weight
		}
	}
	rest := s.shares.Weight("")
	if hasRest {
		sum += rest
	}
	for _, u := range byName {
		switch {
		case u.Weight == 0:
		case u.isActive():
			u.FairShare = u.Weight / sum
		default:
			u.FairShare = u.Weight / (sum + u.Weight)
		}
	}
}

// isInExcess reports whether a job exceeds the guaranteed rate of its workspace. Without workspaces there is none.
func (s *Summarizer) isInExcess(j *tasker.Job) bool {
	return len(s.registrar.Workspaces) > 0 && s.shares.IsInExcess(j.Spec)
}

// HoldOf returns what holds back a job.
func (s *Summarizer) HoldOf(j *tasker.Job) Hold {
	h := Hold{Waiting: j.WaitingSteps(s.now), IsInExcess: s.isInExcess(j), Usage: Usage{Workspace: j.Spec.Workspace}}
	for _, u := range s.Workspaces() {
		if u.Workspace == j.Spec.Workspace {
			h.Usage = u
		}
	}
	for _, step := range h.Waiting {
		need := limiter.NeedAtOnce(step.Spec)
		if !s.ledger.MayStart(j.Spec.Workspace, need, 1) {
			h.Limited, h.IsImpossible = step, !need.Within(h.Usage.Limit)
			break
		}
	}
	return h
}

// Confined returns how many of the tasks of a step that may be started wait for workers that may still carry out earlier starts
// of them, and which of these starts may be carried out for longest.
func Confined(step *tasker.Step, now time.Time) (count int, last confiner.Start) {
	for _, t := range step.KeptTasks() {
		start, isPending := t.Confiner.Last(now)
		if !isPending || !t.IsWaiting(now) {
			continue
		}
		if count++; start.Until.After(last.Until) {
			last = start
		}
	}
	return count, last
}
