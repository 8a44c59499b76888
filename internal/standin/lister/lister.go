// Package lister simulates the platform's host list, which is eventually consistent: readers see
// each change only after a lag.
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

const maxBodyBytes = 1 << 20

type change struct {
	at        time.Time
	host      descriptor.Host
	isRemoved bool
}

// Lister is an in-memory host list.
type Lister struct {
	clock clockwork.Clock
	lag   time.Duration

	mu      sync.Mutex
	changes []change
	visible map[string]descriptor.Host
	latest  map[string]descriptor.Host
	isDown  bool
}

// New returns an empty list in which changes become visible after lag.
func New(clock clockwork.Clock, lag time.Duration) *Lister {
	return &Lister{
		clock: clock, lag: lag,
		visible: make(map[string]descriptor.Host), latest: make(map[string]descriptor.Host),
	}
}

// Handler returns the HTTP handler of the list.
func (l *Lister) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", l.get)
	mux.HandleFunc("PUT /v1/hosts", l.put)
	mux.HandleFunc("DELETE /v1/hosts/{name}", l.remove)
	mux.HandleFunc("POST /v1/hosts/{name}/leave", l.leave)
	mux.HandleFunc("POST /fault", responder.Setter(maxBodyBytes, l.SetDown))
	return mux
}

// Put adds a host, or replaces the one with the same name.
func (l *Lister) Put(host descriptor.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latest[host.Name] = host
	l.changes = append(l.changes, change{at: l.clock.Now(), host: host})
}

// Leave marks a host as leaving. It returns false for an unknown host.
func (l *Lister) Leave(name string) bool {
	l.mu.Lock()
	host, found := l.latest[name]
	l.mu.Unlock()
	if found {
		host.State = descriptor.HostLeaving
		l.Put(host)
	}
	return found
}

// Remove removes a host from the list.
func (l *Lister) Remove(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.latest, name)
	l.changes = append(l.changes, change{
		at: l.clock.Now(), host: descriptor.Host{Name: name}, isRemoved: true,
	})
}

// Hosts returns the hosts that are visible now, sorted by name.
func (l *Lister) Hosts() []descriptor.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	cutoff := l.clock.Now().Add(-l.lag)
	for len(l.changes) > 0 && !l.changes[0].at.After(cutoff) {
		c := l.changes[0]
		l.changes = l.changes[1:]
		if c.isRemoved {
			delete(l.visible, c.host.Name)
			continue
		}
		l.visible[c.host.Name] = c.host
	}
	hosts := make([]descriptor.Host, 0, len(l.visible))
	for _, h := range l.visible {
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(a, b descriptor.Host) int { return cmp.Compare(a.Name, b.Name) })
	return hosts
}

func (l *Lister) get(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	isDown := l.isDown
	l.mu.Unlock()
	if isDown {
		http.Error(w, "host list is down", http.StatusServiceUnavailable)
		return
	}
	responder.JSON(w, http.StatusOK, l.Hosts())
}

func (l *Lister) put(w http.ResponseWriter, r *http.Request) {
	hosts, err := responder.Read[[]descriptor.Host](r, maxBodyBytes)
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

// SetDown makes the list refuse reads with status 503, or serve them again. Changes are accepted
// in both cases.
func (l *Lister) SetDown(isDown bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isDown = isDown
}
