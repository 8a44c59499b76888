// Package connector implements HTTP clients of the platform's services: the log, the host
// list, the workers and the upstreams.
//
// Each service has a small interface, so that tests can replace it by a fake. The errors of
// calls that change something tell whether the call certainly had no effect (the error wraps
// ErrNoEffect) or may have had one (all other errors).
//
// # Usage
//
//	client := connector.NewHTTP(localAddress, nil)
//	log := connector.HTTPLog{Client: client, Address: address}
//	offset, err := log.Append(ctx, "config", records)
//	if errors.Is(err, connector.ErrNoEffect) {
//		// nothing was appended
//	}
package connector

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNoEffect reports a call that certainly had no effect.
var ErrNoEffect = errors.New("call had no effect")

const (
	dialTimeout      = time.Second
	idleTimeout      = 90 * time.Second
	idlePerHost      = 64
	maxResponseBytes = 256 << 20
	// maxProblemBytes is how much of an error response is read into the error message, and how
	// much is read and discarded after a complete response of an upstream.
	maxProblemBytes = 4 << 10
)

// NewHTTP returns an HTTP client whose connections use local as their source address; the
// system chooses one if local is invalid or unspecified. The meter, unless it is nil, counts
// the bytes on the connections.
func NewHTTP(local netip.Addr, meter *Meter) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if local.IsValid() && !local.IsUnspecified() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	}
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil || meter == nil {
				return conn, err
			}
			return &meteredConn{Conn: conn, meter: meter}, nil
		},
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: idlePerHost,
		DisableCompression:  true,
	}}
}

// isNotSent reports whether a call failed while dialling, so that nothing was sent.
func isNotSent(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// call sends a JSON request and decodes the JSON response into result, unless result is nil.
func call(ctx context.Context, client *http.Client, method, url string, body, result any) error {
	var content io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return errors.Errorf("encode request: %w", errors.Mark(err, ErrNoEffect))
		}
		content = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, content)
	if err != nil {
		return errors.Errorf("make request: %w", errors.Mark(err, ErrNoEffect))
	}
	response, err := client.Do(request)
	if err != nil {
		if isNotSent(err) {
			err = errors.Mark(err, ErrNoEffect)
		}
		return errors.Errorf("send request: %w", err)
	}
	defer response.Body.Close()
	return readResponse(response, result)
}

// readResponse decodes a response. The platform's services guarantee that a call had no effect if
// they respond with an error status.
func readResponse(response *http.Response, result any) error {
	if response.StatusCode != http.StatusOK {
		detail, _ := io.ReadAll(io.LimitReader(response.Body, maxProblemBytes))
		err := errors.Newf("answered %s: %s", response.Status, bytes.TrimSpace(detail))
		return errors.Mark(err, ErrNoEffect)
	}
	if result == nil {
		_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxResponseBytes))
		return errors.Wrap(err, "read reply")
	}
	err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(result)
	return errors.Wrap(err, "decode reply")
}
