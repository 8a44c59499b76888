// Package inspector checks a configuration before operators put it into force: it names faults, entries that can never
// match, limits that contradict each other, and what changes against the version in force.
//
// # Usage
//
//	report := inspector.Inspect(config, former)
//	for _, fault := range report.Faults { ... }
package inspector

import (
	"fmt"
	"strings"

	"lentilrock.example/internal/container/sorter"
	"lentilrock.example/internal/entry/cataloger"
	"lentilrock.example/internal/fleet/describer"
)

// maxBodyBytes is the largest body that hosts read, whatever the configuration allows.
const maxBodyBytes = 1 << 20

// Report is the result of an inspection, one line each. No line has a key or its digest.
type Report struct {
	// Faults are what has no effect, or not the one that was meant.
	Faults []string
	// Changes are the differences from the version in force.
	Changes []string
}

// Inspect checks a configuration. The former one is the version in force; a version of 0 means that there is none.
func Inspect(config, former describer.Config) Report {
	i := inspector{}
	former, _ = cataloger.Complete(former, describer.Config{})
	if config.Version <= 0 {
		i.fault("version: is not above 0, so that no host applies it")
	} else if config.Version <= former.Version {
		i.fault("version: %d is not above %d, which is in force, so that no host applies it", config.Version, former.Version)
	}
	effective, reasons := cataloger.Complete(config, former)
	i.report.Faults = append(i.report.Faults, reasons...)
	i.checkQueues(effective)
	i.checkLimits(effective)
	if former.Version > 0 {
		i.compare(effective, former)
	}
	return i.report
}

type inspector struct{ report Report }

func (i *inspector) fault(format string, args ...any) {
	i.report.Faults = append(i.report.Faults, fmt.Sprintf(format, args...))
}

func (i *inspector) change(format string, args ...any) {
	i.report.Changes = append(i.report.Changes, fmt.Sprintf(format, args...))
}

// checkQueues finds routes that no request matches, or whose jobs no worker runs.
func (i *inspector) checkQueues(config describer.Config) {
	services := make(map[string]bool)
	for _, s := range config.Services {
		if services[s.Name] {
			i.fault("service %.40q: is listed again", s.Name)
		}
		services[s.Name] = true
	}
	type place struct{ host, prefix string }
	first, names := make(map[place]string), make(map[string]bool)
	for _, q := range config.Queues {
		at := place{q.Host, q.Prefix}
		former, isTaken := first[at]
		switch {
		case q.Host == "":
			i.fault("route %.40q: can never match, as it has no host name", q.Name)
		case strings.Contains(q.Host, ":"):
			i.fault("route %.40q: can never match, as its host name has a port, which is not compared", q.Name)
		case !strings.HasPrefix(q.Prefix, "/"):
			i.fault("route %.40q: can never match, as its prefix does not begin with a slash", q.Name)
		case isTaken:
			i.fault("route %.40q: can never match, as route %.40q has the same host name and prefix", q.Name, former)
		default:
			first[at] = q.Name
		}
		if names[q.Name] {
			i.fault("route %.40q: is listed again under this name", q.Name)
		}
		names[q.Name] = true
		if !services[q.Service] {
			i.fault("route %.40q: its service %.40q is not listed", q.Name, q.Service)
		}
	}
}

// checkLimits finds amounts that contradict each other.
func (i *inspector) checkLimits(config describer.Config) {
	if config.MaxBody < 0 || config.MaxBody > maxBodyBytes {
		i.fault("limits: bodies of %d bytes are outside 0 to %d, the most that hosts read", config.MaxBody, maxBodyBytes)
	}
	for _, q := range config.Queues {
		if q.Stretch > 0 && q.Stretch < 1 && q.Latency == 0 {
			i.fault("route %.40q: its objective is %.2f times the longest chain of a job, which no job meets", q.Name, q.Stretch)
		}
		if q.MaxAttempts < 0 {
			i.fault("route %.40q: allows %d attempts", q.Name, q.MaxAttempts)
		}
		if q.NeedsAdvice() && q.Advice.Valid <= q.Advice.Decide {
			i.fault("route %.40q: its advice is valid for %v and takes %v", q.Name, q.Advice.Valid, q.Advice.Decide)
		}
	}
	hasWeight := false
	for _, w := range config.Workspaces {
		hasWeight = hasWeight || w.Weight > 0
	}
	for _, w := range config.Workspaces {
		if hasWeight && w.Weight == 0 {
			i.fault("workspace %.40q: has no weight, and others have one", w.Name)
		}
	}
}

// compare names the differences from the former version, in its order of kinds and sorted by name.
func (i *inspector) compare(config, former describer.Config) {
	compareNamed(i, "route", config.Queues, former.Queues, func(q describer.Queue) string { return q.Name }, describeQueue)
	compareNamed(i, "service", config.Services, former.Services, func(s describer.Service) string { return s.Name }, func(s, old describer.Service) []string {
		return differences(field{"enforces capacity", old.EnforcesCapacity, s.EnforcesCapacity}, field{"standby", old.Standby, s.Standby})
	})
	compareNamed(i, "workspace", config.Workspaces, former.Workspaces, func(w describer.Workspace) string { return w.Name }, describeWorkspace)
	i.compareKeys(config, former)
	if config.RequiresKeys != former.RequiresKeys {
		i.change("calls need keys: %t -> %t", former.RequiresKeys, config.RequiresKeys)
	}
	if config.MaxBody != former.MaxBody {
		i.change("largest body: %d -> %d bytes", former.MaxBody, config.MaxBody)
	}
}

// field is a field of an entry with its former and its new value.
type field struct {
	name     string
	old, now any
}

func differences(fields ...field) []string {
	var lines []string
	for _, f := range fields {
		if f.old != f.now {
			lines = append(lines, fmt.Sprintf("%s %v -> %v", f.name, f.old, f.now))
		}
	}
	return lines
}

func describeQueue(q, old describer.Queue) []string {
	return differences(
		field{"host name", old.Host, q.Host}, field{"prefix", old.Prefix, q.Prefix}, field{"service", old.Service, q.Service}, field{"public", old.IsPublic, q.IsPublic},
		field{"priority", old.Priority, q.Priority}, field{"attempts", old.MaxAttempts, q.MaxAttempts}, field{"stretch", old.Stretch, q.Stretch},
		field{"latency", old.Latency, q.Latency}, field{"advice", old.Advice, q.Advice},
	)
}

func describeWorkspace(w, old describer.Workspace) []string {
	added, removed := countMissing(w.Keys, old.Keys), countMissing(old.Keys, w.Keys)
	lines := differences(field{"priority", old.Priority, w.Priority}, field{"weight", old.Weight, w.Weight}, field{"limit", old.Limit, w.Limit})
	if added+removed > 0 {
		lines = append(lines, fmt.Sprintf("%d keys added, %d removed", added, removed))
	}
	return lines
}

// countMissing counts the keys that another list does not have.
func countMissing(keys, others []describer.KeyDigest) int {
	isOther := make(map[describer.KeyDigest]bool, len(others))
	for _, key := range others {
		isOther[key] = true
	}
	count := 0
	for _, key := range keys {
		if !isOther[key] {
			count++
		}
	}
	return count
}

// compareKeys names the workspaces between which keys move, whose callers then reach other jobs.
func (i *inspector) compareKeys(config, former describer.Config) {
	owner := make(map[describer.KeyDigest]string)
	for _, w := range former.Workspaces {
		for _, key := range w.Keys {
			owner[key] = w.Name
		}
	}
	for _, w := range config.Workspaces {
		for _, key := range w.Keys {
			if old, found := owner[key]; found && old != w.Name {
				i.change("a key moves from workspace %.40q to workspace %.40q", old, w.Name)
			}
		}
	}
}

// compareNamed names the entries of a list that are added, removed or changed.
func compareNamed[T any](i *inspector, kind string, list, former []T, name func(T) string, describe func(entry, old T) []string) {
	byName := func(list []T) map[string]T {
		entries := make(map[string]T, len(list))
		for _, entry := range list {
			if _, found := entries[name(entry)]; !found {
				entries[name(entry)] = entry
			}
		}
		return entries
	}
	now, old := byName(list), byName(former)
	for _, n := range sorter.Keys(old) {
		if _, found := now[n]; !found {
			i.change("%s %.40q: removed", kind, n)
		}
	}
	for _, n := range sorter.Keys(now) {
		if _, found := old[n]; !found {
			i.change("%s %.40q: added", kind, n)
		} else if lines := describe(now[n], old[n]); len(lines) > 0 {
			i.change("%s %.40q: %s", kind, n, strings.Join(lines, ", "))
		}
	}
}
