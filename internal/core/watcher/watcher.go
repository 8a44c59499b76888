// Package watcher remembers which entry hosts of a data centre were heard of, and when.
//
// # Usage
//
//	w := watcher.New(self, dataCentre, suspect, keep)
//	w.Heard(now, host, "erie-a")
//	live := w.Live(now)
package watcher

import (
	"slices"
	"strings"
	"time"

	"lentilrock.example/internal/cell/descriptor"
)

// Watcher holds the hosts that were heard of.
type Watcher struct {
	self       descriptor.HostID
	dataCentre string
	// suspect is the silence after which a host counts as gone.
	suspect time.Duration
	// keep is the silence after which a host is forgotten.
	keep  time.Duration
	heard map[descriptor.HostID]time.Time
}

// New returns a watcher that has heard of nobody.
func New(self descriptor.HostID, dataCentre string, suspect, keep time.Duration) *Watcher {
	return &Watcher{
		self: self, dataCentre: dataCentre, suspect: suspect, keep: keep,
		heard: make(map[descriptor.HostID]time.Time),
	}
}

// Heard takes in a heartbeat of a host. Hosts of other data centres are passed over.
func (w *Watcher) Heard(now time.Time, host descriptor.HostID, dataCentre string) {
	if dataCentre != w.dataCentre || host.Name == w.self.Name {
		return
	}
	w.heard[host] = now
	for other, at := range w.heard {
		if now.Sub(at) > w.keep {
			delete(w.heard, other)
		}
	}
}

// Live lists the hosts that were heard of lately, this one included, by name.
func (w *Watcher) Live(now time.Time) []descriptor.HostID {
	live := []descriptor.HostID{w.self}
	for host, at := range w.heard {
		if now.Sub(at) < w.suspect {
			live = append(live, host)
		}
	}
	slices.SortFunc(live, func(a, b descriptor.HostID) int {
		return strings.Compare(a.String(), b.String())
	})
	return live
}
