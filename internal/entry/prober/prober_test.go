package prober_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/entry/prober"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/peer/messenger"
)

// longWait bounds waits for events; it is far beyond what any of them takes.
const longWait = 30 * time.Second

func TestRun(t *testing.T) {
	var held, doubts atomic.Int64
	held.Store(3)
	m := messenger.New(messenger.Options{Self: messenger.Hello{Host: descriptor.HostID{Name: "holder"}}})
	t.Cleanup(m.Close)
	prober.New(prober.Options{Messenger: m, Held: held.Load})
	server := httptest.NewServer(m)
	t.Cleanup(server.Close)

	own := messenger.New(messenger.Options{Self: messenger.Hello{Host: descriptor.HostID{Name: "self"}}})
	t.Cleanup(own.Close)
	p := prober.New(prober.Options{
		Messenger: own, Clock: clockwork.NewRealClock(), Hosts: func() int { return 2 }, Held: func() int64 { return 0 },
		Holder: func() (journaler.Host, int64, bool) {
			return journaler.Host{Name: "holder", Address: strings.TrimPrefix(server.URL, "http://")}, 3, true
		},
		Doubt: func() { doubts.Add(1) },
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go p.Run(ctx)

	answers := func() bool { v := p.View(); return v.Epoch == 3 && !v.AnsweredAt.IsZero() && v.FailingSince.IsZero() }
	require.Eventually(t, answers, longWait, time.Millisecond)
	require.Zero(t, doubts.Load())
	held.Store(0)
	require.Eventually(t, func() bool { return !p.View().FailingSince.IsZero() && doubts.Load() > 0 }, longWait, time.Millisecond,
		"a host that holds no more")
	require.False(t, p.View().IsSilent, "it answers")
	held.Store(3)
	require.Eventually(t, answers, longWait, time.Millisecond)
	m.Close()
	server.CloseClientConnections()
	server.Close()
	require.Eventually(t, func() bool { return !p.View().FailingSince.IsZero() }, longWait, time.Millisecond, "a host that is gone")
	require.True(t, p.View().IsSilent)
}
