// Package detector detects which entry hosts of a data centre are live, from the heartbeats
// that they send to each other.
//
// # Usage
//
//	w := detector.New(self, dataCentre, suspectAfter, forgetAfter)
//	w.RecordHeartbeat(now, host, "erie-a")
//	live := w.Live(now)
package detector

import (
	"slices"
	"strings"
	"time"

	"lentilrock.example/internal/cell/descriptor"
)

// Detector records when each peer host last sent a heartbeat.
type Detector struct {
	self       descriptor.HostID
	dataCentre string
	// suspectAfter is the time without a heartbeat after which a host counts as failed.
	suspectAfter time.Duration
	// forgetAfter is the time without a heartbeat after which the state of a host is deleted.
	forgetAfter   time.Duration
	lastHeartbeat map[descriptor.HostID]time.Time
}

// New returns a detector that has received no heartbeats yet.
func New(self descriptor.HostID, dataCentre string, suspectAfter, forgetAfter time.Duration) *Detector {
	return &Detector{
		self: self, dataCentre: dataCentre, suspectAfter: suspectAfter, forgetAfter: forgetAfter,
		lastHeartbeat: make(map[descriptor.HostID]time.Time),
	}
}

// RecordHeartbeat records a heartbeat of a host and deletes the last heartbeats that are older than forgetAfter. It
// ignores hosts of other data centres and this host.
func (w *Detector) RecordHeartbeat(now time.Time, host descriptor.HostID, dataCentre string) {
	if dataCentre != w.dataCentre || host.Name == w.self.Name {
		return
	}
	w.lastHeartbeat[host] = now
	for h, at := range w.lastHeartbeat {
		if now.Sub(at) > w.forgetAfter {
			delete(w.lastHeartbeat, h)
		}
	}
}

// Live returns the hosts that sent a heartbeat recently, and this host, ordered by name and
// incarnation.
func (w *Detector) Live(now time.Time) []descriptor.HostID {
	live := []descriptor.HostID{w.self}
	for h, at := range w.lastHeartbeat {
		if now.Sub(at) < w.suspectAfter {
			live = append(live, h)
		}
	}
	slices.SortFunc(live, func(a, b descriptor.HostID) int {
		return strings.Compare(a.String(), b.String())
	})
	return live
}
