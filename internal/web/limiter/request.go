package limiter

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/web/budgeter"
)

const (
	// smallBody is the size up to which a body that the handler has not read is discarded, so that the connection can serve the
	// next request.
	smallBody = 4 << 10
	// discardTime is how long that may take. It delays the response, which is to be sent within 150 ms.
	discardTime = 100 * time.Millisecond
	// fieldBytes is the memory of a field of a header beyond its text.
	fieldBytes = 200
)

// limitRequests returns a handler that serves requests within the limits.
func (l *Limiter) limitRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, found := r.Context().Value(contextKey{}).(*connection)
		if !found {
			next.ServeHTTP(w, r)
			return
		}
		hasBody := r.ContentLength != 0
		if err := c.settleHeader(r, hasBody); err != nil {
			w.Header().Set("Retry-After", "1")
			w.Header().Set("Connection", "close")
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			l.endReads(w)
			c.lingers.Store(true)
			return
		}
		if !hasBody {
			next.ServeHTTP(w, r)
			return
		}
		c.enlarge(r.ContentLength)
		body := &bodyReader{ReadCloser: r.Body, connection: c}
		r.Body = body
		response := &responseWriter{ResponseWriter: w, limiter: l, body: body, isSmall: r.ContentLength > 0 && r.ContentLength <= smallBody}
		next.ServeHTTP(response, r)
		response.prepare()
		if response.endsConnection {
			l.endReads(w)
			c.lingers.Store(true)
		}
	})
}

// settleHeader replaces what the connection reserved for the text of a header by what its fields take.
func (c *connection) settleHeader(r *http.Request, hasBody bool) error {
	// A new request releases what its header reserved.
	c.enter(budgeter.Header)
	bytes := len(r.RequestURI)
	for name, values := range r.Header {
		bytes += len(name) + fieldBytes
		for _, value := range values {
			bytes += len(value)
		}
	}
	err := c.reserve(int64(bytes))
	if hasBody {
		c.enter(budgeter.Body)
	} else {
		c.enter(budgeter.Handling)
	}
	return err
}

// endReads makes the server close the connection without reading the rest of a body.
func (l *Limiter) endReads(w http.ResponseWriter) {
	// Only a connection of a server has a deadline; others are those of tests.
	_ = http.NewResponseController(w).SetReadDeadline(l.options.Clock.Now())
}

// bodyReader notes the end of a body, and enlarges the receive buffer for one whose length was not known.
type bodyReader struct {
	io.ReadCloser
	connection *connection
	// received counts bytes up to the size of the first receive buffer.
	received int
	isAtEnd  bool
}

// Read reads from the body.
func (b *bodyReader) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if limits := b.connection.limiter.limits; b.received <= limits.ReceiveBuffer {
		if b.received += n; b.received > limits.ReceiveBuffer && err == nil {
			b.connection.enlarge(int64(limits.BodyBuffer))
		}
	}
	if errors.Is(err, io.EOF) && !b.isAtEnd {
		b.isAtEnd = true
		b.connection.enter(budgeter.Handling)
	}
	return n, err
}

// responseWriter ends the connection with the response if the handler has not read the body and the rest is not small.
type responseWriter struct {
	http.ResponseWriter
	limiter                             *Limiter
	body                                *bodyReader
	isSmall, isPrepared, endsConnection bool
}

// Unwrap returns the server's writer, for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader writes the header.
func (w *responseWriter) WriteHeader(status int) {
	w.prepare()
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the response.
func (w *responseWriter) Write(data []byte) (int, error) {
	w.prepare()
	return w.ResponseWriter.Write(data)
}

func (w *responseWriter) prepare() {
	if w.isPrepared {
		return
	}
	w.isPrepared = true
	switch {
	case w.body.isAtEnd:
	case w.isSmall:
		// Without a deadline the server would wait for the rest of the body before it sends the response.
		_ = http.NewResponseController(w.ResponseWriter).SetReadDeadline(w.limiter.options.Clock.Now().Add(discardTime))
	default:
		w.endsConnection = true
		w.Header().Set("Connection", "close")
	}
}
