package deliverer_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/entry/deliverer"
	"lentilrock.example/internal/entry/forwarder"
	"lentilrock.example/internal/entry/prober"
	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/fleet/journaler"
)

// ways notes which ways were tried; each fails with its error.
type ways struct {
	tried              []string
	here, holder, peer error
}

func (w *ways) try(name string, err error) error {
	w.tried = append(w.tried, name)
	return err
}

func (w *ways) HasHolder() bool { return true }

func (w *ways) Gather(context.Context, journaler.Record) error { return w.try("holder", w.holder) }

func (w *ways) Keep(context.Context, journaler.Record) error { return w.try("peer", w.peer) }

// here is the way of this host.
type here struct{ *ways }

func (h here) Keep(context.Context, journaler.Record) error { return h.try("here", h.here) }

func TestKeep(t *testing.T) {
	refused, open := errors.Wrap(storer.ErrRefused, "test"), errors.Wrap(storer.ErrNotKnown, "test")
	gone := errors.Mark(forwarder.ErrNoHolder, storer.ErrRefused)
	failing := prober.View{FailingSince: time.Unix(1, 0)}
	for _, test := range []struct {
		name   string
		ways   ways
		view   prober.View
		isDown bool
		tried  string
		want   error
	}{
		{"the holder keeps it", ways{}, prober.View{}, false, "holder", nil},
		{"this host does where the holder is gone", ways{holder: gone}, prober.View{}, false, "holder here", nil},
		{"this host does first where the holder is silent", ways{}, failing, false, "here", nil},
		{"the holder does what the store refuses here", ways{here: refused}, failing, false, "here holder", nil},
		{"a peer does where neither can", ways{holder: refused, here: refused}, prober.View{}, false, "holder here peer", nil},
		{"a host that is cut off from the store asks others alone", ways{holder: gone}, prober.View{}, true, "holder peer", nil},
		{"all refuse", ways{holder: refused, here: refused, peer: refused}, prober.View{}, false, "holder here peer", storer.ErrRefused},
		{"one left it open", ways{holder: open, here: refused, peer: refused}, prober.View{}, false, "holder here peer", storer.ErrNotKnown},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := deliverer.New(deliverer.Options{
				Submitter: here{&test.ways}, Forwarder: &test.ways, Clock: clockwork.NewFakeClock(),
				View: func() prober.View { return test.view }, IsStoreDown: func() bool { return test.isDown },
			})
			err := d.Keep(t.Context(), journaler.Record{Key: "j/a"})
			require.Equal(t, test.tried, strings.Join(test.ways.tried, " "))
			if test.want == nil {
				require.NoError(t, err)
				return
			}
			require.True(t, errors.Is(err, test.want), "%v", err)
		})
	}
	t.Run("a holder that does not answer is left alone for a while", func(t *testing.T) {
		w, clock := ways{holder: open}, clockwork.NewFakeClock()
		d := deliverer.New(deliverer.Options{
			Submitter: here{&w}, Forwarder: &w, Clock: clock,
			View: func() prober.View { return prober.View{} }, IsStoreDown: func() bool { return false },
		})
		for range 2 {
			require.NoError(t, d.Keep(t.Context(), journaler.Record{}))
		}
		clock.Advance(3 * time.Second)
		require.NoError(t, d.Keep(t.Context(), journaler.Record{}))
		require.Equal(t, []string{"holder", "here", "here", "holder", "here"}, w.tried)
	})
}
