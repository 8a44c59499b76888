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

// longWait bounds waits for events; each of them takes far less.
const longWait = 30 * time.Second

// TestRun guards against a failed probe that goes unnoticed, and against a host that replies
// that it is not the holder being reported as unresponsive.
func TestRun(t *testing.T) {
	var held, failures atomic.Int64
	held.Store(3)
	m := messenger.New(messenger.Options{Self: messenger.Hello{Host: descriptor.HostID{Name: "holder"}}})
	t.Cleanup(m.Close)
	prober.New(prober.Options{Messenger: m, HeldEpoch: held.Load})
	server := httptest.NewServer(m)
	t.Cleanup(server.Close)

	own := messenger.New(messenger.Options{Self: messenger.Hello{Host: descriptor.HostID{Name: "self"}}})
	t.Cleanup(own.Close)
	p := prober.New(prober.Options{
		Messenger: own, Clock: clockwork.NewRealClock(), HostCount: func() int { return 2 }, HeldEpoch: func() int64 { return 0 },
		Holder: func() (journaler.Host, int64, bool) {
			return journaler.Host{Name: "holder", Address: strings.TrimPrefix(server.URL, "http://")}, 3, true
		},
		OnProbeFailed: func() { failures.Add(1) },
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go p.Run(ctx)

	isHeld := func() bool { v := p.View(); return v.Epoch == 3 && !v.AnsweredAt.IsZero() && v.FailingSince.IsZero() }
	require.Eventually(t, isHeld, longWait, time.Millisecond)
	require.Zero(t, failures.Load())
	held.Store(0)
	require.Eventually(t, func() bool { return !p.View().FailingSince.IsZero() && failures.Load() > 0 }, longWait, time.Millisecond,
		"a host that no longer holds the claim")
	require.False(t, p.View().IsUnresponsive, "a host that replies is not unresponsive")
	held.Store(3)
	require.Eventually(t, isHeld, longWait, time.Millisecond)
	m.Close()
	server.CloseClientConnections()
	server.Close()
	require.Eventually(t, func() bool { return !p.View().FailingSince.IsZero() }, longWait, time.Millisecond, "a host that has gone")
	require.True(t, p.View().IsUnresponsive)
}
