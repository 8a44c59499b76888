package commander

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/core/signaller"
	"lentilrock.example/internal/node/handler"
)

// requestCommand is "lentilrock request".
type requestCommand struct {
	target
	Service string        `arg:"" help:"Service to call."`
	Body    string        `arg:"" optional:"" help:"Body; \"-\" reads standard input."`
	Key     string        `help:"Idempotency key; needed with --once."`
	Once    bool          `help:"The request must not be executed more than once."`
	Urgent  bool          `help:"Handle the request before non-urgent ones."`
	Timeout time.Duration `default:"10s" help:"How long to wait for the response."`
}

// Run sends the request and prints the response.
func (c requestCommand) Run(s streams) error {
	body := []byte(c.Body)
	if c.Body == "-" {
		data, err := io.ReadAll(s.in)
		if err != nil {
			return errors.Errorf("read body: %w", err)
		}
		body = data
	}
	request, err := c.request(body)
	if err != nil {
		return errors.Errorf("create request: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return newExitError(ExitNotKnown, errors.Errorf("reach host %s: %w", c.Host, err))
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return newExitError(ExitNotKnown, errors.Errorf("read response: %w", err))
	}
	return printResponse(s, response, text)
}

// request returns the HTTP request to send.
func (c requestCommand) request(body []byte) (*http.Request, error) {
	url := "http://" + c.Host.String() + "/v1/requests/" + c.Service
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set(handler.HeaderKey, c.Key)
	request.Header.Set(handler.HeaderRepeatable, strconv.FormatBool(!c.Once))
	request.Header.Set(handler.HeaderTimeout, c.Timeout.String())
	if c.Urgent {
		request.Header.Set(handler.HeaderPriority, "urgent")
	}
	return request, nil
}

// printResponse prints the body of a completed request to standard output. For all other states it prints
// the body to standard error and returns an error with the exit status.
func printResponse(s streams, response *http.Response, text []byte) error {
	state := signaller.AnswerState(response.Header.Get(handler.HeaderState))
	if state == signaller.AnswerDone {
		_, err := s.out.Write(append(text, '\n'))
		return errors.Wrap(err, "write response")
	}
	fmt.Fprintln(os.Stderr, string(bytes.TrimSpace(text)))
	status := ExitFailed
	switch {
	case state == signaller.AnswerNotKnownYet:
		status = ExitNotKnown
	case response.StatusCode == http.StatusBadRequest:
		status = ExitUsage
	}
	return newExitError(status, errors.Newf("request ended in state %q (HTTP status %s)", state, response.Status))
}
