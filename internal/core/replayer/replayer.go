// Package replayer replays recorded traces through the decision core and checks its actions
// against the outcomes that the trace expects.
//
// A trace is a txtar archive with three files: "options" (JSON: host, incarnation, data centre and data
// centres of the cell), "events" (one JSON line each, as printed by serve --trace) and "outcomes". Each line
// of "outcomes" is one of: "some KIND field=value ..." if at least one action must match, "none KIND
// field=value ..." if no action may match, or "count N KIND field=value ..." if exactly N actions must match.
// KIND is the name of the action's type, and field is a path into its JSON, separated by dots. Lines that
// begin with "#" are comments.
//
// # Usage
//
//	result, err := replayer.Play(data)
//	for _, fault := range result.Faults {
//		// print the outcome that does not hold
//	}
package replayer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/txtar"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/core/decider"
	"lentilrock.example/internal/core/signaller"
)

// options are the options of the decision core that a trace sets.
type options struct {
	Host        string   `json:"host"`
	Incarnation string   `json:"incarnation"`
	DataCentre  string   `json:"data_centre"`
	DataCentres []string `json:"data_centres"`
}

// action is an action of the decision core, decoded from its JSON.
type action struct {
	kind   string
	fields map[string]any
}

// Result is the result of a replay: the counts of events, actions and checked outcomes.
type Result struct {
	Events   int
	Actions  int
	Outcomes int
	// Faults lists the outcomes that do not hold, each with the count of matching actions.
	Faults []string
}

// Play replays a trace and checks its outcomes. It returns an error if the trace can't be
// decoded or has no outcomes; outcomes that do not hold are in the result.
func Play(data []byte) (Result, error) {
	files := make(map[string][]byte)
	for _, file := range txtar.Parse(data).Files {
		files[file.Name] = file.Data
	}
	var o options
	if err := json.Unmarshal(files["options"], &o); err != nil {
		return Result{}, errors.Errorf("decode options: %w", err)
	}
	result := Result{}
	actions, err := replay(o, files["events"], &result)
	if err != nil {
		return Result{}, errors.Errorf("replay events: %w", err)
	}
	result.Actions = len(actions)
	for line := range bytes.Lines(files["outcomes"]) {
		text := strings.TrimSpace(string(line))
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		result.Outcomes++
		fault, err := checkOutcome(text, actions)
		if err != nil {
			return Result{}, errors.Errorf("check outcome %q: %w", text, err)
		}
		if fault != "" {
			result.Faults = append(result.Faults, fault)
		}
	}
	if result.Outcomes == 0 {
		return Result{}, errors.New("the trace states no outcome")
	}
	return result, nil
}

// replay runs the events through a new decision core and returns its actions.
func replay(o options, events []byte, result *Result) ([]action, error) {
	core := decider.New(decider.Options{
		Self:       descriptor.HostID{Name: o.Host, Incarnation: o.Incarnation},
		DataCentre: o.DataCentre,
		Layout:     descriptor.Layout{DataCentres: o.DataCentres},
	})
	var actions []action
	var out signaller.Outbox
	for line := range bytes.Lines(events) {
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		at, event, err := decodeLine(line)
		if err != nil {
			return nil, errors.Errorf("event %d: %w", result.Events+1, err)
		}
		result.Events++
		core.Step(at, event, &out)
		for _, a := range out.Take() {
			encoded, err := toAction(a)
			if err != nil {
				return nil, errors.Errorf("event %d: %w", result.Events, err)
			}
			actions = append(actions, encoded)
		}
	}
	return actions, nil
}

func toAction(a signaller.Action) (action, error) {
	data, err := json.Marshal(a)
	if err != nil {
		return action{}, errors.Errorf("encode action: %w", err)
	}
	result := action{kind: kindOf(a)}
	err = json.Unmarshal(data, &result.fields)
	return result, errors.Wrap(err, "decode action")
}

// minWords is the minimum number of words in an outcome: a verb and a kind, or a count and a kind.
const minWords = 2

// checkOutcome returns a description of the failure if an outcome does not hold, or "" if it
// does. It returns an error if the outcome is malformed.
func checkOutcome(text string, actions []action) (string, error) {
	words := strings.Fields(text)
	if len(words) < minWords {
		return "", errors.New(`want "some KIND ...", "none KIND ..." or "count N KIND ..."`)
	}
	verb, words := words[0], words[1:]
	want := -1
	if verb == "count" {
		n, err := strconv.Atoi(words[0])
		if err != nil || len(words) < minWords {
			return "", errors.New(`want "count N KIND ..."`)
		}
		want, words = n, words[1:]
	}
	matching := 0
	for _, a := range actions {
		if a.matches(words[0], words[1:]) {
			matching++
		}
	}
	switch {
	case verb == "some" && matching == 0, verb == "none" && matching > 0, verb == "count" && matching != want:
		return fmt.Sprintf("%s: %d actions match", text, matching), nil
	case verb != "some" && verb != "none" && verb != "count":
		return "", errors.Newf("verb %q is unknown, want some, none or count", verb)
	}
	return "", nil
}

func (a action) matches(kind string, fields []string) bool {
	if a.kind != kind {
		return false
	}
	for _, field := range fields {
		path, want, _ := strings.Cut(field, "=")
		if fmt.Sprint(lookUp(a.fields, strings.Split(path, "."))) != want {
			return false
		}
	}
	return true
}

// lookUp returns the value at a path in decoded JSON, or nil if there is none. A number in the
// path is an index into a list.
func lookUp(value any, path []string) any {
	for _, name := range path {
		switch v := value.(type) {
		case map[string]any:
			value = v[name]
		case []any:
			i, err := strconv.Atoi(name)
			if err != nil || i < 0 || i >= len(v) {
				return nil
			}
			value = v[i]
		default:
			return nil
		}
	}
	return value
}
