// Package evacuator carries out the waves of upkeep, that is rolling maintenance, which
// operators request. It takes a limited number of machines down at a time, after the runs on
// them have ended or were stopped, and never takes more tasks of a step down than the step
// allows. It also moves tasks off workers that operators have drained, and off ones that drain
// before they leave.
//
// It works for the claim holder, the leader of the cell. Orders of a former holder may still be in
// flight.
//
// # Usage
//
//	e := evacuator.New(r, reconciler)
//	e.SetWave(now, wave)
//	e.SetMachines(requestedAt, machines)
//	e.Tick(now)
//	e.UpkeepAnswered(now, order, verdict)
package evacuator

import (
	"cmp"
	"slices"
	"time"

	"lentilrock.example/internal/container/clamper"
	"lentilrock.example/internal/container/sorter"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/monitor"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/fleet/reconciler"
	"lentilrock.example/internal/fleet/registrar"
	"lentilrock.example/internal/fleet/tasker"
)

const (
	// formerHolderGrace is how long after the claim orders of a former holder about machines
	// may still be in flight. Within this time the platform does not accept orders from two
	// holders alternately.
	formerHolderGrace = 3 * time.Second
	// retryPause is the pause before an order that was refused or had no reply is sent again.
	retryPause = time.Second
	// plannedShare is the share of a wave's duration that drain times are planned for. The rest
	// is reserved for failures and delays.
	plannedShare = 0.75
	// machineDowntime is the approximate time that a machine is down for its upkeep.
	machineDowntime = 3 * time.Second
	// maxDrainTime limits how long the runs on a machine may take to end before they are
	// stopped.
	maxDrainTime = 20 * time.Second
)

// Evacuator evacuates machines and takes them down.
type Evacuator struct {
	*registrar.Registrar
	reconciler *reconciler.Reconciler
	waves      map[int64]*wave
	machines   map[string]describer.Machine
	// listedAt is when the current list of machines was requested; zero before the first list.
	listedAt time.Time
	// missingSince are the machines of waves that the current list omits, with the time when the first list
	// without them was requested.
	missingSince map[string]time.Time
	// lastWorkers are the workers of all machines in the newest lists that have them.
	lastWorkers map[string]string
	// departures are the workers of machines whose upkeep has started and for which no later list was read yet, by worker.
	departures map[string]departure
}

// departure is a worker of a machine whose upkeep has started. The worker may be one that
// has joined since, as an order is confirmed again when it is repeated.
type departure struct {
	machine     string
	incarnation int64
	confirmedAt time.Time
}

// openOrder is an order for the upkeep of a machine whose outcome is not known.
type openOrder struct {
	sentAt time.Time
	// lateUntil is until when a sending without a reply may still be carried out; zero if there is none.
	lateUntil time.Time
	// workers are the incarnations of the workers that the machine had when the order was sent, by worker. Each of them may
	// be the one that it has ended: a list names the next worker before the order has a reply.
	workers map[string]int64
}

// wave is a wave of upkeep and its progress. The keys of its maps are IDs of machines.
type wave struct {
	describer.Wave
	// done are the machines that no longer need an order: their upkeep has started, or the
	// platform has refused the order as invalid. startedAt is when this holder was told that an
	// upkeep had started.
	done      map[string]bool
	startedAt map[string]time.Time
	// evacuatingSince are the machines that are being evacuated, with the start of the
	// evacuation.
	evacuatingSince map[string]time.Time
	// orders are the machines with an open order.
	orders map[string]openOrder
	// lastReport is the last report that was ordered; nil if none was or the last one failed.
	lastReport *orderer.WaveReport
	// reportFailedAt is when the last report failed; zero if none did.
	reportFailedAt time.Time
}

// New returns an evacuator without waves.
func New(r *registrar.Registrar, s *reconciler.Reconciler) *Evacuator {
	return &Evacuator{
		Registrar: r, reconciler: s, waves: make(map[int64]*wave), departures: make(map[string]departure),
		missingSince: make(map[string]time.Time), lastWorkers: make(map[string]string),
	}
}

// SetWave adds a wave with the progress that is persisted for it. A wave with a known number is
// ignored.
func (e *Evacuator) SetWave(now time.Time, spec describer.Wave) {
	if e.waves[spec.Number] != nil {
		return
	}
	w := &wave{
		Wave: spec, done: make(map[string]bool), startedAt: make(map[string]time.Time),
		evacuatingSince: make(map[string]time.Time), orders: make(map[string]openOrder),
	}
	for _, id := range e.State.Waves[spec.Number].Done {
		w.done[id] = true
	}
	e.waves[spec.Number] = w
}

// HasOpenWaves reports whether a wave is not reported as completed yet, or its last machines have just
// been taken down, so that SetMachines has to be called.
func (e *Evacuator) HasOpenWaves() bool {
	if len(e.departures) > 0 {
		return true
	}
	for _, w := range e.waves {
		if !w.isReportedCompleted() {
			return true
		}
	}
	return false
}

func (w *wave) isReportedCompleted() bool { return w.lastReport != nil && w.lastReport.IsCompleted }

// SetMachines applies the list of all machines, which was requested at requestedAt.
func (e *Evacuator) SetMachines(requestedAt time.Time, machines []describer.Machine) {
	e.listedAt = requestedAt
	e.machines = make(map[string]describer.Machine, len(machines))
	for _, m := range machines {
		e.machines[m.ID] = m
		e.lastWorkers[m.ID] = m.Worker
	}
	e.recordMissing()
	e.resolveDepartures()
}

// recordMissing records which machines of waves the current list omits.
func (e *Evacuator) recordMissing() {
	for _, w := range e.waves {
		for _, id := range w.Machines {
			if _, isListed := e.machines[id]; isListed {
				delete(e.missingSince, id)
			} else if e.missingSince[id].IsZero() {
				e.missingSince[id] = e.listedAt
			}
		}
	}
}

// isGone reports whether a machine seems to be gone: two lists in a row omit it. A list is read in pages, so
// a single one may omit a machine that exists. Only the platform's refusal of its upkeep shows that it no longer exists.
func (e *Evacuator) isGone(id string) bool {
	since, isMissing := e.missingSince[id]
	return isMissing && e.listedAt.After(since)
}

// hasEnded reports whether a machine shows that its upkeep has ended the worker: it is in upkeep or moving, or a later
// worker is up on it.
func (d departure) hasEnded(worker string, machine describer.Machine) bool {
	switch machine.State {
	case describer.MachineInUpkeep, describer.MachineMoving:
		return true
	case describer.MachineUp:
		return machine.Worker != "" && machine.Worker != worker
	}
	return false
}

// resolveDepartures resolves the runs on the machines that a list shows without their last known worker. Those on a machine
// that lists omit, or whose state is unknown, go on until the lease of the worker expires.
func (e *Evacuator) resolveDepartures() {
	for id, d := range e.departures {
		machine := e.machines[d.machine]
		worker, isKnown := e.Workers[id]
		switch {
		case !e.listedAt.After(d.confirmedAt):
			continue
		case !isKnown || worker.Incarnation != d.incarnation:
		case machine.State == describer.MachineUp && machine.Worker == id:
			worker.IsLeaving = false
		case d.hasEnded(id, machine):
			e.Report("A machine was taken down for its upkeep. The runs there are lost.", "machine", d.machine, "worker", id, "runs_lost", len(worker.Runs))
			for _, r := range worker.Runs {
				e.Hold(r.Task)
				e.reconciler.Resolve(r)
			}
			worker.Lease.EndBy(e.Now)
			e.reconciler.WorkerGone(id)
		default:
			continue
		}
		delete(e.departures, id)
	}
}

// Tick moves tasks off drained and draining workers and advances the waves. Waves wait for a list of
// machines that was requested when no orders of a former holder were in flight any more.
func (e *Evacuator) Tick(now time.Time) {
	e.Now = now
	// A former holder may have stopped others of a step shortly before, and a successor may do so now.
	if now.Sub(e.ClaimedAt) >= formerHolderGrace && e.Claim.MayOrderUnfenced(now) {
		e.moveOff()
	}
	if e.listedAt.Sub(e.ClaimedAt) < formerHolderGrace {
		return
	}
	for _, number := range sorter.Keys(e.waves) {
		e.tickWave(e.waves[number])
	}
}

// tickWave evacuates further machines of a wave, orders their upkeep and reports the progress.
func (e *Evacuator) tickWave(w *wave) {
	if w.isReportedCompleted() {
		return
	}
	e.selectMachines(w)
	for _, id := range sorter.Keys(w.evacuatingSince) {
		e.evacuate(w, id)
	}
	e.reportProgress(w)
}

// isPending reports whether a machine of a wave still needs its upkeep.
func (e *Evacuator) isPending(w *wave, id string) bool {
	_, isListed := e.machines[id]
	return (isListed || e.isGone(id)) && !w.done[id]
}

// selectMachines starts the evacuation of as many machines as may go down, those with the least
// CPU capacity charged to runs first.
func (e *Evacuator) selectMachines(w *wave) {
	free := max(w.MaxDown, 1) - e.countDown(w) - len(w.evacuatingSince)
	var candidates []string
	for _, id := range w.Machines {
		_, isEvacuating := w.evacuatingSince[id]
		if e.isPending(w, id) && !isEvacuating && (e.machines[id].State == describer.MachineUp || e.isGone(id)) {
			candidates = append(candidates, id)
		}
	}
	slices.SortStableFunc(candidates, func(a, b string) int { return cmp.Compare(e.cpuUsed(a), e.cpuUsed(b)) })
	for _, id := range candidates[:max(min(free, len(candidates)), 0)] {
		w.evacuatingSince[id] = e.Now
		if worker := e.workerOf(id); worker != nil {
			worker.IsLeaving = true
		}
		e.Report("A machine is evacuated for its upkeep. Its worker gets no new tasks.", "machine", id, "wave", w.Number)
	}
}

// countDown counts the machines of a wave that are or may be down for upkeep and are not
// evacuating. One that a list omits may be down.
func (e *Evacuator) countDown(w *wave) int {
	count := 0
	for _, id := range w.Machines {
		_, isOrdered := w.orders[id]
		_, isEvacuating := w.evacuatingSince[id]
		// A list that was requested before the upkeep started shows the state before it.
		isListOld := !w.startedAt[id].IsZero() && !e.listedAt.After(w.startedAt[id])
		machine, isListed := e.machines[id]
		isDown := machine.State == describer.MachineInUpkeep || isListOld || !isListed && !e.isGone(id)
		if !isEvacuating && (isOrdered || isDown) {
			count++
		}
	}
	return count
}

// workerOf returns the worker that runs on a machine as far as is known, or nil if there is none.
func (e *Evacuator) workerOf(id string) *monitor.Worker {
	return e.Workers[e.lastWorkers[id]]
}

// cpuUsed returns the CPU capacity charged to the runs on a machine, in thousandths of a core.
func (e *Evacuator) cpuUsed(id string) int64 {
	if w := e.workerOf(id); w != nil {
		return w.Used.MilliCPU
	}
	return 0
}

// drainTime returns how long the runs on a machine of the wave may take to end: an equal part
// of the planned duration for each group of machines that are down together, less the downtime,
// at most maxDrainTime.
func (w *wave) drainTime() time.Duration {
	rounds := max(len(w.Machines)-1, 0)/max(w.MaxDown, 1) + 1
	each := clamper.Add(clamper.Scale(w.Duration, plannedShare)/time.Duration(rounds), -machineDowntime)
	return min(max(each, 0), maxDrainTime)
}

// evacuate orders the upkeep of a machine once its worker is evacuated, and repeats the order
// after retryPause.
func (e *Evacuator) evacuate(w *wave, id string) {
	if !e.isPending(w, id) {
		e.cancel(w, id)
		return
	}
	order, isOrdered := w.orders[id]
	if isOrdered && e.Now.Sub(order.sentAt) < retryPause {
		return
	}
	worker := e.workerOf(id)
	if worker != nil && !e.isEvacuated(w, id, worker) {
		return
	}
	if !isOrdered {
		order.workers = make(map[string]int64)
	}
	if worker != nil {
		order.workers[worker.Info.ID] = worker.Incarnation
	}
	order.sentAt = e.Now
	w.orders[id] = order
	e.Order(orderer.Upkeep{Machine: id, Wave: w.Number, Host: e.Options.Host, Token: e.Options.Epoch})
}

// isEvacuated reports whether a worker runs nothing but long-running tasks that may go down
// now. A worker that may have runs of a former holder is not evacuated yet. isEvacuated stops the
// other runs that can resume from a checkpoint at once, and the rest after the drain time.
func (e *Evacuator) isEvacuated(w *wave, id string, worker *monitor.Worker) bool {
	if worker.MayHaveUnknownRuns(e.Claim.ConfirmedAt()) {
		return false
	}
	isTimedOut := e.Now.Sub(w.evacuatingSince[id]) >= w.drainTime()
	isEmpty := true
	longRunning := make(map[*tasker.Step]int)
	for _, r := range worker.Runs {
		switch {
		case r.Task != nil && r.Task.Step.Spec.LongRunning:
			longRunning[r.Task.Step]++
		case isTimedOut || r.Task != nil && r.Task.Step.Spec.Checkpoints:
			e.reconciler.Stop(r)
			isEmpty = false
		default:
			isEmpty = false
		}
	}
	for step, count := range longRunning {
		if allowed := step.Spec.MaxUnavailable; allowed > 0 && e.unavailableTasks(step, worker.Info.ID)+count > allowed {
			return false
		}
	}
	return isEmpty
}

// isGoingDown reports whether an order to take a worker's machine down is open, which may have been
// carried out, or whether its runs are not resolved yet after the order.
func (e *Evacuator) isGoingDown(worker string) bool {
	if _, isDeparting := e.departures[worker]; isDeparting {
		return true
	}
	for _, w := range e.waves {
		for id, order := range w.orders {
			if _, wasThere := order.workers[worker]; wasThere || e.lastWorkers[id] == worker {
				return true
			}
		}
	}
	return false
}

// cancel ends the evacuation of a machine, so that its worker gets tasks again.
func (e *Evacuator) cancel(w *wave, id string) {
	delete(w.evacuatingSince, id)
	if worker := e.workerOf(id); worker != nil {
		worker.IsLeaving = false
	}
}

// UpkeepAnswered applies the verdict on an order to take a machine down. An order that is
// refused or without a reply stays open: it is repeated unchanged, and the machine counts as
// down meanwhile.
func (e *Evacuator) UpkeepAnswered(now time.Time, order orderer.Upkeep, verdict orderer.UpkeepVerdict) {
	e.Now = now
	w, found := e.waves[order.Wave]
	if !found {
		return
	}
	e.Report("An order for the upkeep of a machine returned a verdict.", "machine", order.Machine, "wave", order.Wave, "verdict", verdict.String())
	switch verdict {
	case orderer.UpkeepDone:
		e.upkeepStarted(w, order.Machine)
	case orderer.UpkeepFenced:
		e.IsFenced = true
	case orderer.UpkeepUnknown:
		if open, isOpen := w.orders[order.Machine]; isOpen {
			open.lateUntil = open.sentAt.Add(monitor.MaxLateness)
			w.orders[order.Machine] = open
		}
	case orderer.UpkeepBusy:
		if now.Before(w.orders[order.Machine].lateUntil) {
			// An earlier sending may take the machine down once it is no longer busy.
			return
		}
		delete(w.orders, order.Machine)
		if _, isMissing := e.missingSince[order.Machine]; isMissing {
			e.missingSince[order.Machine] = e.listedAt
		}
		e.cancel(w, order.Machine)
	case orderer.UpkeepInvalid:
		delete(w.orders, order.Machine)
		w.done[order.Machine] = true
		e.cancel(w, order.Machine)
	}
}

// upkeepStarted records that the upkeep of a machine has started. The runs there are resolved once a list
// shows that their worker is gone: the reply may confirm an earlier order, and a new worker may be up.
func (e *Evacuator) upkeepStarted(w *wave, id string) {
	w.done[id], w.startedAt[id] = true, e.Now
	for worker, incarnation := range w.orders[id].workers {
		e.departures[worker] = departure{machine: id, incarnation: incarnation, confirmedAt: e.Now}
	}
	if worker := e.workerOf(id); worker != nil {
		e.departures[worker.Info.ID] = departure{machine: id, incarnation: worker.Incarnation, confirmedAt: e.Now}
	}
	delete(w.orders, id)
	delete(w.evacuatingSince, id)
	e.Persister.MarkWaveChanged(journaler.WaveProgress{Number: w.Number, Done: sorter.Keys(w.done)})
}

// reportProgress orders a report to the operators when a wave has started or is completed.
func (e *Evacuator) reportProgress(w *wave) {
	isCompleted := !slices.ContainsFunc(w.Machines, func(id string) bool { return !w.done[id] })
	next := orderer.WaveReport{Wave: w.Number, IsCompleted: isCompleted}
	isBackingOff := w.lastReport == nil && e.Now.Sub(w.reportFailedAt) < retryPause
	if !isBackingOff && (w.lastReport == nil || *w.lastReport != next) {
		w.lastReport = &next
		e.Order(next)
	}
}

// ReportFailed makes a tick order a report again, after retryPause, that the store did not accept.
func (e *Evacuator) ReportFailed(report orderer.WaveReport) {
	if w, found := e.waves[report.Wave]; found {
		w.lastReport, w.reportFailedAt = nil, e.Now
	}
}
