package coordinator

import "lentilrock.example/internal/query/processor"

// read calls a function with this host's view of the cell, under the lock.
func (k *Coordinator) read(read func(known processor.CellView)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	known := processor.CellView{Now: k.now(), State: k.state, Config: k.catalog.Config, Hosts: k.liveHosts()}
	if k.dispatcher != nil {
		known.Registrar, known.Summarizer = k.dispatcher.Registrar(), k.dispatcher.Summarizer(known.Now)
	}
	read(known)
}
