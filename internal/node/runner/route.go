package runner

import (
	"lentilrock.example/internal/cell/applier"
	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/core/signaller"
)

// Routes is a snapshot of what this host needs to route requests, and of its own state.
type Routes struct {
	// Holders maps each shard of this data centre to the claim that names its holder and has the epoch (fencing token).
	Holders map[descriptor.ShardID]applier.Claim
	// Entries maps names to the entry hosts of all data centres.
	Entries map[string]descriptor.Host
	// IsReady reports whether this host may accept work.
	IsReady bool
	// HasLeft reports whether this host is leaving, has nothing in flight and no longer acts for any shard.
	HasLeft bool
}

// publishRoutes stores new routes after an event that may change them; HTTP handlers read them without waiting.
func (r *Runner) publishRoutes(event signaller.Event) {
	switch event.(type) {
	case signaller.Left, signaller.LogRead, signaller.Restored, signaller.Tick:
	default:
		return
	}
	current := r.routes.Load()
	routes := &Routes{Entries: current.Entries, IsReady: r.core.IsReady(), HasLeft: r.core.HasLeft()}
	routes.Holders = r.core.Claims()
	r.routes.Store(routes)
}

// updateEntries replaces the entry hosts of the routes. It retries if publishRoutes stores routes at the same time.
func (r *Runner) updateEntries(hosts []descriptor.Host) {
	entries := make(map[string]descriptor.Host)
	for _, host := range hosts {
		if host.Role == descriptor.RoleEntry {
			entries[host.Name] = host
		}
	}
	for {
		current := r.routes.Load()
		next := *current
		next.Entries = entries
		if r.routes.CompareAndSwap(current, &next) {
			return
		}
	}
}
