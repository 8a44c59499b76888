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
)

// Fault is one thing that is wrong in a settings file.
type Fault struct {
	File string
	// Line is the line of the key, from 1; 0 where the key is missing.
	Line int
	// Key is "section.key".
	Key string
	// Problem says what is wrong and what would be right.
	Problem string
}

// String prints the fault in one line.
func (f Fault) String() string {
	place := f.File
	if f.Line > 0 {
		place += ":" + strconv.Itoa(f.Line)
	}
	return fmt.Sprintf("%s: %s: %s", place, f.Key, f.Problem)
}

// reader reads the keys of a file and collects their faults.
type reader struct {
	file   string
	lines  map[string]int
	ini    *ini.File
	known  []string
	faults []Fault
}

// Load reads and checks a settings file. The settings are usable only where there are no
// faults.
func Load(path string) (Settings, []Fault) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, []Fault{{File: path, Key: "file", Problem: err.Error()}}
	}
	return Parse(path, data)
}

// Parse reads and checks the content of a settings file that is called path.
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

// lineNumbers finds the line of each "section.key", since the library keeps none.
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

func (r *reader) settings() Settings {
	s := Settings{
		Name:       r.id("host.name"),
		DataCentre: r.id("host.data_centre"),
		Region:     r.id("host.region"),
		Listen:     r.address("host.listen"),
		LogAddress: r.address("platform.log"),
		HostList:   r.address("platform.hosts"),
		Layout: descriptor.Layout{
			DataCentres:         r.names("cell.data_centres"),
			ShardsPerDataCentre: int(r.number("cell.shards_per_data_centre", 1, 1, 4096)),
		},
		Claims: claimer.Options{
			Window:  r.duration("claims.window", claimer.DefaultWindow, 100*time.Millisecond, time.Minute),
			Drift:   r.duration("claims.drift", claimer.DefaultDrift, time.Millisecond, time.Minute),
			Cap:     r.duration("claims.cap", claimer.DefaultCap, time.Second, 24*time.Hour),
			Suspect: r.duration("claims.suspect", claimer.DefaultSuspect, 100*time.Millisecond, time.Minute),
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
		MaxBody:        r.number("limits.max_body_bytes", DefaultMaxBody, 1, 1<<30),
		MaxAnswer:      int(r.number("limits.max_answer_bytes", DefaultMaxAnswer, 1, 1<<30)),
		ShutdownGrace:  r.duration("limits.shutdown_grace", DefaultShutdownGrace, time.Millisecond, time.Hour),
		DefaultTimeout: r.duration("limits.default_timeout", DefaultRequestTimeout, time.Millisecond, time.Hour),
		AppendBatch:    r.duration("log.batch", DefaultAppendBatch, 0, time.Second),
		LogLevel:       r.choice("logging.level", "info", "debug", "error", "info", "warn"),
		Pprof:          r.flag("debug.pprof"),
		SnapshotEvery:  r.number("log.snapshot_every", snapshotter.DefaultEvery, 10, 1<<30),
	}
	r.checkTogether(s)
	return s
}

// checkTogether checks what only the settings together can show.
func (r *reader) checkTogether(s Settings) {
	if s.DataCentre != "" && len(s.Layout.DataCentres) > 0 && !slices.Contains(s.Layout.DataCentres, s.DataCentre) {
		r.fault("host.data_centre", "%q is not among cell.data_centres, want one of %s",
			s.DataCentre, strings.Join(s.Layout.DataCentres, ", "))
	}
	if s.Claims.Cap < s.Claims.Window {
		r.fault("claims.cap", "%s is shorter than claims.window, want at least %s", s.Claims.Cap, s.Claims.Window)
	}
	if s.Tracker.Lease < 2*s.Claims.Window {
		r.fault("leases.lease", "%s is too short to outlive a takeover, want at least twice claims.window, %s",
			s.Tracker.Lease, 2*s.Claims.Window)
	}
}

func (r *reader) fault(key, format string, args ...any) {
	r.faults = append(r.faults, Fault{
		File: r.file, Line: r.lines[key], Key: key, Problem: fmt.Sprintf(format, args...),
	})
}

// text returns the value of "section.key" and whether it is there.
func (r *reader) text(key string) (string, bool) {
	r.known = append(r.known, key)
	section, name, _ := strings.Cut(key, ".")
	if !r.ini.HasSection(section) || !r.ini.Section(section).HasKey(name) {
		return "", false
	}
	return r.ini.Section(section).Key(name).String(), true
}

func (r *reader) required(key, want string) string {
	text, found := r.text(key)
	if !found || text == "" {
		r.fault(key, "is missing, want %s", want)
	}
	return text
}

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

func (r *reader) names(key string) []string {
	text := r.required(key, "names with commas between them")
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

func (r *reader) address(key string) netip.AddrPort {
	const want = "an IP address and port such as 127.0.0.1:7000"
	text := r.required(key, want)
	if text == "" {
		return netip.AddrPort{}
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		r.fault(key, "%q is no address by IP number, want %s", text, want)
	}
	return address
}

func (r *reader) number(key string, standard, least, most int64) int64 {
	text, found := r.text(key)
	if !found {
		return standard
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < least || n > most {
		r.fault(key, "%q is out of range, want a whole number from %d to %d", text, least, most)
		return standard
	}
	return n
}

func (r *reader) duration(key string, standard, least, most time.Duration) time.Duration {
	text, found := r.text(key)
	if !found {
		return standard
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < least || d > most {
		r.fault(key, "%q is out of range, want a time from %s to %s, such as %s", text, least, most, standard)
		return standard
	}
	return d
}

func (r *reader) flag(key string) bool {
	text, found := r.text(key)
	if !found {
		return false
	}
	value, err := strconv.ParseBool(text)
	if err != nil {
		r.fault(key, "%q is no switch, want true or false", text)
	}
	return value
}

func (r *reader) choice(key, standard string, choices ...string) string {
	text, found := r.text(key)
	if !found {
		return standard
	}
	if !slices.Contains(choices, text) {
		r.fault(key, "%q is unknown, want one of %s", text, strings.Join(choices, ", "))
	}
	return text
}

// findUnknown reports keys that no setting has.
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

// Join returns the faults as one error, or nil where there are none.
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
