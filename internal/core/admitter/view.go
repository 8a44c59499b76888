package admitter

import (
	"time"

	"lentilrock.example/internal/container/sorter"
)

// RequestView is an open request as operators see it.
type RequestView struct {
	Key      string
	Service  string
	State    string
	Upstream string
	Attempt  int
	Since    time.Time
	Urgent   bool
}

// Requests lists the open requests by key.
func (a *Admitter) Requests() []RequestView {
	views := make([]RequestView, 0, len(a.requests))
	for _, key := range sorter.Keys(a.requests) {
		r := a.requests[key]
		views = append(views, RequestView{
			Key: key, Service: r.service, State: string(r.machine.State()),
			Upstream: r.upstream, Attempt: r.attempt, Since: r.arrived, Urgent: r.urgent,
		})
	}
	return views
}

// UpstreamView is an upstream as operators see it.
type UpstreamView struct {
	Name    string
	Service string
	State   string
	Busy    int
	Slots   int
}

// Upstreams lists the upstreams by name.
func (a *Admitter) Upstreams() []UpstreamView {
	views := make([]UpstreamView, 0, len(a.upstreams))
	for _, name := range sorter.Keys(a.upstreams) {
		u := a.upstreams[name]
		state := "open"
		switch {
		case u.leaving:
			state = "leaving"
		case !u.known:
			state = "unknown"
		}
		views = append(views, UpstreamView{
			Name: name, Service: u.host.Service, State: state, Busy: u.busy, Slots: u.limit(),
		})
	}
	return views
}
