// Package checker reads a host's settings from an INI file and checks all of them before
// anything starts: every fault is reported at once, with its line and what would be right.
//
// Only what a host must know of itself is here. The configuration of the cell (quotas,
// drains, policies) is in the platform's log.
//
// # Usage
//
//	settings, faults := checker.Load("lentilrock.ini")
//	for _, fault := range faults {
//		fmt.Println(fault)
//	}
package checker

import (
	"net/netip"
	"time"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/core/claimer"
	"lentilrock.example/internal/core/limiter"
	"lentilrock.example/internal/core/pacer"
)

// Settings are the settings of an entry host.
type Settings struct {
	Name       string
	DataCentre string
	Region     string
	Listen     netip.AddrPort
	Layout     descriptor.Layout
	LogAddress netip.AddrPort
	HostList   netip.AddrPort
	Claims     claimer.Options
	Tracker    pacer.Options
	Requests   limiter.Options
	// MaxBody bounds a caller's request body, in bytes.
	MaxBody int64
	// MaxAnswer bounds an upstream's answer, in bytes.
	MaxAnswer int
	// ShutdownGrace is how long a graceful shutdown waits for work in flight.
	ShutdownGrace time.Duration
	// DefaultTimeout is the deadline of a request that states none.
	DefaultTimeout time.Duration
	// AppendBatch is how long records gather before they are appended.
	AppendBatch time.Duration
	LogLevel    string
	Pprof       bool
	// SnapshotEvery is how many records of a stream lie between two snapshots.
	SnapshotEvery int64
}

// Defaults of the settings.
const (
	DefaultMaxBody        = 1 << 20
	DefaultMaxAnswer      = 4 << 20
	DefaultShutdownGrace  = 20 * time.Second
	DefaultRequestTimeout = 10 * time.Second
	DefaultAppendBatch    = 2 * time.Millisecond
)
