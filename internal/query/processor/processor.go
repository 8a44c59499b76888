// Package processor executes statements of the operators' query and command language on an entry host
// that replicates the cell's log. It shows tables of the replicated state, cancels jobs, and drains
// workers and racks.
//
// The state of the workers is known only to the holder, which is the host whose claim makes it the
// leader of the cell. Other hosts therefore forward commands to the holder and execute them only if
// it does not reply; tables then lack the running tasks.
//
// # Usage
//
//	t := processor.New(processor.Options{WithView: read, Refresh: refresh, Persist: persist, Explain: explain, IsRefused: isRefused})
//	reply := t.Execute(ctx, processor.Command{Text: "show jobs where state = running", Operator: "petra"})
package processor

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/registrar"
	"lentilrock.example/internal/fleet/summarizer"
	"lentilrock.example/internal/query/parser"
	"lentilrock.example/internal/query/tabler"
)

// Values of Outcome.State.
const (
	stateApplied     = "applied"
	stateRefused     = "refused"
	stateNotKnownYet = "not_known_yet"
)

// Command is a statement and the name of the operator who issued it.
type Command struct {
	Text     string `json:"text" cbor:"1,keyasint"`
	Operator string `json:"operator,omitempty" cbor:"2,keyasint,omitempty"`
}

// Outcome is the result of one requested change. State is "applied", "refused" or "not_known_yet";
// the last means that the append to the log failed and the record may or may not be stored.
type Outcome struct {
	ID     string `json:"id" cbor:"1,keyasint"`
	State  string `json:"state" cbor:"2,keyasint"`
	Reason string `json:"reason,omitempty" cbor:"3,keyasint,omitempty"`
}

// Reply is the response to a command. Error is set if the command could not be executed.
type Reply struct {
	Table    tabler.Table `json:"table" cbor:"1,keyasint"`
	Outcomes []Outcome    `json:"outcomes,omitempty" cbor:"2,keyasint,omitempty"`
	Error    string       `json:"error,omitempty" cbor:"3,keyasint,omitempty"`
}

// CellView is the state of the cell as this host knows it.
type CellView struct {
	Now    time.Time
	State  *journaler.State
	Config describer.Config
	Hosts  []journaler.Host
	// Registrar has the holder's records of jobs, tasks and workers. It is nil on all other hosts.
	Registrar *registrar.Registrar
	// Summarizer summarizes the workspaces of the holder. It is nil where Registrar is.
	Summarizer *summarizer.Summarizer
}

// Options configures a Processor.
type Options struct {
	// WithView calls a function with the present state while the host's lock is held.
	WithView func(read func(k CellView))
	// Refresh returns nil once the view has all records that the log had when it was called.
	Refresh func(ctx context.Context) error
	// Persist appends a record to the log. An error that wraps storer.ErrRefused means that the record
	// is not stored; after any other error it is unknown whether it is or will be stored.
	Persist func(ctx context.Context, record journaler.Record) error
	// Explain returns the latest scheduling decisions about a job, one per line.
	Explain func(job describer.JobID) []string
	// IsRefused reports whether an error returned by Persist means that the record was not and will not
	// be stored.
	IsRefused func(err error) bool
}

// Processor executes statements.
type Processor struct {
	options Options
}

// New returns a Processor.
func New(options Options) *Processor { return &Processor{options: options} }

// Execute parses and executes a command. Errors are returned in Reply.Error.
func (t *Processor) Execute(ctx context.Context, c Command) Reply {
	// Peers forward commands, too, in frames of any size.
	if len(c.Text) > maxCommandBytes {
		return Reply{Error: fmt.Sprintf("the command has %d bytes, over %d", len(c.Text), maxCommandBytes)}
	}
	s, err := parser.Parse(c.Text)
	if err != nil {
		return Reply{Error: err.Error()}
	}
	reply, err := t.execute(ctx, c, s)
	if err != nil {
		reply.Error = err.Error()
	}
	return reply
}

func (t *Processor) execute(ctx context.Context, c Command, s *parser.Statement) (Reply, error) {
	switch {
	case s.Explain:
		return Reply{}, errors.New("explain is not offered here: show jobs with the same conditions tells which are meant")
	case s.Show != nil:
		table, err := t.show(s.Show)
		return Reply{Table: table}, err
	case s.Cancel != nil:
		return t.cancel(ctx, c, s.Cancel)
	case s.Drain != nil:
		return t.drain(ctx, c, s.Drain, false)
	case s.Undrain != nil:
		return t.drain(ctx, c, s.Undrain, true)
	}
	return Reply{}, errors.New("this host takes its jobs from callers and its configuration from the platform's operators: " +
		"it can show, cancel, drain and undrain")
}

func (t *Processor) show(s *parser.Show) (tabler.Table, error) {
	if s.Why != "" {
		return t.why(s.Why)
	}
	view, found := views[s.Noun]
	if !found {
		return tabler.Table{}, errors.Newf("%s are not kept here", s.Noun)
	}
	var table tabler.Table
	t.options.WithView(func(k CellView) { table = view(k) })
	err := table.Select(s)
	return table, err
}

// cancel cancels the job with the given ID or, without an ID, all jobs that match the conditions.
func (t *Processor) cancel(ctx context.Context, c Command, s *parser.Cancel) (Reply, error) {
	ids := []string{s.ID}
	if s.ID == "" {
		if err := t.options.Refresh(ctx); err != nil {
			return Reply{}, errors.Wrap(err, "it is not known which jobs match")
		}
		table, err := t.show(&parser.Show{Noun: "jobs", Where: s.Where})
		if err != nil {
			return Reply{}, err
		}
		ids = ids[:0]
		for _, row := range table.Rows {
			ids = append(ids, row[0])
		}
	}
	var reply Reply
	for _, id := range ids {
		reply.Outcomes = append(reply.Outcomes, t.cancelJob(ctx, c, describer.JobID(id)))
	}
	return reply, nil
}

func (t *Processor) cancelJob(ctx context.Context, c Command, id describer.JobID) Outcome {
	now, state, isKnown := t.find(id)
	if !isKnown {
		if err := t.options.Refresh(ctx); err != nil {
			return Outcome{ID: string(id), State: stateRefused, Reason: "it is not known whether the job exists: " + err.Error()}
		}
		now, state, isKnown = t.find(id)
	}
	switch {
	case !isKnown:
		return Outcome{ID: string(id), State: stateRefused, Reason: "there is no such job"}
	case state.IsFinal():
		return Outcome{ID: string(id), State: stateRefused, Reason: "the job has ended"}
	}
	record, err := journaler.NewCancel(id, journaler.Cancel{At: now, By: c.Operator})
	return t.persist(ctx, string(id), record, err)
}

// find returns the present time and the state of a job; false if the view does not have the job.
func (t *Processor) find(id describer.JobID) (now time.Time, state describer.JobState, isKnown bool) {
	t.options.WithView(func(k CellView) {
		now = k.Now
		if entry, found := k.State.Find(id); found {
			state, isKnown = entry.JobState(), true
		}
	})
	return now, state, isKnown
}

// drain starts the drain of a worker or rack, or ends it if isLifted is set. Only the holder can
// check whether the worker or rack exists; other hosts accept any name, and so does the end of a drain.
func (t *Processor) drain(ctx context.Context, c Command, s *parser.Drain, isLifted bool) (Reply, error) {
	if s.Kind == "host" {
		return Reply{}, errors.New("entry hosts are taken out by the platform that runs them")
	}
	var now time.Time
	isKnown := false
	t.options.WithView(func(k CellView) {
		now = k.Now
		isKnown = isLifted || k.Registrar == nil || hasWorkerOrRack(k, s)
	})
	if !isKnown {
		return Reply{}, errors.Newf("there is no %s %q", s.Kind, s.Name)
	}
	record, err := journaler.NewDrain(journaler.Drain{Kind: s.Kind, Name: s.Name, By: c.Operator, At: now, IsLifted: isLifted})
	return Reply{Outcomes: []Outcome{t.persist(ctx, s.Kind+" "+s.Name, record, err)}}, nil
}

func hasWorkerOrRack(k CellView, s *parser.Drain) bool {
	for _, w := range k.Registrar.Ordered {
		if s.Kind == "worker" && w.Info.ID == s.Name || s.Kind == "rack" && w.Info.Rack == s.Name {
			return true
		}
	}
	return false
}

// persist appends the record of a change to the log and returns the outcome. The error is that of
// encoding the record; if it is set, nothing is appended.
func (t *Processor) persist(ctx context.Context, id string, record journaler.Record, err error) Outcome {
	if err == nil {
		err = t.options.Persist(ctx, record)
	}
	switch {
	case err == nil:
		return Outcome{ID: id, State: stateApplied}
	case t.options.IsRefused(err):
		return Outcome{ID: id, State: stateRefused, Reason: err.Error()}
	}
	return Outcome{ID: id, State: stateNotKnownYet, Reason: err.Error()}
}
