// Package upstream simulates a service instance behind lentilrock. It executes requests, streams
// each response in parts, and records all executions. It sets no limit on concurrent requests
// but records their peak, so that tests can compare it with the slots of the host.
//
// # Usage
//
//	u := upstream.New(clock)
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
	maxBodyBytes = 1 << 20
	// partSize is the size of a part of a response in bytes.
	partSize = 16
)

type request struct {
	isDone bool
	result []byte
}

// Upstream is an in-memory service instance. It responds to a request with "done: " and the
// request body.
type Upstream struct {
	clock clockwork.Clock

	mu       sync.Mutex
	requests map[string]*request
	runs     messages.UpstreamRuns
	busy     int
	fault    messages.UpstreamFault
}

// New returns an upstream without requests.
func New(clock clockwork.Clock) *Upstream {
	return &Upstream{clock: clock, requests: make(map[string]*request)}
}

// Handler returns the HTTP handler of the upstream.
func (u *Upstream) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run", u.run)
	mux.HandleFunc("GET /v1/outcomes/{id}", u.outcome)
	mux.HandleFunc("GET /v1/load", u.load)
	mux.HandleFunc("POST /fault", responder.Setter(maxBodyBytes, u.SetFault))
	mux.HandleFunc("GET /runs", u.getRuns)
	return mux
}

// SetFault replaces the injected faults.
func (u *Upstream) SetFault(fault messages.UpstreamFault) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fault = fault
}

// Runs returns the log of all executions and the peak number of concurrent ones.
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
	body, err := responder.ReadBytes(r, maxBodyBytes)
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
	u.writeReply(w, attempt, u.execute(id, attempt, body, fault))
}

func (u *Upstream) execute(id string, attempt int, body []byte, fault messages.UpstreamFault) []byte {
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
	u.requests[id] = &request{isDone: true, result: result}
	return result
}

func (u *Upstream) writeReply(w http.ResponseWriter, attempt int, result []byte) {
	u.mu.Lock()
	fault := u.fault
	isReplyDropped := fault.DropReplies > 0
	if isReplyDropped {
		u.fault.DropReplies--
	}
	u.mu.Unlock()
	if isReplyDropped {
		panic(http.ErrAbortHandler)
	}
	parts := splitResult(attempt, result)
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

func splitResult(attempt int, result []byte) []messages.Part {
	var parts []messages.Part
	for chunk := range slices.Chunk(result, partSize) {
		parts = append(parts, messages.Part{Attempt: attempt, Seq: len(parts), Data: chunk})
	}
	parts[len(parts)-1].Last = true
	return parts
}

// shuffle returns a part of an older attempt, the parts in reverse order, and the parts once more
// in order.
func shuffle(attempt int, parts []messages.Part) []messages.Part {
	shuffled := slices.Clone(parts)
	slices.Reverse(shuffled)
	shuffled = append(shuffled, parts...)
	stale := messages.Part{Attempt: attempt - 1, Data: []byte("stale"), Last: true}
	return append([]messages.Part{stale}, shuffled...)
}

func (u *Upstream) outcome(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.fault.Down {
		panic(http.ErrAbortHandler)
	}
	rq, found := u.requests[r.PathValue("id")]
	reply := messages.Outcome{State: messages.OutcomeUnknown}
	switch {
	case found && rq.isDone:
		reply = messages.Outcome{State: messages.OutcomeRun, Result: rq.result}
	case found:
		reply.State = messages.OutcomeRunning
	}
	responder.JSON(w, http.StatusOK, reply)
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
