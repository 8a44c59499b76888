// Package validator checks submitted jobs and rejects those that can never run, with the reason.
//
// # Usage
//
//	err := validator.Check(job, cell)
//	if errors.Is(err, validator.ErrImpossible) {
//		// record the job as refused
//	}
package validator

import (
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/core/placer"
)

// ErrImpossible reports a job that the workers of its shard can never run.
var ErrImpossible = errors.New("job can never run")

// Cell holds the properties of the cell against which a job is checked.
type Cell struct {
	Layout descriptor.Layout
	Hosts  []descriptor.Host
	// HasTeam reports whether a team has a quota.
	HasTeam func(team string) bool
}

// Check returns an error if a job has an invalid field, names a team without a quota, or can
// never run on the workers of its shard. The last error wraps ErrImpossible.
func Check(job descriptor.Job, cell Cell) error {
	if err := job.Check(); err != nil {
		return errors.Errorf("check job %s: %w", job.ID, err)
	}
	if !cell.HasTeam(job.Team) {
		return errors.Newf("team %q is unknown: it has no quota", job.Team)
	}
	if reason := ImpossibleReason(job, cell); reason != "" {
		return errors.Errorf("%s: %w", reason, ErrImpossible)
	}
	return nil
}

// ImpossibleReason returns the reason why the workers of the job's shard can never run the job, or
// "" if they can. A shard without listed workers rejects no job.
func ImpossibleReason(job descriptor.Job, cell Cell) string {
	shard := cell.Layout.ShardOf(string(job.ID))
	workers, fitting := 0, 0
	for _, host := range cell.Hosts {
		isInShard := host.Role == descriptor.RoleWorker && host.DataCentre == shard.DataCentre &&
			cell.Layout.ShardOfRack(host.DataCentre, host.Rack) == shard
		if !isInShard {
			continue
		}
		workers++
		if len(job.Racks) == 0 || slices.Contains(job.Racks, host.Rack) {
			fitting += placer.CountFitting(job.Size, host.Capacity)
		}
	}
	switch {
	case workers == 0:
		return ""
	case fitting == 0:
		return fmt.Sprintf("none of the %d workers of shard %s has %s", workers, shard, job.Size)
	case job.Kind == descriptor.KindGang && fitting < job.Tasks:
		return fmt.Sprintf("a gang of %d tasks needs more than the %d places of shard %s", job.Tasks, fitting, shard)
	}
	return ""
}
