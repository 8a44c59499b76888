// Package logger stands in for the platform's log service in tests and in the demo.
//
// It keeps streams in memory, and its faults are switched on by requests: outage,
// slowness, acknowledgements lost after the append took effect, trimming, and cuts of
// callers by IP prefix.
//
// # Usage
//
//	log := logger.New(clock)
//	http.Serve(listener, log.Handler())
package logger

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"lentilrock.example/internal/platform/messages"
	"lentilrock.example/internal/web/responder"
)

const (
	maxBody = 64 << 20
	// maxWait bounds how long a read waits for a record.
	maxWait      = 30 * time.Second
	defaultLimit = 5_000
)

type stream struct {
	first   int64
	records []json.RawMessage
	grown   chan struct{}
}

func (s *stream) tail() int64 {
	return s.first + int64(len(s.records))
}

// Logger is a log service in memory.
type Logger struct {
	clock clockwork.Clock

	mu      sync.Mutex
	streams map[string]*stream
	fault   messages.LogFault
	appends int64
}

// New returns an empty log.
func New(clock clockwork.Clock) *Logger {
	return &Logger{clock: clock, streams: make(map[string]*stream)}
}

// Handler returns the HTTP door of the log.
func (l *Logger) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/streams/{stream}/records", l.read)
	mux.HandleFunc("POST /v1/streams/{stream}/records", l.append)
	mux.HandleFunc("POST /v1/streams/{stream}/trim", l.trim)
	mux.HandleFunc("POST /fault", responder.Setter(maxBody, l.SetFault))
	mux.HandleFunc("GET /appends", l.countAppends)
	return mux
}

// SetFault replaces the faults.
func (l *Logger) SetFault(fault messages.LogFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = fault
}

// Trim drops the records of a stream below an offset.
func (l *Logger) Trim(name string, before int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	count := min(max(before-s.first, 0), int64(len(s.records)))
	s.records = s.records[count:]
	s.first += count
}

// Appends returns how many appends took effect.
func (l *Logger) Appends() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Records returns a copy of the records of a stream that are still kept.
func (l *Logger) Records(name string) []json.RawMessage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]json.RawMessage(nil), l.stream(name).records...)
}

func (l *Logger) countAppends(w http.ResponseWriter, _ *http.Request) {
	responder.JSON(w, http.StatusOK, l.Appends())
}

func (l *Logger) stream(name string) *stream {
	s, found := l.streams[name]
	if !found {
		s = &stream{grown: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// isRefused waits out the delay and answers where a fault refuses the request.
func (l *Logger) isRefused(w http.ResponseWriter, r *http.Request, isAppend bool) bool {
	l.mu.Lock()
	fault := l.fault
	l.mu.Unlock()
	if fault.Delay > 0 {
		l.clock.Sleep(fault.Delay)
	}
	down := fault.Down || (isAppend && fault.AppendsDown) || isCut(fault.Cut, r.RemoteAddr)
	if down {
		http.Error(w, "log is down", http.StatusServiceUnavailable)
	}
	return down
}

func isCut(prefixes []string, remote string) bool {
	address, err := netip.ParseAddrPort(remote)
	if err != nil {
		return false
	}
	for _, text := range prefixes {
		prefix, err := netip.ParsePrefix(text)
		if err == nil && prefix.Contains(address.Addr()) {
			return true
		}
	}
	return false
}

func (l *Logger) append(w http.ResponseWriter, r *http.Request) {
	if l.isRefused(w, r, true) {
		return
	}
	request, err := responder.Read[messages.AppendRequest](r, maxBody)
	if err != nil {
		responder.Fail(w, http.StatusBadRequest, err)
		return
	}
	l.mu.Lock()
	s := l.stream(r.PathValue("stream"))
	offset := s.tail()
	s.records = append(s.records, request.Records...)
	l.appends++
	close(s.grown)
	s.grown = make(chan struct{})
	isLost := l.fault.LoseAcks > 0
	if isLost {
		l.fault.LoseAcks--
	}
	l.mu.Unlock()
	if isLost {
		panic(http.ErrAbortHandler)
	}
	responder.JSON(w, http.StatusOK, messages.AppendReply{Offset: offset})
}

func (l *Logger) read(w http.ResponseWriter, r *http.Request) {
	if l.isRefused(w, r, false) {
		return
	}
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		responder.Fail(w, http.StatusBadRequest, err)
		return
	}
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	name := r.PathValue("stream")
	l.waitFor(r, name, from, min(wait, maxWait))
	if l.isRefused(w, r, false) {
		return
	}
	responder.JSON(w, http.StatusOK, l.page(name, from))
}

func (l *Logger) waitFor(r *http.Request, name string, from int64, wait time.Duration) {
	l.mu.Lock()
	s := l.stream(name)
	grown := s.grown
	isEmpty := from >= s.tail()
	l.mu.Unlock()
	if !isEmpty || wait <= 0 {
		return
	}
	timer := l.clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-grown:
	case <-timer.Chan():
	case <-r.Context().Done():
	}
}

func (l *Logger) page(name string, from int64) messages.Page {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	start := max(from, s.first)
	page := messages.Page{First: s.first, Tail: s.tail(), Next: min(max(start, s.first), s.tail())}
	for page.Next < s.tail() && len(page.Entries) < defaultLimit {
		page.Entries = append(page.Entries, messages.Entry{
			Offset: page.Next, Record: s.records[page.Next-s.first],
		})
		page.Next++
	}
	return page
}

func (l *Logger) trim(w http.ResponseWriter, r *http.Request) {
	before, err := strconv.ParseInt(r.URL.Query().Get("before"), 10, 64)
	if err != nil {
		responder.Fail(w, http.StatusBadRequest, err)
		return
	}
	l.Trim(r.PathValue("stream"), before)
	responder.JSON(w, http.StatusOK, "trimmed")
}
