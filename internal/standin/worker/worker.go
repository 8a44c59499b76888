// Package worker stands in for a worker of the platform: it starts what it is given,
// whether it fits or not, ends what its leases don't cover, and records what ran.
//
// # Usage
//
//	w := worker.New(clock, "erie-a-w1", "life-1")
//	http.Serve(listener, w.Handler())
package worker

import (
	"cmp"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/platform/messages"
	"lentilrock.example/internal/web/responder"
)

const maxBody = 1 << 20

type attempt struct {
	held  messages.Held
	run   int
	began time.Time
	// endsAt is when the task's own work is done; zero where it has no end.
	endsAt time.Time
}

// Worker is a worker in memory.
type Worker struct {
	clock       clockwork.Clock
	name        string
	incarnation string

	mu       sync.Mutex
	attempts map[messages.AttemptID]*attempt
	runs     []messages.Run
	peak     descriptor.Size
	fault    messages.WorkerFault
}

// New returns a worker that runs nothing.
func New(clock clockwork.Clock, name, incarnation string) *Worker {
	return &Worker{
		clock: clock, name: name, incarnation: incarnation,
		attempts: make(map[messages.AttemptID]*attempt),
	}
}

// Handler returns the HTTP door of the worker.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/start", w.start)
	mux.HandleFunc("POST /v1/heartbeat", w.heartbeat)
	mux.HandleFunc("POST /v1/stop", w.stop)
	mux.HandleFunc("POST /v1/throttle", w.throttle)
	mux.HandleFunc("POST /fault", responder.Setter(maxBody, w.SetFault))
	mux.HandleFunc("GET /runs", w.getRuns)
	return mux
}

// SetFault replaces the faults.
func (w *Worker) SetFault(fault messages.WorkerFault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = fault
}

// Runs returns what the worker ran.
func (w *Worker) Runs() messages.RunLog {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return messages.RunLog{Worker: w.name, Runs: slices.Clone(w.runs), Peak: w.peak}
}

// advance ends what is done or has lapsed by now.
func (w *Worker) advance() {
	now := w.clock.Now()
	for _, a := range w.attempts {
		if a.held.State.IsEnded() {
			continue
		}
		a.held.RanFor = now.Sub(a.began)
		isDone := !a.endsAt.IsZero() && !a.endsAt.After(now)
		isLapsed := !a.held.ExpiresAt.After(now)
		switch {
		case isLapsed && (!isDone || a.held.ExpiresAt.Before(a.endsAt)):
			w.end(a, messages.TaskLapsed, a.held.ExpiresAt)
		case isDone:
			w.end(a, messages.TaskDone, a.endsAt)
		}
	}
}

func (w *Worker) end(a *attempt, state messages.TaskState, at time.Time) {
	a.held.State = state
	w.runs[a.run].State = state
	w.runs[a.run].Ended = at
}

func (w *Worker) isDown(rw http.ResponseWriter) bool {
	w.mu.Lock()
	down := w.fault.Down
	w.mu.Unlock()
	if down {
		http.Error(rw, "worker is down", http.StatusServiceUnavailable)
	}
	return down
}

func (w *Worker) start(rw http.ResponseWriter, r *http.Request) {
	if w.isDown(rw) {
		return
	}
	request, err := responder.Read[messages.Start](r, maxBody)
	if err != nil {
		responder.Fail(rw, http.StatusBadRequest, err)
		return
	}
	isLost, err := w.begin(request)
	if err != nil {
		responder.Fail(rw, http.StatusConflict, err)
		return
	}
	if isLost {
		panic(http.ErrAbortHandler)
	}
	responder.JSON(rw, http.StatusOK, "started")
}

func (w *Worker) begin(request messages.Start) (isLost bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	now := w.clock.Now()
	if !request.ExpiresAt.After(now) {
		return false, errors.Newf("lease of %s lapsed", request.Task)
	}
	id := messages.AttemptID{Task: request.Task, Attempt: request.Attempt}
	if _, found := w.attempts[id]; !found {
		w.run(id, request, now)
	}
	isLost = w.fault.LoseReplies > 0
	if isLost {
		w.fault.LoseReplies--
	}
	return isLost, nil
}

func (w *Worker) run(id messages.AttemptID, request messages.Start, now time.Time) {
	a := &attempt{
		run: len(w.runs), began: now,
		held: messages.Held{
			AttemptID: id, State: messages.TaskRunning, Size: request.Size,
			ExpiresAt: request.ExpiresAt, Class: request.Class,
		},
	}
	if request.RunTime > 0 {
		a.endsAt = now.Add(request.RunTime)
	}
	w.attempts[id] = a
	w.runs = append(w.runs, messages.Run{
		Task: id.Task, Attempt: id.Attempt, Began: now, State: messages.TaskRunning,
	})
	if w.fault.FailAll {
		w.end(a, messages.TaskFailed, now)
	}
	w.peak = w.peak.Max(w.used())
}

func (w *Worker) used() descriptor.Size {
	var used descriptor.Size
	for _, a := range w.attempts {
		if !a.held.State.IsEnded() {
			used = used.Add(a.held.Size)
		}
	}
	return used
}

func (w *Worker) heartbeat(rw http.ResponseWriter, r *http.Request) {
	if w.isDown(rw) {
		return
	}
	request, err := responder.Read[messages.Heartbeat](r, maxBody)
	if err != nil {
		responder.Fail(rw, http.StatusBadRequest, err)
		return
	}
	responder.JSON(rw, http.StatusOK, w.renew(request))
}

func (w *Worker) renew(request messages.Heartbeat) messages.Inventory {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	for _, id := range request.Acknowledged {
		if a, found := w.attempts[id]; found && a.held.State.IsEnded() {
			delete(w.attempts, id)
		}
	}
	inventory := messages.Inventory{Incarnation: w.incarnation, Tasks: []messages.Held{}}
	for _, a := range w.attempts {
		if !a.held.State.IsEnded() && request.ExpiresAt.After(a.held.ExpiresAt) {
			a.held.ExpiresAt = request.ExpiresAt
		}
		a.held.Usage = w.usage(a.held)
		inventory.Tasks = append(inventory.Tasks, a.held)
	}
	slices.SortFunc(inventory.Tasks, func(a, b messages.Held) int {
		return cmp.Compare(a.Task.String(), b.Task.String())
	})
	return inventory
}

func (w *Worker) usage(h messages.Held) descriptor.Size {
	if h.State.IsEnded() {
		return descriptor.Size{}
	}
	percent := w.fault.UsagePercent
	if percent == 0 {
		percent = 100
	}
	return descriptor.Size{
		MilliCores:   h.Size.MilliCores * percent / 100,
		MemoryBytes:  h.Size.MemoryBytes * percent / 100,
		Accelerators: h.Size.Accelerators,
	}
}

func (w *Worker) stop(rw http.ResponseWriter, r *http.Request) {
	if w.isDown(rw) {
		return
	}
	request, err := responder.Read[messages.Stop](r, maxBody)
	if err != nil {
		responder.Fail(rw, http.StatusBadRequest, err)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if a, found := w.attempts[request.AttemptID]; found && !a.held.State.IsEnded() {
		a.held.Checkpointed = request.Checkpoint
		w.end(a, messages.TaskStopped, w.clock.Now())
	}
	responder.JSON(rw, http.StatusOK, "stopped")
}

func (w *Worker) throttle(rw http.ResponseWriter, r *http.Request) {
	if w.isDown(rw) {
		return
	}
	if _, err := responder.Read[messages.Throttle](r, maxBody); err != nil {
		responder.Fail(rw, http.StatusBadRequest, err)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault.UsagePercent = 0
	responder.JSON(rw, http.StatusOK, "throttled")
}

func (w *Worker) getRuns(rw http.ResponseWriter, _ *http.Request) {
	responder.JSON(rw, http.StatusOK, w.Runs())
}
