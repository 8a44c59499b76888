// Package executor carries out statements of the operators' language on a host: queries
// over the whole cell, and changes through the log.
//
// # Usage
//
//	e := executor.New(executor.Options{Runner: runner, Messenger: m, ...})
//	reply := e.Execute(ctx, executor.Command{Text: "show jobs", Author: author})
package executor

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/cell/recorder"
	"lentilrock.example/internal/core/decider"
	"lentilrock.example/internal/node/runner"
	"lentilrock.example/internal/peer/messenger"
	"lentilrock.example/internal/peer/speaker"
	"lentilrock.example/internal/query/parser"
	"lentilrock.example/internal/query/tabler"
	"lentilrock.example/internal/query/viewer"
)

// Command is a statement of an operator.
type Command struct {
	Text string `json:"text"`
	// ID makes a change safe to ask for again; empty takes a new one.
	ID     string          `json:"id,omitempty"`
	Author recorder.Author `json:"author"`
}

// Reply is the answer to a command.
type Reply struct {
	Table    tabler.Table      `json:"table"`
	Outcomes []speaker.Outcome `json:"outcomes,omitempty"`
	Error    string            `json:"error,omitempty"`
}

// Failed reports whether the command was not carried out whole.
func (r Reply) Failed() bool {
	if r.Error != "" {
		return true
	}
	for _, o := range r.Outcomes {
		if o.State != speaker.OutcomeApplied {
			return true
		}
	}
	return false
}

// Options are what an executor works with.
type Options struct {
	Runner     *runner.Runner
	Messenger  *messenger.Messenger
	Clock      clockwork.Clock
	Layout     descriptor.Layout
	DataCentre string
}

// Executor carries out statements.
type Executor struct {
	options Options
}

// peerTimeout bounds the wait for the rows of another host.
const peerTimeout = 2 * time.Second

const callView = "view"

// scope says how far a query of a peer reaches.
type scope string

const (
	scopeDataCentre scope = "data_centre"
	scopeHost       scope = "host"
)

type viewQuestion struct {
	Noun  string `cbor:"noun"`
	Scope scope  `cbor:"scope"`
}

// New returns an executor, which also answers other hosts' queries.
func New(options Options) *Executor {
	e := &Executor{options: options}
	messenger.Handle(options.Messenger, callView,
		func(ctx context.Context, _ messenger.Hello, q viewQuestion) (tabler.Table, error) {
			if q.Scope == scopeHost {
				return e.viewHere(ctx, q.Noun)
			}
			return e.viewDataCentre(ctx, q.Noun)
		})
	return e
}

// Execute carries out a command.
func (e *Executor) Execute(ctx context.Context, c Command) Reply {
	statement, err := parser.Parse(c.Text)
	if err != nil {
		return Reply{Error: err.Error()}
	}
	reply, err := e.run(ctx, c, statement)
	if err != nil {
		reply.Error = err.Error()
	}
	return reply
}

func (e *Executor) run(ctx context.Context, c Command, s *parser.Statement) (Reply, error) {
	switch {
	case s.Show != nil:
		table, err := e.show(ctx, s.Show)
		return Reply{Table: table}, err
	case s.Explain:
		return e.explain(ctx, s)
	}
	proposals, err := e.proposals(ctx, c, s)
	if err != nil {
		return Reply{}, err
	}
	reply := Reply{}
	for _, p := range proposals {
		reply.Outcomes = append(reply.Outcomes, e.options.Runner.Propose(ctx, p))
	}
	return reply, nil
}

// show gathers the rows of a noun, then filters, orders and cuts them.
func (e *Executor) show(ctx context.Context, s *parser.Show) (tabler.Table, error) {
	if s.Why != "" {
		return e.why(ctx, s.Why)
	}
	table, err := e.gather(ctx, s.Noun)
	if err != nil {
		return tabler.Table{}, err
	}
	if err := table.Select(s); err != nil {
		return tabler.Table{}, err
	}
	return table, nil
}

// gather collects the rows of a noun from the whole cell, and names the data centres that
// could not be reached.
func (e *Executor) gather(ctx context.Context, noun string) (tabler.Table, error) {
	switch noun {
	case "fleet":
		return e.fleet(ctx)
	case "links":
		return e.links(), nil
	}
	if viewer.IsCellWide(noun) {
		return e.viewHere(ctx, noun)
	}
	var whole tabler.Table
	for _, dataCentre := range e.options.Layout.DataCentres {
		table, err := e.viewOf(ctx, dataCentre, noun)
		if err != nil {
			table.Missing = append(table.Missing, "data centre "+dataCentre+": "+err.Error())
		}
		whole.Append(table)
	}
	return whole, nil
}

func (e *Executor) viewOf(ctx context.Context, dataCentre, noun string) (tabler.Table, error) {
	if dataCentre == e.options.DataCentre {
		return e.viewDataCentre(ctx, noun)
	}
	for _, entry := range e.options.Runner.EntriesOf(dataCentre) {
		table, err := e.ask(ctx, entry, viewQuestion{Noun: noun, Scope: scopeDataCentre})
		if err == nil {
			return table, nil
		}
	}
	return tabler.Table{}, errors.New("no host can be reached")
}

func (e *Executor) ask(ctx context.Context, entry descriptor.Host, q viewQuestion) (tabler.Table, error) {
	asking, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return messenger.Call[viewQuestion, tabler.Table](asking, e.options.Messenger, entry.Address, callView, q)
}

// viewDataCentre collects the rows of the hosts that hold the data centre's shards.
func (e *Executor) viewDataCentre(ctx context.Context, noun string) (tabler.Table, error) {
	if noun == "audit" {
		return e.viewHere(ctx, noun)
	}
	whole, err := e.viewHere(ctx, noun)
	if err != nil {
		return tabler.Table{}, err
	}
	for _, holder := range e.options.Runner.OtherHolders() {
		table, err := e.ask(ctx, holder, viewQuestion{Noun: noun, Scope: scopeHost})
		if err != nil {
			table.Missing = append(table.Missing, "host "+holder.Name+": "+err.Error())
		}
		whole.Append(table)
	}
	return whole, nil
}

func (e *Executor) viewHere(ctx context.Context, noun string) (tabler.Table, error) {
	table := tabler.Table{}
	err := errors.New("the host is stopping")
	e.options.Runner.Look(ctx, func(d *decider.Decider) {
		table, err = viewer.View(d, e.options.Clock.Now(), noun)
	})
	return table, err
}
