// Package responder writes JSON answers and reads bounded JSON bodies for every HTTP
// door of the project.
//
// # Usage
//
//	body, err := responder.Read[submitBody](r, maxBody)
//	if err != nil {
//		responder.Fail(w, http.StatusBadRequest, err)
//		return
//	}
//	responder.JSON(w, http.StatusOK, answer)
package responder

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrTooLarge reports a body over its limit.
var ErrTooLarge = errors.New("body is too large")

// Problem is the body of every answer that is an error.
type Problem struct {
	// Error says what is wrong, naming the field where there is one.
	Error string `json:"error"`
}

// JSON writes a value with a status.
func JSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, "encode answer: "+err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the reader is gone; there is nobody left to tell.
	_, _ = w.Write(append(data, '\n'))
}

// Fail writes an error as a Problem.
func Fail(w http.ResponseWriter, status int, err error) {
	JSON(w, status, Problem{Error: err.Error()})
}

// ReadBytes reads a body of at most limit bytes. It returns ErrTooLarge, wrapped, for a
// longer one.
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

// Read decodes a JSON body of at most limit bytes.
func Read[T any](r *http.Request, limit int64) (T, error) {
	var value T
	data, err := ReadBytes(r, limit)
	if err != nil {
		return value, errors.Errorf("read request: %w", err)
	}
	if err := json.Unmarshal(data, &value); err != nil {
		return value, errors.Errorf("decode body: %w", err)
	}
	return value, nil
}

// Setter returns a handler that decodes a JSON body of at most limit bytes and hands it to
// set.
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
