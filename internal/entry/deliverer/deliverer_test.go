package deliverer_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
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
		{"a holder that lives has it still", ways{holder: open}, prober.View{}, false, "holder", storer.ErrNotKnown},
		{"one left it open", ways{holder: refused, here: open, peer: refused}, prober.View{}, false, "holder here peer", storer.ErrNotKnown},
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
}

// stuck is a holder that does not answer.
type stuck struct{ *ways }

func (s stuck) Gather(ctx context.Context, _ journaler.Record) error {
	<-ctx.Done()
	return s.try("holder", storer.ErrNotKnown)
}

func TestHolderDiesMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &ways{}
		died := time.Now().Add(300 * time.Millisecond)
		d := deliverer.New(deliverer.Options{
			Submitter: here{w}, Forwarder: stuck{w}, Clock: clockwork.NewRealClock(), IsStoreDown: func() bool { return false },
			View: func() prober.View {
				if time.Now().Before(died) {
					return prober.View{}
				}
				return prober.View{FailingSince: died, IsSilent: true}
			},
		})
		began := time.Now()
		require.NoError(t, d.Keep(t.Context(), journaler.Record{}))
		require.Less(t, time.Since(began), 500*time.Millisecond, "this host does not wait for a dead holder")
	})
}
