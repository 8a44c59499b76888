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

// ErrLeaving reports an upstream that takes no new work; it wraps ErrNotDone.
var ErrLeaving = errors.Mark(errors.New("upstream is leaving"), ErrNotDone)

// Upstreams calls the services behind lentilrock.
type Upstreams interface {
	// Run runs an attempt of a request and returns its whole answer. An error that does
	// not wrap ErrNotDone leaves open whether it ran.
	Run(ctx context.Context, upstream descriptor.Host, key string, attempt int, body []byte) ([]byte, error)
	// Outcome returns what an upstream knows of a request.
	Outcome(ctx context.Context, upstream descriptor.Host, key string) (messages.Outcome, error)
	// Load returns how much of an upstream is in use.
	Load(ctx context.Context, upstream descriptor.Host) (messages.Load, error)
}

// HTTPUpstreams calls upstreams over HTTP.
type HTTPUpstreams struct {
	Client *http.Client
	// MaxAnswer bounds an answer, in bytes.
	MaxAnswer int
}

// Run implements Upstreams.
func (u HTTPUpstreams) Run(ctx context.Context, upstream descriptor.Host, key string, attempt int, body []byte) ([]byte, error) {
	answer, err := u.send(ctx, upstream, key, attempt, body)
	if err != nil {
		return nil, errors.Errorf("call upstream %s: %w", upstream.Name, err)
	}
	defer answer.Body.Close()
	if answer.Header.Get(messages.HeaderLeaving) != "" {
		return nil, errors.Errorf("call upstream %s: %w", upstream.Name, ErrLeaving)
	}
	if answer.StatusCode != http.StatusOK {
		return nil, errors.Newf("upstream %s answered %s", upstream.Name, answer.Status)
	}
	whole, err := u.assemble(answer.Body, attempt)
	if err != nil {
		return nil, errors.Errorf("read answer of upstream %s: %w", upstream.Name, err)
	}
	return whole, nil
}

func (u HTTPUpstreams) send(ctx context.Context, upstream descriptor.Host, key string, attempt int, body []byte) (*http.Response, error) {
	target := "http://" + upstream.Address.String() + "/v1/run"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Errorf("make request: %w", errors.Mark(err, ErrNotDone))
	}
	// The transport repeats a request on another connection only where it has a way to
	// rewind the body; a request that may not be repeated must not be.
	request.GetBody = nil
	request.Header.Set(messages.HeaderRequestID, key)
	request.Header.Set(messages.HeaderAttempt, strconv.Itoa(attempt))
	answer, err := u.Client.Do(request)
	if err != nil {
		if isNotSent(err) {
			err = errors.Mark(err, ErrNotDone)
		}
		return nil, errors.Errorf("send request: %w", err)
	}
	return answer, nil
}

func (u HTTPUpstreams) assemble(body io.Reader, attempt int) ([]byte, error) {
	parts := assembler.New(attempt, u.MaxAnswer)
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
		if whole, ok := parts.Whole(); ok {
			// What follows the whole answer can only be doubled parts.
			_, _ = io.Copy(io.Discard, io.LimitReader(body, maxProblemBytes))
			return whole, nil
		}
	}
}

// Outcome implements Upstreams.
func (u HTTPUpstreams) Outcome(ctx context.Context, upstream descriptor.Host, key string) (messages.Outcome, error) {
	var outcome messages.Outcome
	target := "http://" + upstream.Address.String() + "/v1/outcomes/" + url.PathEscape(key)
	if err := call(ctx, u.Client, http.MethodGet, target, nil, &outcome); err != nil {
		return messages.Outcome{}, errors.Errorf("ask upstream %s: %w", upstream.Name, err)
	}
	return outcome, nil
}

// Load implements Upstreams.
func (u HTTPUpstreams) Load(ctx context.Context, upstream descriptor.Host) (messages.Load, error) {
	var load messages.Load
	target := "http://" + upstream.Address.String() + "/v1/load"
	if err := call(ctx, u.Client, http.MethodGet, target, nil, &load); err != nil {
		return messages.Load{}, errors.Errorf("ask load of upstream %s: %w", upstream.Name, err)
	}
	return load, nil
}
