package announcer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"lentilrock.example/internal/entry/announcer"
	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/standin/keeper"
)

// TestRun guards against a host that is not announced again after an outage of the store, and
// against announcements that are repeated too often or too rarely.
func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := keeper.NewStore(clockwork.NewRealClock())
		store.SetDown(true)
		a := announcer.New(announcer.Options{
			Self: journaler.Host{Name: "h-1", Cores: 0.4}, Store: store, Clock: clockwork.NewRealClock(), Logger: zap.NewNop(),
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go a.Run(ctx)
		time.Sleep(2 * time.Second)
		require.True(t, a.AnnouncedAt().IsZero())
		store.SetDown(false)
		time.Sleep(time.Minute)
		require.False(t, a.AnnouncedAt().IsZero())
		require.Positive(t, a.StoreDelay())
		batch, err := store.Read(ctx, storer.Jobs, 0, 0)
		require.NoError(t, err)
		require.Len(t, batch.Entries, 3, "one announcement at once and two more within a minute")
		cancel()
		time.Sleep(time.Second)
	})
}

// TestLive guards against hosts that stay live without announcements or expire too early.
func TestLive(t *testing.T) {
	start := time.Unix(1_000, 0)
	a := announcer.New(announcer.Options{})
	hosts := map[string]journaler.Host{"b": {Name: "b"}, "a": {Name: "a"}, "never": {Name: "never"}}
	a.MarkSeen("a", start)
	a.MarkSeen("b", start.Add(50*time.Second))
	require.Equal(t, []journaler.Host{{Name: "a"}, {Name: "b"}}, a.Live(hosts, start.Add(time.Minute)))
	require.Equal(t, []journaler.Host{{Name: "b"}}, a.Live(hosts, start.Add(100*time.Second)), "host a has missed three announcements")
}
