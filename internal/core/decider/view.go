package decider

import (
	"time"

	"lentilrock.example/internal/cell/applier"
	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/core/admitter"
	"lentilrock.example/internal/core/planner"
	"lentilrock.example/internal/core/tracker"
	"lentilrock.example/internal/core/validator"
)

// ConfigState returns the state of the configuration stream. It must not be modified.
func (d *Decider) ConfigState() *applier.State { return &d.config }

// DataCentreState returns the state of the data centre's stream. It must not be modified.
func (d *Decider) DataCentreState() *applier.State { return &d.local }

// Tracker returns the tracker of tasks and workers, for reading only.
func (d *Decider) Tracker() *tracker.Tracker { return d.tracker }

// Admitter returns the admitter of requests, for reading only.
func (d *Decider) Admitter() *admitter.Admitter { return d.admitter }

// Planner returns the planner with the waiting jobs, for reading only.
func (d *Decider) Planner() *planner.Planner { return d.planner }

// Hosts returns the host list as of the last successful read.
func (d *Decider) Hosts() []descriptor.Host { return d.hosts }

// ShardView is the part of a shard's state that operators can query.
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

// Self returns the identity of this incarnation of the host.
func (d *Decider) Self() descriptor.HostID { return d.options.Self }

// DataCentre returns the data centre of this host.
func (d *Decider) DataCentre() string { return d.options.DataCentre }

// Cell returns the layout, hosts and teams against which a job is checked before it is accepted.
func (d *Decider) Cell() validator.Cell {
	return validator.Cell{Layout: d.options.Layout, Hosts: d.hosts, HasTeam: func(team string) bool {
		_, found := d.config.Config[ConfigQuota+team]
		return found
	}}
}
