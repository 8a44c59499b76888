package descriptor

import (
	"net/netip"
)

// Role is the role of a listed host.
type Role string

// The roles of listed hosts.
const (
	RoleEntry    Role = "entry"
	RoleUpstream Role = "upstream"
	RoleWorker   Role = "worker"
)

// HostState is the lifecycle state of a listed host.
type HostState string

// The states of listed hosts.
const (
	// HostLeaving means that the platform is about to remove the host.
	HostLeaving HostState = "leaving"
	HostLive    HostState = "live"
)

// Host is an entry of the platform's host list.
type Host struct {
	Name string `json:"name"`
	// Incarnation distinguishes a host from the one that it replaces under the same name.
	Incarnation string         `json:"incarnation,omitempty"`
	Role        Role           `json:"role"`
	State       HostState      `json:"state"`
	Address     netip.AddrPort `json:"address"`
	DataCentre  string         `json:"data_centre"`
	Region      string         `json:"region"`
	Rack        string         `json:"rack,omitempty"`
	// Capacity is the total resources of a worker.
	Capacity Size `json:"capacity,omitzero"`
	// Service is the name of the service that an upstream provides.
	Service string `json:"service,omitempty"`
	// Slots is how many requests an upstream runs concurrently.
	Slots int `json:"slots,omitempty"`
	// Connections is how many connections an upstream accepts.
	Connections int `json:"connections,omitempty"`
}

// ID returns the host's name together with its incarnation.
func (h Host) ID() HostID {
	return HostID{Name: h.Name, Incarnation: h.Incarnation}
}
