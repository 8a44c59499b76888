package keeper

import (
	"context"
	"net/netip"
	"time"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/peer/messenger"
	"lentilrock.example/internal/query/teller"
)

const (
	// commandKind names the call by which a host passes a command on.
	commandKind = "command"
	// commandTimeout bounds such a call.
	commandTimeout = 2 * time.Second
)

// Execute carries out an operator's command at the holder, which knows most, or here where
// that does not answer.
func (k *Keeper) Execute(ctx context.Context, c teller.Command) teller.Reply {
	if holder, found := k.otherHolder(); found {
		if address, err := netip.ParseAddrPort(holder.Address); err == nil {
			calling, cancel := context.WithTimeout(ctx, commandTimeout)
			defer cancel()
			reply, err := messenger.Call[teller.Command, teller.Reply](calling, k.options.Messenger, address, commandKind, c)
			if err == nil {
				return reply
			}
		}
	}
	return k.teller.Execute(ctx, c)
}

func (k *Keeper) executeForPeer(ctx context.Context, _ messenger.Hello, c teller.Command) (teller.Reply, error) {
	return k.teller.Execute(ctx, c), nil
}

// read runs a function on what this host knows.
func (k *Keeper) read(read func(known teller.Known)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	known := teller.Known{Now: k.now(), State: k.state, Config: k.catalog.Config, Hosts: k.liveHosts()}
	if k.dispatcher != nil {
		known.Registrar = k.dispatcher.Registrar()
	}
	read(known)
}

// explain returns what was decided about a job lately.
func (k *Keeper) explain(job describer.JobID) []string {
	var lines []string
	for _, line := range k.chronicle.About(string(job)) {
		lines = append(lines, line.At.UTC().Format(time.RFC3339Nano)+" "+line.Text)
	}
	return lines
}
