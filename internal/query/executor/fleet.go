package executor

import (
	"context"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/container/sorter"
	"lentilrock.example/internal/core/decider"
	"lentilrock.example/internal/query/tabler"
)

// fleet shows an overview for operators on call: for each data centre whether it can be reached, the
// number of jobs by kind and state, the claims of its shards, and the number of workers by state. It
// ends with the offset up to which this host has applied the configuration.
func (e *Executor) fleet(ctx context.Context) (tabler.Table, error) {
	t := tabler.Table{Columns: []string{"matter", "data_centre", "value"}}
	for _, dataCentre := range e.options.Layout.DataCentres {
		e.addDataCentre(ctx, dataCentre, &t)
	}
	e.options.Runner.Inspect(ctx, func(d *decider.Decider) {
		t.Add("config_offset", d.DataCentre(), strconv.FormatInt(d.ConfigState().Next, 10))
	})
	return t, nil
}

// addDataCentre adds the overview of one data centre.
func (e *Executor) addDataCentre(ctx context.Context, dataCentre string, t *tabler.Table) {
	jobs, err := e.viewDataCentre(ctx, dataCentre, "jobs")
	if err != nil {
		t.Add("reachable", dataCentre, "no: "+err.Error())
		return
	}
	t.Add("reachable", dataCentre, "yes")
	t.Missing = append(t.Missing, jobs.Missing...)
	addCounts(t, dataCentre, "jobs", jobs, 1, 3)
	if shards, err := e.viewDataCentre(ctx, dataCentre, "shards"); err == nil {
		for _, row := range shards.Rows {
			t.Add("shard "+row[0], dataCentre, row[4]+" by "+row[1]+", heir "+row[2]+", log read "+row[6]+" ago")
		}
	}
	if workers, err := e.viewDataCentre(ctx, dataCentre, "workers"); err == nil {
		addCounts(t, dataCentre, "workers", workers, 3)
	}
}

// addCounts groups rows by the given columns and adds the number of rows in each group, under label
// and the values of these columns.
func addCounts(t *tabler.Table, dataCentre, label string, source tabler.Table, columns ...int) {
	counts := make(map[string]int)
	for _, row := range source.Rows {
		var key []string
		for _, c := range columns {
			key = append(key, row[c])
		}
		counts[strings.Join(key, " ")]++
	}
	for _, key := range sorter.Keys(counts) {
		t.Add(label+" "+key, dataCentre, strconv.Itoa(counts[key]))
	}
}

// links shows the number of bytes that this host has sent to each data centre.
func (e *Executor) links() tabler.Table {
	t := tabler.Table{Columns: []string{"from", "to", "bytes_sent"}}
	counts := e.options.Messenger.Counts()
	for _, dataCentre := range sorter.Keys(counts.ByDataCentre) {
		t.Add(e.options.DataCentre, dataCentre, strconv.FormatUint(counts.ByDataCentre[dataCentre], 10))
	}
	return t
}

// why shows what a job or task is waiting for and why: all columns of the rows of the job, its tasks
// and the request with the same ID, from the job's home data centre. A task ID selects the job that the
// task belongs to. Views that can't be read are listed in Missing.
func (e *Executor) why(ctx context.Context, id string) (tabler.Table, error) {
	job := id
	if task, err := descriptor.ParseTaskID(id); err == nil {
		job = string(task.Job)
	}
	dataCentre := e.options.Layout.Home(job)
	merged := tabler.Table{Columns: []string{"what", "value"}}
	for _, noun := range []string{"jobs", "tasks", "requests"} {
		table, err := e.viewDataCentre(ctx, dataCentre, noun)
		if err != nil {
			merged.Missing = append(merged.Missing, "data centre "+dataCentre+": "+err.Error())
			continue
		}
		addMatching(&merged, table, job)
	}
	if len(merged.Rows) == 0 && len(merged.Missing) == 0 {
		return merged, errors.Newf("nothing is known of %q in %s", id, dataCentre)
	}
	return merged, nil
}

// addMatching adds a row for each non-empty column of the rows whose first column is the ID, or the ID
// of a task of that job.
func addMatching(merged *tabler.Table, table tabler.Table, id string) {
	for _, row := range table.Rows {
		if row[0] != id && !strings.HasPrefix(row[0], id+"/") {
			continue
		}
		for i, value := range row {
			if value != "-" {
				merged.Add(row[0]+" "+table.Columns[i], value)
			}
		}
	}
}
