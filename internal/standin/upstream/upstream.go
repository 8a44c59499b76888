// Package upstream stands in for a service instance behind lentilrock: it runs requests
// in slots, answers in parts, and records what ran.
//
// # Usage
//
//	u := upstream.New(clock, 8)
//	http.Serve(listener, u.Handler())
package upstream

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"github.com/jonboulle/clockwork"

	"lentilrock.example/internal/platform/messages"
	"lentilrock.example/internal/web/responder"
)

const (
	maxBody = 1 << 20
	// partBytes is the size of a part of an answer.
	partBytes = 16
)

type request struct {
	done   bool
	result []byte
}

// Upstream is a service instance in memory. Its answer is "done: " and the body.
type Upstream struct {
	clock clockwork.Clock

	mu       sync.Mutex
	requests map[string]*request
	runs     messages.UpstreamRuns
	busy     int
	fault    messages.UpstreamFault
}

// New returns an upstream that runs nothing.
func New(clock clockwork.Clock) *Upstream {
	return &Upstream{clock: clock, requests: make(map[string]*request)}
}

// Handler returns the HTTP door of the upstream.
func (u *Upstream) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run", u.run)
	mux.HandleFunc("GET /v1/outcomes/{id}", u.outcome)
	mux.HandleFunc("GET /v1/load", u.load)
	mux.HandleFunc("POST /fault", responder.Setter(maxBody, u.SetFault))
	mux.HandleFunc("GET /runs", u.getRuns)
	return mux
}

// SetFault replaces the faults.
func (u *Upstream) SetFault(fault messages.UpstreamFault) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fault = fault
}

// Runs returns what the upstream ran.
func (u *Upstream) Runs() messages.UpstreamRuns {
	u.mu.Lock()
	defer u.mu.Unlock()
	runs := u.runs
	runs.Runs = slices.Clone(u.runs.Runs)
	return runs
}

func (u *Upstream) run(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	fault := u.fault
	u.mu.Unlock()
	if fault.Down {
		panic(http.ErrAbortHandler)
	}
	if fault.Leaving {
		w.Header().Set(messages.HeaderLeaving, "true")
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	body, err := responder.ReadBytes(r, maxBody)
	if err != nil {
		responder.Fail(w, http.StatusBadRequest, err)
		return
	}
	id := r.Header.Get(messages.HeaderRequestID)
	attempt, err := strconv.Atoi(r.Header.Get(messages.HeaderAttempt))
	if err != nil {
		responder.Fail(w, http.StatusBadRequest, err)
		return
	}
	if fault.Begin > 0 {
		u.clock.Sleep(fault.Begin)
	}
	u.answer(w, attempt, u.work(id, attempt, body, fault))
}

func (u *Upstream) work(id string, attempt int, body []byte, fault messages.UpstreamFault) []byte {
	u.mu.Lock()
	u.busy++
	u.runs.PeakBusy = max(u.runs.PeakBusy, u.busy)
	u.runs.Runs = append(u.runs.Runs, messages.RequestRun{ID: id, Attempt: attempt, Began: u.clock.Now()})
	u.requests[id] = &request{}
	u.mu.Unlock()
	if fault.Delay > 0 {
		u.clock.Sleep(fault.Delay)
	}
	result := append([]byte("done: "), body...)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.busy--
	u.requests[id] = &request{done: true, result: result}
	return result
}

func (u *Upstream) answer(w http.ResponseWriter, attempt int, result []byte) {
	u.mu.Lock()
	fault := u.fault
	isDropped := fault.DropReplies > 0
	if isDropped {
		u.fault.DropReplies--
	}
	u.mu.Unlock()
	if isDropped {
		panic(http.ErrAbortHandler)
	}
	parts := split(attempt, result)
	if fault.Truncate {
		parts = parts[:len(parts)-1]
	}
	if fault.Shuffle {
		parts = shuffle(attempt, parts)
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	encoder := json.NewEncoder(w)
	for _, p := range parts {
		if err := encoder.Encode(p); err != nil {
			return
		}
	}
}

func split(attempt int, result []byte) []messages.Part {
	var parts []messages.Part
	for chunk := range slices.Chunk(result, partBytes) {
		parts = append(parts, messages.Part{Attempt: attempt, Seq: len(parts), Data: chunk})
	}
	parts[len(parts)-1].Last = true
	return parts
}

// shuffle turns the parts round, doubles them and adds one of an older attempt.
func shuffle(attempt int, parts []messages.Part) []messages.Part {
	mixed := slices.Clone(parts)
	slices.Reverse(mixed)
	mixed = append(mixed, parts...)
	stale := messages.Part{Attempt: attempt - 1, Data: []byte("stale"), Last: true}
	return append([]messages.Part{stale}, mixed...)
}

func (u *Upstream) outcome(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.fault.Down {
		panic(http.ErrAbortHandler)
	}
	known, found := u.requests[r.PathValue("id")]
	answer := messages.Outcome{State: messages.OutcomeUnknown}
	switch {
	case found && known.done:
		answer = messages.Outcome{State: messages.OutcomeRun, Result: known.result}
	case found:
		answer.State = messages.OutcomeRunning
	}
	responder.JSON(w, http.StatusOK, answer)
}

func (u *Upstream) load(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.fault.Down {
		panic(http.ErrAbortHandler)
	}
	responder.JSON(w, http.StatusOK, messages.Load{Busy: u.busy})
}

func (u *Upstream) getRuns(w http.ResponseWriter, _ *http.Request) {
	responder.JSON(w, http.StatusOK, u.Runs())
}
