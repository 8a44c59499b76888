package decider

import (
	"time"

	"lentilrock.example/internal/cell/applier"
	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/core/admitter"
	"lentilrock.example/internal/core/planner"
	"lentilrock.example/internal/core/tracker"
	"lentilrock.example/internal/core/vetter"
)

// Config returns the folded configuration; it must not be changed.
func (d *Decider) Config() *applier.State { return &d.config }

// Local returns the folded state of the data centre; it must not be changed.
func (d *Decider) Local() *applier.State { return &d.local }

// Tracker returns the tasks and workers, for reading.
func (d *Decider) Tracker() *tracker.Tracker { return d.tracker }

// Admitter returns the requests and upstreams, for reading.
func (d *Decider) Admitter() *admitter.Admitter { return d.admitter }

// Planner returns the waiting jobs, for reading.
func (d *Decider) Planner() *planner.Planner { return d.planner }

// Hosts returns the host list as last read.
func (d *Decider) Hosts() []descriptor.Host { return d.hosts }

// ShardView is a shard as operators see it.
type ShardView struct {
	Shard     descriptor.ShardID
	Claim     applier.Claim
	State     string
	WindowEnd time.Time
	LastRead  time.Time
}

// Shards lists the shards of the data centre.
func (d *Decider) Shards() []ShardView {
	views := make([]ShardView, 0, len(d.claimers))
	for _, c := range d.claimers {
		views = append(views, ShardView{
			Shard: c.Shard(), Claim: d.local.Claim(c.Shard()), State: string(c.State()),
			WindowEnd: c.WindowEnd(), LastRead: c.LastRead(),
		})
	}
	return views
}

// Self returns the identity of this life of the host.
func (d *Decider) Self() descriptor.HostID { return d.options.Self }

// DataCentre returns the data centre of this host.
func (d *Decider) DataCentre() string { return d.options.DataCentre }

// Cell returns what a job is held against before it is accepted.
func (d *Decider) Cell() vetter.Cell {
	return vetter.Cell{Layout: d.options.Layout, Hosts: d.hosts, HasTeam: func(team string) bool {
		_, found := d.config.Config[ConfigQuota+team]
		return found
	}}
}
