// Package slotter tracks the request slots of the upstreams of a data centre, so that no
// upstream gets more concurrent requests than it accepts.
//
// A slot is taken when a request is dispatched and released once the dispatch has certainly
// ended. The slot of a dispatch with an unknown result stays taken until the load that the
// upstream reports shows that it is free. An upstream is used only once its load is known.
//
// # Usage
//
//	slots := slotter.Slots{}
//	slots.Set(hosts)
//	if host, found := slots.Choose(now, slots.Names("shedwatch"), nil); found {
//		slots.Acquire(host.Name)
//	}
package slotter

import (
	"slices"
	"time"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/container/sorter"
)

const (
	// LoadQueryInterval is the time between two queries for the load of an upstream.
	LoadQueryInterval = 500 * time.Millisecond
	// downBackoff is the time for which an unreachable upstream gets no new requests.
	downBackoff = time.Second
)

// upstream is the state of a service instance: the host list's data, slots and health.
type upstream struct {
	host descriptor.Host
	// busy counts the slots that this host has taken and those that may still be in use by
	// unconfirmed dispatches.
	busy int
	// unconfirmed counts the slots among busy of dispatches with an unknown result, whether
	// of this host or of the former holder.
	unconfirmed int
	// isLoadKnown reports whether the upstream has reported its load since it was first
	// listed and since this host last took over a shard.
	isLoadKnown bool
	isLeaving   bool
	// downUntil is when an unreachable upstream may be used again.
	downUntil time.Time
	// nextLoadQuery is the earliest time of the next query for the load.
	nextLoadQuery time.Time
}

// limit returns the number of concurrent requests that the upstream accepts.
func (u *upstream) limit() int {
	if u.host.Connections > 0 {
		return min(u.host.Slots, u.host.Connections)
	}
	return u.host.Slots
}

func (u *upstream) isUp(now time.Time) bool {
	return u.isLoadKnown && !u.isLeaving && !now.Before(u.downUntil)
}

func (u *upstream) hasSlot(now time.Time) bool {
	return u.isUp(now) && u.busy < u.limit()
}

// Slots tracks the slots of all upstreams of a data centre. Its zero value has no upstreams.
type Slots struct {
	upstreams map[string]*upstream
	services  map[string][]string
}

// Set replaces the list of upstreams. An upstream that is no longer listed counts as leaving
// and is removed once none of its slots is busy.
func (s *Slots) Set(hosts []descriptor.Host) {
	s.services = make(map[string][]string)
	listed := make(map[string]bool, len(hosts))
	for _, host := range hosts {
		listed[host.Name] = true
		s.put(host)
		s.services[host.Service] = append(s.services[host.Service], host.Name)
	}
	for name, u := range s.upstreams {
		if listed[name] {
			continue
		}
		u.isLeaving = true
		if u.busy == 0 {
			delete(s.upstreams, name)
		}
	}
	for _, names := range s.services {
		slices.Sort(names)
	}
}

func (s *Slots) put(host descriptor.Host) {
	if s.upstreams == nil {
		s.upstreams = make(map[string]*upstream)
	}
	u, found := s.upstreams[host.Name]
	if !found {
		s.upstreams[host.Name] = &upstream{host: host, isLeaving: host.State == descriptor.HostLeaving}
		return
	}
	// The host list may lag: it must not reopen an upstream that has reported that it is leaving,
	// unless it lists a new incarnation.
	isNewIncarnation := u.host.Incarnation != host.Incarnation
	u.isLeaving = host.State == descriptor.HostLeaving || (u.isLeaving && !isNewIncarnation)
	u.host = host
}

// Names returns the names of the upstreams of a service, sorted.
func (s *Slots) Names(service string) []string { return s.services[service] }

// Host returns the host list's data of an upstream. It reports false if the upstream is unknown.
func (s *Slots) Host(name string) (descriptor.Host, bool) {
	u, found := s.upstreams[name]
	if !found {
		return descriptor.Host{}, false
	}
	return u.host, true
}

// IsUp reports whether an upstream may be used, whether or not it has a free slot.
func (s *Slots) IsUp(now time.Time, name string) bool {
	u, found := s.upstreams[name]
	return found && u.isUp(now)
}

// Choose returns the least busy of the named upstreams that has a free slot and is not among
// tried. It reports false if there is none.
func (s *Slots) Choose(now time.Time, names, tried []string) (descriptor.Host, bool) {
	var best *upstream
	for _, name := range names {
		u, found := s.upstreams[name]
		if !found || !u.hasSlot(now) || slices.Contains(tried, name) {
			continue
		}
		if best == nil || u.busy < best.busy {
			best = u
		}
	}
	if best == nil {
		return descriptor.Host{}, false
	}
	return best.host, true
}

// Acquire takes a slot of an upstream.
func (s *Slots) Acquire(name string) {
	if u, found := s.upstreams[name]; found {
		u.busy++
	}
}

// Release releases a slot of an upstream.
func (s *Slots) Release(name string) {
	if u, found := s.upstreams[name]; found && u.busy > 0 {
		u.busy--
	}
}

// MarkUnconfirmed marks a taken slot as unconfirmed after a dispatch with an unknown result. The slot
// stays taken until a reported load shows that it is free.
func (s *Slots) MarkUnconfirmed(now time.Time, name string) {
	if u, found := s.upstreams[name]; found {
		u.unconfirmed++
		u.nextLoadQuery = now.Add(LoadQueryInterval)
	}
}

// MarkLeaving records that an upstream has reported that it is leaving.
func (s *Slots) MarkLeaving(name string) {
	if u, found := s.upstreams[name]; found {
		u.isLeaving = true
	}
}

// MarkDown excludes an unreachable upstream for downBackoff.
func (s *Slots) MarkDown(now time.Time, name string) {
	if u, found := s.upstreams[name]; found {
		u.downUntil = now.Add(downBackoff)
	}
}

// InvalidateLoads discards all known loads, so that each upstream must report its load before it
// is used again. It is called after a takeover, when dispatches of the former holder may
// still use slots.
func (s *Slots) InvalidateLoads() {
	for _, u := range s.upstreams {
		u.isLoadKnown = false
		u.nextLoadQuery = time.Time{}
	}
}

// RecordLoad records the number of requests that an upstream reports as running, and returns the
// service of the upstream. It reports false if the upstream is unknown.
func (s *Slots) RecordLoad(name string, busy int) (service string, found bool) {
	u, found := s.upstreams[name]
	if !found {
		return "", false
	}
	// The dispatches that this host has in flight are known. The others in the load are
	// earlier dispatches, of this host or of a former holder, that still run.
	own := u.busy - u.unconfirmed
	others := max(busy-own, 0)
	if u.isLoadKnown {
		others = min(u.unconfirmed, others)
	}
	u.unconfirmed = others
	u.busy = own + others
	u.isLoadKnown = true
	return u.host.Service, true
}

// DueLoadQueries returns the upstreams to query for their load at now, sorted by name, and schedules
// their next query.
func (s *Slots) DueLoadQueries(now time.Time) []descriptor.Host {
	var due []descriptor.Host
	for _, name := range sorter.Keys(s.upstreams) {
		u := s.upstreams[name]
		needsLoadQuery := !u.isLoadKnown || u.unconfirmed > 0
		if needsLoadQuery && !now.Before(u.nextLoadQuery) {
			u.nextLoadQuery = now.Add(LoadQueryInterval)
			due = append(due, u.host)
		}
	}
	return due
}

// View is the state of an upstream as shown to operators.
type View struct {
	Name    string
	Service string
	State   string
	Busy    int
	Slots   int
}

// Views returns the state of all upstreams, sorted by name.
func (s *Slots) Views() []View {
	views := make([]View, 0, len(s.upstreams))
	for _, name := range sorter.Keys(s.upstreams) {
		u := s.upstreams[name]
		state := "open"
		switch {
		case u.isLeaving:
			state = "leaving"
		case !u.isLoadKnown:
			state = "unknown"
		}
		views = append(views, View{
			Name: name, Service: u.host.Service, State: state, Busy: u.busy, Slots: u.limit(),
		})
	}
	return views
}
