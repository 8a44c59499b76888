// Package collector keeps the metrics of a process with tally, and shows them in the text
// form that common scrapers read.
//
// # Usage
//
//	c, closer := collector.New()
//	defer closer.Close()
//	c.Scope().Counter("requests").Inc(1)
//	mux.Handle("GET /metrics", c)
package collector

import (
	"fmt"
	"io"
	"maps"
	"math"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"lentilrock.example/internal/container/sorter"
)

// reportInterval is the time between two reports of the scope.
const reportInterval = time.Second

// Collector receives what the scope reports and keeps the totals.
type Collector struct {
	scope tally.Scope

	mu       sync.Mutex
	counters map[string]int64
	gauges   map[string]float64
	// histograms have the samples of each bucket, by name and tags.
	histograms map[string]*histogram
	refresh    func(tally.Scope)
}

// New returns a collector; closing the closer ends its reports. Refresh, where given, is
// called before each scrape to set gauges.
func New(refresh func(tally.Scope)) (*Collector, io.Closer) {
	c := &Collector{
		counters: make(map[string]int64), gauges: make(map[string]float64), histograms: make(map[string]*histogram),
		refresh: refresh,
	}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "lentilrock", Separator: "_", Reporter: c, OmitCardinalityMetrics: true,
	}, reportInterval)
	c.scope = scope
	return c, closer
}

// Scope returns the root scope.
func (c *Collector) Scope() tally.Scope { return c.scope }

func label(name string, tags map[string]string) string {
	if len(tags) == 0 {
		return name
	}
	var pairs []string
	for _, key := range sorter.Keys(tags) {
		pairs = append(pairs, fmt.Sprintf("%s=%q", key, tags[key]))
	}
	return name + "{" + strings.Join(pairs, ",") + "}"
}

// ReportCounter implements tally.StatsReporter.
func (c *Collector) ReportCounter(name string, tags map[string]string, value int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counters[label(name, tags)] += value
}

// ReportGauge implements tally.StatsReporter.
func (c *Collector) ReportGauge(name string, tags map[string]string, value float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gauges[label(name, tags)] = value
}

// ReportTimer implements tally.StatsReporter: the sum of seconds and the count.
func (c *Collector) ReportTimer(name string, tags map[string]string, interval time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gauges[label(name+"_seconds_sum", tags)] += interval.Seconds()
	c.counters[label(name+"_seconds_count", tags)]++
}

// ReportHistogramValueSamples implements tally.StatsReporter.
func (c *Collector) ReportHistogramValueSamples(name string, tags map[string]string, _ tally.Buckets, _, upper float64, samples int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h, found := c.histograms[label(name, tags)]
	if !found {
		h = &histogram{name: name, tags: maps.Clone(tags), samples: make(map[float64]int64)}
		c.histograms[label(name, tags)] = h
	}
	h.samples[upper] += samples
}

// ReportHistogramDurationSamples implements tally.StatsReporter.
func (c *Collector) ReportHistogramDurationSamples(name string, tags map[string]string, _ tally.Buckets, _, upper time.Duration, samples int64) {
	bound := upper.Seconds()
	if upper == math.MaxInt64 {
		bound = math.Inf(1)
	}
	c.ReportHistogramValueSamples(name, tags, nil, 0, bound, samples)
}

// histogram has the samples of each bucket by its upper bound.
type histogram struct {
	name    string
	tags    map[string]string
	samples map[float64]int64
}

// write writes the buckets, each with the samples of all below it, as scrapers expect.
func (h *histogram) write(w io.Writer) {
	total := int64(0)
	for _, bound := range sorter.Keys(h.samples) {
		total += h.samples[bound]
		if !math.IsInf(bound, 1) {
			_, _ = fmt.Fprintf(w, "%s %d\n", label(h.name+"_bucket", with(h.tags, "le", fmt.Sprint(bound))), total)
		}
	}
	_, _ = fmt.Fprintf(w, "%s %d\n", label(h.name+"_bucket", with(h.tags, "le", "+Inf")), total)
	_, _ = fmt.Fprintf(w, "%s %d\n", label(h.name+"_count", h.tags), total)
}

func with(tags map[string]string, name, value string) map[string]string {
	more := maps.Clone(tags)
	if more == nil {
		more = make(map[string]string, 1)
	}
	more[name] = value
	return more
}

// Capabilities implements tally.StatsReporter.
func (c *Collector) Capabilities() tally.Capabilities { return c }

// Reporting implements tally.Capabilities.
func (c *Collector) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (c *Collector) Tagging() bool { return true }

// Flush implements tally.StatsReporter; there is nothing to flush.
func (c *Collector) Flush() {}

// ServeHTTP writes all metrics, one a line.
func (c *Collector) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if c.refresh != nil {
		c.refresh(c.scope)
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range sorter.Keys(c.counters) {
		// A failed write means that the scraper is gone.
		_, _ = fmt.Fprintf(w, "%s %d\n", name, c.counters[name])
	}
	for _, name := range sorter.Keys(c.histograms) {
		c.histograms[name].write(w)
	}
	for _, name := range sorter.Keys(c.gauges) {
		_, _ = fmt.Fprintf(w, "%s %g\n", name, c.gauges[name])
	}
}
