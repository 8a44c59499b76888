package resigner_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/entry/resigner"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/peer/messenger"
)

func newMessenger(t *testing.T, name string) *messenger.Messenger {
	m := messenger.New(messenger.Options{Self: messenger.Hello{Host: descriptor.HostID{Name: name}}})
	t.Cleanup(m.Close)
	return m
}

// newHost returns a host that replies whether it is ready.
func newHost(t *testing.T, cores float64, isReady bool) journaler.Host {
	const name = "b"
	m := newMessenger(t, name)
	resigner.New(resigner.Options{Self: name, Messenger: m, IsReady: func() bool { return isReady }})
	server := httptest.NewServer(m)
	t.Cleanup(server.Close)
	return journaler.Host{Name: name, Cores: cores, Address: strings.TrimPrefix(server.URL, "http://")}
}

// TestHasLarger guards against a handover to a host that is not larger, not ready or not
// reachable.
func TestHasLarger(t *testing.T) {
	unreachable := journaler.Host{Name: "gone", Cores: 0.8, Address: "127.0.0.1:1"}
	for _, test := range []struct {
		name      string
		hosts     []journaler.Host
		isSmall   bool
		hasLarger bool
	}{
		{"a host of the same size does not count as larger", []journaler.Host{newHost(t, 0.2, true)}, false, false},
		{"a larger host that is ready counts", []journaler.Host{newHost(t, 0.8, true)}, true, true},
		{"a larger host that is not ready is skipped", []journaler.Host{newHost(t, 0.8, false)}, true, false},
		{"a larger host that is unreachable is skipped", []journaler.Host{unreachable}, true, false},
		{"a ready host is found after an unreachable one", []journaler.Host{unreachable, newHost(t, 0.4, true)}, true, true},
		{"a host of unknown size does not count as larger", []journaler.Host{newHost(t, 0, true)}, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.isSmall, resigner.IsSmall(0.2, test.hosts))
			y := resigner.New(resigner.Options{
				Self: "a", Cores: 0.2, Messenger: newMessenger(t, "a"),
				Hosts: func() []journaler.Host { return append([]journaler.Host{{Name: "a", Cores: 0.2}}, test.hosts...) },
			})
			require.Equal(t, test.hasLarger, y.HasLargerReadyHost(t.Context()))
		})
	}
}
