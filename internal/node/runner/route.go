package runner

import (
	"lentilrock.example/internal/cell/applier"
	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/core/signaller"
)

// Routes say where requests go, as this host knows it.
type Routes struct {
	// Holders gives the holder of each shard of this data centre.
	Holders map[descriptor.ShardID]applier.Claim
	// Entries gives the entry hosts by name.
	Entries map[string]descriptor.Host
	// Ready reports whether this host may take work.
	Ready bool
	// Left reports whether a leaving host holds nothing any more.
	Left bool
}

// publishRoutes lets the doors see the newest claims without asking the core.
func (r *Runner) publishRoutes(event signaller.Event) {
	switch event.(type) {
	case signaller.Left, signaller.LogRead, signaller.Restored, signaller.Tick:
	default:
		return
	}
	old := r.routes.Load()
	routes := &Routes{Entries: old.Entries, Ready: r.core.IsReady(), Left: r.core.HasLeft()}
	routes.Holders = r.core.Holders()
	r.routes.Store(routes)
}

func (r *Runner) updatePeers(hosts []descriptor.Host) {
	entries := make(map[string]descriptor.Host)
	for _, host := range hosts {
		if host.Role == descriptor.RoleEntry {
			entries[host.Name] = host
		}
	}
	for {
		old := r.routes.Load()
		next := *old
		next.Entries = entries
		if r.routes.CompareAndSwap(old, &next) {
			return
		}
	}
}
