package asker_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/entry/asker"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/peer/messenger"
)

// advisor answers with its own name, one question at a time.
type advisor struct {
	name string
	// entered is told of each question, which waits for release.
	entered chan string
	release chan struct{}

	mu   sync.Mutex
	busy int
	most int
	err  error
}

func (a *advisor) Advise(context.Context, orderer.Advise) (orderer.Advice, error) {
	a.mu.Lock()
	a.busy++
	a.most = max(a.most, a.busy)
	a.mu.Unlock()
	a.entered <- a.name
	<-a.release
	a.mu.Lock()
	defer a.mu.Unlock()
	a.busy--
	return orderer.Advice{Tickets: map[string]string{"w": a.name}}, a.err
}

func newHost(t *testing.T, name string, entered chan string, release chan struct{}, hosts *[]journaler.Host) (*asker.Asker, *advisor) {
	service := &advisor{name: name, entered: entered, release: release}
	m := messenger.New(messenger.Options{Self: messenger.Hello{Host: descriptor.HostID{Name: name}}})
	a := asker.New(asker.Options{
		Self: name, DataCentre: "brno", Advisor: service, Messenger: m, Clock: clockwork.NewRealClock(),
		Hosts: func() []journaler.Host { return *hosts },
	})
	server := httptest.NewServer(m)
	t.Cleanup(server.Close)
	t.Cleanup(m.Close)
	*hosts = append(*hosts, journaler.Host{Name: name, DataCentre: "brno", Address: strings.TrimPrefix(server.URL, "http://")})
	return a, service
}

func TestQuestionsGoThroughAllHosts(t *testing.T) {
	var hosts []journaler.Host
	// Each host's question tells that it is under way, and waits: no timing is involved.
	entered, release := make(chan string), make(chan struct{})
	holder, first := newHost(t, "a", entered, release, &hosts)
	_, second := newHost(t, "b", entered, release, &hosts)
	question := orderer.Advise{Terms: describer.AdviceTerms{Decide: time.Minute}}
	answers := make(chan string)
	const questions = 4
	for range questions {
		go func() {
			advice, err := holder.Ask(t.Context(), question)
			if err != nil {
				answers <- err.Error()
				return
			}
			answers <- advice.Tickets["w"]
		}()
	}
	under := []string{<-entered, <-entered}
	require.ElementsMatch(t, []string{"a", "b"}, under, "both hosts ask side by side")
	go func() {
		for range questions - len(under) {
			<-entered
		}
	}()
	for range questions {
		release <- struct{}{}
		require.Contains(t, []string{"a", "b"}, <-answers)
	}
	require.Equal(t, 1, first.most, "a host asks one question at a time")
	require.Equal(t, 1, second.most)
}

func TestHostThatDoesNotAnswer(t *testing.T) {
	hosts := []journaler.Host{{Name: "gone", DataCentre: "brno", Address: "127.0.0.1:1"}}
	entered, release := make(chan string, 1), make(chan struct{}, 1)
	release <- struct{}{}
	holder, _ := newHost(t, "self", entered, release, &hosts)
	_, err := holder.Ask(t.Context(), orderer.Advise{})
	require.True(t, errors.Is(err, messenger.ErrUnreachable))
	advice, err := holder.Ask(t.Context(), orderer.Advise{})
	require.NoError(t, err, "a host that did not answer is passed over")
	require.Equal(t, "self", advice.Tickets["w"])
}
