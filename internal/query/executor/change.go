package executor

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/cell/recorder"
	"lentilrock.example/internal/container/sorter"
	"lentilrock.example/internal/core/decider"
	"lentilrock.example/internal/core/validator"
	"lentilrock.example/internal/peer/speaker"
	"lentilrock.example/internal/query/parser"
	"lentilrock.example/internal/query/tabler"
)

// proposals converts a statement to the changes to propose.
func (e *Executor) proposals(ctx context.Context, c Command, s *parser.Statement) ([]speaker.Proposal, error) {
	if c.ID == "" {
		c.ID = e.options.Runner.NewID()
	}
	base := speaker.Proposal{ID: c.ID, Author: c.Author}
	switch {
	case s.Cancel != nil:
		return e.cancelProposals(ctx, base, s.Cancel)
	case s.Drain != nil:
		if err := e.checkDrain(ctx, s.Drain); err != nil {
			return nil, err
		}
		return e.configProposal(ctx, base, drainKey(s.Drain), "true", nil)
	case s.Quota != nil:
		return e.configProposal(ctx, base, decider.ConfigQuota+s.Quota.Team, s.Quota.Percent, s.Quota.Version)
	case s.Set != nil:
		return e.configProposal(ctx, base, s.Set.Key, s.Set.Value, s.Set.Version)
	case s.Submit != nil:
		job, err := newJob(s.Submit)
		if err != nil {
			return nil, err
		}
		base.Submit = &recorder.Submit{Job: job}
		return []speaker.Proposal{base}, nil
	case s.Undrain != nil:
		return e.configProposal(ctx, base, drainKey(s.Undrain), "false", nil)
	}
	return nil, errors.New("the statement changes nothing")
}

// checkDrain returns an error if the host, worker or rack to drain is not on the platform's host list.
func (e *Executor) checkDrain(ctx context.Context, s *parser.Drain) error {
	var known []string
	e.options.Runner.Inspect(ctx, func(d *decider.Decider) {
		for _, host := range d.Hosts() {
			switch {
			case s.Kind == "host" && host.Role == descriptor.RoleEntry,
				s.Kind == "worker" && host.Role == descriptor.RoleWorker:
				known = append(known, host.Name)
			case s.Kind == "rack" && host.Role == descriptor.RoleWorker:
				known = append(known, host.Rack)
			}
		}
	})
	if slices.Contains(known, s.Name) {
		return nil
	}
	return errors.Newf("%s %q is not on the host list%s", s.Kind, s.Name, sorter.Suggest(s.Name, known))
}

// drainKey returns the configuration key that marks a host, worker or rack as drained.
func drainKey(d *parser.Drain) string {
	return decider.ConfigDrain + d.Kind + "." + d.Name
}

// configProposal proposes a new value for a configuration key. Without an explicit version, the change
// replaces the version that is current on this host, so that of two concurrent changes one is rejected
// and its operator notified (optimistic locking).
func (e *Executor) configProposal(ctx context.Context, base speaker.Proposal, key, value string, version *int64) ([]speaker.Proposal, error) {
	if err := checkSetting(key, value); err != nil {
		return nil, err
	}
	replaces := int64(0)
	if version != nil {
		replaces = *version
	} else {
		e.options.Runner.Inspect(ctx, func(d *decider.Decider) {
			replaces = d.ConfigState().Config[key].Version
		})
	}
	base.Config = &recorder.Config{Key: key, Value: value, Replaces: replaces}
	return []speaker.Proposal{base}, nil
}

// checkSetting returns an error for keys and values that would have no effect: unknown keys, and
// values that are invalid for their key. Keys with the prefix "note." take any value.
func checkSetting(key, value string) error {
	switch {
	case strings.HasPrefix(key, decider.ConfigDrain):
		if _, err := strconv.ParseBool(value); err != nil {
			return errors.Newf("%s is %q, want true or false", key, value)
		}
	case strings.HasPrefix(key, decider.ConfigQuota):
		team := strings.TrimPrefix(key, decider.ConfigQuota)
		if err := descriptor.CheckID("team", team); err != nil {
			return errors.Errorf("check key %s: %w", key, err)
		}
		percent, err := strconv.ParseFloat(value, 64)
		if err != nil || percent < 0 || percent > 100 {
			return errors.Newf("%s is %q, want a percentage from 0 to 100", key, value)
		}
	case strings.HasPrefix(key, "note."):
	default:
		return errors.Newf("key %q is unknown, want drain.*, note.* or quota.*", key)
	}
	return nil
}

// cancelProposals proposes one record for each home data centre of the jobs to cancel. The jobs are
// given by ID or by conditions.
func (e *Executor) cancelProposals(ctx context.Context, base speaker.Proposal, c *parser.Cancel) ([]speaker.Proposal, error) {
	ids := []descriptor.JobID{descriptor.JobID(c.ID)}
	if c.ID == "" {
		found, err := e.openJobs(ctx, c.Where)
		if err != nil {
			return nil, err
		}
		ids = found
	}
	byHome := make(map[string][]descriptor.JobID)
	for _, id := range ids {
		home := e.options.Layout.Home(string(id))
		byHome[home] = append(byHome[home], id)
	}
	var proposals []speaker.Proposal
	for _, home := range e.options.Layout.DataCentres {
		if len(byHome[home]) == 0 {
			continue
		}
		p := base
		p.ID = base.ID + "." + home
		p.Close = &recorder.CloseJobs{
			Jobs: byHome[home], End: recorder.JobCancelled, Reason: "cancelled by " + base.Author.Name,
		}
		proposals = append(proposals, p)
	}
	if len(proposals) == 0 {
		return nil, errors.New("no open job matches")
	}
	return proposals, nil
}

// openJobs returns the waiting and running jobs that match the conditions. It fails if the jobs of any
// host are missing, since the selection would be incomplete.
func (e *Executor) openJobs(ctx context.Context, where []parser.Condition) ([]descriptor.JobID, error) {
	table, err := e.collect(ctx, "jobs")
	if err != nil {
		return nil, err
	}
	if len(table.Missing) > 0 {
		return nil, errors.Newf("not all jobs are known, nothing was cancelled: %s", strings.Join(table.Missing, "; "))
	}
	if err := table.Filter(where); err != nil {
		return nil, err
	}
	var ids []descriptor.JobID
	for _, row := range table.Rows {
		isOpen := row[3] == "running" || row[3] == "waiting"
		if isOpen {
			ids = append(ids, descriptor.JobID(row[0]))
		}
	}
	return ids, nil
}

// newJob converts a submit statement to a job. Without options, the job has one task and normal
// priority.
func newJob(s *parser.Submit) (descriptor.Job, error) {
	job := descriptor.Job{
		ID: descriptor.JobID(s.ID), Kind: descriptor.Kind(s.Kind), Tasks: 1,
		Priority: descriptor.PriorityNormal,
	}
	for _, option := range s.Options {
		if err := setOption(&job, option); err != nil {
			return descriptor.Job{}, errors.Errorf("read option %s: %w", option.Name, err)
		}
	}
	return job, nil
}

const milliCoresPerCore = 1000

// setOption applies one option of a submit statement to a job.
func setOption(job *descriptor.Job, o parser.Option) error {
	var err error
	switch {
	case o.OneShot:
		job.OneShot = true
	case o.Name == "accelerators":
		job.Size.Accelerators, err = strconv.ParseInt(o.Value, 10, 64)
	case o.Name == "class":
		job.Class = o.Value
	case o.Name == "cores":
		var cores float64
		cores, err = strconv.ParseFloat(o.Value, 64)
		job.Size.MilliCores = int64(cores * milliCoresPerCore)
	case o.Name == "memory":
		job.Size.MemoryBytes, err = descriptor.ParseBytes(o.Value)
	case o.Name == "min_running":
		job.MinRunning, err = strconv.Atoi(o.Value)
	case o.Name == "priority":
		job.Priority, err = parsePriority(o.Value)
	case o.Name == "rack":
		job.Racks = append(job.Racks, o.Value)
	case o.Name == "retries":
		job.MaxRetries, err = strconv.Atoi(o.Value)
	case o.Name == "run_time":
		job.RunTime, err = time.ParseDuration(o.Value)
	case o.Name == "tasks":
		job.Tasks, err = strconv.Atoi(o.Value)
	case o.Name == "team":
		job.Team = o.Value
	}
	return errors.Wrapf(err, "value %q", o.Value)
}

// parsePriority parses the name of a priority or a whole number.
func parsePriority(text string) (int, error) {
	switch text {
	case "low":
		return descriptor.PriorityLow, nil
	case "normal":
		return descriptor.PriorityNormal, nil
	case "urgent":
		return descriptor.PriorityUrgent, nil
	}
	n, err := strconv.Atoi(text)
	return n, errors.Wrap(err, "want low, normal, urgent or a number")
}

// explain shows the changes that a statement would make, without making them (dry run).
func (e *Executor) explain(ctx context.Context, s *parser.Statement) (Reply, error) {
	proposals, err := e.proposals(ctx, Command{ID: "explained"}, s)
	if err != nil {
		return Reply{}, err
	}
	table := tabler.Table{Columns: []string{"change", "subject", "now", "then"}}
	for _, p := range proposals {
		e.explainProposal(ctx, p, &table)
	}
	return Reply{Table: table}, nil
}

// explainProposal adds the rows of one proposal to the table.
func (e *Executor) explainProposal(ctx context.Context, p speaker.Proposal, table *tabler.Table) {
	switch {
	case p.Close != nil:
		for _, id := range p.Close.Jobs {
			table.Add("cancel", string(id), "open", "cancelled")
		}
	case p.Config != nil:
		e.options.Runner.Inspect(ctx, func(d *decider.Decider) {
			current := d.ConfigState().Config[p.Config.Key]
			table.Add("set", p.Config.Key,
				fmt.Sprintf("%q (version %d)", current.Value, current.Version),
				fmt.Sprintf("%q (version %d)", p.Config.Value, p.Config.Replaces+1))
			if current.Version != p.Config.Replaces {
				table.Notes = append(table.Notes, "it would lose: the present version is "+strconv.FormatInt(current.Version, 10))
			}
		})
	case p.Submit != nil:
		e.options.Runner.Inspect(ctx, func(d *decider.Decider) {
			result := "accepted"
			if err := validator.Check(p.Submit.Job, d.Cell()); err != nil {
				result = "refused: " + err.Error()
			}
			table.Add("submit", string(p.Submit.Job.ID), "-", result)
		})
	}
}
