package processor

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/container/sorter"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/monitor"
	"lentilrock.example/internal/fleet/tasker"
	"lentilrock.example/internal/query/tabler"
)

// maxListedTasks bounds the rows of the table of tasks, which is built while the host's state is locked.
const maxListedTasks = 10_000

// views maps the nouns of show statements to the functions that build their tables.
var views = map[string]func(k CellView) tabler.Table{
	"audit": audit, "config": config, "fleet": fleet, "hosts": hosts, "jobs": jobs, "tasks": tasks, "workers": workers, "workspaces": workspaces,
}

// jobStates maps the states of jobs to the names that are shown to operators.
var jobStates = [...]string{
	describer.JobQueued: "waiting", describer.JobRunning: "running", describer.JobCompleted: "done",
	describer.JobFailed: "failed", describer.JobCancelled: "cancelled",
}

// age returns the time since a moment, rounded to milliseconds, or "-" if the moment is not set.
func age(k CellView, since time.Time) string {
	if since.IsZero() {
		return "-"
	}
	return k.Now.Sub(since).Round(time.Millisecond).String()
}

// orDash returns text, or "-" if it is empty.
func orDash(text string) string { return cmp.Or(text, "-") }

// addMissingRuns notes in a table that it lacks the state of tasks and workers, which only the holder
// of the cell has.
func addMissingRuns(t *tabler.Table) {
	t.Missing = append(t.Missing, "what runs: this host does not hold the cell, and the holder did not answer")
}

func sortRows(t *tabler.Table) {
	slices.SortFunc(t.Rows, func(a, b []string) int { return cmp.Compare(a[0], b[0]) })
}

func jobs(k CellView) tabler.Table {
	t := tabler.Table{Columns: []string{"job", "queue", "state", "age", "steps", "reason"}}
	for id, e := range k.State.Jobs {
		if e.Job != nil {
			t.Add(string(id), e.Job.Queue.Name, jobStates[e.JobState()], age(k, e.Job.Received), strconv.Itoa(len(e.Job.Steps)), orDash(e.Progress.Reason))
		}
	}
	sortRows(&t)
	return t
}

func tasks(k CellView) tabler.Table {
	t := tabler.Table{Columns: []string{"task", "state", "worker", "run", "age", "percent"}}
	if k.Registrar == nil {
		addMissingRuns(&t)
		return t
	}
	for _, id := range sorter.Keys(k.Registrar.Jobs) {
		if !addTasks(&t, k, k.Registrar.Jobs[id]) {
			t.Missing = append(t.Missing, fmt.Sprintf("the other tasks: there are over %d", maxListedTasks))
			break
		}
	}
	sortRows(&t)
	return t
}

// addTasks adds the tasks of a job that are not done to a table. It returns false if there are too many of them.
func addTasks(t *tabler.Table, k CellView, j *tasker.Job) bool {
	for s := range j.Open() {
		for task := range s.Open() {
			if len(t.Rows) == maxListedTasks {
				return false
			}
			r := task.Run
			if r == nil {
				t.Add(task.Ref().String(), "waiting", "-", "-", age(k, task.UnplacedSince), "-")
				continue
			}
			state := "running"
			if r.ConfirmedAt.IsZero() {
				state = "ordered"
			}
			t.Add(task.Ref().String(), state, r.Worker, strconv.FormatInt(r.Number, 10), age(k, r.SentAt), strconv.Itoa(r.Done))
		}
	}
	return true
}

func workers(k CellView) tabler.Table {
	t := tabler.Table{Columns: []string{"worker", "service", "data_centre", "rack", "state", "runs", "cores", "memory_mb", "heard"}}
	if k.Registrar == nil {
		addMissingRuns(&t)
		return t
	}
	for _, w := range k.Registrar.Ordered {
		t.Add(w.Info.ID, orDash(w.Info.Service), orDash(w.Info.DataCentre), orDash(w.Info.Rack), workerState(k, w), strconv.Itoa(len(w.Runs)),
			fmt.Sprintf("%.1f/%.1f", float64(w.Used.MilliCPU)/1000, float64(w.Info.Capacity.MilliCPU)/1000),
			fmt.Sprintf("%d/%d", w.Used.MemoryMB, w.Info.Capacity.MemoryMB), age(k, w.RepliedAt))
	}
	sortRows(&t)
	return t
}

// workerState returns the state column of a worker: "ready" if it is given new runs, otherwise the
// first reason why it is not.
func workerState(k CellView, w *monitor.Worker) string {
	switch {
	case !w.IsListed:
		return "unlisted"
	case w.HasFailedPoll:
		return "silent"
	case w.IsDrained:
		return "drained"
	case w.IsLeaving, w.Info.Draining:
		return "leaving"
	case !w.Breaker.AllowsStarts(k.Now):
		return "distrusted"
	case !w.AcceptsTasks(k.Now):
		return "unready"
	}
	return "ready"
}

func hosts(k CellView) tabler.Table {
	t := tabler.Table{Columns: []string{"host", "data_centre", "address", "incarnation", "cores", "role"}}
	for _, h := range k.Hosts {
		role := "-"
		if claim := k.State.Claim; claim.Host == h.Name && !claim.Released {
			role = "holder of epoch " + strconv.FormatInt(claim.Epoch, 10)
		}
		t.Add(h.Name, h.DataCentre, h.Address, h.Incarnation, strconv.FormatFloat(h.Cores, 'f', 2, 64), role)
	}
	return t
}

func config(k CellView) tabler.Table {
	t := tabler.Table{Columns: []string{"queue", "service", "host", "prefix", "priority", "attempts", "latency"}}
	for _, q := range k.Config.Queues {
		t.Add(q.Name, q.Service, q.Host, q.Prefix, strconv.Itoa(q.Priority), strconv.Itoa(q.MaxAttempts), q.Latency.String())
	}
	sortRows(&t)
	t.Notes = append(t.Notes, "version "+strconv.FormatInt(k.Config.Version, 10))
	return t
}

// audit shows the changes made by operators, the newest first.
func audit(k CellView) tabler.Table {
	t := tabler.Table{Columns: []string{"at", "by", "change"}}
	for _, d := range k.State.Drains {
		verb := "drain"
		if d.IsLifted {
			verb = "undrain"
		}
		t.Add(d.At.UTC().Format(time.RFC3339Nano), orDash(d.By), verb+" "+d.Kind+" "+d.Name)
	}
	for id, e := range k.State.Jobs {
		if e.Cancelled && e.Cancel.By != "" {
			t.Add(e.Cancel.At.UTC().Format(time.RFC3339Nano), e.Cancel.By, "cancel "+string(id))
		}
	}
	slices.SortFunc(t.Rows, func(a, b []string) int { return cmp.Compare(b[0], a[0]) })
	return t
}

// fleet shows the number of jobs and of workers in each state.
func fleet(k CellView) tabler.Table {
	t := tabler.Table{Columns: []string{"what", "state", "count"}}
	count := func(what string, source tabler.Table, column int) {
		byState := make(map[string]int)
		for _, row := range source.Rows {
			byState[row[column]]++
		}
		for state, n := range byState {
			t.Add(what, state, strconv.Itoa(n))
		}
		t.Missing = append(t.Missing, source.Missing...)
	}
	count("jobs", jobs(k), 2)
	count("workers", workers(k), 4)
	slices.SortFunc(t.Rows, slices.Compare[[]string])
	return t
}

// why shows the state of a job, or of the job that a task belongs to, with its unfinished tasks and
// the latest scheduling decisions about it.
func (t *Processor) why(id string) (tabler.Table, error) {
	job := describer.JobID(id)
	if ref, err := describer.ParseTaskRef(id); err == nil {
		job = ref.Job
	}
	table := tabler.Table{Columns: []string{"what", "value"}}
	t.options.WithView(func(k CellView) {
		entry, found := k.State.Find(job)
		if !found {
			return
		}
		addJobRows(&table, k, entry)
		addHoldRows(&table, k, job)
		for _, row := range tasks(k).Rows {
			if ref, err := describer.ParseTaskRef(row[0]); err == nil && ref.Job == job {
				table.Add("task "+row[0], fmt.Sprintf("%s worker=%s run=%s age=%s", row[1], row[2], row[3], row[4]))
			}
		}
		if k.Registrar == nil {
			addMissingRuns(&table)
		}
	})
	if len(table.Rows) == 0 {
		return table, errors.Newf("nothing is known of %q", id)
	}
	for _, line := range t.options.Explain(job) {
		table.Add("decided", line)
	}
	return table, nil
}

// addJobRows adds the state of a job and of its steps.
func addJobRows(table *tabler.Table, k CellView, e *journaler.Entry) {
	table.Add("state", jobStates[e.JobState()])
	table.Add("queue", e.Job.Queue.Name)
	table.Add("received", e.Job.Received.UTC().Format(time.RFC3339Nano))
	table.Add("age", age(k, e.Job.Received))
	if e.Progress.Reason != "" {
		table.Add("reason", e.Progress.Reason)
	}
	if e.Cancelled {
		table.Add("cancelled", e.Cancel.At.UTC().Format(time.RFC3339Nano)+" by "+cmp.Or(e.Cancel.By, "its caller"))
	}
	for _, p := range e.Progress.Steps {
		table.Add(fmt.Sprintf("step %d.%d", p.Occurrence, p.Step), fmt.Sprintf("done=%v failed=%v", p.Done, p.Failed))
	}
}
