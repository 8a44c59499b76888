// Package logger simulates the platform's log service in tests and in the demo.
//
// It holds streams of records in memory. Requests inject faults: an outage, delays,
// acknowledgements lost after the append took effect, trimmed streams, and refusal of clients
// by IP prefix.
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
	maxBodyBytes = 64 << 20
	// maxWait is the upper limit on how long a read waits for a record.
	maxWait = 30 * time.Second
	// pageLimit is the maximum number of records in the response to a read.
	pageLimit = 5_000
)

type stream struct {
	firstOffset int64
	records     []json.RawMessage
	appended    chan struct{}
}

func (s *stream) tail() int64 {
	return s.firstOffset + int64(len(s.records))
}

// Logger is an in-memory log service.
type Logger struct {
	clock clockwork.Clock

	mu      sync.Mutex
	streams map[string]*stream
	fault   messages.LogFault
	appends int64
}

// New returns a log service without streams.
func New(clock clockwork.Clock) *Logger {
	return &Logger{clock: clock, streams: make(map[string]*stream)}
}

// Handler returns the HTTP handler of the log service.
func (l *Logger) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/streams/{stream}/records", l.read)
	mux.HandleFunc("POST /v1/streams/{stream}/records", l.append)
	mux.HandleFunc("POST /v1/streams/{stream}/trim", l.trim)
	mux.HandleFunc("POST /fault", responder.Setter(maxBodyBytes, l.SetFault))
	mux.HandleFunc("GET /appends", l.countAppends)
	return mux
}

// SetFault replaces the injected faults.
func (l *Logger) SetFault(fault messages.LogFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = fault
}

// Trim deletes the records of a stream with an offset below before.
func (l *Logger) Trim(name string, before int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	count := min(max(before-s.firstOffset, 0), int64(len(s.records)))
	s.records = s.records[count:]
	s.firstOffset += count
}

// Appends returns the number of appends that took effect.
func (l *Logger) Appends() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Records returns a copy of the records of a stream that have not been trimmed.
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
		s = &stream{appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// rejectIfFaulty applies the injected delay. If a fault refuses the request, it writes the error
// response and returns true.
func (l *Logger) rejectIfFaulty(w http.ResponseWriter, r *http.Request, isAppend bool) bool {
	l.mu.Lock()
	fault := l.fault
	l.mu.Unlock()
	if fault.Delay > 0 {
		l.clock.Sleep(fault.Delay)
	}
	isRejected := fault.Down || (isAppend && fault.AppendsDown) || isBlocked(fault.RefusedPrefixes, r.RemoteAddr)
	if isRejected {
		http.Error(w, "log is down", http.StatusServiceUnavailable)
	}
	return isRejected
}

func isBlocked(prefixes []string, remote string) bool {
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
	if l.rejectIfFaulty(w, r, true) {
		return
	}
	request, err := responder.Read[messages.AppendRequest](r, maxBodyBytes)
	if err != nil {
		responder.Fail(w, http.StatusBadRequest, err)
		return
	}
	l.mu.Lock()
	s := l.stream(r.PathValue("stream"))
	offset := s.tail()
	s.records = append(s.records, request.Records...)
	l.appends++
	close(s.appended)
	s.appended = make(chan struct{})
	isAckLost := l.fault.LoseAcks > 0
	if isAckLost {
		l.fault.LoseAcks--
	}
	l.mu.Unlock()
	if isAckLost {
		panic(http.ErrAbortHandler)
	}
	responder.JSON(w, http.StatusOK, messages.AppendReply{Offset: offset})
}

func (l *Logger) read(w http.ResponseWriter, r *http.Request) {
	if l.rejectIfFaulty(w, r, false) {
		return
	}
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		responder.Fail(w, http.StatusBadRequest, err)
		return
	}
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	name := r.PathValue("stream")
	l.waitForRecords(r, name, from, min(wait, maxWait))
	// A fault may have been injected during the wait.
	if l.rejectIfFaulty(w, r, false) {
		return
	}
	responder.JSON(w, http.StatusOK, l.page(name, from))
}

func (l *Logger) waitForRecords(r *http.Request, name string, from int64, wait time.Duration) {
	l.mu.Lock()
	s := l.stream(name)
	appended := s.appended
	isAtTail := from >= s.tail()
	l.mu.Unlock()
	if !isAtTail || wait <= 0 {
		return
	}
	timer := l.clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-appended:
	case <-timer.Chan():
	case <-r.Context().Done():
	}
}

func (l *Logger) page(name string, from int64) messages.Page {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	start := max(from, s.firstOffset)
	page := messages.Page{First: s.firstOffset, Tail: s.tail(), Next: min(max(start, s.firstOffset), s.tail())}
	for page.Next < s.tail() && len(page.Entries) < pageLimit {
		page.Entries = append(page.Entries, messages.Entry{
			Offset: page.Next, Record: s.records[page.Next-s.firstOffset],
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
