package decider

import (
	"strconv"
	"strings"
	"time"

	"lentilrock.example/internal/cell/applier"
	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/cell/recorder"
	"lentilrock.example/internal/container/sorter"
	"lentilrock.example/internal/core/signaller"
	"lentilrock.example/internal/core/validator"
)

// resultsInterval is the time between two appends of the results of ended tasks. It limits the number of appends,
// however many tasks end.
const resultsInterval = 500 * time.Millisecond

func (d *Decider) handleLogRead(now time.Time, e signaller.LogRead, out *signaller.Outbox) {
	if e.Stream == recorder.ConfigStream {
		d.readConfig(e, out)
		return
	}
	d.isLogReadable = true
	for _, entry := range e.Entries {
		d.applyLocal(now, entry, out)
	}
	if !e.AtTail {
		return
	}
	d.lastRead = e.SentAt
	for _, c := range d.claimers {
		c.ObserveRead(now, e.SentAt, d.local.Claim(c.Shard()))
	}
	d.syncShards(now, out)
}

func (d *Decider) readConfig(e signaller.LogRead, out *signaller.Outbox) {
	for _, entry := range e.Entries {
		if entry.Unreadable {
			d.config.Skip(entry.Offset)
			continue
		}
		verdict := d.config.Apply(entry.Offset, entry.Record)
		d.resolveProposal(entry, verdict, out)
	}
	if len(e.Entries) > 0 {
		d.applyConfig()
	}
}

// resolveProposal reports the verdict on a record if this host has proposed it.
func (d *Decider) resolveProposal(entry signaller.Entry, verdict applier.Verdict, out *signaller.Outbox) {
	if !d.proposals[entry.Record.ID] {
		return
	}
	delete(d.proposals, entry.Record.ID)
	out.Add(signaller.Settled{RecordID: entry.Record.ID, Offset: entry.Offset, Verdict: verdict})
}

// applyLocal applies a record of the data centre's stream and passes it to the parts that it concerns.
func (d *Decider) applyLocal(now time.Time, entry signaller.Entry, out *signaller.Outbox) {
	if entry.Unreadable {
		d.local.Skip(entry.Offset)
		return
	}
	if entry.Offset < d.local.Next {
		return
	}
	verdict := d.local.Apply(entry.Offset, entry.Record)
	d.resolveProposal(entry, verdict, out)
	switch body := entry.Record.Body.(type) {
	case recorder.Claim:
		d.handleClaim(body, verdict)
	case recorder.CloseJobs:
		for _, id := range body.Jobs {
			delete(d.closingJobs, id)
			d.tracker.Close(now, id, out)
		}
	case recorder.Intent:
		delete(d.heldIntents, body.Key)
		d.admitter.IntentRecorded(now, body, verdict.Applied, verdict.Reason, out)
	case recorder.Outcome:
		delete(d.heldIntents, body.Key)
		d.admitter.OutcomeRecorded(d.local.Requests[body.Key].Outcome, out)
	case recorder.Submit:
		d.handleSubmit(now, body, verdict, out)
	case recorder.TaskBegun:
		d.tracker.BeginRecorded(now, body, verdict.Applied, out)
	case recorder.TasksEnded:
		d.handleTasksEnded(now, body, out)
	}
}

// handleClaim discards a claim of this host that had no effect at its offset.
func (d *Decider) handleClaim(body recorder.Claim, verdict applier.Verdict) {
	c := d.claimer(body.Shard)
	if c != nil && body.Holder == d.options.Self && !verdict.Applied {
		c.ClaimFailed(body.Epoch)
	}
}

// handleSubmit adopts a newly accepted job if this host holds its shard and the inventories of the shard are known.
func (d *Decider) handleSubmit(now time.Time, body recorder.Submit, verdict applier.Verdict, out *signaller.Outbox) {
	if !verdict.Applied {
		return
	}
	shard := d.options.Layout.ShardOf(string(body.Job.ID))
	c := d.claimer(shard)
	if c != nil && c.IsHolder() && d.tracker.HasInventories(now, shard) {
		d.adopt(now, shard, d.local.Jobs[body.Job.ID], out)
	}
}

// adopt queues the tasks of a job, or closes the job as refused if no worker could ever run it.
func (d *Decider) adopt(now time.Time, shard descriptor.ShardID, job *applier.JobState, out *signaller.Outbox) {
	if reason := validator.ImpossibleReason(job.Job, d.Cell()); reason != "" {
		d.closeJob(now, job.Job.ID, recorder.JobRefused, reason, out)
		return
	}
	d.tracker.Adopt(now, shard, job, out)
	d.closeIfFinished(now, job, out)
}

func (d *Decider) handleTasksEnded(now time.Time, body recorder.TasksEnded, out *signaller.Outbox) {
	job, found := d.local.Jobs[body.Job]
	if !found {
		return
	}
	d.tracker.ResultsRecorded(now, job, body.Ended)
	c := d.claimer(d.options.Layout.ShardOf(string(body.Job)))
	if c != nil && c.CanAct(now) {
		d.closeIfFinished(now, job, out)
	}
}

// closeIfFinished closes a job if all its tasks are done, or if a task has failed more than MaxRetries times.
func (d *Decider) closeIfFinished(now time.Time, job *applier.JobState, out *signaller.Outbox) {
	if !job.IsOpen() || d.closingJobs[job.Job.ID] {
		return
	}
	for _, index := range sorter.Keys(job.Failures) {
		if job.Failures[index] > job.Job.MaxRetries {
			reason := "task " + strconv.Itoa(index) + " failed " + strconv.Itoa(job.Failures[index]) + " times"
			d.closeJob(now, job.Job.ID, recorder.JobFailed, reason, out)
			return
		}
	}
	if len(job.Ended) >= job.Job.Tasks && job.IsDone() {
		d.closeJob(now, job.Job.ID, recorder.JobDone, "", out)
	}
}

// closeJob appends the record that closes a job.
func (d *Decider) closeJob(now time.Time, id descriptor.JobID, end recorder.JobEnd, reason string, out *signaller.Outbox) {
	d.closingJobs[id] = true
	record := recorder.New("close."+string(id)+"."+d.options.Self.String(), now, d.author, recorder.CloseJobs{
		Jobs: []descriptor.JobID{id}, End: end, Reason: reason,
	})
	out.Add(signaller.Append{
		Stream:  recorder.DataCentreStream(d.options.DataCentre),
		Records: []recorder.Record{record},
	})
}

// appendResults appends the results of ended tasks to the log, with one record per job, in one append.
func (d *Decider) appendResults(now time.Time, out *signaller.Outbox) {
	if !d.CanAppend() || now.Before(d.nextResultsAt) {
		return
	}
	bodies := d.tracker.TakeResults()
	if len(bodies) == 0 {
		return
	}
	d.nextResultsAt = now.Add(resultsInterval)
	records := make([]recorder.Record, 0, len(bodies))
	for i, body := range bodies {
		id := "ended." + string(body.Job) + "." + strconv.FormatInt(now.UnixNano(), 36) + "." + strconv.Itoa(i)
		records = append(records, recorder.New(id, now, d.author, body))
	}
	out.Add(signaller.Append{Stream: recorder.DataCentreStream(d.options.DataCentre), Records: records})
}

// handleAppendFailed handles records that the log has definitely refused. They will never take effect.
func (d *Decider) handleAppendFailed(now time.Time, e signaller.AppendFailed, out *signaller.Outbox) {
	d.appendBlockedUntil = now.Add(appendPause)
	for _, record := range e.Records {
		switch body := record.Body.(type) {
		case recorder.Claim:
			if c := d.claimer(body.Shard); c != nil {
				c.ClaimFailed(body.Epoch)
			}
		case recorder.Intent:
			d.admitter.IntentFailed(body.Key, out)
		case recorder.TaskBegun:
			d.tracker.BeginRecorded(now, body, false, out)
		}
		if d.proposals[record.ID] {
			delete(d.proposals, record.ID)
			out.Add(signaller.Settled{RecordID: record.ID, Failed: true})
		}
	}
}

// tickLog detects that the platform's log went down or came back.
func (d *Decider) tickLog(now time.Time, out *signaller.Outbox) {
	isUp := d.CanAppend()
	if isUp && !d.wasLogUp {
		d.admitter.LogRecovered(now, out)
	}
	if isUp != d.wasLogUp {
		out.Report("Availability of the platform's log changed.", "up", strconv.FormatBool(isUp))
	}
	d.wasLogUp = isUp
}

// Prefixes of configuration keys: drains of hosts, workers and racks, and the quota of each team in percent.
const (
	ConfigDrain = "drain."
	ConfigQuota = "quota."
)

// applyConfig applies the drains and quotas of the configuration. A quota that is not a number is ignored.
func (d *Decider) applyConfig() {
	d.configVersion = max(d.configVersion, d.config.Next)
	drains := make(map[string]bool)
	for key, entry := range d.config.Config {
		if name, found := strings.CutPrefix(key, ConfigDrain); found {
			drains[name] = entry.Value == "true"
		}
		if name, found := strings.CutPrefix(key, ConfigQuota); found {
			percent, err := strconv.ParseFloat(entry.Value, 64)
			if err == nil {
				d.planner.SetQuota(name, percent)
			}
		}
	}
	d.isDrained = drains["host."+d.options.Self.Name]
	d.tracker.SetDrains(d.now, drains)
}

func (d *Decider) handleHostsListed(now time.Time, e signaller.HostsListed) {
	d.hosts = e.Hosts
	d.setWorkers(now, e.SentAt)
	var upstreams []descriptor.Host
	for _, host := range e.Hosts {
		if host.Role == descriptor.RoleUpstream && host.DataCentre == d.options.DataCentre {
			upstreams = append(upstreams, host)
		}
	}
	d.admitter.SetUpstreams(upstreams)
}

// setWorkers passes the workers of the data centre to the tracker. sentAt is when the host list was requested.
func (d *Decider) setWorkers(now, sentAt time.Time) {
	workers := make(map[string]descriptor.Host)
	for _, host := range d.hosts {
		if host.Role == descriptor.RoleWorker && host.DataCentre == d.options.DataCentre {
			workers[host.Name] = host
		}
	}
	d.tracker.SetWorkers(now, sentAt, workers, func(host descriptor.Host) descriptor.ShardID {
		return d.options.Layout.ShardOfRack(host.DataCentre, host.Rack)
	})
}
