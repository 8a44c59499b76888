// Package responder writes JSON responses and reads request bodies of limited size for the
// HTTP handlers of the project.
//
// # Usage
//
//	body, err := responder.Read[submitBody](r, maxBody)
//	if err != nil {
//		responder.Reject(w, err)
//		return
//	}
//	responder.JSON(w, http.StatusOK, response)
package responder

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/web/budgeter"
	"lentilrock.example/internal/web/limiter"
)

// ErrTooLarge reports a request body that exceeds its size limit.
var ErrTooLarge = errors.New("body is too large")

// Problem is the body of the error responses that Fail writes. JSON and other packages also send
// error responses in plain text.
type Problem struct {
	// Error is the error message; it names the invalid field if there is one.
	Error string `json:"error"`
}

// JSON writes a response with an HTTP status and a value as its JSON body. It responds with
// status 500 if the value can't be encoded.
func JSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, "encode answer: "+err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the client has disconnected, so the error can't be reported.
	_, _ = w.Write(append(data, '\n'))
}

// Fail writes an error response with an HTTP status and a Problem as its body.
func Fail(w http.ResponseWriter, status int, err error) {
	JSON(w, status, Problem{Error: err.Error()})
}

// Reject writes the error response for a body that ReadBytes or Read could not read: 503 with Retry-After if other requests take the
// memory for it, 413 if it is too large, or else 400.
func Reject(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, budgeter.ErrBusy):
		w.Header().Set("Retry-After", "1")
		status = http.StatusServiceUnavailable
	case errors.Is(err, ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	}
	Fail(w, status, err)
}

// ReadBytes reads a request body of at most limit bytes. For a longer body it returns an
// error that wraps ErrTooLarge.
func ReadBytes(r *http.Request, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, errors.Errorf("read body: %w", err)
	}
	if int64(len(data)) > limit {
		return nil, errors.Errorf("body is over %d bytes: %w", limit, ErrTooLarge)
	}
	return data, nil
}

// decodedFactor is the memory of a decoded body by byte of its text: a list of empty texts takes 16 bytes for each three, and a
// copy of that while it grows.
const decodedFactor = 16

// Read decodes a JSON request body of at most limit bytes, within the memory of its listener. Its errors are those of ReadBytes, of
// limiter.Reserve and of decoding.
func Read[T any](r *http.Request, limit int64) (T, error) {
	var value T
	data, err := ReadBytes(r, limit)
	if err != nil {
		return value, errors.Errorf("read request: %w", err)
	}
	if err := limiter.Reserve(r.Context(), int64(len(data))*decodedFactor); err != nil {
		return value, errors.Errorf("decode body of %d bytes: %w", len(data), err)
	}
	if err := json.Unmarshal(data, &value); err != nil {
		return value, errors.Errorf("decode body: %w", err)
	}
	return value, nil
}

// Setter returns a handler that decodes a JSON request body of at most limit bytes and calls
// set with it. It responds with status 400 if the body can't be read or decoded.
func Setter[T any](limit int64, set func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		value, err := Read[T](r, limit)
		if err != nil {
			Fail(w, http.StatusBadRequest, err)
			return
		}
		set(value)
		JSON(w, http.StatusOK, "set")
	}
}
