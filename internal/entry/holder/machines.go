package holder

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
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

// errUnconfirmed means that an order was not sent since the claim was not confirmed recently.
var errUnconfirmed = errors.New("the claim was not confirmed recently")

// sendMachineOrder sends an order about a machine, or a report on a wave. The platform may not check
// the fencing tokens of these, so they are sent only while the claim is confirmed.
func (h *Holder) sendMachineOrder(ctx context.Context, order dispatcher.Order) {
	if h.options.Machines == nil {
		return
	}
	orderCtx, cancel := context.WithTimeout(ctx, machineOrderTimeout)
	defer cancel()
	isConfirmed := false
	h.update(func(now time.Time, d *dispatcher.Dispatcher) { isConfirmed = d.MayOrderUnfenced(now) })
	switch o := order.(type) {
	case orderer.Upkeep:
		verdict := orderer.UpkeepRefused
		if isConfirmed {
			verdict = h.options.Machines.Upkeep(orderCtx, o)
		}
		h.update(func(now time.Time, d *dispatcher.Dispatcher) { d.UpkeepAnswered(now, o, verdict) })
	case orderer.WaveReport:
		err := errUnconfirmed
		if isConfirmed {
			err = h.options.Machines.ReportWave(orderCtx, o)
		}
		if err != nil {
			h.options.Logger.Warn("upkeep: Reporting the progress of a wave failed; the report is ordered again.",
				zap.Int64("wave", o.Wave), zap.String("error", err.Error()))
			h.update(func(_ time.Time, d *dispatcher.Dispatcher) { d.WaveReportFailed(o) })
		}
	}
	h.ScheduleTick()
}
