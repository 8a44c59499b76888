// Package interpreter parses finite state machines from text (charts) and runs them.
//
// Each line of a chart is one transition, "state event next", and "#" starts a comment. The
// state of the first line is the initial state. An event without a transition from the
// current state is ignored, so a chart also documents which transitions are impossible.
//
// # Usage
//
//	//go:embed claim.chart
//	var text string
//
//	chart, err := interpreter.Parse("claim", text)
//	machine := chart.Machine()
//	moved := machine.Try("claim_sent")
package interpreter

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// State is the name of a state of a chart.
type State string

// Event is the name of an event of a chart.
type Event string

// transition identifies a transition by its source state and event.
type transition struct {
	state State
	event Event
}

// Chart is the transition table of a finite state machine.
type Chart struct {
	name  string
	start State
	// next is the target state of each transition.
	next map[transition]State
}

const fieldsPerLine = 3

// Parse parses a chart. It returns an error for a line without exactly three words, for a
// transition listed twice, and for a chart without transitions. Errors contain name.
func Parse(name, text string) (*Chart, error) {
	chart := &Chart{name: name, next: make(map[transition]State)}
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		if len(fields) != fieldsPerLine {
			return nil, errors.Newf("chart %s line %d has %d words, want state, event and next", name, i+1, len(fields))
		}
		if err := chart.add(transition{State(fields[0]), Event(fields[1])}, State(fields[2])); err != nil {
			return nil, errors.Errorf("chart %s line %d: %w", name, i+1, err)
		}
	}
	if chart.start == "" {
		return nil, errors.Newf("chart %s is empty", name)
	}
	return chart, nil
}

// MustParse is like Parse but panics on an error. It is meant for charts that are embedded in
// the program.
func MustParse(name, text string) *Chart {
	chart, err := Parse(name, text)
	if err != nil {
		panic(err)
	}
	return chart
}

func (c *Chart) add(t transition, next State) error {
	if _, found := c.next[t]; found {
		return errors.Newf("state %s lists event %s twice", t.state, t.event)
	}
	if c.start == "" {
		c.start = t.state
	}
	c.next[t] = next
	return nil
}

// Machine returns a machine in the chart's initial state.
func (c *Chart) Machine() Machine {
	return Machine{chart: c, state: c.start}
}

// Machine is an instance of a chart with its current state.
type Machine struct {
	chart *Chart
	state State
}

// State returns the current state.
func (m *Machine) State() State {
	return m.state
}

// Is reports whether the current state is one of states.
func (m *Machine) Is(states ...State) bool {
	return slices.Contains(states, m.state)
}

// Can reports whether the current state has a transition for the event.
func (m *Machine) Can(event Event) bool {
	_, found := m.chart.next[transition{m.state, event}]
	return found
}

// Try performs the transition of the current state for the event. It reports false, and keeps
// the state, if there is none.
func (m *Machine) Try(event Event) bool {
	next, found := m.chart.next[transition{m.state, event}]
	if found {
		m.state = next
	}
	return found
}
