// Package connector calls the platform's services over HTTP: the log, the host list, the
// workers and the upstreams.
//
// Each service is met through a small interface, so that tests can put something else in
// its place. Calls that change something tell apart what certainly did not happen (an
// error that wraps ErrNotDone) from what may have.
//
// # Usage
//
//	client := connector.NewHTTP(localAddress)
//	log := connector.HTTPLog{Client: client, Address: address}
//	offset, err := log.Append(ctx, "config", records)
//	if errors.Is(err, connector.ErrNotDone) {
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

// ErrNotDone reports a call that certainly had no effect.
var ErrNotDone = errors.New("call had no effect")

const (
	dialTimeout     = time.Second
	idleTimeout     = 90 * time.Second
	idlePerHost     = 64
	maxReplyBytes   = 256 << 20
	maxProblemBytes = 4 << 10
)

// NewHTTP returns a client whose connections come from a local address; an invalid
// address leaves the choice to the system.
// Meter, where given, counts the bytes.
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

// isNotSent reports whether a call failed before anything was sent.
func isNotSent(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// call sends a JSON request and decodes the JSON reply into reply, unless it is nil.
func call(ctx context.Context, client *http.Client, method, url string, body, reply any) error {
	var content io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return errors.Errorf("encode request: %w", errors.Mark(err, ErrNotDone))
		}
		content = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, content)
	if err != nil {
		return errors.Errorf("make request: %w", errors.Mark(err, ErrNotDone))
	}
	answer, err := client.Do(request)
	if err != nil {
		if isNotSent(err) {
			err = errors.Mark(err, ErrNotDone)
		}
		return errors.Errorf("send request: %w", err)
	}
	defer answer.Body.Close()
	return readReply(answer, reply)
}

// readReply decodes a reply. The platform's services answer a status that is an error
// only where the call had no effect.
func readReply(answer *http.Response, reply any) error {
	if answer.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(answer.Body, maxProblemBytes))
		err := errors.Newf("answered %s: %s", answer.Status, bytes.TrimSpace(text))
		return errors.Mark(err, ErrNotDone)
	}
	if reply == nil {
		_, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxReplyBytes))
		return errors.Wrap(err, "read reply")
	}
	err := json.NewDecoder(io.LimitReader(answer.Body, maxReplyBytes)).Decode(reply)
	return errors.Wrap(err, "decode reply")
}
