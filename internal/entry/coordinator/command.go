package coordinator

import (
	"context"

	"lentilrock.example/internal/query/processor"
)

// Execute runs an operator's command on the holder, which has the most complete view of the
// cell, or on this host if the holder does not reply.
func (k *Coordinator) Execute(ctx context.Context, c processor.Command) processor.Reply {
	return k.delegator.Execute(ctx, c)
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
