package coordinator

import (
	"context"
	"net/netip"
	"time"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/peer/messenger"
	"lentilrock.example/internal/query/processor"
)

const (
	// commandKind is the message kind of the call by which a host forwards a command.
	commandKind = "command"
	// commandTimeout bounds a forwarded command.
	commandTimeout = 2 * time.Second
)

// Execute runs an operator's command on the holder, which has the most complete view of the
// cell, or on this host if the holder does not reply.
func (k *Coordinator) Execute(ctx context.Context, c processor.Command) processor.Reply {
	if holder, found := k.remoteHolder(); found {
		if address, err := netip.ParseAddrPort(holder.Address); err == nil {
			callCtx, cancel := context.WithTimeout(ctx, commandTimeout)
			defer cancel()
			reply, err := messenger.Call[processor.Command, processor.Reply](callCtx, k.options.Messenger, address, commandKind, c)
			if err == nil {
				return reply
			}
		}
	}
	return k.processor.Execute(ctx, c)
}

func (k *Coordinator) executeForPeer(ctx context.Context, _ messenger.Hello, c processor.Command) (processor.Reply, error) {
	return k.processor.Execute(ctx, c), nil
}

// read calls a function with this host's view of the cell, under the lock.
func (k *Coordinator) read(read func(known processor.CellView)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	known := processor.CellView{Now: k.now(), State: k.state, Config: k.catalog.Config, Hosts: k.liveHosts()}
	if k.dispatcher != nil {
		known.Registrar = k.dispatcher.Registrar()
	}
	read(known)
}

// explain returns the recent decisions about a job, a line each.
func (k *Coordinator) explain(job describer.JobID) []string {
	var lines []string
	for _, line := range k.recorder.LinesOf(string(job)) {
		lines = append(lines, line.At.UTC().Format(time.RFC3339Nano)+" "+line.Text)
	}
	return lines
}
