package decider

import (
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/core/placer"
)

// ErrImpossible reports a job that no worker could ever run.
var ErrImpossible = errors.New("job can never run")

// CheckJob returns an error that names what is wrong with a job: an unknown team, an
// impossible field, or a size that no worker of its shard has.
func (d *Decider) CheckJob(job descriptor.Job) error {
	if err := job.Check(); err != nil {
		return errors.Errorf("check job %s: %w", job.ID, err)
	}
	if _, found := d.config.Config[ConfigQuota+job.Team]; !found {
		return errors.Newf("team %q is unknown: no %s%s is set", job.Team, ConfigQuota, job.Team)
	}
	if reason := d.impossible(job); reason != "" {
		return errors.Errorf("%s: %w", reason, ErrImpossible)
	}
	return nil
}

// impossible says why no worker of the job's shard could ever run the job, or "".
func (d *Decider) impossible(job descriptor.Job) string {
	shard := d.options.Layout.ShardOf(string(job.ID))
	need := placer.Need{Size: job.Size, Racks: job.Racks}
	workers, places := 0, 0
	for _, host := range d.hosts {
		isOurs := host.Role == descriptor.RoleWorker && host.DataCentre == shard.DataCentre &&
			d.options.Layout.ShardOfRack(host.DataCentre, host.Rack) == shard
		if !isOurs {
			continue
		}
		workers++
		if len(need.Racks) == 0 || slices.Contains(need.Racks, host.Rack) {
			places += placer.CountFitting(need.Size, host.Capacity)
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
