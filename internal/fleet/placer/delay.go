package placer

import (
	"time"

	"lentilrock.example/internal/container/clamper"
	"lentilrock.example/internal/fleet/delayer"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/monitor"
	"lentilrock.example/internal/fleet/selector"
	"lentilrock.example/internal/fleet/tasker"
)

const (
	// maxDelayed bounds the tasks of a step that are delayed in a round.
	maxDelayed = 16
	// adviceTransfer is the time that an answer to a request for advice takes apart from the decision.
	adviceTransfer = 50 * time.Millisecond
	// delayLogPause is the time between two log lines on delays.
	delayLogPause = time.Second
)

// isDelayed reports whether a task that could start on a worker waits for the rack of its data instead.
func (p *Placer) isDelayed(s *tasker.Step, w *monitor.Worker) bool {
	rack := s.Spec.DataRack
	if rack == "" || w.Info.Rack == rack || s.Spec.LongRunning {
		return false
	}
	workers := p.usable(s, rack)
	if len(workers) == 0 || selector.HasPlaceForOne(s, workers, p.Now) {
		// With a place on the rack, the remote worker was preferred: the local one is slow, or the task failed there.
		return false
	}
	at := place{s.Job.Queue.Service, rack}
	line := p.round.line(at, p.Now)
	// Only a part of what the rack frees is on workers that the step may use.
	part := float64(len(workers)) / float64(len(p.round.racks[at]))
	least := clamper.Scale(line.Refill(s.Spec), 1/part)
	if s.Job.Queue.NeedsAdvice() && selector.HasRoomForOne(s, workers, p.Now) {
		// Only the advice is missing.
		least = s.Job.Queue.Advice.Decide + adviceTransfer
	}
	wait := max(clamper.Scale(line.Wait(s.Spec, 1), 1/part), least)
	if !p.delays(s, wait) {
		return false
	}
	line.Join(s.Spec, 1)
	return true
}

// gangCandidates returns the workers for a gang: those of one rack if they have room and the gang wants one rack. It
// reports whether the gang waits for room on a rack.
func (p *Placer) gangCandidates(s *tasker.Step, candidates []*monitor.Worker) (chosen []*monitor.Worker, isDelayed bool) {
	if !s.Spec.SameRack || s.Spec.LongRunning {
		return candidates, false
	}
	racks, preferred := make(map[string][]*monitor.Worker), s.Spec.DataRack
	for _, w := range candidates {
		racks[w.Info.Rack] = append(racks[w.Info.Rack], w)
	}
	confinedTo, isConfined := selector.ConfinedRack(s, candidates, p.Now)
	if isConfined {
		preferred = confinedTo
	}
	for _, w := range candidates {
		// Each rack is looked at once, at its first worker.
		if workers := racks[w.Info.Rack]; workers[0] == w && selector.HasRoom(s, workers, p.Now) {
			if chosen == nil || w.Info.Rack == preferred {
				chosen = workers
			}
		}
	}
	// A gang whose member is confined to a rack without room for all is spread.
	if isConfined && (chosen == nil || chosen[0].Info.Rack != preferred) {
		return candidates, false
	}
	if chosen != nil || !selector.HasRoom(s, candidates, p.Now) {
		if chosen == nil {
			chosen = candidates
		}
		return chosen, false
	}
	best, least := "", time.Duration(0)
	for rack, workers := range racks {
		var capacity describer.Resources
		for _, w := range workers {
			capacity = capacity.Plus(w.Info.Capacity)
		}
		if !s.Spec.Charge().Times(s.Spec.Count).Fits(capacity) {
			continue
		}
		line := p.round.line(place{s.Job.Queue.Service, rack}, p.Now)
		wait := max(line.Wait(s.Spec, s.Spec.Count), line.Refill(s.Spec))
		if best == "" || wait < least || wait == least && rack < best {
			best, least = rack, wait
		}
	}
	if best == "" || !p.delays(s, least) {
		return candidates, false
	}
	p.round.line(place{s.Job.Queue.Service, best}, p.Now).Join(s.Spec, s.Spec.Count)
	return nil, true
}

// delays reports whether a step waits for a rack on which room is expected after a time, and counts and reports it.
func (p *Placer) delays(s *tasker.Step, wait time.Duration) bool {
	duration, _ := p.Estimator.Expected(s.Job.Queue.Name, s.Spec.Image, s.Spec.Estimate)
	saving := delayer.Saving(duration, p.selector.RemoteFactor)
	isNew := !p.delayer.IsWaiting(s)
	if !p.delayer.ShouldWait(s, wait, saving, p.Now) {
		return false
	}
	if isNew {
		p.Options.Count("steps_delayed")
	}
	if p.Now.Sub(p.delayedAt) >= delayLogPause {
		p.delayedAt = p.Now
		p.Report("A step waits for a rack.", "step", s.Ref().String(), "rack", s.Spec.DataRack, "expected", wait.String(), "saves", saving.String())
	}
	return true
}

// usable returns the workers of a rack on which tasks of a step may start when there is room.
func (p *Placer) usable(s *tasker.Step, rack string) []*monitor.Worker {
	var workers []*monitor.Worker
	for _, w := range p.round.racks[place{s.Job.Queue.Service, rack}] {
		if w.AcceptsTasks(p.Now) && selector.Matches(s, w) && !s.Advice.IsIneligible(w.Info.ID) && s.Spec.Charge().Fits(w.Info.Capacity) {
			workers = append(workers, w)
		}
	}
	return workers
}

// line returns the line for room at a place.
func (r *round) line(at place, now time.Time) *delayer.Line {
	if l, found := r.lines[at]; found {
		return l
	}
	r.lines[at] = delayer.LineOf(r.racks[at], now)
	return r.lines[at]
}
