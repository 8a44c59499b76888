package connector

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/platform/messages"
)

// Log is the platform's append-only log.
type Log interface {
	// Append atomically appends records to a stream and returns the offset of the first.
	// If it returns an error that does not wrap ErrNoEffect, the records may have been
	// appended.
	Append(ctx context.Context, stream string, records []json.RawMessage) (int64, error)
	// Read returns the records from an offset on. At the tail of the stream it waits up to
	// the given time for a record (long polling).
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (messages.Page, error)
}

// HTTPLog is the HTTP client of the log.
type HTTPLog struct {
	Client  *http.Client
	Address netip.AddrPort
}

func (l HTTPLog) url(stream string) string {
	return "http://" + l.Address.String() + "/v1/streams/" + url.PathEscape(stream) + "/records"
}

// Append implements Log.
func (l HTTPLog) Append(ctx context.Context, stream string, records []json.RawMessage) (int64, error) {
	var response messages.AppendReply
	err := call(ctx, l.Client, http.MethodPost, l.url(stream), messages.AppendRequest{Records: records}, &response)
	if err != nil {
		return 0, errors.Errorf("append to stream %s: %w", stream, err)
	}
	return response.Offset, nil
}

// Read implements Log.
func (l HTTPLog) Read(ctx context.Context, stream string, from int64, wait time.Duration) (messages.Page, error) {
	var page messages.Page
	query := "?from=" + strconv.FormatInt(from, 10) + "&wait=" + wait.String()
	if err := call(ctx, l.Client, http.MethodGet, l.url(stream)+query, nil, &page); err != nil {
		return messages.Page{}, errors.Errorf("read stream %s: %w", stream, err)
	}
	return page, nil
}
