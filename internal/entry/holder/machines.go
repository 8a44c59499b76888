package holder

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lentilrock.example/internal/fleet/dispatcher"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/node/pauser"
)

// listMachines lists the machines while a wave of upkeep is open.
func (h *Holder) listMachines(ctx context.Context) {
	for ctx.Err() == nil {
		pauser.Pause(ctx, h.options.Clock, machinesEvery)
		isNeeded := false
		var asked time.Time
		h.with(func(now time.Time, d *dispatcher.Dispatcher) { isNeeded, asked = d.NeedsMachines(), now })
		if !isNeeded {
			continue
		}
		listing, cancel := context.WithTimeout(ctx, dutyTimeout)
		machines, err := h.options.Machines.List(listing)
		cancel()
		if err != nil {
			h.options.Logger.Warn("upkeep: The machines can't be listed.", zap.String("error", err.Error()))
			continue
		}
		h.with(func(_ time.Time, d *dispatcher.Dispatcher) { d.SetMachines(asked, machines) })
		h.Kick()
	}
}

// carryOutDuty sends an order about a machine, or a report on a wave.
func (h *Holder) carryOutDuty(ctx context.Context, order dispatcher.Order) {
	if h.options.Machines == nil {
		return
	}
	ordering, cancel := context.WithTimeout(ctx, dutyTimeout)
	defer cancel()
	switch o := order.(type) {
	case orderer.Upkeep:
		verdict := h.options.Machines.Upkeep(ordering, o)
		h.with(func(now time.Time, d *dispatcher.Dispatcher) { d.UpkeepAnswered(now, o, verdict) })
	case orderer.WaveReport:
		if err := h.options.Machines.ReportWave(ordering, o); err != nil {
			h.options.Logger.Warn("upkeep: A wave can't be reported.", zap.Int64("wave", o.Wave), zap.String("error", err.Error()))
			h.with(func(_ time.Time, d *dispatcher.Dispatcher) { d.WaveReportFailed(o) })
		}
	}
	h.Kick()
}
