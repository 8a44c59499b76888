package connector

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/platform/assembler"
	"lentilrock.example/internal/platform/messages"
)

// ErrLeaving reports an upstream that is draining and accepts no new requests; it wraps
// ErrNoEffect.
var ErrLeaving = errors.Mark(errors.New("upstream is leaving"), ErrNoEffect)

// Upstreams calls the upstreams, the back ends that execute clients' requests.
type Upstreams interface {
	// Run executes an attempt of a request and returns the complete response. If it returns an
	// error that does not wrap ErrNoEffect, the request may have been executed.
	Run(ctx context.Context, upstream descriptor.Host, key string, attempt int, body []byte) ([]byte, error)
	// Outcome returns the state of a request at an upstream.
	Outcome(ctx context.Context, upstream descriptor.Host, key string) (messages.Outcome, error)
	// Load returns the current load of an upstream.
	Load(ctx context.Context, upstream descriptor.Host) (messages.Load, error)
}

// HTTPUpstreams is the HTTP client of the upstreams.
type HTTPUpstreams struct {
	Client *http.Client
	// MaxResponseBytes is the maximum size of a response, in bytes.
	MaxResponseBytes int
}

// Run implements Upstreams.
func (u HTTPUpstreams) Run(ctx context.Context, upstream descriptor.Host, key string, attempt int, body []byte) ([]byte, error) {
	response, err := u.send(ctx, upstream, key, attempt, body)
	if err != nil {
		return nil, errors.Errorf("call upstream %s: %w", upstream.Name, err)
	}
	defer response.Body.Close()
	if response.Header.Get(messages.HeaderLeaving) != "" {
		return nil, errors.Errorf("call upstream %s: %w", upstream.Name, ErrLeaving)
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("upstream %s answered %s", upstream.Name, response.Status)
	}
	complete, err := u.assemble(response.Body, attempt)
	if err != nil {
		return nil, errors.Errorf("read answer of upstream %s: %w", upstream.Name, err)
	}
	return complete, nil
}

func (u HTTPUpstreams) send(ctx context.Context, upstream descriptor.Host, key string, attempt int, body []byte) (*http.Response, error) {
	endpoint := "http://" + upstream.Address.String() + "/v1/run"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Errorf("make request: %w", errors.Mark(err, ErrNoEffect))
	}
	// http.Transport retries a request on another connection only if it can rewind the body.
	// Without GetBody it can't, which keeps it from resending a request that must run at most
	// once.
	request.GetBody = nil
	request.Header.Set(messages.HeaderRequestID, key)
	request.Header.Set(messages.HeaderAttempt, strconv.Itoa(attempt))
	response, err := u.Client.Do(request)
	if err != nil {
		if isNotSent(err) {
			err = errors.Mark(err, ErrNoEffect)
		}
		return nil, errors.Errorf("send request: %w", err)
	}
	return response, nil
}

func (u HTTPUpstreams) assemble(body io.Reader, attempt int) ([]byte, error) {
	parts := assembler.New(attempt, u.MaxResponseBytes)
	decoder := json.NewDecoder(body)
	for {
		var part messages.Part
		err := decoder.Decode(&part)
		if errors.Is(err, io.EOF) {
			return nil, errors.New("answer ended before its last part")
		}
		if err != nil {
			return nil, errors.Errorf("decode part: %w", err)
		}
		if err := parts.Add(part); err != nil {
			return nil, errors.Errorf("add part: %w", err)
		}
		if complete, ok := parts.Body(); ok {
			// Anything after the complete response can only be duplicate parts.
			_, _ = io.Copy(io.Discard, io.LimitReader(body, maxProblemBytes))
			return complete, nil
		}
	}
}

// Outcome implements Upstreams.
func (u HTTPUpstreams) Outcome(ctx context.Context, upstream descriptor.Host, key string) (messages.Outcome, error) {
	var outcome messages.Outcome
	endpoint := "http://" + upstream.Address.String() + "/v1/outcomes/" + url.PathEscape(key)
	if err := call(ctx, u.Client, http.MethodGet, endpoint, nil, &outcome); err != nil {
		return messages.Outcome{}, errors.Errorf("query outcome at upstream %s: %w", upstream.Name, err)
	}
	return outcome, nil
}

// Load implements Upstreams.
func (u HTTPUpstreams) Load(ctx context.Context, upstream descriptor.Host) (messages.Load, error) {
	var load messages.Load
	endpoint := "http://" + upstream.Address.String() + "/v1/load"
	if err := call(ctx, u.Client, http.MethodGet, endpoint, nil, &load); err != nil {
		return messages.Load{}, errors.Errorf("query load of upstream %s: %w", upstream.Name, err)
	}
	return load, nil
}
