// Package executor executes statements of the operators' query and command language on an entry host. Queries
// collect rows from the hosts of all data centres; changes are proposed through the log. The rows of a shard
// come from its holder, the entry host that owns the shard by the latest claim that took effect in the log.
//
// # Usage
//
//	e := executor.New(executor.Options{
//		Runner: runner, Messenger: m, Clock: clock, Layout: layout, DataCentre: "brno-1",
//	})
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

// Command is a statement and the operator who issued it.
type Command struct {
	Text string `json:"text"`
	// ID makes a change idempotent: repeated with the same ID, it is applied at most once. An empty ID
	// is replaced by a new one.
	ID     string          `json:"id,omitempty"`
	Author recorder.Author `json:"author"`
}

// Reply is the response to a command. Error is set if the command could not be executed.
type Reply struct {
	Table    tabler.Table      `json:"table"`
	Outcomes []speaker.Outcome `json:"outcomes,omitempty"`
	Error    string            `json:"error,omitempty"`
}

// HasFailed reports whether the command had an error or any of its changes was not applied.
func (r Reply) HasFailed() bool {
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

// Options configures an Executor.
type Options struct {
	Runner     *runner.Runner
	Messenger  *messenger.Messenger
	Clock      clockwork.Clock
	Layout     descriptor.Layout
	DataCentre string
}

// Executor executes statements.
type Executor struct {
	options Options
}

// peerTimeout limits the wait for a reply of another host.
const peerTimeout = 2 * time.Second

// callView is the kind of the messages with which hosts request rows from each other.
const callView = "view"

// scope selects the hosts whose rows a peer requests.
type scope string

const (
	// scopeDataCentre selects the receiving host and the other holders in its data centre.
	scopeDataCentre scope = "data_centre"
	// scopeHost selects the receiving host alone.
	scopeHost scope = "host"
)

// viewRequest is a peer's request for the rows of a noun.
type viewRequest struct {
	Noun  string `cbor:"noun"`
	Scope scope  `cbor:"scope"`
}

// New returns an Executor and registers it with the messenger as the handler of other hosts'
// requests for rows.
func New(options Options) *Executor {
	e := &Executor{options: options}
	messenger.Handle(options.Messenger, callView,
		func(ctx context.Context, _ messenger.Hello, q viewRequest) (tabler.Table, error) {
			if q.Scope == scopeHost {
				return e.viewLocal(ctx, q.Noun)
			}
			return e.viewOwnDataCentre(ctx, q.Noun)
		})
	return e
}

// Execute parses and executes a command. Errors are returned in Reply.Error.
func (e *Executor) Execute(ctx context.Context, c Command) Reply {
	statement, err := parser.Parse(c.Text)
	if err != nil {
		return Reply{Error: err.Error()}
	}
	reply, err := e.execute(ctx, c, statement)
	if err != nil {
		reply.Error = err.Error()
	}
	return reply
}

func (e *Executor) execute(ctx context.Context, c Command, s *parser.Statement) (Reply, error) {
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

// show collects the rows of a noun and applies the conditions, order and limit of the query.
func (e *Executor) show(ctx context.Context, s *parser.Show) (tabler.Table, error) {
	if s.Why != "" {
		return e.why(ctx, s.Why)
	}
	table, err := e.collect(ctx, s.Noun)
	if err != nil {
		return tabler.Table{}, err
	}
	if err := table.Select(s); err != nil {
		return tabler.Table{}, err
	}
	return table, nil
}

// collect returns the rows of a noun from all data centres. Data centres that can't be reached are
// listed in Missing.
func (e *Executor) collect(ctx context.Context, noun string) (tabler.Table, error) {
	switch noun {
	case "fleet":
		return e.fleet(ctx)
	case "links":
		return e.links(), nil
	}
	if viewer.IsCellWide(noun) {
		return e.viewLocal(ctx, noun)
	}
	var merged tabler.Table
	for _, dataCentre := range e.options.Layout.DataCentres {
		table, err := e.viewDataCentre(ctx, dataCentre, noun)
		if err != nil {
			table.Missing = append(table.Missing, "data centre "+dataCentre+": "+err.Error())
		}
		merged.Append(table)
	}
	return merged, nil
}

// viewDataCentre returns the rows of a data centre. It collects those of this host's own data centre itself,
// and requests those of another from the first of its entry hosts that replies.
func (e *Executor) viewDataCentre(ctx context.Context, dataCentre, noun string) (tabler.Table, error) {
	if dataCentre == e.options.DataCentre {
		return e.viewOwnDataCentre(ctx, noun)
	}
	for _, entry := range e.options.Runner.EntriesOf(dataCentre) {
		table, err := e.requestView(ctx, entry, viewRequest{Noun: noun, Scope: scopeDataCentre})
		if err == nil {
			return table, nil
		}
	}
	return tabler.Table{}, errors.New("no host can be reached")
}

// requestView requests rows from another host and waits at most peerTimeout for the reply.
func (e *Executor) requestView(ctx context.Context, entry descriptor.Host, q viewRequest) (tabler.Table, error) {
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return messenger.Call[viewRequest, tabler.Table](callCtx, e.options.Messenger, entry.Address, callView, q)
}

// viewOwnDataCentre collects the rows of this host and of the other hosts that hold shards of its
// data centre. Holders that do not reply are listed in Missing. The audit trail is the same on all
// hosts of a data centre, so it is read here only.
func (e *Executor) viewOwnDataCentre(ctx context.Context, noun string) (tabler.Table, error) {
	if noun == "audit" {
		return e.viewLocal(ctx, noun)
	}
	merged, err := e.viewLocal(ctx, noun)
	if err != nil {
		return tabler.Table{}, err
	}
	for _, holder := range e.options.Runner.OtherHolders() {
		table, err := e.requestView(ctx, holder, viewRequest{Noun: noun, Scope: scopeHost})
		if err != nil {
			table.Missing = append(table.Missing, "host "+holder.Name+": "+err.Error())
		}
		merged.Append(table)
	}
	return merged, nil
}

// viewLocal returns the rows that this host has. It fails if the noun is unknown, or if ctx ends before the
// core has run the query.
func (e *Executor) viewLocal(ctx context.Context, noun string) (tabler.Table, error) {
	table := tabler.Table{}
	err := errors.New("the host is stopping")
	e.options.Runner.Inspect(ctx, func(d *decider.Decider) {
		table, err = viewer.View(d, e.options.Clock.Now(), noun)
	})
	return table, err
}
