package forwarder_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/entry/forwarder"
	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/peer/messenger"
)

// peer is a host that keeps what it is told to, or does not.
type peer struct {
	host      journaler.Host
	kept      []journaler.Record
	keepError error
	answer    forwarder.Answer
}

func newPeer(t *testing.T, name, dataCentre string) *peer {
	p := &peer{}
	m := messenger.New(messenger.Options{Self: messenger.Hello{Host: descriptor.HostID{Name: name}}})
	forwarder.New(forwarder.Options{
		Self: name, Messenger: m,
		Keep: func(_ context.Context, record journaler.Record) error {
			if p.keepError == nil {
				p.kept = append(p.kept, record)
			}
			return p.keepError
		},
		Status: func(context.Context, describer.JobID) forwarder.Answer { return p.answer },
	})
	server := httptest.NewServer(m)
	t.Cleanup(server.Close)
	t.Cleanup(m.Close)
	p.host = journaler.Host{Name: name, DataCentre: dataCentre, Address: strings.TrimPrefix(server.URL, "http://")}
	return p
}

// newCaller returns the forwarder of a host that is cut off from the store.
func newCaller(t *testing.T, hosts ...journaler.Host) *forwarder.Forwarder {
	m := messenger.New(messenger.Options{Self: messenger.Hello{Host: descriptor.HostID{Name: "self"}}})
	t.Cleanup(m.Close)
	return forwarder.New(forwarder.Options{
		Self: "self", DataCentre: "brno", Messenger: m, Hosts: func() []journaler.Host { return hosts },
	})
}

func TestKeep(t *testing.T) {
	record := journaler.Record{Key: "j/a", Value: []byte("job")}
	gone := journaler.Host{Name: "gone", Address: "127.0.0.1:1"}
	refuses := errors.Wrap(storer.ErrRefused, "test")
	for _, test := range []struct {
		name        string
		near, far   error
		hasGone     bool
		wantKept    int
		wantRefused bool
		wantOpen    bool
	}{
		{"a peer near by keeps it", nil, nil, false, 1, false, false},
		{"the next one keeps what one refuses", refuses, nil, false, 1, false, false},
		{"a peer that is gone is passed over", nil, nil, true, 1, false, false},
		{"all refuse", refuses, refuses, true, 0, true, false},
		{"an open outcome is not called a refusal", storer.ErrNotKnown, refuses, false, 0, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			near, far := newPeer(t, "near", "brno"), newPeer(t, "far", "praha")
			near.keepError, far.keepError = test.near, test.far
			hosts := []journaler.Host{{Name: "self", DataCentre: "brno"}, near.host, far.host}
			if test.hasGone {
				hosts = append([]journaler.Host{gone}, hosts...)
			}
			err := newCaller(t, hosts...).Keep(t.Context(), record)
			require.Equal(t, test.wantRefused, errors.Is(err, storer.ErrRefused), "%v", err)
			require.Equal(t, test.wantOpen, errors.Is(err, storer.ErrNotKnown), "%v", err)
			require.Len(t, append(near.kept, far.kept...), test.wantKept)
		})
	}
	t.Run("nobody to ask", func(t *testing.T) {
		err := newCaller(t).Keep(t.Context(), record)
		require.True(t, errors.Is(err, storer.ErrRefused))
	})
}

func TestGather(t *testing.T) {
	record := journaler.Record{Key: "j/a", Value: []byte("job")}
	for _, test := range []struct {
		name      string
		keepError error
		hasHolder bool
		want      error
	}{
		{"the holder keeps it", nil, true, nil},
		{"the holder refuses", errors.Wrap(storer.ErrRefused, "test"), true, storer.ErrRefused},
		{"the holder does not know", storer.ErrNotKnown, true, storer.ErrNotKnown},
		{"nobody else holds the cell", nil, false, forwarder.ErrNoHolder},
	} {
		t.Run(test.name, func(t *testing.T) {
			holder := newPeer(t, "holder", "brno")
			holder.keepError = test.keepError
			m := messenger.New(messenger.Options{Self: messenger.Hello{Host: descriptor.HostID{Name: "self"}}})
			t.Cleanup(m.Close)
			f := forwarder.New(forwarder.Options{
				Self: "self", Messenger: m, Hosts: func() []journaler.Host { return nil },
				Holder: func() (journaler.Host, bool) { return holder.host, test.hasHolder },
			})
			require.Equal(t, test.hasHolder, f.HasHolder())
			err := f.Gather(t.Context(), record)
			if test.want == nil {
				require.NoError(t, err)
				require.Len(t, holder.kept, 1)
				return
			}
			require.True(t, errors.Is(err, test.want), "%v", err)
		})
	}
}

func TestStatus(t *testing.T) {
	t.Run("the first peer that knows answers", func(t *testing.T) {
		near, far := newPeer(t, "near", "brno"), newPeer(t, "far", "praha")
		near.answer = forwarder.Answer{IsOpen: true}
		far.answer = forwarder.Answer{State: describer.JobCompleted}
		answer := newCaller(t, near.host, far.host).Status(t.Context(), "a")
		require.Equal(t, far.answer, answer)
	})
	t.Run("nobody knows", func(t *testing.T) {
		require.True(t, newCaller(t).Status(t.Context(), "a").IsOpen)
	})
}
