package placer

import (
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/limiter"
	"lentilrock.example/internal/fleet/sharer"
	"lentilrock.example/internal/fleet/tasker"
)

// WorkspacesChanged applies the workspaces of a new configuration.
func (p *Placer) WorkspacesChanged() {
	if p.shares.SetWorkspaces(p.Workspaces) {
		// A new holder reads the log before it is configured, and has to find the same jobs in excess as the former one.
		for _, entry := range p.State.Jobs {
			if entry.Job != nil {
				p.JobRead(entry.Job)
			}
		}
	}
	p.bookkeeper.WorkspacesChanged()
}

// JobRead adds a job of the log to those that count for the rate of its workspace. It may have ended.
func (p *Placer) JobRead(j *describer.Job) { p.shares.AddJob(j, p.Now) }

// Shares returns the order of the workspaces. Callers must not change it.
func (p *Placer) Shares() *sharer.Sharer { return p.shares }

// LastLedger returns what the workspaces with a limit may have had running after the last round; nil if there was none,
// or no limit.
func (p *Placer) LastLedger() *limiter.Limiter {
	if p.round == nil {
		return nil
	}
	return p.round.limits
}

// byShare orders the steps of a round by the shares of their workspaces, as many as are offered in one.
func (p *Placer) byShare(steps []*tasker.Step) []*tasker.Step {
	if len(p.Workspaces) == 0 {
		return steps
	}
	p.shares.Reset()
	var capacity describer.Resources
	for _, w := range p.Ordered {
		if w.IsListed {
			capacity = capacity.Plus(w.Info.Capacity)
		}
		for _, r := range w.Runs {
			p.shares.AddRun(r.Owner.Workspace, r.Charge)
		}
	}
	steps = p.shares.Order(steps, capacity, maxOffered, p.Now)
	p.reporter.ReportExcess(p.shares.ExcessSteps(), len(steps))
	return steps
}
