// Package slotter keeps the slots of the upstreams of a data centre, so that none is ever
// given more requests than it takes.
//
// A slot is taken at the decision and given back once the dispatch has ended for certain.
// The slot of a dispatch whose end is not known stays taken until the upstream's own load
// shows that it is free. An upstream is used only once its load is known.
//
// # Usage
//
//	slots := slotter.Slots{}
//	slots.Set(hosts)
//	if host, found := slots.Choose(now, slots.Names("shedwatch"), nil); found {
//		slots.Take(host.Name)
//	}
package slotter

import (
	"slices"
	"time"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/container/sorter"
)

const (
	// AskInterval is the time between two questions for an upstream's load.
	AskInterval = 500 * time.Millisecond
	// downTime is how long an upstream that could not be reached is left alone.
	downTime = time.Second
)

// upstream is a service instance of the data centre.
type upstream struct {
	host descriptor.Host
	// busy counts the slots that this host has taken or that may still be in use.
	busy int
	// ghosts counts the slots among busy of dispatches whose end is not known.
	ghosts int
	// known reports that the upstream's load was read since this host took over.
	known   bool
	leaving bool
	// downUntil is when an upstream that could not be reached is tried again.
	downUntil time.Time
	// nextAsk is when the load is asked for again.
	nextAsk time.Time
}

// limit returns how many requests the upstream takes at a time.
func (u *upstream) limit() int {
	if u.host.Connections > 0 {
		return min(u.host.Slots, u.host.Connections)
	}
	return u.host.Slots
}

func (u *upstream) isUp(now time.Time) bool {
	return u.known && !u.leaving && !now.Before(u.downUntil)
}

func (u *upstream) hasSlot(now time.Time) bool {
	return u.isUp(now) && u.busy < u.limit()
}

// Slots are the slots of all upstreams. Its zero value has none.
type Slots struct {
	upstreams map[string]*upstream
	services  map[string][]string
}

// Set takes in the upstreams that are listed now.
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
		u.leaving = true
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
		s.upstreams[host.Name] = &upstream{host: host, leaving: host.State == descriptor.ListLeaving}
		return
	}
	// A lagging list must not bring back an upstream that said itself that it leaves,
	// unless it is another life of it.
	isNewLife := u.host.Incarnation != host.Incarnation
	u.leaving = host.State == descriptor.ListLeaving || (u.leaving && !isNewLife)
	u.host = host
}

// Names lists the upstreams of a service, by name.
func (s *Slots) Names(service string) []string { return s.services[service] }

// Host returns an upstream.
func (s *Slots) Host(name string) (descriptor.Host, bool) {
	u, found := s.upstreams[name]
	if !found {
		return descriptor.Host{}, false
	}
	return u.host, true
}

// IsUp reports whether an upstream may be used, be a slot free or not.
func (s *Slots) IsUp(now time.Time, name string) bool {
	u, found := s.upstreams[name]
	return found && u.isUp(now)
}

// Choose returns the least busy of some upstreams that has a free slot and was not tried.
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

// Take takes a slot.
func (s *Slots) Take(name string) {
	if u, found := s.upstreams[name]; found {
		u.busy++
	}
}

// Give gives a slot back.
func (s *Slots) Give(name string) {
	if u, found := s.upstreams[name]; found && u.busy > 0 {
		u.busy--
	}
}

// Lose keeps a slot taken until the upstream says that it is free.
func (s *Slots) Lose(now time.Time, name string) {
	if u, found := s.upstreams[name]; found {
		u.ghosts++
		u.nextAsk = now.Add(AskInterval)
	}
}

// MarkLeaving takes in that an upstream said itself that it leaves.
func (s *Slots) MarkLeaving(name string) {
	if u, found := s.upstreams[name]; found {
		u.leaving = true
	}
}

// MarkDown leaves an upstream alone for a while that could not be reached.
func (s *Slots) MarkDown(now time.Time, name string) {
	if u, found := s.upstreams[name]; found {
		u.downUntil = now.Add(downTime)
	}
}

// ForgetLoads makes each upstream's load be read before it is used, as after a takeover.
func (s *Slots) ForgetLoads() {
	for _, u := range s.upstreams {
		u.known = false
		u.nextAsk = time.Time{}
	}
}

// Loaded takes in how many requests an upstream runs, and returns its service.
func (s *Slots) Loaded(name string, busy int) (service string, found bool) {
	u, found := s.upstreams[name]
	if !found {
		return "", false
	}
	// What this host has in flight is counted apart; the rest of the load is what former
	// dispatches still use.
	own := u.busy - u.ghosts
	rest := max(busy-own, 0)
	if u.known {
		rest = min(u.ghosts, rest)
	}
	u.ghosts = rest
	u.busy = own + rest
	u.known = true
	return u.host.Service, true
}

// Due lists the upstreams whose load is to be asked for now, by name.
func (s *Slots) Due(now time.Time) []descriptor.Host {
	var due []descriptor.Host
	for _, name := range sorter.Keys(s.upstreams) {
		u := s.upstreams[name]
		mustAsk := !u.known || u.ghosts > 0
		if mustAsk && !now.Before(u.nextAsk) {
			u.nextAsk = now.Add(AskInterval)
			due = append(due, u.host)
		}
	}
	return due
}

// View is an upstream as operators see it.
type View struct {
	Name    string
	Service string
	State   string
	Busy    int
	Slots   int
}

// Views lists the upstreams by name.
func (s *Slots) Views() []View {
	views := make([]View, 0, len(s.upstreams))
	for _, name := range sorter.Keys(s.upstreams) {
		u := s.upstreams[name]
		state := "open"
		switch {
		case u.leaving:
			state = "leaving"
		case !u.known:
			state = "unknown"
		}
		views = append(views, View{
			Name: name, Service: u.host.Service, State: state, Busy: u.busy, Slots: u.limit(),
		})
	}
	return views
}
