// Package checker reads the settings of an entry host from an INI file and validates them before the host
// starts. All faults are reported at once, each with its line number and the accepted values.
//
// The file has only the settings of this one host. The configuration of the cell (quotas, drains,
// policies) is stored in the platform's log.
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
	"lentilrock.example/internal/web/budgeter"
)

// Settings are the settings of an entry host. Their keys in the file are listed in reader.settings.
type Settings struct {
	Name       string
	DataCentre string
	Region     string
	Listen     netip.AddrPort
	Layout     descriptor.Layout
	LogAddress netip.AddrPort
	// HostListAddress is the address of the platform's host list.
	HostListAddress netip.AddrPort
	Claims          claimer.Options
	Tracker         pacer.Options
	Requests        limiter.Options
	// MaxBodyBytes limits the body of a caller's request, in bytes.
	MaxBodyBytes int64
	// Clients limit what clients may use of the process. Its MemoryMB is always set, also if IsMemorySet is false.
	Clients     budgeter.Limits
	IsMemorySet bool
	// MaxResponseBytes limits the body of an upstream's response, in bytes.
	MaxResponseBytes int
	// ShutdownGrace is how long a graceful shutdown waits for work in flight.
	ShutdownGrace time.Duration
	// DefaultTimeout is the time limit of a request that states none.
	DefaultTimeout time.Duration
	// AppendBatch is how long records are collected before they are appended to the log as one batch.
	AppendBatch time.Duration
	LogLevel    string
	// Pprof enables the profiling endpoints.
	Pprof bool
	// SnapshotEvery is the number of records of a stream between two snapshots.
	SnapshotEvery int64
}

// Defaults of the settings. Sizes are in bytes.
const (
	DefaultMaxBodyBytes     = 1 << 20
	DefaultMemoryMB         = 1024
	DefaultMaxFDs           = 16_384
	DefaultMaxResponseBytes = 4 << 20
	DefaultShutdownGrace    = 20 * time.Second
	DefaultRequestTimeout   = 10 * time.Second
	DefaultAppendBatch      = 2 * time.Millisecond
)
