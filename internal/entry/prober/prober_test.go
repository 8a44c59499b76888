package prober_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
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

// connect returns the messengers of a host and of a peer of it, and the host.
func connect(t *testing.T) (own, peer *messenger.Messenger, host journaler.Host) {
	own = messenger.New(messenger.Options{Self: messenger.Hello{Host: descriptor.HostID{Name: "host"}}})
	peer = messenger.New(messenger.Options{Self: messenger.Hello{Host: descriptor.HostID{Name: "peer"}}})
	server := httptest.NewServer(own)
	t.Cleanup(server.Close)
	t.Cleanup(own.Close)
	t.Cleanup(peer.Close)
	return own, peer, journaler.Host{Name: "host", Address: strings.TrimPrefix(server.URL, "http://")}
}

// TestInform guards against a former holder that does not hear of a later claim, and against calls to one
// that has heard of it.
func TestInform(t *testing.T) {
	own, peer, host := connect(t)
	type news struct {
		peer  string
		epoch int64
	}
	heard := make(chan news, 8)
	prober.New(prober.Options{
		Messenger: own, HeldEpoch: func() int64 { return 3 }, OnProbed: func(peer string, epoch int64) { heard <- news{peer, epoch} },
	})
	p := prober.New(prober.Options{Messenger: peer, Clock: clockwork.NewRealClock(), HeldEpoch: func() int64 { return 0 }})
	p.Inform(t.Context(), host, 4)
	require.Equal(t, news{"peer", 4}, <-heard)
	require.Empty(t, heard, "the host replied to the first call")
}

// TestInformFormerSparesOthers guards against calls to a host that released its claim, that has claimed again or
// that is this host, and against a former holder that is not called.
func TestInformFormerSparesOthers(t *testing.T) {
	own, peer, host := connect(t)
	heard := make(chan int64, 1)
	prober.New(prober.Options{
		Messenger: own, HeldEpoch: func() int64 { return 4 }, OnProbed: func(_ string, epoch int64) { heard <- epoch },
	})
	p := prober.New(prober.Options{Self: "self", Messenger: peer, Clock: clockwork.NewRealClock(), HeldEpoch: func() int64 { return 0 }})
	for i, test := range []struct {
		former   journaler.Claim
		claimant string
		isCalled bool
	}{
		{journaler.Claim{Host: "host", Released: true}, "other", false},
		{journaler.Claim{Host: "self"}, "other", false},
		{journaler.Claim{Host: "host"}, "host", false},
		{journaler.Claim{Host: "gone"}, "other", false},
		{journaler.Claim{Host: "host"}, "other", true},
	} {
		state := journaler.New()
		for _, name := range []string{"host", "self"} {
			state.Hosts[name] = host
		}
		state.Claim = journaler.Claim{Epoch: int64(i), Host: test.claimant}
		p.InformFormer(state, test.former)
		if test.isCalled {
			require.Equal(t, int64(i), <-heard)
		}
	}
	require.Never(t, func() bool { return len(heard) > 0 }, 100*time.Millisecond, 10*time.Millisecond, "another host was called")
}

// TestProbesOfOtherVersions guards against hosts that do not reply to each other's probes while a cell is
// updated: former versions send and expect a request without an epoch.
func TestProbesOfOtherVersions(t *testing.T) {
	t.Run("a probe without an epoch", func(t *testing.T) {
		own, peer, host := connect(t)
		probed := make(chan int64, 1)
		prober.New(prober.Options{
			Messenger: own, HeldEpoch: func() int64 { return 3 }, OnProbed: func(_ string, epoch int64) { probed <- epoch },
		})
		held, err := messenger.Call[struct{}, int64](t.Context(), peer, netip.MustParseAddrPort(host.Address), "held", struct{}{})
		require.NoError(t, err)
		require.Equal(t, int64(3), held)
		require.Zero(t, <-probed)
	})
	t.Run("a host that knows no epoch in a probe", func(t *testing.T) {
		own, peer, host := connect(t)
		messenger.Handle(own, "held", func(context.Context, messenger.Hello, struct{}) (int64, error) { return 3, nil })
		p := prober.New(prober.Options{
			Messenger: peer, Clock: clockwork.NewRealClock(), HeldEpoch: func() int64 { return 0 }, HostCount: func() int { return 2 },
			Holder: func() (journaler.Host, int64, bool) { return host, 3, true }, OnProbeFailed: func() { t.Error("the probe failed") },
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go p.Run(ctx)
		require.Eventually(t, func() bool { return !p.View().AnsweredAt.IsZero() }, longWait, time.Millisecond)
	})
}

// TestAwaitEnd guards against a former holder that counts as ended although nothing shows it: it holds a later claim, or has
// not replied. One that replies has heard of the later claim before.
func TestAwaitEnd(t *testing.T) {
	own, peer, host := connect(t)
	var held, heard atomic.Int64
	held.Store(5)
	prober.New(prober.Options{
		Messenger: own, HeldEpoch: held.Load, OnProbed: func(_ string, epoch int64) { heard.Store(epoch) },
	})
	p := prober.New(prober.Options{Messenger: peer, Clock: clockwork.NewRealClock(), HeldEpoch: func() int64 { return 0 }})
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	require.False(t, p.AwaitEnd(ctx, host, 4), "the host holds a later claim")
	held.Store(0)
	require.True(t, p.AwaitEnd(t.Context(), host, 6))
	require.EqualValues(t, 6, heard.Load())
	ctx, cancel = context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	require.False(t, p.AwaitEnd(ctx, journaler.Host{Name: "host", Address: "127.0.0.1:1"}, 6), "the host does not reply")
}
