// Package worker simulates a worker of the platform. It starts every task that it is sent,
// even beyond its capacity, ends tasks whose lease has expired, and records all runs.
//
// # Usage
//
//	w := worker.New(clock, "erie-a-w1", "incarnation-1")
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

const maxBodyBytes = 1 << 20

type attempt struct {
	status    messages.AttemptStatus
	runIndex  int
	startedAt time.Time
	// endsAt is when the task completes; zero for a task without a run time.
	endsAt time.Time
}

// Worker is an in-memory worker.
type Worker struct {
	clock       clockwork.Clock
	name        string
	incarnation string

	mu       sync.Mutex
	attempts map[messages.AttemptID]*attempt
	runs     []messages.Run
	peakSize descriptor.Size
	fault    messages.WorkerFault
}

// New returns a worker without tasks.
func New(clock clockwork.Clock, name, incarnation string) *Worker {
	return &Worker{
		clock: clock, name: name, incarnation: incarnation,
		attempts: make(map[messages.AttemptID]*attempt),
	}
}

// Handler returns the HTTP handler of the worker.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/start", w.start)
	mux.HandleFunc("POST /v1/heartbeat", w.heartbeat)
	mux.HandleFunc("POST /v1/stop", w.stop)
	mux.HandleFunc("POST /v1/throttle", w.throttle)
	mux.HandleFunc("POST /fault", responder.Setter(maxBodyBytes, w.SetFault))
	mux.HandleFunc("GET /runs", w.getRuns)
	return mux
}

// SetFault replaces the injected faults.
func (w *Worker) SetFault(fault messages.WorkerFault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = fault
}

// Runs returns the log of all attempts that ran, and the peak of the resources allocated.
func (w *Worker) Runs() messages.WorkerRuns {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.updateAttempts()
	return messages.WorkerRuns{Worker: w.name, Runs: slices.Clone(w.runs), Peak: w.peakSize}
}

// updateAttempts ends the attempts that are complete or whose lease has expired by now. Their
// end is the time at which that happened.
func (w *Worker) updateAttempts() {
	now := w.clock.Now()
	for _, a := range w.attempts {
		if a.status.State.IsEnded() {
			continue
		}
		a.status.RunDuration = now.Sub(a.startedAt)
		isDone := !a.endsAt.IsZero() && !a.endsAt.After(now)
		isExpired := !a.status.ExpiresAt.After(now)
		switch {
		case isExpired && (!isDone || a.status.ExpiresAt.Before(a.endsAt)):
			w.endAttempt(a, messages.TaskLeaseExpired, a.status.ExpiresAt)
		case isDone:
			w.endAttempt(a, messages.TaskDone, a.endsAt)
		}
	}
}

func (w *Worker) endAttempt(a *attempt, state messages.TaskState, at time.Time) {
	a.status.State = state
	w.runs[a.runIndex].State = state
	w.runs[a.runIndex].Ended = at
}

func (w *Worker) rejectIfDown(rw http.ResponseWriter) bool {
	w.mu.Lock()
	isDown := w.fault.Down
	w.mu.Unlock()
	if isDown {
		http.Error(rw, "worker is down", http.StatusServiceUnavailable)
	}
	return isDown
}

func (w *Worker) start(rw http.ResponseWriter, r *http.Request) {
	if w.rejectIfDown(rw) {
		return
	}
	request, err := responder.Read[messages.Start](r, maxBodyBytes)
	if err != nil {
		responder.Fail(rw, http.StatusBadRequest, err)
		return
	}
	isReplyLost, err := w.acceptStart(request)
	if err != nil {
		responder.Fail(rw, http.StatusConflict, err)
		return
	}
	if isReplyLost {
		panic(http.ErrAbortHandler)
	}
	responder.JSON(rw, http.StatusOK, "started")
}

func (w *Worker) acceptStart(request messages.Start) (isReplyLost bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.updateAttempts()
	now := w.clock.Now()
	if !request.ExpiresAt.After(now) {
		return false, errors.Newf("lease of %s lapsed", request.Task)
	}
	id := messages.AttemptID{Task: request.Task, Attempt: request.Attempt}
	if _, found := w.attempts[id]; !found {
		w.startAttempt(id, request, now)
	}
	isReplyLost = w.fault.LoseReplies > 0
	if isReplyLost {
		w.fault.LoseReplies--
	}
	return isReplyLost, nil
}

func (w *Worker) startAttempt(id messages.AttemptID, request messages.Start, now time.Time) {
	a := &attempt{
		runIndex: len(w.runs), startedAt: now,
		status: messages.AttemptStatus{
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
		w.endAttempt(a, messages.TaskFailed, now)
	}
	w.peakSize = w.peakSize.Max(w.allocated())
}

func (w *Worker) allocated() descriptor.Size {
	var allocated descriptor.Size
	for _, a := range w.attempts {
		if !a.status.State.IsEnded() {
			allocated = allocated.Add(a.status.Size)
		}
	}
	return allocated
}

func (w *Worker) heartbeat(rw http.ResponseWriter, r *http.Request) {
	if w.rejectIfDown(rw) {
		return
	}
	request, err := responder.Read[messages.Heartbeat](r, maxBodyBytes)
	if err != nil {
		responder.Fail(rw, http.StatusBadRequest, err)
		return
	}
	responder.JSON(rw, http.StatusOK, w.renewLeases(request))
}

func (w *Worker) renewLeases(request messages.Heartbeat) messages.Inventory {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.updateAttempts()
	for _, id := range request.Acknowledged {
		if a, found := w.attempts[id]; found && a.status.State.IsEnded() {
			delete(w.attempts, id)
		}
	}
	inventory := messages.Inventory{Incarnation: w.incarnation, Tasks: []messages.AttemptStatus{}}
	for _, a := range w.attempts {
		if !a.status.State.IsEnded() && request.ExpiresAt.After(a.status.ExpiresAt) {
			a.status.ExpiresAt = request.ExpiresAt
		}
		a.status.Usage = w.reportedUsage(a.status)
		inventory.Tasks = append(inventory.Tasks, a.status)
	}
	slices.SortFunc(inventory.Tasks, func(a, b messages.AttemptStatus) int {
		return cmp.Compare(a.Task.String(), b.Task.String())
	})
	return inventory
}

func (w *Worker) reportedUsage(st messages.AttemptStatus) descriptor.Size {
	if st.State.IsEnded() {
		return descriptor.Size{}
	}
	percent := w.fault.UsagePercent
	if percent == 0 {
		percent = 100
	}
	return descriptor.Size{
		MilliCores:   st.Size.MilliCores * percent / 100,
		MemoryBytes:  st.Size.MemoryBytes * percent / 100,
		Accelerators: st.Size.Accelerators,
	}
}

func (w *Worker) stop(rw http.ResponseWriter, r *http.Request) {
	if w.rejectIfDown(rw) {
		return
	}
	request, err := responder.Read[messages.Stop](r, maxBodyBytes)
	if err != nil {
		responder.Fail(rw, http.StatusBadRequest, err)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.updateAttempts()
	if a, found := w.attempts[request.AttemptID]; found && !a.status.State.IsEnded() {
		a.status.Checkpointed = request.Checkpoint
		w.endAttempt(a, messages.TaskStopped, w.clock.Now())
	}
	responder.JSON(rw, http.StatusOK, "stopped")
}

// throttle ignores which attempt the request names and whether it sets or lifts the limit: it ends
// the injected usage fault for all attempts of the worker.
func (w *Worker) throttle(rw http.ResponseWriter, r *http.Request) {
	if w.rejectIfDown(rw) {
		return
	}
	if _, err := responder.Read[messages.Throttle](r, maxBodyBytes); err != nil {
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
