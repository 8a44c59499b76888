package placer

import (
	"lentilrock.example/internal/fleet/chooser"
	"lentilrock.example/internal/fleet/minder"
	"lentilrock.example/internal/fleet/tasker"
)

// maxCopies bounds the runs of a task side by side.
const maxCopies = 2

// placeCopies starts copies of slow tasks, and of tasks at workers that do not answer, where
// the step allows them and room is left over.
func (p *Placer) placeCopies() {
	for _, s := range tasker.Speculative(p.Jobs, p.Now) {
		candidates := p.candidates(s)
		for _, t := range s.Tasks {
			if !p.deservesCopy(t) {
				continue
			}
			w, ticket := p.chooser.Best(t, candidates, chooser.Plan{}, p.Now)
			if w == nil {
				break
			}
			p.Report("A copy of a task starts.", "task", t.Ref().String(), "slow", t.Run.Worker, "worker", w.Info.ID)
			p.start(t, w, ticket, t.NextRun(p.Options.Epoch))
		}
	}
}

// deservesCopy reports whether a second run of a task is likely to end before the first.
func (p *Placer) deservesCopy(t *tasker.Task) bool {
	if t.Done || t.Run == nil || t.Copies() >= maxCopies {
		return false
	}
	w, found := p.Workers[t.Run.Worker]
	isSilent := found && w.IsFailing && p.Now.Sub(w.AnsweredAt) > minder.SilentAfter
	return isSilent || t.IsSlow(p.Now)
}
