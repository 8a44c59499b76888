package fencer

import (
	"context"
	"slices"
	"sync"
	"time"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/orderer"
)

// upkeepTime is how long a machine is down for its upkeep.
const upkeepTime = 2 * time.Second

// Machines stands in for the platform's service for machines: each worker of a fleet is one
// life of a machine.
type Machines struct {
	fleet *Fleet

	mu       sync.Mutex
	machines []*machine
	// Reborn is told of each worker that takes a former one's place, and may change its
	// address; nil where nobody needs to know.
	Reborn func(former string, next *describer.Worker)
	// LosesAnswers carries orders out and answers nothing.
	LosesAnswers bool
	reports      []orderer.WaveReport
	// mostDown is the largest number of machines that were down at a time.
	mostDown int
	// lost counts the runs that an upkeep ended, by task.
	lost map[string]int
}

type machine struct {
	info describer.Machine
	life int
	done map[int64]int
	// until is when an upkeep ends.
	until time.Time
}

// NewMachines returns a machine for each worker, named after it.
func NewMachines(fleet *Fleet) *Machines {
	m := &Machines{fleet: fleet, lost: make(map[string]int)}
	for _, w := range fleet.Infos() {
		m.machines = append(m.machines, &machine{
			info: describer.Machine{ID: "m-" + w.ID, Pool: w.Service, State: describer.MachineUp, Worker: w.ID},
			done: make(map[int64]int),
		})
	}
	return m
}

// settle brings machines back whose upkeep is over, each as a new worker.
func (m *Machines) settle() {
	for _, each := range m.machines {
		if each.info.State != describer.MachineInUpkeep || m.fleet.clock.Now().Before(each.until) {
			continue
		}
		each.life++
		info := m.fleet.infoOf(each.info.Worker)
		info.ID += "+"
		info.Incarnation++
		if m.Reborn != nil {
			m.Reborn(each.info.Worker, &info)
		}
		m.fleet.Remove(each.info.Worker)
		m.fleet.Add(info)
		each.info.Worker, each.info.State = info.ID, describer.MachineUp
	}
}

// List returns all machines.
func (m *Machines) List(context.Context) ([]describer.Machine, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.settle()
	var list []describer.Machine
	for _, each := range m.machines {
		list = append(list, each.info)
	}
	return list, nil
}

// Upkeep takes a machine down.
func (m *Machines) Upkeep(_ context.Context, order orderer.Upkeep) orderer.DutyVerdict {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.settle()
	at := slices.IndexFunc(m.machines, func(each *machine) bool { return each.info.ID == order.Machine })
	if at < 0 {
		return orderer.DutyInvalid
	}
	each := m.machines[at]
	if each.done[order.Wave] == 0 {
		if each.info.State != describer.MachineUp {
			return orderer.DutyBusy
		}
		m.takeDown(each, order.Wave)
	}
	if m.LosesAnswers {
		return orderer.DutyUnknown
	}
	return orderer.DutyDone
}

func (m *Machines) takeDown(each *machine, wave int64) {
	each.done[wave]++
	each.info.State, each.until = describer.MachineInUpkeep, m.fleet.clock.Now().Add(upkeepTime)
	for _, name := range m.fleet.Running(each.info.Worker) {
		m.lost[name]++
	}
	m.fleet.Set(each.info.Worker, func(w *Worker) {
		w.IsSilent = true
		clear(w.runs)
	})
	down := 0
	for _, other := range m.machines {
		if other.info.State == describer.MachineInUpkeep {
			down++
		}
	}
	m.mostDown = max(m.mostDown, down)
}

// ReportWave takes a report.
func (m *Machines) ReportWave(_ context.Context, report orderer.WaveReport) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reports = append(m.reports, report)
	return nil
}

// Reports returns the reports on waves so far.
func (m *Machines) Reports() []orderer.WaveReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.reports)
}

// MostDown returns the largest number of machines that were down at a time.
func (m *Machines) MostDown() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mostDown
}

// Done counts the machines that had the upkeep of a wave.
func (m *Machines) Done(wave int64) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, each := range m.machines {
		count += each.done[wave]
	}
	return count
}

// Lost returns how many runs of a task an upkeep ended.
func (m *Machines) Lost(task string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lost[task]
}

// infoOf returns the entry of a worker.
func (f *Fleet) infoOf(id string) describer.Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[id].Info
}

// Remove takes a worker away for good.
func (f *Fleet) Remove(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.workers, id)
}
