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

// fleet shows what a person on call wants to know first.
func (e *Executor) fleet(ctx context.Context) (tabler.Table, error) {
	t := tabler.Table{Columns: []string{"matter", "data_centre", "value"}}
	for _, dataCentre := range e.options.Layout.DataCentres {
		e.fleetOf(ctx, dataCentre, &t)
	}
	e.options.Runner.Look(ctx, func(d *decider.Decider) {
		t.Add("config_offset", d.DataCentre(), strconv.FormatInt(d.Config().Next, 10))
	})
	return t, nil
}

func (e *Executor) fleetOf(ctx context.Context, dataCentre string, t *tabler.Table) {
	jobs, err := e.viewOf(ctx, dataCentre, "jobs")
	if err != nil {
		t.Add("reachable", dataCentre, "no: "+err.Error())
		return
	}
	t.Add("reachable", dataCentre, "yes")
	t.Missing = append(t.Missing, jobs.Missing...)
	countBy(t, dataCentre, "jobs", jobs, 1, 3)
	if shards, err := e.viewOf(ctx, dataCentre, "shards"); err == nil {
		for _, row := range shards.Rows {
			t.Add("shard "+row[0], dataCentre, row[4]+" by "+row[1]+", heir "+row[2]+", log read "+row[6]+" ago")
		}
	}
	if workers, err := e.viewOf(ctx, dataCentre, "workers"); err == nil {
		countBy(t, dataCentre, "workers", workers, 3)
	}
}

// countBy adds the counts of rows that are alike in some columns.
func countBy(t *tabler.Table, dataCentre, matter string, rows tabler.Table, columns ...int) {
	counts := make(map[string]int)
	for _, row := range rows.Rows {
		var key []string
		for _, c := range columns {
			key = append(key, row[c])
		}
		counts[strings.Join(key, " ")]++
	}
	for _, key := range sorter.Keys(counts) {
		t.Add(matter+" "+key, dataCentre, strconv.Itoa(counts[key]))
	}
}

// links shows the bytes that this host sent to each data centre.
func (e *Executor) links() tabler.Table {
	t := tabler.Table{Columns: []string{"from", "to", "bytes_sent"}}
	counts := e.options.Messenger.Counts()
	for _, dataCentre := range sorter.Keys(counts.ByDataCentre) {
		t.Add(e.options.DataCentre, dataCentre, strconv.FormatUint(counts.ByDataCentre[dataCentre], 10))
	}
	return t
}

// why tells what a job or task waits for, and who decided.
func (e *Executor) why(ctx context.Context, id string) (tabler.Table, error) {
	job := id
	if task, err := descriptor.ParseTaskID(id); err == nil {
		job = string(task.Job)
	}
	dataCentre := e.options.Layout.Home(job)
	whole := tabler.Table{Columns: []string{"what", "value"}}
	for _, noun := range []string{"jobs", "tasks", "requests"} {
		table, err := e.viewOf(ctx, dataCentre, noun)
		if err != nil {
			whole.Missing = append(whole.Missing, "data centre "+dataCentre+": "+err.Error())
			continue
		}
		addMatching(&whole, table, job)
	}
	if len(whole.Rows) == 0 && len(whole.Missing) == 0 {
		return whole, errors.Newf("nothing is known of %q in %s", id, dataCentre)
	}
	return whole, nil
}

// addMatching adds each column of the rows whose first column is the id, or a task of it.
func addMatching(whole *tabler.Table, table tabler.Table, id string) {
	for _, row := range table.Rows {
		if row[0] != id && !strings.HasPrefix(row[0], id+"/") {
			continue
		}
		for i, value := range row {
			if value != "-" {
				whole.Add(row[0]+" "+table.Columns[i], value)
			}
		}
	}
}
