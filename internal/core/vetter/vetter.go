// Package vetter refuses jobs that can never run, with the reason.
//
// # Usage
//
//	err := vetter.Check(job, cell)
//	if errors.Is(err, vetter.ErrImpossible) {
//		// keep it on record as refused
//	}
package vetter

import (
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/core/placer"
)

// ErrImpossible reports a job that no worker could ever run.
var ErrImpossible = errors.New("job can never run")

// Cell is what a job is held against.
type Cell struct {
	Layout descriptor.Layout
	Hosts  []descriptor.Host
	// HasTeam reports whether a team is known.
	HasTeam func(team string) bool
}

// Check returns an error that names what is wrong with a job: an unknown team, an
// impossible field, or a size that no worker of its shard has.
func Check(job descriptor.Job, cell Cell) error {
	if err := job.Check(); err != nil {
		return errors.Errorf("check job %s: %w", job.ID, err)
	}
	if !cell.HasTeam(job.Team) {
		return errors.Newf("team %q is unknown: it has no quota", job.Team)
	}
	if reason := Impossible(job, cell); reason != "" {
		return errors.Errorf("%s: %w", reason, ErrImpossible)
	}
	return nil
}

// Impossible says why no worker of the job's shard could ever run the job, or "".
func Impossible(job descriptor.Job, cell Cell) string {
	shard := cell.Layout.ShardOf(string(job.ID))
	workers, places := 0, 0
	for _, host := range cell.Hosts {
		isOurs := host.Role == descriptor.RoleWorker && host.DataCentre == shard.DataCentre &&
			cell.Layout.ShardOfRack(host.DataCentre, host.Rack) == shard
		if !isOurs {
			continue
		}
		workers++
		if len(job.Racks) == 0 || slices.Contains(job.Racks, host.Rack) {
			places += placer.CountFitting(job.Size, host.Capacity)
		}
	}
	switch {
	case workers == 0:
		return ""
	case places == 0:
		return fmt.Sprintf("none of the %d workers of shard %s has %s", workers, shard, job.Size)
	case job.Kind == descriptor.KindGang && places < job.Tasks:
		return fmt.Sprintf("a gang of %d tasks needs more than the %d places of shard %s", job.Tasks, places, shard)
	}
	return ""
}
