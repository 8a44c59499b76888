// Package teller carries out statements of the operators' language on a host that follows the
// cell's log: it shows what is known, and cancels and drains.
//
// What workers do is known to the holder of the cell alone, so other hosts pass commands on.
//
// # Usage
//
//	t := teller.New(teller.Options{Read: read, Change: keep, Explain: lines})
//	reply := t.Execute(ctx, teller.Command{Text: "show jobs where state = running", Operator: "petra"})
package teller

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/registrar"
	"lentilrock.example/internal/query/parser"
	"lentilrock.example/internal/query/tabler"
)

// States of a change's outcome.
const (
	stateApplied = "applied"
	stateRefused = "refused"
	stateOpen    = "not_known_yet"
)

// Command is a statement with the operator who makes it.
type Command struct {
	Text     string `json:"text" cbor:"1,keyasint"`
	Operator string `json:"operator,omitempty" cbor:"2,keyasint,omitempty"`
}

// Outcome is what became of a change.
type Outcome struct {
	ID     string `json:"id" cbor:"1,keyasint"`
	State  string `json:"state" cbor:"2,keyasint"`
	Reason string `json:"reason,omitempty" cbor:"3,keyasint,omitempty"`
}

// Reply is the answer to a command.
type Reply struct {
	Table    tabler.Table `json:"table" cbor:"1,keyasint"`
	Outcomes []Outcome    `json:"outcomes,omitempty" cbor:"2,keyasint,omitempty"`
	Error    string       `json:"error,omitempty" cbor:"3,keyasint,omitempty"`
}

// Known is what a host knows of the cell.
type Known struct {
	Now    time.Time
	State  *journaler.State
	Config describer.Config
	Hosts  []journaler.Host
	// Registrar is nil on hosts that don't hold the cell.
	Registrar *registrar.Registrar
}

// Options are what a teller is made from.
type Options struct {
	// Read runs a function on what the host knows, under its lock.
	Read func(read func(k Known))
	// Keep keeps a record. Errors wrap storer.ErrRefused, or leave the outcome open.
	Keep func(ctx context.Context, record journaler.Record) error
	// Explain returns what was decided about a job lately, a line each.
	Explain func(job describer.JobID) []string
	// IsRefused reports whether an error of Keep means that nothing was or will be kept.
	IsRefused func(err error) bool
}

// Teller carries statements out.
type Teller struct {
	options Options
}

// New returns a teller.
func New(options Options) *Teller { return &Teller{options: options} }

// Execute carries a command out.
func (t *Teller) Execute(ctx context.Context, c Command) Reply {
	s, err := parser.Parse(c.Text)
	if err != nil {
		return Reply{Error: err.Error()}
	}
	reply, err := t.run(ctx, c, s)
	if err != nil {
		reply.Error = err.Error()
	}
	return reply
}

func (t *Teller) run(ctx context.Context, c Command, s *parser.Statement) (Reply, error) {
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

func (t *Teller) show(s *parser.Show) (tabler.Table, error) {
	if s.Why != "" {
		return t.why(s.Why)
	}
	view, found := views[s.Noun]
	if !found {
		return tabler.Table{}, errors.Newf("%s are not kept here", s.Noun)
	}
	var table tabler.Table
	t.options.Read(func(k Known) { table = view(k) })
	err := table.Select(s)
	return table, err
}

// cancel cancels a job, or all for which conditions hold.
func (t *Teller) cancel(ctx context.Context, c Command, s *parser.Cancel) (Reply, error) {
	ids := []string{s.ID}
	if s.ID == "" {
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
		reply.Outcomes = append(reply.Outcomes, t.cancelOne(ctx, c, describer.JobID(id)))
	}
	return reply, nil
}

func (t *Teller) cancelOne(ctx context.Context, c Command, id describer.JobID) Outcome {
	var state describer.JobState
	isKnown := false
	var now time.Time
	t.options.Read(func(k Known) {
		now = k.Now
		if entry, found := k.State.Find(id); found {
			isKnown, state = true, entry.JobState()
		}
	})
	switch {
	case !isKnown:
		return Outcome{ID: string(id), State: stateRefused, Reason: "there is no such job"}
	case state.IsFinal():
		return Outcome{ID: string(id), State: stateRefused, Reason: "the job has ended"}
	}
	record, err := journaler.NewCancel(id, journaler.Cancel{At: now, By: c.Operator})
	return t.keep(ctx, string(id), record, err)
}

// drain begins or ends a drain.
func (t *Teller) drain(ctx context.Context, c Command, s *parser.Drain, isLifted bool) (Reply, error) {
	if s.Kind == "host" {
		return Reply{}, errors.New("entry hosts are taken out by the platform that runs them")
	}
	var now time.Time
	isKnown := false
	t.options.Read(func(k Known) {
		now = k.Now
		isKnown = isLifted || k.Registrar == nil || hasWorkerOrRack(k, s)
	})
	if !isKnown {
		return Reply{}, errors.Newf("there is no %s %q", s.Kind, s.Name)
	}
	record, err := journaler.NewDrain(journaler.Drain{Kind: s.Kind, Name: s.Name, By: c.Operator, At: now, IsLifted: isLifted})
	return Reply{Outcomes: []Outcome{t.keep(ctx, s.Kind+" "+s.Name, record, err)}}, nil
}

func hasWorkerOrRack(k Known, s *parser.Drain) bool {
	for _, w := range k.Registrar.Ordered {
		if s.Kind == "worker" && w.Info.ID == s.Name || s.Kind == "rack" && w.Info.Rack == s.Name {
			return true
		}
	}
	return false
}

// keep keeps the record of a change.
func (t *Teller) keep(ctx context.Context, id string, record journaler.Record, err error) Outcome {
	if err == nil {
		err = t.options.Keep(ctx, record)
	}
	switch {
	case err == nil:
		return Outcome{ID: id, State: stateApplied}
	case t.options.IsRefused(err):
		return Outcome{ID: id, State: stateRefused, Reason: err.Error()}
	}
	return Outcome{ID: id, State: stateOpen, Reason: err.Error()}
}
