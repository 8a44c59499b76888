package holder

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lentilrock.example/internal/fleet/dispatcher"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/node/pauser"
)

// listMachines lists the machines periodically while a wave of upkeep is open.
func (h *Holder) listMachines(ctx context.Context) {
	for ctx.Err() == nil {
		pauser.Pause(ctx, h.options.Clock, machineListInterval)
		isNeeded := false
		var requestedAt time.Time
		h.update(func(now time.Time, d *dispatcher.Dispatcher) { isNeeded, requestedAt = d.NeedsMachines(), now })
		if !isNeeded {
			continue
		}
		listCtx, cancel := context.WithTimeout(ctx, machineTimeout)
		machines, err := h.options.Machines.List(listCtx)
		cancel()
		if err != nil {
			h.options.Logger.Warn("upkeep: Listing the machines failed; retrying at the next interval.", zap.String("error", err.Error()))
			continue
		}
		h.update(func(_ time.Time, d *dispatcher.Dispatcher) { d.SetMachines(requestedAt, machines) })
		h.ScheduleTick()
	}
}

// sendMachineOrder sends an order about a machine, or a report on a wave.
func (h *Holder) sendMachineOrder(ctx context.Context, order dispatcher.Order) {
	if h.options.Machines == nil {
		return
	}
	orderCtx, cancel := context.WithTimeout(ctx, machineTimeout)
	defer cancel()
	switch o := order.(type) {
	case orderer.Upkeep:
		verdict := h.options.Machines.Upkeep(orderCtx, o)
		h.update(func(now time.Time, d *dispatcher.Dispatcher) { d.UpkeepAnswered(now, o, verdict) })
	case orderer.WaveReport:
		if err := h.options.Machines.ReportWave(orderCtx, o); err != nil {
			h.options.Logger.Warn("upkeep: Reporting the progress of a wave failed; the report is ordered again.",
				zap.Int64("wave", o.Wave), zap.String("error", err.Error()))
			h.update(func(_ time.Time, d *dispatcher.Dispatcher) { d.WaveReportFailed(o) })
		}
	}
	h.ScheduleTick()
}
