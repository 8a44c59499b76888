// Package handler provides the HTTP handlers of an entry host: callers' requests, jobs,
// operators' commands, calls of peers, health checks and metrics.
//
// docs/interfaces/callers.md describes each path.
//
// # Usage
//
//	h := handler.New(handler.Options{Runner: runner, Executor: executor, ...})
//	http.Serve(socket, h.Mux())
package handler

import (
	"net/http"
	"net/http/pprof"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"lentilrock.example/internal/cell/applier"
	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/cell/recorder"
	"lentilrock.example/internal/core/decider"
	"lentilrock.example/internal/core/signaller"
	"lentilrock.example/internal/node/runner"
	"lentilrock.example/internal/peer/messenger"
	"lentilrock.example/internal/peer/speaker"
	"lentilrock.example/internal/query/executor"
	"lentilrock.example/internal/settings/checker"
	"lentilrock.example/internal/web/budgeter"
	"lentilrock.example/internal/web/responder"
)

// Headers of callers' requests and of the responses to them.
const (
	HeaderKey        = "Idempotency-Key"
	HeaderPriority   = "Request-Priority"
	HeaderRepeatable = "Request-Repeatable"
	HeaderState      = "Request-State"
	HeaderTimeout    = "Request-Timeout"
	HeaderOperator   = "Operator"
)

// maxTimeout is the longest timeout that a caller may set in HeaderTimeout.
const maxTimeout = 10 * time.Minute

// Options configure a Handler and supply its dependencies.
type Options struct {
	Settings  checker.Settings
	Clock     clockwork.Clock
	Runner    *runner.Runner
	Executor  *executor.Executor
	Messenger *messenger.Messenger
	// Metrics serves GET /metrics; nil leaves the path out.
	Metrics http.Handler
}

// Handler serves the HTTP paths of an entry host.
type Handler struct {
	options   Options
	inFlight  atomic.Int64
	isLeaving atomic.Bool
}

// New returns a handler that reports readiness as soon as its runner does.
func New(options Options) *Handler {
	return &Handler{options: options}
}

// InFlight returns the number of callers' requests that wait for a response.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// Leave makes the readiness check fail, so that the load balancer sends no new requests to this
// host. Requests that still arrive are served.
func (h *Handler) Leave() { h.isLeaving.Store(true) }

// Mux returns the handler of all paths.
func (h *Handler) Mux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		responder.JSON(w, http.StatusOK, "ok")
	})
	mux.HandleFunc("GET /readyz", h.handleReady)
	mux.HandleFunc("POST /v1/requests/{service}", h.handleRequest)
	mux.HandleFunc("GET /v1/requests/{key}", h.handleRequestState)
	mux.HandleFunc("POST /v1/jobs", h.handleSubmit)
	mux.HandleFunc("POST /v1/commands", h.handleCommand)
	mux.Handle(messenger.Path, h.options.Messenger)
	if h.options.Metrics != nil {
		mux.Handle("GET /metrics", h.options.Metrics)
	}
	if h.options.Settings.Pprof {
		mux.HandleFunc("GET /debug/pprof/", pprof.Index)
		mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
		mux.HandleFunc("GET /debug/pprof/symbol", pprof.Symbol)
	}
	return mux
}

func (h *Handler) handleReady(w http.ResponseWriter, _ *http.Request) {
	routes := h.options.Runner.Routes()
	if h.isLeaving.Load() || !routes.IsReady {
		responder.Fail(w, http.StatusServiceUnavailable, errors.New("not ready"))
		return
	}
	responder.JSON(w, http.StatusOK, "ready")
}

// handleRequest runs a caller's request and responds with the complete result or with an error
// and its state.
func (h *Handler) handleRequest(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	if !h.options.Runner.Routes().IsReady && !h.isLeaving.Load() {
		h.writeReply(w, speaker.CallerReply{
			State: signaller.AnswerRefused, Reason: "this host is not ready", RetryAfter: time.Second,
		})
		return
	}
	request, err := h.readRequest(r)
	switch {
	case errors.Is(err, budgeter.ErrBusy):
		h.writeReply(w, speaker.CallerReply{Key: request.Key, State: signaller.AnswerRefused, Reason: err.Error(), RetryAfter: time.Second})
	case err != nil:
		responder.Reject(w, err)
	default:
		h.writeReply(w, h.options.Runner.Request(r.Context(), request))
	}
}

// readRequest reads a caller's request from its path, headers and body. Without a key in the
// headers, a repeatable request gets a new key whose home data centre is this one.
func (h *Handler) readRequest(r *http.Request) (speaker.CallerRequest, error) {
	request := speaker.CallerRequest{
		Service: r.PathValue("service"), Key: r.Header.Get(HeaderKey),
		Repeatable: true, Urgent: r.Header.Get(HeaderPriority) == "urgent",
	}
	if err := descriptor.CheckID("service", request.Service); err != nil {
		return request, err
	}
	if text := r.Header.Get(HeaderRepeatable); text != "" {
		repeatable, err := strconv.ParseBool(text)
		if err != nil {
			return request, errors.Newf("header %s is %q, want true or false", HeaderRepeatable, text)
		}
		request.Repeatable = repeatable
	}
	if request.Key == "" {
		if !request.Repeatable {
			return request, errors.Newf("header %s is missing, want a key for a request that may not be repeated", HeaderKey)
		}
		request.Key = h.options.Settings.DataCentre + ":" + h.options.Runner.NewID()
	}
	if err := descriptor.CheckID("header "+HeaderKey, request.Key); err != nil {
		return request, err
	}
	if err := h.readDeadline(r, &request); err != nil {
		return request, err
	}
	body, err := responder.ReadBytes(r, h.options.Settings.MaxBodyBytes)
	request.Body = body
	return request, err
}

// readDeadline sets the deadline from HeaderTimeout, or from the default timeout.
func (h *Handler) readDeadline(r *http.Request, request *speaker.CallerRequest) error {
	timeout := h.options.Settings.DefaultTimeout
	if text := r.Header.Get(HeaderTimeout); text != "" {
		requested, err := time.ParseDuration(text)
		if err != nil || requested <= 0 || requested > maxTimeout {
			return errors.Newf("header %s is %q, want a time up to %s, such as 2s", HeaderTimeout, text, maxTimeout)
		}
		timeout = requested
	}
	request.Deadline = h.options.Clock.Now().Add(timeout)
	return nil
}

// statusByAnswerState maps the states of replies to HTTP status codes. The status of a refusal
// without a time to retry is set in writeReply.
var statusByAnswerState = map[signaller.AnswerState]int{
	signaller.AnswerDeadline:    http.StatusGatewayTimeout,
	signaller.AnswerDone:        http.StatusOK,
	signaller.AnswerNotKnownYet: http.StatusAccepted,
	signaller.AnswerNotRun:      http.StatusConflict,
	signaller.AnswerRefused:     http.StatusServiceUnavailable,
}

// writeReply writes the body of a completed request, or the reply as JSON in any other state.
func (h *Handler) writeReply(w http.ResponseWriter, a speaker.CallerReply) {
	w.Header().Set(HeaderState, string(a.State))
	w.Header().Set(HeaderKey, a.Key)
	if a.RetryAfter > 0 {
		seconds := int64((a.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	if a.State == signaller.AnswerNotKnownYet {
		w.Header().Set("Location", "/v1/requests/"+a.Key)
	}
	if a.State != signaller.AnswerDone {
		status := statusByAnswerState[a.State]
		if a.State == signaller.AnswerRefused && a.RetryAfter == 0 {
			status = http.StatusUnprocessableEntity
		}
		responder.JSON(w, status, a)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(http.StatusOK)
	// A write fails if the caller has disconnected; it can retry with the same key.
	_, _ = w.Write(a.Body)
}

// handleRequestState responds with the recorded state of a request without running it.
func (h *Handler) handleRequestState(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	if home := h.options.Settings.Layout.Home(key); home != h.options.Settings.DataCentre {
		h.writeReply(w, speaker.CallerReply{
			Key: key, State: signaller.AnswerNotKnownYet, RetryAfter: time.Second,
			Reason: "ask a host of the key's home data centre " + home,
		})
		return
	}
	var known applier.Request
	found := false
	h.options.Runner.Inspect(r.Context(), func(d *decider.Decider) {
		if record := d.Request(key); record != nil {
			known = *record
			found = true
		}
	})
	switch {
	case !found:
		responder.Fail(w, http.StatusNotFound, errors.Newf("nothing is known of key %q", key))
	case !known.Closed:
		h.writeReply(w, speaker.CallerReply{
			Key: key, State: signaller.AnswerNotKnownYet, RetryAfter: time.Second, Reason: "it may be running",
		})
	case known.Outcome.End == recorder.RequestNotRun:
		h.writeReply(w, speaker.CallerReply{Key: key, State: signaller.AnswerNotRun, Reason: known.Outcome.Reason})
	default:
		h.writeReply(w, speaker.CallerReply{Key: key, State: signaller.AnswerDone, Body: known.Outcome.Result})
	}
}

// handleSubmit appends a job, given as JSON, to the log and responds with the outcome.
func (h *Handler) handleSubmit(w http.ResponseWriter, r *http.Request) {
	job, err := responder.Read[descriptor.Job](r, h.options.Settings.MaxBodyBytes)
	if err != nil {
		responder.Reject(w, err)
		return
	}
	if err := job.Check(); err != nil {
		responder.Fail(w, http.StatusUnprocessableEntity, err)
		return
	}
	outcome := h.options.Runner.Propose(r.Context(), speaker.Proposal{
		ID: "submit." + string(job.ID), Author: author(r), Submit: &recorder.Submit{Job: job},
	})
	responder.JSON(w, statusByOutcomeState[outcome.State], outcome)
}

// statusByOutcomeState maps the states of proposals to HTTP status codes.
var statusByOutcomeState = map[speaker.OutcomeState]int{
	speaker.OutcomeApplied:     http.StatusOK,
	speaker.OutcomeLost:        http.StatusConflict,
	speaker.OutcomeNotKnownYet: http.StatusAccepted,
	speaker.OutcomeRefused:     http.StatusUnprocessableEntity,
}

// author returns the operator named in the headers and the address of the connection.
func author(r *http.Request) recorder.Author {
	name := r.Header.Get(HeaderOperator)
	if name == "" {
		name = "unnamed"
	}
	return recorder.Author{Name: name, From: r.RemoteAddr}
}

// handleCommand executes a statement of the operators' language.
func (h *Handler) handleCommand(w http.ResponseWriter, r *http.Request) {
	command, err := responder.Read[executor.Command](r, h.options.Settings.MaxBodyBytes)
	if err != nil {
		responder.Reject(w, err)
		return
	}
	command.Author = author(r)
	responder.JSON(w, http.StatusOK, h.options.Executor.Execute(r.Context(), command))
}
