package fencer

import (
	"context"
	"slices"
	"sync"
	"time"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/orderer"
)

// upkeepTime is how long a machine is down for upkeep (maintenance).
const upkeepTime = 2 * time.Second

// Machines simulates the platform's machine service. Each worker of a fleet is one incarnation
// of a machine. A wave is a rolling maintenance of machines.
type Machines struct {
	fleet *Fleet

	mu       sync.Mutex
	machines []*machine
	// OnReplaced is called with each worker that replaces a former one after upkeep, and may change
	// its address; nil means no callback.
	OnReplaced func(former string, next *describer.Worker)
	// LosesReplies makes the service execute orders and report an unknown outcome.
	LosesReplies bool
	reports      []orderer.WaveReport
	// maxDown is the largest number of machines that were down at the same time.
	maxDown int
	// lostRuns counts the runs that upkeep ended, by task.
	lostRuns map[string]int
}

type machine struct {
	info        describer.Machine
	incarnation int
	// upkeeps counts the upkeeps of the machine, by wave.
	upkeeps map[int64]int
	// upkeepEnd is when the current upkeep ends.
	upkeepEnd time.Time
}

// NewMachines returns one machine for each worker of a fleet, with the ID of the worker after "m-".
func NewMachines(fleet *Fleet) *Machines {
	m := &Machines{fleet: fleet, lostRuns: make(map[string]int)}
	for _, w := range fleet.Workers() {
		m.machines = append(m.machines, &machine{
			info:    describer.Machine{ID: "m-" + w.ID, Pool: w.Service, State: describer.MachineUp, Worker: w.ID},
			upkeeps: make(map[int64]int),
		})
	}
	return m
}

// completeUpkeep brings back the machines whose upkeep is over, each as a new worker.
func (m *Machines) completeUpkeep() {
	for _, mc := range m.machines {
		if mc.info.State != describer.MachineInUpkeep || m.fleet.clock.Now().Before(mc.upkeepEnd) {
			continue
		}
		mc.incarnation++
		info := m.fleet.infoOf(mc.info.Worker)
		info.ID += "+"
		info.Incarnation++
		if m.OnReplaced != nil {
			m.OnReplaced(mc.info.Worker, &info)
		}
		m.fleet.Remove(mc.info.Worker)
		m.fleet.Add(info)
		mc.info.Worker, mc.info.State = info.ID, describer.MachineUp
	}
}

// List returns all machines.
func (m *Machines) List(context.Context) ([]describer.Machine, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.completeUpkeep()
	var list []describer.Machine
	for _, mc := range m.machines {
		list = append(list, mc.info)
	}
	return list, nil
}

// Upkeep takes a machine down for a wave. A repeated order has no further effect. It returns
// UpkeepInvalid for an unknown machine and UpkeepBusy for one that is not up; otherwise UpkeepDone, or
// UpkeepUnknown if LosesReplies is set.
func (m *Machines) Upkeep(_ context.Context, order orderer.Upkeep) orderer.UpkeepVerdict {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.completeUpkeep()
	i := slices.IndexFunc(m.machines, func(mc *machine) bool { return mc.info.ID == order.Machine })
	if i < 0 {
		return orderer.UpkeepInvalid
	}
	mc := m.machines[i]
	if mc.upkeeps[order.Wave] == 0 {
		if mc.info.State != describer.MachineUp {
			return orderer.UpkeepBusy
		}
		m.takeDown(mc, order.Wave)
	}
	if m.LosesReplies {
		return orderer.UpkeepUnknown
	}
	return orderer.UpkeepDone
}

func (m *Machines) takeDown(mc *machine, wave int64) {
	mc.upkeeps[wave]++
	mc.info.State, mc.upkeepEnd = describer.MachineInUpkeep, m.fleet.clock.Now().Add(upkeepTime)
	for _, name := range m.fleet.Running(mc.info.Worker) {
		m.lostRuns[name]++
	}
	m.fleet.Update(mc.info.Worker, func(w *Worker) {
		w.IsUnresponsive = true
		clear(w.runs)
	})
	down := 0
	for _, other := range m.machines {
		if other.info.State == describer.MachineInUpkeep {
			down++
		}
	}
	m.maxDown = max(m.maxDown, down)
}

// ReportWave records a report on a wave.
func (m *Machines) ReportWave(_ context.Context, report orderer.WaveReport) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reports = append(m.reports, report)
	return nil
}

// Reports returns the reports on waves received so far.
func (m *Machines) Reports() []orderer.WaveReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.reports)
}

// MaxDown returns the largest number of machines that were down at the same time.
func (m *Machines) MaxDown() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.maxDown
}

// Upkeeps returns the number of upkeeps that were started for a wave.
func (m *Machines) Upkeeps(wave int64) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, mc := range m.machines {
		count += mc.upkeeps[wave]
	}
	return count
}

// LostRuns returns how many runs of a task were ended by upkeep.
func (m *Machines) LostRuns(task string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lostRuns[task]
}

// infoOf returns the description of a worker.
func (f *Fleet) infoOf(id string) describer.Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[id].Info
}

// Remove removes a worker from the fleet.
func (f *Fleet) Remove(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.workers, id)
}
