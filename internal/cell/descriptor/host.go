package descriptor

import (
	"net/netip"
)

// Role says what a listed host does.
type Role string

// The roles of listed hosts.
const (
	RoleEntry    Role = "entry"
	RoleUpstream Role = "upstream"
	RoleWorker   Role = "worker"
)

// ListState says whether the platform is taking a host away.
type ListState string

// The states of listed hosts.
const (
	ListLeaving ListState = "leaving"
	ListLive    ListState = "live"
)

// Host is an entry of the platform's host list.
type Host struct {
	Name        string         `json:"name"`
	Incarnation string         `json:"incarnation,omitempty"`
	Role        Role           `json:"role"`
	State       ListState      `json:"state"`
	Address     netip.AddrPort `json:"address"`
	DataCentre  string         `json:"data_centre"`
	Region      string         `json:"region"`
	Rack        string         `json:"rack,omitempty"`
	// Capacity is what a worker offers.
	Capacity Size `json:"capacity,omitzero"`
	// Service names the service that an upstream serves.
	Service string `json:"service,omitempty"`
	// Slots is how many requests an upstream runs at a time.
	Slots int `json:"slots,omitempty"`
	// Connections is how many connections an upstream takes.
	Connections int `json:"connections,omitempty"`
}

// ID returns the identity of this life of the host.
func (h Host) ID() HostID {
	return HostID{Name: h.Name, Incarnation: h.Incarnation}
}
