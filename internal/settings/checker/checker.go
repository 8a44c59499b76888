package checker

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/core/claimer"
	"lentilrock.example/internal/core/limiter"
	"lentilrock.example/internal/core/pacer"
	"lentilrock.example/internal/core/snapshotter"
	"lentilrock.example/internal/web/budgeter"
)

// Fault is one invalid, missing or unknown key of a settings file.
type Fault struct {
	// File is the path of the settings file.
	File string
	// Line is the line number of the key, from 1, or 0 if the key is missing.
	Line int
	// Key is "section.key".
	Key string
	// Problem describes the error and the values that are accepted.
	Problem string
}

// String returns the fault as one line, "file:line: key: problem".
func (f Fault) String() string {
	place := f.File
	if f.Line > 0 {
		place += ":" + strconv.Itoa(f.Line)
	}
	return fmt.Sprintf("%s: %s: %s", place, f.Key, f.Problem)
}

// reader reads the keys of a settings file and collects the faults.
type reader struct {
	file string
	// lines has the line number of each "section.key".
	lines map[string]int
	ini   *ini.File
	// known has each "section.key" that was read.
	known  []string
	faults []Fault
}

// Load reads and checks a settings file. The settings may be used only if no faults are returned. A file
// that can't be read is returned as a fault with the key "file".
func Load(path string) (Settings, []Fault) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, []Fault{{File: path, Key: "file", Problem: err.Error()}}
	}
	return Parse(path, data)
}

// Parse parses and checks the content of a settings file. The path is used in the faults only. Content
// that is not INI is returned as a fault with the key "file".
func Parse(path string, data []byte) (Settings, []Fault) {
	file, err := ini.LoadSources(ini.LoadOptions{SkipUnrecognizableLines: false}, data)
	if err != nil {
		problem := fmt.Sprintf("%v; want lines of [section] and key = value", err)
		return Settings{}, []Fault{{File: path, Key: "file", Problem: problem}}
	}
	r := &reader{file: path, ini: file, lines: lineNumbers(data)}
	settings := r.settings()
	r.findUnknown()
	slices.SortStableFunc(r.faults, func(a, b Fault) int { return a.Line - b.Line })
	return settings, r.faults
}

// lineNumbers returns the line number of each "section.key", since the INI library does not record them.
func lineNumbers(data []byte) map[string]int {
	lines := make(map[string]int)
	section := ""
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") && strings.HasSuffix(line, "]") {
			section = strings.Trim(line, "[]")
			continue
		}
		if key, _, found := strings.Cut(line, "="); found {
			lines[section+"."+strings.TrimSpace(key)] = i + 1
		}
	}
	return lines
}

// settings reads all keys. For each number and duration, the default, the lowest and the highest accepted
// value are given.
func (r *reader) settings() Settings {
	s := Settings{
		Name:            r.id("host.name"),
		DataCentre:      r.id("host.data_centre"),
		Region:          r.id("host.region"),
		Listen:          r.address("host.listen"),
		LogAddress:      r.address("platform.log"),
		HostListAddress: r.address("platform.hosts"),
		Layout: descriptor.Layout{
			DataCentres:         r.names("cell.data_centres"),
			ShardsPerDataCentre: int(r.number("cell.shards_per_data_centre", 1, 1, 4096)),
		},
		Claims: claimer.Options{
			Window:         r.duration("claims.window", claimer.DefaultWindow, 100*time.Millisecond, time.Minute),
			Drift:          r.duration("claims.drift", claimer.DefaultDrift, time.Millisecond, time.Minute),
			MaxExtension:   r.duration("claims.cap", claimer.DefaultMaxExtension, time.Second, 24*time.Hour),
			FailureTimeout: r.duration("claims.suspect", claimer.DefaultFailureTimeout, 100*time.Millisecond, time.Minute),
		},
		Tracker: pacer.Options{
			Lease:     r.duration("leases.lease", pacer.DefaultLease, time.Second, time.Hour),
			Heartbeat: r.duration("leases.heartbeat", pacer.DefaultHeartbeat, 50*time.Millisecond, time.Minute),
			Skew:      r.duration("leases.skew", pacer.DefaultSkew, time.Millisecond, time.Minute),
		},
		Requests: limiter.Options{
			MaxQueued:      int(r.number("requests.max_queued", limiter.DefaultMaxQueued, 1, 1<<20)),
			MaxAttempts:    int(r.number("requests.max_attempts", limiter.DefaultMaxAttempts, 1, 100)),
			RefuseInOutage: r.flag("requests.refuse_in_outage"),
		},
		MaxBodyBytes:     r.number("limits.max_body_bytes", DefaultMaxBodyBytes, 1, 1<<30),
		MaxResponseBytes: int(r.number("limits.max_answer_bytes", DefaultMaxResponseBytes, 1, 1<<30)),
		ShutdownGrace:    r.duration("limits.shutdown_grace", DefaultShutdownGrace, time.Millisecond, time.Hour),
		DefaultTimeout:   r.duration("limits.default_timeout", DefaultRequestTimeout, time.Millisecond, time.Hour),
		AppendBatch:      r.duration("log.batch", DefaultAppendBatch, 0, time.Second),
		LogLevel:         r.choice("logging.level", "info", "debug", "error", "info", "warn"),
		Pprof:            r.flag("debug.pprof"),
		SnapshotEvery:    r.number("log.snapshot_every", snapshotter.DefaultEvery, 10, 1<<30),
	}
	s.Clients = r.clients()
	_, s.IsMemorySet = r.text("limits.memory_mb")
	r.checkConsistency(s)
	return s
}

// clients reads the limits for clients.
func (r *reader) clients() budgeter.Limits {
	return budgeter.Limits{
		MemoryMB:        r.number("limits.memory_mb", DefaultMemoryMB, 32, 1<<30),
		MaxFDs:          r.number("limits.max_fds", DefaultMaxFDs, 256, 1<<20),
		MaxHeaderBytes:  r.number("limits.max_header_bytes", budgeter.DefaultMaxHeaderBytes, 4<<10, 1<<20),
		ReceiveBuffer:   r.number("limits.receive_buffer_bytes", budgeter.DefaultReceiveBuffer, 2304, 1<<20),
		BodyBuffer:      r.number("limits.body_buffer_bytes", budgeter.DefaultBodyBuffer, 2304, 1<<20),
		HeaderTimeout:   r.duration("limits.header_timeout", budgeter.DefaultHeaderTimeout, time.Second, time.Hour),
		BodyTimeout:     r.duration("limits.body_timeout", budgeter.DefaultBodyTimeout, time.Second, time.Hour),
		IdleTimeout:     r.duration("limits.idle_timeout", budgeter.DefaultIdleTimeout, time.Second, time.Hour),
		ResponseTimeout: r.duration("limits.response_timeout", budgeter.DefaultResponseTimeout, time.Second, time.Hour),
	}
}

// checkConsistency checks settings that depend on each other.
func (r *reader) checkConsistency(s Settings) {
	if s.DataCentre != "" && len(s.Layout.DataCentres) > 0 && !slices.Contains(s.Layout.DataCentres, s.DataCentre) {
		r.fault("host.data_centre", "%q is not among cell.data_centres, want one of %s",
			s.DataCentre, strings.Join(s.Layout.DataCentres, ", "))
	}
	if s.Claims.MaxExtension < s.Claims.Window {
		r.fault("claims.cap", "%s is shorter than claims.window, want at least %s", s.Claims.MaxExtension, s.Claims.Window)
	}
	if s.Tracker.Lease < 2*s.Claims.Window {
		r.fault("leases.lease", "%s is too short to outlast a takeover, want at least twice claims.window, %s",
			s.Tracker.Lease, 2*s.Claims.Window)
	}
}

// fault records a fault of a key.
func (r *reader) fault(key, format string, args ...any) {
	r.faults = append(r.faults, Fault{
		File: r.file, Line: r.lines[key], Key: key, Problem: fmt.Sprintf(format, args...),
	})
}

// text returns the value of "section.key" and reports whether the key is present.
func (r *reader) text(key string) (string, bool) {
	r.known = append(r.known, key)
	section, name, _ := strings.Cut(key, ".")
	if !r.ini.HasSection(section) || !r.ini.Section(section).HasKey(name) {
		return "", false
	}
	return r.ini.Section(section).Key(name).String(), true
}

// required returns the value of a key. If the key is missing or empty, it records a fault that
// names the expected value, want.
func (r *reader) required(key, want string) string {
	text, found := r.text(key)
	if !found || text == "" {
		r.fault(key, "is missing, want %s", want)
	}
	return text
}

// id reads a required name, such as that of a host.
func (r *reader) id(key string) string {
	text := r.required(key, "a name such as brno-1")
	if text == "" {
		return ""
	}
	if err := descriptor.CheckID(key, text); err != nil {
		r.fault(key, "%v", err)
	}
	return text
}

// names reads a required list of names that are separated by commas.
func (r *reader) names(key string) []string {
	text := r.required(key, "a comma-separated list of names")
	var names []string
	for name := range strings.SplitSeq(text, ",") {
		name = strings.TrimSpace(name)
		if name == "" {
			continue
		}
		if err := descriptor.CheckID(key, name); err != nil {
			r.fault(key, "%v", err)
		}
		names = append(names, name)
	}
	return names
}

// address reads a required IP address and port. Host names are not accepted.
func (r *reader) address(key string) netip.AddrPort {
	const want = "an IP address and port such as 127.0.0.1:7000"
	text := r.required(key, want)
	if text == "" {
		return netip.AddrPort{}
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		r.fault(key, "%q is not an IP address and port, want %s", text, want)
	}
	return address
}

// number reads a whole number from lowest to highest, or returns the default if the key is missing or
// invalid.
func (r *reader) number(key string, defaultValue, lowest, highest int64) int64 {
	text, found := r.text(key)
	if !found {
		return defaultValue
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < lowest || n > highest {
		r.fault(key, "%q is out of range, want a whole number from %d to %d", text, lowest, highest)
		return defaultValue
	}
	return n
}

// duration reads a duration from lowest to highest, or returns the default if the key is missing or
// invalid.
func (r *reader) duration(key string, defaultValue, lowest, highest time.Duration) time.Duration {
	text, found := r.text(key)
	if !found {
		return defaultValue
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < lowest || d > highest {
		r.fault(key, "%q is out of range, want a duration from %s to %s, such as %s", text, lowest, highest, defaultValue)
		return defaultValue
	}
	return d
}

// flag reads a boolean, which is false if the key is missing.
func (r *reader) flag(key string) bool {
	text, found := r.text(key)
	if !found {
		return false
	}
	value, err := strconv.ParseBool(text)
	if err != nil {
		r.fault(key, "%q is not a boolean, want true or false", text)
	}
	return value
}

// choice reads one of several words, or returns the default if the key is missing.
func (r *reader) choice(key, defaultValue string, choices ...string) string {
	text, found := r.text(key)
	if !found {
		return defaultValue
	}
	if !slices.Contains(choices, text) {
		r.fault(key, "%q is unknown, want one of %s", text, strings.Join(choices, ", "))
	}
	return text
}

// findUnknown reports the keys in the file that belong to no setting.
func (r *reader) findUnknown() {
	for _, section := range r.ini.Sections() {
		for _, key := range section.Keys() {
			name := section.Name() + "." + key.Name()
			if !slices.Contains(r.known, name) {
				r.fault(name, "is unknown, want one of the keys of docs/reference/settings.md")
			}
		}
	}
}

// Join returns the faults as one error, one fault per line, or nil if there are none.
func Join(faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	lines := make([]string, 0, len(faults))
	for _, f := range faults {
		lines = append(lines, f.String())
	}
	return errors.Newf("%d faults in the settings:\n%s", len(faults), strings.Join(lines, "\n"))
}
