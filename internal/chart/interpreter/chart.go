// Package interpreter reads state charts from text and runs machines by them.
//
// A chart is a list of lines "state event next", with "#" for comments; the first
// state named is the start. An event that a state does not list moves nothing, so a
// chart also documents what can't happen.
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

type step struct {
	state State
	event Event
}

// Chart is a set of states and the events that lead from one to the next.
type Chart struct {
	name  string
	start State
	next  map[step]State
}

const fieldsPerLine = 3

// Parse reads a chart.
func Parse(name, text string) (*Chart, error) {
	chart := &Chart{name: name, next: make(map[step]State)}
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		if len(fields) != fieldsPerLine {
			return nil, errors.Newf("chart %s line %d has %d words, want state, event and next", name, i+1, len(fields))
		}
		if err := chart.add(step{State(fields[0]), Event(fields[1])}, State(fields[2])); err != nil {
			return nil, errors.Errorf("chart %s line %d: %w", name, i+1, err)
		}
	}
	if chart.start == "" {
		return nil, errors.Newf("chart %s is empty", name)
	}
	return chart, nil
}

// MustParse is Parse for charts that are built into the program.
func MustParse(name, text string) *Chart {
	chart, err := Parse(name, text)
	if err != nil {
		panic(err)
	}
	return chart
}

func (c *Chart) add(s step, next State) error {
	if _, found := c.next[s]; found {
		return errors.Newf("state %s lists event %s twice", s.state, s.event)
	}
	if c.start == "" {
		c.start = s.state
	}
	c.next[s] = next
	return nil
}

// Machine returns a machine in the chart's first state.
func (c *Chart) Machine() Machine {
	return Machine{chart: c, state: c.start}
}

// Machine is a run through a chart.
type Machine struct {
	chart *Chart
	state State
}

// State returns the present state.
func (m *Machine) State() State {
	return m.state
}

// Is reports whether the present state is one of states.
func (m *Machine) Is(states ...State) bool {
	return slices.Contains(states, m.state)
}

// Can reports whether the present state lists the event.
func (m *Machine) Can(event Event) bool {
	_, found := m.chart.next[step{m.state, event}]
	return found
}

// Try moves to the state that the event leads to. It reports false, and stays, where the
// present state does not list the event.
func (m *Machine) Try(event Event) bool {
	next, found := m.chart.next[step{m.state, event}]
	if found {
		m.state = next
	}
	return found
}
