package replayer

import (
	"encoding/json"
	"reflect"
	"time"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/core/signaller"
)

// Line is one event of a trace as stored: the time of the step, the name of the event's type
// and the event as JSON.
type Line struct {
	At    time.Time       `json:"at"`
	Kind  string          `json:"kind"`
	Event json.RawMessage `json:"event"`
}

// decoders maps the name of an event's type to its decoder.
var decoders = map[string]func([]byte) (signaller.Event, error){
	"AppendFailed":       decode[signaller.AppendFailed],
	"DispatchEnded":      decode[signaller.DispatchEnded],
	"DispatcherAnswered": decode[signaller.DispatcherAnswered],
	"DispatcherAsked":    decode[signaller.DispatcherAsked],
	"HeirAnswered":       decode[signaller.HeirAnswered],
	"HeirAsked":          decode[signaller.HeirAsked],
	"HostsListed":        decode[signaller.HostsListed],
	"Left":               decode[signaller.Left],
	"LoadAnswered":       decode[signaller.LoadAnswered],
	"LogFailed":          decode[signaller.LogFailed],
	"LogRead":            decode[signaller.LogRead],
	"OutcomeAnswered":    decode[signaller.OutcomeAnswered],
	"PeerHeard":          decode[signaller.PeerHeard],
	"Proposed":           decode[signaller.Proposed],
	"RequestArrived":     decode[signaller.RequestArrived],
	"Restored":           decode[signaller.Restored],
	"StartAnswered":      decode[signaller.StartAnswered],
	"Tick":               decode[signaller.Tick],
	"WorkerAnswered":     decode[signaller.WorkerAnswered],
	"WorkerFailed":       decode[signaller.WorkerFailed],
}

func decode[T signaller.Event](data []byte) (signaller.Event, error) {
	var event T
	if len(data) == 0 {
		return event, nil
	}
	if err := json.Unmarshal(data, &event); err != nil {
		return nil, errors.Errorf("decode event: %w", err)
	}
	return event, nil
}

// EncodeLine returns an event as a line of a trace, without a line break. It fails if the
// event can't be encoded as JSON.
func EncodeLine(at time.Time, event signaller.Event) ([]byte, error) {
	body, err := json.Marshal(event)
	if err != nil {
		return nil, errors.Errorf("encode event: %w", err)
	}
	line, err := json.Marshal(Line{At: at, Kind: kindOf(event), Event: body})
	return line, errors.Wrap(err, "encode trace line")
}

func decodeLine(data []byte) (time.Time, signaller.Event, error) {
	var line Line
	if err := json.Unmarshal(data, &line); err != nil {
		return time.Time{}, nil, errors.Errorf("decode trace line: %w", err)
	}
	decoder, found := decoders[line.Kind]
	if !found {
		return time.Time{}, nil, errors.Newf("event kind %q is unknown", line.Kind)
	}
	event, err := decoder(line.Event)
	return line.At, event, err
}

// kindOf returns the name of the type of an event or action.
func kindOf(value any) string {
	return reflect.TypeOf(value).Name()
}
