package keeper

import (
	"context"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"lentilrock.example/internal/fleet/dispatcher"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/orderer"
)

// hosts returns the entry hosts by name.
func (k *Keeper) hosts() []journaler.Host {
	k.mu.Lock()
	defer k.mu.Unlock()
	hosts := make([]journaler.Host, 0, len(k.state.Hosts))
	for _, h := range k.state.Hosts {
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(a, b journaler.Host) int { return strings.Compare(a.Name, b.Name) })
	return hosts
}

// advise asks a question and reports the answer.
func (h *holder) advise(ctx context.Context, asked orderer.Advise) {
	k := h.keeper
	answer, err := k.asker.Ask(ctx, asked)
	if err != nil && ctx.Err() == nil {
		k.options.Logger.Warn("advice: No answer.", zap.String("step", asked.Step.String()), zap.String("error", err.Error()))
	}
	h.with(func(now time.Time, d *dispatcher.Dispatcher) { d.Advised(now, asked, answer, err == nil) })
	h.kick()
}
