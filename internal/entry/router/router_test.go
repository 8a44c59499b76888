package router_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/entry/forwarder"
	"lentilrock.example/internal/entry/prober"
	"lentilrock.example/internal/entry/router"
	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/fleet/journaler"
)

// routes records which routes were tried; each returns the error that is set for it.
type routes struct {
	tried               []string
	local, holder, peer error
}

func (r *routes) record(name string, err error) error {
	r.tried = append(r.tried, name)
	return err
}

func (r *routes) HasHolder() bool { return true }

func (r *routes) PersistViaHolder(context.Context, journaler.Record) error {
	return r.record("holder", r.holder)
}

func (r *routes) PersistViaPeers(context.Context, journaler.Record) error {
	return r.record("peer", r.peer)
}

// local is the route from this host to the store.
type local struct{ *routes }

func (h local) Persist(context.Context, journaler.Record) error { return h.record("local", h.local) }

// TestKeep guards against a wrong order of the routes, and against a refusal that is reported
// although the record may still be stored.
func TestKeep(t *testing.T) {
	refused, unknown := errors.Wrap(storer.ErrRefused, "test"), errors.Wrap(storer.ErrOutcomeUnknown, "test")
	unreachable := errors.Mark(forwarder.ErrNoHolder, storer.ErrRefused)
	failing := prober.View{FailingSince: time.Unix(1, 0)}
	unresponsive := prober.View{FailingSince: time.Unix(1, 0), IsUnresponsive: true}
	for _, test := range []struct {
		name   string
		routes routes
		view   prober.View
		isDown bool
		tried  string
		want   error
		// isSilent reports that the store does not reply to this host, which has not noticed it yet.
		isSilent bool
	}{
		{"the holder persists the record", routes{}, prober.View{}, false, "holder", nil, false},
		{"this host persists it if the holder is unreachable", routes{holder: unreachable}, prober.View{}, false, "holder local", nil, false},
		{"this host is tried first while probes of the holder fail", routes{}, failing, false, "local", nil, false},
		{"the holder is tried if the store refuses this host", routes{local: refused}, failing, false, "local holder", nil, false},
		{"a peer persists it if the holder and this host are refused", routes{holder: refused, local: refused}, prober.View{}, false, "holder local peer", nil, false},
		{"a host that cannot reach the store tries only other hosts", routes{holder: unreachable}, prober.View{}, true, "holder peer", nil, false},
		{"a refusal is returned if all routes refuse", routes{holder: refused, local: refused, peer: refused}, prober.View{}, false, "holder local peer", storer.ErrRefused, false},
		{"no other route is tried while a responsive holder has the record", routes{holder: unknown}, prober.View{}, false, "holder", storer.ErrOutcomeUnknown, false},
		{"the outcome is unknown if one route left it unknown", routes{holder: refused, local: unknown, peer: refused}, prober.View{}, false, "holder local peer", storer.ErrOutcomeUnknown, false},
		{"nothing is sent to a holder that does not reply", routes{}, unresponsive, false, "local", nil, false},
		{"a host that is cut off from the holder and the store sends nothing to them", routes{peer: refused}, unresponsive, false, "peer", storer.ErrRefused, true},
		{"a peer persists the record of a host that is cut off from the holder and the store", routes{}, unresponsive, false, "peer", nil, true},
		{"a host that knows that the store is down sends nothing to it", routes{peer: refused}, unresponsive, true, "peer", storer.ErrRefused, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := router.New(router.Options{
				Submitter: local{&test.routes}, Forwarder: &test.routes, Clock: clockwork.NewFakeClock(),
				View: func() prober.View { return test.view }, IsStoreDown: func() bool { return test.isDown },
				StoreReplies: func(context.Context) bool { return !test.isSilent },
			})
			err := d.Persist(t.Context(), journaler.Record{Key: "j/a"})
			require.Equal(t, test.tried, strings.Join(test.routes.tried, " "))
			if test.want == nil {
				require.NoError(t, err)
				return
			}
			require.True(t, errors.Is(err, test.want), "%v", err)
		})
	}
}

// stuck is a forwarder whose holder does not answer.
type stuck struct{ *routes }

func (s stuck) PersistViaHolder(ctx context.Context, _ journaler.Record) error {
	<-ctx.Done()
	return s.record("holder", storer.ErrOutcomeUnknown)
}

// TestFailedHolderIsAbandoned guards against a caller that waits for the whole timeout of its
// request to the holder when the holder fails while the request is pending.
func TestFailedHolderIsAbandoned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &routes{}
		failedAt := time.Now().Add(300 * time.Millisecond)
		d := router.New(router.Options{
			Submitter: local{r}, Forwarder: stuck{r}, Clock: clockwork.NewRealClock(), IsStoreDown: func() bool { return false },
			View: func() prober.View {
				if time.Now().Before(failedAt) {
					return prober.View{}
				}
				return prober.View{FailingSince: failedAt, IsUnresponsive: true}
			},
		})
		startedAt := time.Now()
		require.NoError(t, d.Persist(t.Context(), journaler.Record{}))
		require.Less(t, time.Since(startedAt), 500*time.Millisecond, "the request to the failed holder must be abandoned")
	})
}
