// Package evacuator takes machines down for the waves of upkeep that operators ask for: a few
// at a time, after what runs there had time to end or was stopped, and never so that a step
// misses more of its tasks than it may.
//
// # Usage
//
//	e := evacuator.New(r, settler)
//	e.SetWave(now, wave)
//	e.SetMachines(now, machines)
//	e.Tick(now)
//	e.Answered(now, order, verdict)
package evacuator

import (
	"cmp"
	"slices"
	"time"

	"lentilrock.example/internal/container/sorter"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/minder"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/fleet/registrar"
	"lentilrock.example/internal/fleet/settler"
	"lentilrock.example/internal/fleet/tasker"
)

const (
	// formerHolderTime is how long a former holder's orders about machines may still be under
	// way; the platform lets no two holders take turns within it.
	formerHolderTime = 3 * time.Second
	// retryPause is the pause before an order without an answer, or one that was refused, is
	// sent again.
	retryPause = time.Second
	// waveShare of a wave's time is planned for; the rest is kept for what goes wrong.
	waveShare = 0.75
	// upkeepTime is about how long a machine is down.
	upkeepTime = 3 * time.Second
	// maxPatience bounds how long what runs on a machine may take to end.
	maxPatience = 20 * time.Second
)

// Evacuator takes machines down.
type Evacuator struct {
	*registrar.Registrar
	settler  *settler.Settler
	waves    map[int64]*wave
	machines map[string]describer.Machine
	// listedAt is when the newest list of the machines was asked for; zero before the first.
	listedAt time.Time
}

// wave is a wave with how far it is.
type wave struct {
	describer.Wave
	// done are the machines whose upkeep has begun; beganAt has when this holder heard so.
	done    map[string]bool
	beganAt map[string]time.Time
	// leaving are the machines that get nothing new, since when.
	leaving map[string]time.Time
	// ordered are the machines whose order is open, since when.
	ordered map[string]time.Time
	// reported is the newest report that was ordered, nil before the first.
	reported *orderer.WaveReport
}

// New returns an evacuator without waves.
func New(r *registrar.Registrar, s *settler.Settler) *Evacuator {
	return &Evacuator{Registrar: r, settler: s, waves: make(map[int64]*wave)}
}

// SetWave takes in a wave. One that is known stays as it is.
func (e *Evacuator) SetWave(now time.Time, asked describer.Wave) {
	if e.waves[asked.Number] != nil {
		return
	}
	w := &wave{
		Wave: asked, done: make(map[string]bool), beganAt: make(map[string]time.Time),
		leaving: make(map[string]time.Time), ordered: make(map[string]time.Time),
	}
	for _, id := range e.State.Waves[asked.Number].Done {
		w.done[id] = true
	}
	e.waves[asked.Number] = w
}

// HasOpenWaves reports whether the list of machines is needed.
func (e *Evacuator) HasOpenWaves() bool {
	for _, w := range e.waves {
		if !w.isReportedCompleted() {
			return true
		}
	}
	return false
}

func (w *wave) isReportedCompleted() bool { return w.reported != nil && w.reported.IsCompleted }

// SetMachines takes in the list of all machines, which was asked for at askedAt.
func (e *Evacuator) SetMachines(askedAt time.Time, machines []describer.Machine) {
	e.listedAt = askedAt
	e.machines = make(map[string]describer.Machine, len(machines))
	for _, m := range machines {
		e.machines[m.ID] = m
	}
}

// Tick does what is due for the waves.
func (e *Evacuator) Tick(now time.Time) {
	e.Now = now
	e.moveOff()
	if e.listedAt.IsZero() || now.Sub(e.ClaimedAt) < formerHolderTime {
		return
	}
	for _, number := range sorter.Keys(e.waves) {
		e.tickWave(e.waves[number])
	}
}

// moveOff stops the lasting tasks at drained workers, so that they start elsewhere: of each
// step as many at a time as may be missed, one where it does not say.
func (e *Evacuator) moveOff() {
	for _, w := range e.Ordered {
		if !w.IsDrained {
			continue
		}
		for _, r := range w.Runs {
			if r.Stopping || r.Task == nil || !r.Task.Step.Spec.LongRunning {
				continue
			}
			if step := r.Task.Step; step.Away("", e.isGoing) < max(step.Spec.MayMiss, 1) {
				e.settler.Stop(r)
			}
		}
	}
}

func (e *Evacuator) tickWave(w *wave) {
	if w.isReportedCompleted() {
		return
	}
	e.choose(w)
	for _, id := range sorter.Keys(w.leaving) {
		e.evacuate(w, id)
	}
	e.report(w)
}

// isOpen reports whether a machine of a wave still needs its upkeep.
func (e *Evacuator) isOpen(w *wave, id string) bool {
	_, isThere := e.machines[id]
	return isThere && !w.done[id]
}

// choose picks the machines that leave next: those by which least is lost.
func (e *Evacuator) choose(w *wave) {
	free := max(w.MaxDown, 1) - e.down(w) - len(w.leaving)
	var candidates []string
	for _, id := range w.Machines {
		_, isLeaving := w.leaving[id]
		if e.isOpen(w, id) && !isLeaving && e.machines[id].State == describer.MachineUp {
			candidates = append(candidates, id)
		}
	}
	slices.SortStableFunc(candidates, func(a, b string) int { return cmp.Compare(e.load(a), e.load(b)) })
	for _, id := range candidates[:max(min(free, len(candidates)), 0)] {
		w.leaving[id] = e.Now
		if worker := e.workerOf(id); worker != nil {
			worker.IsLeaving = true
		}
		e.Report("A machine is emptied for its upkeep.", "machine", id, "wave", w.Number)
	}
}

// down counts the machines of a wave that are down for it, or may be.
func (e *Evacuator) down(w *wave) int {
	count := 0
	for _, id := range w.Machines {
		_, isOrdered := w.ordered[id]
		_, isLeaving := w.leaving[id]
		// A list that was asked for before the upkeep began shows the machine as it was.
		isListOld := !w.beganAt[id].IsZero() && !e.listedAt.After(w.beganAt[id])
		isDown := e.machines[id].State == describer.MachineInUpkeep || isListOld
		if !isLeaving && (isOrdered || isDown) {
			count++
		}
	}
	return count
}

// workerOf returns the present life of a machine, or nil.
func (e *Evacuator) workerOf(id string) *minder.Worker {
	return e.Workers[e.machines[id].Worker]
}

// load is how much processor time is taken on a machine, in thousandths of a core.
func (e *Evacuator) load(id string) int64 {
	if w := e.workerOf(id); w != nil {
		return w.Used.MilliCPU
	}
	return 0
}

// patience is how long what runs on a machine of a wave may take to end.
func (w *wave) patience() time.Duration {
	rounds := (len(w.Machines) + max(w.MaxDown, 1) - 1) / max(w.MaxDown, 1)
	each := time.Duration(waveShare*float64(w.Duration))/time.Duration(max(rounds, 1)) - upkeepTime
	return min(max(each, 0), maxPatience)
}

// evacuate orders the upkeep of a machine once what runs there has ended, and stops what
// takes too long.
func (e *Evacuator) evacuate(w *wave, id string) {
	if !e.isOpen(w, id) {
		e.keep(w, id)
		return
	}
	if sent, isOrdered := w.ordered[id]; isOrdered && e.Now.Sub(sent) < retryPause {
		return
	}
	worker := e.workerOf(id)
	if worker != nil && !e.isEmptied(w, id, worker) {
		return
	}
	w.ordered[id] = e.Now
	e.Order(orderer.Upkeep{Machine: id, Wave: w.Number, Host: e.Options.Host, Token: e.Options.Epoch})
}

// isEmptied reports whether a worker runs nothing but lasting tasks that may be missed.
func (e *Evacuator) isEmptied(w *wave, id string, worker *minder.Worker) bool {
	isOver := e.Now.Sub(w.leaving[id]) >= w.patience()
	isEmpty := true
	lasting := make(map[*tasker.Step]int)
	for _, r := range worker.Runs {
		switch {
		case r.Task != nil && r.Task.Step.Spec.LongRunning:
			lasting[r.Task.Step]++
		case isOver || r.Task != nil && r.Task.Step.Spec.Checkpoints:
			e.settler.Stop(r)
			isEmpty = false
		default:
			isEmpty = false
		}
	}
	for step, count := range lasting {
		if allowed := step.Spec.MayMiss; allowed > 0 && step.Away(worker.Info.ID, e.isGoing)+count > allowed {
			return false
		}
	}
	return isEmpty
}

// isGoing reports whether a worker's machine was ordered down, or may have been.
func (e *Evacuator) isGoing(worker string) bool {
	for _, w := range e.waves {
		for id := range w.ordered {
			if e.machines[id].Worker == worker {
				return true
			}
		}
	}
	return false
}

// keep lets a machine work on.
func (e *Evacuator) keep(w *wave, id string) {
	delete(w.leaving, id)
	if worker := e.workerOf(id); worker != nil {
		worker.IsLeaving = false
	}
}

// Answered takes in what became of an order. One that is open is repeated as it was, and
// counts as carried out until then.
func (e *Evacuator) Answered(now time.Time, order orderer.Upkeep, verdict orderer.DutyVerdict) {
	e.Now = now
	w, found := e.waves[order.Wave]
	if !found {
		return
	}
	e.Report("The upkeep of a machine was ordered.", "machine", order.Machine, "wave", order.Wave, "verdict", verdict.String())
	switch verdict {
	case orderer.DutyDone:
		e.began(w, order.Machine)
	case orderer.DutyFenced:
		e.IsFenced = true
	case orderer.DutyBusy:
		delete(w.ordered, order.Machine)
		e.keep(w, order.Machine)
	case orderer.DutyInvalid:
		delete(w.ordered, order.Machine)
		w.done[order.Machine] = true
		e.keep(w, order.Machine)
	}
}

// began notes that a machine is down: nothing runs there any more.
func (e *Evacuator) began(w *wave, id string) {
	worker := e.workerOf(id)
	w.done[id], w.beganAt[id] = true, e.Now
	delete(w.ordered, id)
	delete(w.leaving, id)
	if worker != nil {
		for _, r := range worker.Runs {
			e.settler.Settle(r)
		}
		worker.Lease.LapseAt = time.Time{}
	}
	e.Saver.WaveChanged(journaler.WaveProgress{Number: w.Number, Done: sorter.Keys(w.done)})
}

// report orders a report where the operators should hear something new.
func (e *Evacuator) report(w *wave) {
	isCompleted := !slices.ContainsFunc(w.Machines, func(id string) bool { return e.isOpen(w, id) })
	next := orderer.WaveReport{Wave: w.Number, IsCompleted: isCompleted}
	if w.reported == nil || *w.reported != next {
		w.reported = &next
		e.Order(next)
	}
}

// ReportFailed has a report ordered again that the store did not take.
func (e *Evacuator) ReportFailed(report orderer.WaveReport) {
	if w, found := e.waves[report.Wave]; found {
		w.reported = nil
	}
}
