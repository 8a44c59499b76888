// Package viewer builds the tables that show the state of one host, one table for each noun of the
// operators' query and command language.
//
// Most tables have the rows of the shards that the host holds. The holder of a shard is the entry host
// that owns it by the latest claim that took effect in the log.
//
// # Usage
//
//	runner.Inspect(ctx, func(d *decider.Decider) {
//		table, err = viewer.View(d, now, "jobs")
//	})
package viewer

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/cell/applier"
	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/container/sorter"
	"lentilrock.example/internal/core/decider"
	"lentilrock.example/internal/query/tabler"
)

// views maps nouns to the functions that build their tables from the state of one host.
var views = map[string]func(d *decider.Decider, now time.Time) tabler.Table{
	"audit":    Audit,
	"config":   Config,
	"hosts":    Hosts,
	"jobs":     Jobs,
	"quotas":   Quotas,
	"requests": Requests,
	"shards":   Shards,
	"tasks":    Tasks,
	"workers":  Workers,
}

// IsCellWide reports whether every host has all rows of a noun, so that no other host has to be
// queried.
func IsCellWide(noun string) bool {
	return noun == "config" || noun == "hosts"
}

// View returns the table of a noun. It returns an error if the noun is unknown.
func View(d *decider.Decider, now time.Time, noun string) (tabler.Table, error) {
	view, found := views[noun]
	if !found {
		return tabler.Table{}, errors.Newf("%q can't be shown", noun)
	}
	return view(d, now), nil
}

// formatTime returns a time in UTC with milliseconds, or "-" for the zero time.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format("2006-01-02T15:04:05.000Z")
}

// formatAge returns the time from since to now, rounded to milliseconds, or "-" if since is zero.
func formatAge(now, since time.Time) string {
	if since.IsZero() {
		return "-"
	}
	return now.Sub(since).Round(time.Millisecond).String()
}

// orDash returns text, or "-" if it is empty.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// Config shows the keys of the cell's configuration with their values and versions.
func Config(d *decider.Decider, _ time.Time) tabler.Table {
	t := tabler.Table{Columns: []string{"key", "value", "version", "by", "at", "offset"}}
	for _, key := range sorter.Keys(d.ConfigState().Config) {
		e := d.ConfigState().Config[key]
		t.Add(key, e.Value, strconv.FormatInt(e.Version, 10), e.Author.Name, formatTime(e.At), strconv.FormatInt(e.Offset, 10))
	}
	return t
}

// Audit shows the audit trail of the data centre, oldest first. In the first data centre of the cell
// it includes that of the configuration, which would otherwise appear once per data centre.
func Audit(d *decider.Decider, _ time.Time) tabler.Table {
	t := tabler.Table{Columns: []string{
		"at", "by", "from", "action", "subject", "before", "after", "outcome", "id",
	}}
	entries := slices.Clone(d.DataCentreState().Audit)
	if d.DataCentre() == d.Cell().Layout.DataCentres[0] {
		entries = append(entries, d.ConfigState().Audit...)
	}
	slices.SortStableFunc(entries, func(a, b applier.AuditEntry) int { return a.At.Compare(b.At) })
	for _, e := range entries {
		outcome := "applied"
		if !e.Verdict.Applied {
			outcome = "lost: " + e.Verdict.Reason
		}
		t.Add(formatTime(e.At), e.Author.Name, orDash(e.Author.From), e.Action, e.Subject,
			orDash(e.Verdict.Before), orDash(e.Verdict.After), outcome, e.ID)
	}
	return t
}

// Hosts shows the platform's host list as this host last read it. Column "heard" tells for each
// entry host of its own data centre whether it counts that host as live.
func Hosts(d *decider.Decider, now time.Time) tabler.Table {
	t := tabler.Table{Columns: []string{"host", "role", "state", "data_centre", "region", "address", "rack", "heard"}}
	live := d.Membership(now).Live
	for _, h := range d.Hosts() {
		heard := "-"
		if h.Role == descriptor.RoleEntry && h.DataCentre == d.DataCentre() {
			heard = strconv.FormatBool(slices.ContainsFunc(live, func(id descriptor.HostID) bool { return id.Name == h.Name }))
		}
		t.Add(h.Name, string(h.Role), string(h.State), h.DataCentre, h.Region, h.Address.String(), orDash(h.Rack), heard)
	}
	return t
}

// holdsShard reports whether this host holds the claim of a shard, and therefore shows its rows.
func holdsShard(d *decider.Decider, shard descriptor.ShardID) bool {
	return d.DataCentreState().Claim(shard).Holder == d.Self()
}

// Jobs shows the jobs of the shards that this host holds.
func Jobs(d *decider.Decider, now time.Time) tabler.Table {
	t := tabler.Table{Columns: []string{
		"job", "kind", "team", "state", "tasks", "running", "done", "failures", "size", "age", "reason",
	}}
	for _, id := range sorter.Keys(d.DataCentreState().Jobs) {
		job := d.DataCentreState().Jobs[id]
		if !holdsShard(d, d.Cell().Layout.ShardOf(string(id))) {
			continue
		}
		counts := d.Tracker().CountStates(id)
		_, _, reason := d.Planner().PendingTasks(id)
		if job.Reason != "" {
			reason = job.Reason
		}
		t.Add(string(id), string(job.Job.Kind), job.Job.Team, jobState(job, counts),
			strconv.Itoa(job.Job.Tasks), strconv.Itoa(counts["running"]), strconv.Itoa(countDone(job)),
			strconv.Itoa(countFailures(job)), job.Job.Size.String(), formatAge(now, job.At), orDash(reason))
	}
	return t
}

// jobState returns the state column of a job: its end, or "running" or "waiting" while it is open.
func jobState(job *applier.JobState, counts map[string]int) string {
	switch {
	case !job.IsOpen():
		return string(job.End)
	case counts["running"] > 0:
		return "running"
	}
	return "waiting"
}

// countDone returns the number of tasks of a job that are done.
func countDone(job *applier.JobState) int {
	count := 0
	for index := range job.Ended {
		if job.IsTaskDone(index) {
			count++
		}
	}
	return count
}

// countFailures returns the number of failed attempts of all tasks of a job.
func countFailures(job *applier.JobState) int {
	count := 0
	for _, n := range job.Failures {
		count += n
	}
	return count
}

// Tasks shows the tasks of the shards that this host holds.
func Tasks(d *decider.Decider, now time.Time) tabler.Table {
	t := tabler.Table{Columns: []string{"task", "state", "attempt", "worker", "size", "usage", "since", "reason"}}
	for _, k := range d.Tracker().Tasks() {
		t.Add(k.Task.String(), k.State, strconv.Itoa(k.Attempt), orDash(k.Worker), k.Size.String(),
			k.Usage.String(), formatAge(now, k.Since), orDash(k.Reason))
	}
	return t
}

// Workers shows the workers of the shards that this host holds. The holder of the data centre's first
// shard also shows its upstreams, with slots in place of capacity.
func Workers(d *decider.Decider, _ time.Time) tabler.Table {
	t := tabler.Table{Columns: []string{"worker", "data_centre", "rack", "state", "tasks", "free", "capacity"}}
	for _, w := range d.Tracker().Workers() {
		t.Add(w.Host.Name, w.Host.DataCentre, w.Host.Rack, w.State, strconv.Itoa(w.Tasks),
			w.Free.String(), w.Host.Capacity.String())
	}
	for _, u := range d.Admitter().Upstreams() {
		if holdsShard(d, d.Cell().Layout.Shards(d.DataCentre())[0]) {
			t.Add(u.Name, d.DataCentre(), "upstream", u.State, strconv.Itoa(u.Busy),
				strconv.Itoa(u.Slots-u.Busy), strconv.Itoa(u.Slots))
		}
	}
	return t
}

// Requests shows the open requests of this host, and the closed requests of the shards that it holds.
func Requests(d *decider.Decider, now time.Time) tabler.Table {
	t := tabler.Table{Columns: []string{"request", "service", "state", "upstream", "attempt", "age"}}
	for _, r := range d.Admitter().Requests() {
		t.Add(r.Key, r.Service, r.State, orDash(r.Upstream), strconv.Itoa(r.Attempt), formatAge(now, r.Since))
	}
	for _, key := range sorter.Keys(d.DataCentreState().Requests) {
		r := d.DataCentreState().Requests[key]
		if !r.Closed || !holdsShard(d, d.Cell().Layout.ShardOf(key)) {
			continue
		}
		t.Add(key, orDash(r.Intent.Service), string(r.Outcome.End), orDash(fmt.Sprint(r.Intent.Upstreams)), "1", "-")
	}
	return t
}

// Shards shows the shards of the data centre whose claim this host holds, and those that were never
// claimed. Column "heir" is the designated successor of the holder, "window" the time until the holder's
// right to act ends (its lease), and "read" the age of the last read that reached the tail of the log.
func Shards(d *decider.Decider, now time.Time) tabler.Table {
	t := tabler.Table{Columns: []string{"shard", "holder", "heir", "epoch", "state", "window", "read"}}
	for _, s := range d.Shards() {
		if s.Claim.Epoch > 0 && s.Claim.Holder != d.Self() {
			continue
		}
		t.Add(s.Shard.String(), orDash(s.Claim.Holder.String()), orDash(s.Claim.Heir.String()),
			strconv.FormatInt(s.Claim.Epoch, 10), s.State,
			s.WindowEnd.Sub(now).Round(time.Millisecond).String(), formatAge(now, s.LastRead))
	}
	return t
}

// Quotas shows the quota of each team and its usage on the workers of this host's shards.
func Quotas(d *decider.Decider, _ time.Time) tabler.Table {
	t := tabler.Table{Columns: []string{"team", "data_centre", "quota_percent", "used", "used_percent"}}
	capacity := d.Planner().Pool().Capacity()
	for _, use := range d.Planner().Teams() {
		t.Add(use.Team, d.DataCentre(), strconv.FormatFloat(use.Percent, 'f', -1, 64), use.Used.String(),
			strconv.FormatFloat(100*use.Used.Share(capacity), 'f', 1, 64))
	}
	return t
}
