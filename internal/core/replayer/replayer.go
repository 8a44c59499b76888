// Package replayer plays recorded traces through the decision core and compares what it
// did with stated outcomes.
//
// A trace is a text archive with three files: "options" (JSON: host, data centre and data
// centres of the cell), "events" (one JSON line each, as serve --trace prints them) and
// "outcomes". An outcome is a line "some KIND field=value ..." for an action that must
// come about, "none KIND field=value ..." for one that must not, or "count N KIND ..." for
// how often. A field is a path into the action's JSON, with dots.
//
// # Usage
//
//	faults, err := replayer.Play(data)
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

type options struct {
	Host        string   `json:"host"`
	Incarnation string   `json:"incarnation"`
	DataCentre  string   `json:"data_centre"`
	DataCentres []string `json:"data_centres"`
}

// action is what the core did, as JSON.
type action struct {
	kind   string
	fields map[string]any
}

// Result is what a replay showed.
type Result struct {
	Events   int
	Actions  int
	Outcomes int
	// Faults lists the outcomes that did not hold.
	Faults []string
}

// Play plays a trace and checks its outcomes.
func Play(data []byte) (Result, error) {
	files := make(map[string][]byte)
	for _, file := range txtar.Parse(data).Files {
		files[file.Name] = file.Data
	}
	var o options
	if err := json.Unmarshal(files["options"], &o); err != nil {
		return Result{}, errors.Errorf("read options: %w", err)
	}
	result := Result{}
	actions, err := run(o, files["events"], &result)
	if err != nil {
		return Result{}, errors.Errorf("play events: %w", err)
	}
	result.Actions = len(actions)
	for line := range bytes.Lines(files["outcomes"]) {
		text := strings.TrimSpace(string(line))
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		result.Outcomes++
		fault, err := check(text, actions)
		if err != nil {
			return Result{}, errors.Errorf("read outcome %q: %w", text, err)
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

func run(o options, events []byte, result *Result) ([]action, error) {
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

const minWords = 2

// check returns what is wrong with an outcome, or "".
func check(text string, actions []action) (string, error) {
	words := strings.Fields(text)
	if len(words) < minWords {
		return "", errors.New("want some, none or count, a kind and fields")
	}
	verb, words := words[0], words[1:]
	want := -1
	if verb == "count" {
		n, err := strconv.Atoi(words[0])
		if err != nil || len(words) < minWords {
			return "", errors.New("want count, a number and a kind")
		}
		want, words = n, words[1:]
	}
	found := 0
	for _, a := range actions {
		if a.matches(words[0], words[1:]) {
			found++
		}
	}
	switch {
	case verb == "some" && found == 0, verb == "none" && found > 0, verb == "count" && found != want:
		return fmt.Sprintf("%s: found %d", text, found), nil
	case verb != "some" && verb != "none" && verb != "count":
		return "", errors.Newf("%q is unknown, want some, none or count", verb)
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

// lookUp follows a path into decoded JSON; a number picks an element of a list.
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
