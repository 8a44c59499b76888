package admitter

import (
	"time"

	"lentilrock.example/internal/container/sorter"
	"lentilrock.example/internal/core/slotter"
)

// RequestView is the part of an open request that operators can query.
type RequestView struct {
	Key      string
	Service  string
	State    string
	Upstream string
	Attempt  int
	Since    time.Time
	Urgent   bool
}

// Requests lists the open requests, sorted by key.
func (a *Admitter) Requests() []RequestView {
	views := make([]RequestView, 0, len(a.requests))
	for _, key := range sorter.Keys(a.requests) {
		r := a.requests[key]
		views = append(views, RequestView{
			Key: key, Service: r.service, State: string(r.machine.State()),
			Upstream: r.upstream, Attempt: r.attempt, Since: r.arrived, Urgent: r.isUrgent,
		})
	}
	return views
}

// Upstreams lists the upstreams, sorted by name.
func (a *Admitter) Upstreams() []slotter.View { return a.slots.Views() }
