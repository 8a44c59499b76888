// Package listener is the HTTP door of an entry host: callers' requests, jobs, operators'
// commands, health and metrics.
//
// docs/interfaces/callers.md describes each path.
//
// # Usage
//
//	l := listener.New(listener.Options{Runner: runner, Executor: executor, ...})
//	http.Serve(socket, l.Handler())
package listener

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
	"lentilrock.example/internal/web/responder"
)

// Headers of callers' requests and answers.
const (
	HeaderKey        = "Idempotency-Key"
	HeaderPriority   = "Request-Priority"
	HeaderRepeatable = "Request-Repeatable"
	HeaderState      = "Request-State"
	HeaderTimeout    = "Request-Timeout"
	HeaderOperator   = "Operator"
)

// maxTimeout bounds the deadline that a caller may ask for.
const maxTimeout = 10 * time.Minute

// Options are what a listener works with.
type Options struct {
	Settings  checker.Settings
	Clock     clockwork.Clock
	Runner    *runner.Runner
	Executor  *executor.Executor
	Messenger *messenger.Messenger
	Metrics   http.Handler
}

// Listener is the HTTP door.
type Listener struct {
	options  Options
	inFlight atomic.Int64
	leaving  atomic.Bool
}

// New returns a listener.
func New(options Options) *Listener {
	return &Listener{options: options}
}

// InFlight returns how many callers wait for an answer.
func (l *Listener) InFlight() int64 { return l.inFlight.Load() }

// Leave makes the host answer that it is not ready, so that the balancer sends it nothing
// new. What still comes is served.
func (l *Listener) Leave() { l.leaving.Store(true) }

// Handler returns the door.
func (l *Listener) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		responder.JSON(w, http.StatusOK, "ok")
	})
	mux.HandleFunc("GET /readyz", l.ready)
	mux.HandleFunc("POST /v1/requests/{service}", l.request)
	mux.HandleFunc("GET /v1/requests/{key}", l.requestState)
	mux.HandleFunc("POST /v1/jobs", l.submit)
	mux.HandleFunc("POST /v1/commands", l.command)
	mux.Handle(messenger.Path, l.options.Messenger)
	if l.options.Metrics != nil {
		mux.Handle("GET /metrics", l.options.Metrics)
	}
	if l.options.Settings.Pprof {
		mux.HandleFunc("GET /debug/pprof/", pprof.Index)
		mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
		mux.HandleFunc("GET /debug/pprof/symbol", pprof.Symbol)
	}
	return mux
}

func (l *Listener) ready(w http.ResponseWriter, _ *http.Request) {
	routes := l.options.Runner.Routes()
	if l.leaving.Load() || !routes.Ready {
		responder.Fail(w, http.StatusServiceUnavailable, errors.New("not ready"))
		return
	}
	responder.JSON(w, http.StatusOK, "ready")
}

// request takes a caller's request and answers with its whole result or a typed error.
func (l *Listener) request(w http.ResponseWriter, r *http.Request) {
	l.inFlight.Add(1)
	defer l.inFlight.Add(-1)
	if !l.options.Runner.Routes().Ready && !l.leaving.Load() {
		l.answer(w, speaker.CallerAnswer{
			State: signaller.AnswerRefused, Reason: "this host is not ready", RetryAfter: time.Second,
		})
		return
	}
	request, err := l.readRequest(r)
	switch {
	case errors.Is(err, responder.ErrTooLarge):
		responder.Fail(w, http.StatusRequestEntityTooLarge, err)
	case err != nil:
		responder.Fail(w, http.StatusBadRequest, err)
	default:
		l.answer(w, l.options.Runner.Request(r.Context(), request))
	}
}

func (l *Listener) readRequest(r *http.Request) (speaker.CallerRequest, error) {
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
		request.Key = l.options.Settings.DataCentre + ":" + l.options.Runner.NewID()
	}
	if err := descriptor.CheckID("header "+HeaderKey, request.Key); err != nil {
		return request, err
	}
	if err := l.readDeadline(r, &request); err != nil {
		return request, err
	}
	body, err := responder.ReadBytes(r, l.options.Settings.MaxBody)
	request.Body = body
	return request, err
}

func (l *Listener) readDeadline(r *http.Request, request *speaker.CallerRequest) error {
	timeout := l.options.Settings.DefaultTimeout
	if text := r.Header.Get(HeaderTimeout); text != "" {
		asked, err := time.ParseDuration(text)
		if err != nil || asked <= 0 || asked > maxTimeout {
			return errors.Newf("header %s is %q, want a time up to %s, such as 2s", HeaderTimeout, text, maxTimeout)
		}
		timeout = asked
	}
	request.Deadline = l.options.Clock.Now().Add(timeout)
	return nil
}

// statuses gives the HTTP status of each state of an answer.
var statuses = map[signaller.AnswerState]int{
	signaller.AnswerDeadline:    http.StatusGatewayTimeout,
	signaller.AnswerDone:        http.StatusOK,
	signaller.AnswerNotKnownYet: http.StatusAccepted,
	signaller.AnswerNotRun:      http.StatusConflict,
	signaller.AnswerRefused:     http.StatusServiceUnavailable,
}

func (l *Listener) answer(w http.ResponseWriter, a speaker.CallerAnswer) {
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
		status := statuses[a.State]
		if a.State == signaller.AnswerRefused && a.RetryAfter == 0 {
			status = http.StatusUnprocessableEntity
		}
		responder.JSON(w, status, a)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(http.StatusOK)
	// A failed write means that the caller is gone; it can ask again under its key.
	_, _ = w.Write(a.Body)
}

// requestState tells what is known of a key, without running anything.
func (l *Listener) requestState(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	if home := l.options.Settings.Layout.Home(key); home != l.options.Settings.DataCentre {
		l.answer(w, speaker.CallerAnswer{
			Key: key, State: signaller.AnswerNotKnownYet, RetryAfter: time.Second,
			Reason: "ask a host of the key's home data centre " + home,
		})
		return
	}
	var known applier.Request
	found := false
	l.options.Runner.Look(r.Context(), func(d *decider.Decider) {
		if record := d.Request(key); record != nil {
			known = *record
			found = true
		}
	})
	switch {
	case !found:
		responder.Fail(w, http.StatusNotFound, errors.Newf("nothing is known of key %q", key))
	case !known.Closed:
		l.answer(w, speaker.CallerAnswer{
			Key: key, State: signaller.AnswerNotKnownYet, RetryAfter: time.Second, Reason: "it may be running",
		})
	case known.Outcome.End == recorder.RequestNotRun:
		l.answer(w, speaker.CallerAnswer{Key: key, State: signaller.AnswerNotRun, Reason: known.Outcome.Reason})
	default:
		l.answer(w, speaker.CallerAnswer{Key: key, State: signaller.AnswerDone, Body: known.Outcome.Result})
	}
}

// submit takes a job as JSON.
func (l *Listener) submit(w http.ResponseWriter, r *http.Request) {
	job, err := responder.Read[descriptor.Job](r, l.options.Settings.MaxBody)
	if err != nil {
		responder.Fail(w, http.StatusBadRequest, err)
		return
	}
	if err := job.Check(); err != nil {
		responder.Fail(w, http.StatusUnprocessableEntity, err)
		return
	}
	outcome := l.options.Runner.Propose(r.Context(), speaker.Proposal{
		ID: "submit." + string(job.ID), Author: author(r), Submit: &recorder.Submit{Job: job},
	})
	responder.JSON(w, outcomeStatuses[outcome.State], outcome)
}

var outcomeStatuses = map[speaker.OutcomeState]int{
	speaker.OutcomeApplied:     http.StatusOK,
	speaker.OutcomeLost:        http.StatusConflict,
	speaker.OutcomeNotKnownYet: http.StatusAccepted,
	speaker.OutcomeRefused:     http.StatusUnprocessableEntity,
}

func author(r *http.Request) recorder.Author {
	name := r.Header.Get(HeaderOperator)
	if name == "" {
		name = "unnamed"
	}
	return recorder.Author{Name: name, From: r.RemoteAddr}
}

// command carries out a statement of the operators' language.
func (l *Listener) command(w http.ResponseWriter, r *http.Request) {
	command, err := responder.Read[executor.Command](r, l.options.Settings.MaxBody)
	if err != nil {
		responder.Fail(w, http.StatusBadRequest, err)
		return
	}
	command.Author = author(r)
	responder.JSON(w, http.StatusOK, l.options.Executor.Execute(r.Context(), command))
}
