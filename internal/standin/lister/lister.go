// Package lister stands in for the platform's host list: it shows each change only
// after a lag.
//
// # Usage
//
//	list := lister.New(clock, 300*time.Millisecond)
//	list.Put(host)
//	http.Serve(listener, list.Handler())
package lister

import (
	"cmp"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/web/responder"
)

const maxBody = 1 << 20

type change struct {
	at   time.Time
	host descriptor.Host
	gone bool
}

// Lister is a host list in memory.
type Lister struct {
	clock clockwork.Clock
	lag   time.Duration

	mu      sync.Mutex
	changes []change
	shown   map[string]descriptor.Host
	latest  map[string]descriptor.Host
	down    bool
}

// New returns an empty list that shows changes after lag.
func New(clock clockwork.Clock, lag time.Duration) *Lister {
	return &Lister{
		clock: clock, lag: lag,
		shown: make(map[string]descriptor.Host), latest: make(map[string]descriptor.Host),
	}
}

// Handler returns the HTTP door of the list.
func (l *Lister) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", l.get)
	mux.HandleFunc("PUT /v1/hosts", l.put)
	mux.HandleFunc("DELETE /v1/hosts/{name}", l.remove)
	mux.HandleFunc("POST /v1/hosts/{name}/leave", l.leave)
	mux.HandleFunc("POST /fault", responder.Setter(maxBody, l.SetDown))
	return mux
}

// Put adds or replaces a host.
func (l *Lister) Put(host descriptor.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latest[host.Name] = host
	l.changes = append(l.changes, change{at: l.clock.Now(), host: host})
}

// Leave marks a host as leaving. It reports false for an unknown one.
func (l *Lister) Leave(name string) bool {
	l.mu.Lock()
	host, found := l.latest[name]
	l.mu.Unlock()
	if found {
		host.State = descriptor.ListLeaving
		l.Put(host)
	}
	return found
}

// Remove takes a host off the list.
func (l *Lister) Remove(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.latest, name)
	l.changes = append(l.changes, change{
		at: l.clock.Now(), host: descriptor.Host{Name: name}, gone: true,
	})
}

// Hosts returns what the list shows now, by name.
func (l *Lister) Hosts() []descriptor.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	visible := l.clock.Now().Add(-l.lag)
	for len(l.changes) > 0 && !l.changes[0].at.After(visible) {
		c := l.changes[0]
		l.changes = l.changes[1:]
		if c.gone {
			delete(l.shown, c.host.Name)
			continue
		}
		l.shown[c.host.Name] = c.host
	}
	hosts := make([]descriptor.Host, 0, len(l.shown))
	for _, h := range l.shown {
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(a, b descriptor.Host) int { return cmp.Compare(a.Name, b.Name) })
	return hosts
}

func (l *Lister) get(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	down := l.down
	l.mu.Unlock()
	if down {
		http.Error(w, "host list is down", http.StatusServiceUnavailable)
		return
	}
	responder.JSON(w, http.StatusOK, l.Hosts())
}

func (l *Lister) put(w http.ResponseWriter, r *http.Request) {
	hosts, err := responder.Read[[]descriptor.Host](r, maxBody)
	if err != nil {
		responder.Fail(w, http.StatusBadRequest, err)
		return
	}
	for _, h := range hosts {
		l.Put(h)
	}
	responder.JSON(w, http.StatusOK, len(hosts))
}

func (l *Lister) leave(w http.ResponseWriter, r *http.Request) {
	if !l.Leave(r.PathValue("name")) {
		responder.Fail(w, http.StatusNotFound, errors.Newf("host %q is unknown", r.PathValue("name")))
		return
	}
	responder.JSON(w, http.StatusOK, "leaving")
}

func (l *Lister) remove(w http.ResponseWriter, r *http.Request) {
	l.Remove(r.PathValue("name"))
	responder.JSON(w, http.StatusOK, "removed")
}

// SetDown makes the list answer nothing, or lets it answer again.
func (l *Lister) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}
