// Package collector collects the metrics of a process with tally and serves them in the Prometheus text
// format.
//
// # Usage
//
//	c, closer := collector.New(nil)
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

// reportInterval is the time between two reports of the scope to the collector.
const reportInterval = time.Second

// Collector is a tally reporter that accumulates the reported values, and an HTTP handler that serves them.
// Metrics are identified by name and tags, in the form `name{tag="value"}`.
type Collector struct {
	scope tally.Scope

	mu         sync.Mutex
	counters   map[string]int64
	gauges     map[string]float64
	histograms map[string]*histogram
	// refresh, if not nil, updates gauges before each scrape.
	refresh func(tally.Scope)
}

// New returns a Collector. The closer reports the remaining values and stops the reports. If refresh is
// not nil, it is called before each scrape to update gauges.
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

// seriesName returns a metric name with its tags, in the form `name{tag="value"}`.
func seriesName(name string, tags map[string]string) string {
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
	c.counters[seriesName(name, tags)] += value
}

// ReportGauge implements tally.StatsReporter.
func (c *Collector) ReportGauge(name string, tags map[string]string, value float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gauges[seriesName(name, tags)] = value
}

// ReportTimer implements tally.StatsReporter. A timer is served as the sum of its seconds and the number of
// its values.
func (c *Collector) ReportTimer(name string, tags map[string]string, interval time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gauges[seriesName(name+"_seconds_sum", tags)] += interval.Seconds()
	c.counters[seriesName(name+"_seconds_count", tags)]++
}

// ReportHistogramValueSamples implements tally.StatsReporter.
func (c *Collector) ReportHistogramValueSamples(name string, tags map[string]string, _ tally.Buckets, _, upper float64, samples int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h, found := c.histograms[seriesName(name, tags)]
	if !found {
		h = &histogram{name: name, tags: maps.Clone(tags), samples: make(map[float64]int64)}
		c.histograms[seriesName(name, tags)] = h
	}
	h.samples[upper] += samples
}

// ReportHistogramDurationSamples implements tally.StatsReporter. Durations are converted to seconds.
func (c *Collector) ReportHistogramDurationSamples(name string, tags map[string]string, _ tally.Buckets, _, upper time.Duration, samples int64) {
	bound := upper.Seconds()
	if upper == math.MaxInt64 {
		bound = math.Inf(1)
	}
	c.ReportHistogramValueSamples(name, tags, nil, 0, bound, samples)
}

// histogram has the number of samples in each bucket, by the upper bound of the bucket.
type histogram struct {
	name    string
	tags    map[string]string
	samples map[float64]int64
}

// write writes the buckets and the count. As the Prometheus format requires, buckets are cumulative: each
// includes the samples of all lower buckets. Write errors are ignored, see ServeHTTP.
func (h *histogram) write(w io.Writer) {
	total := int64(0)
	for _, bound := range sorter.Keys(h.samples) {
		total += h.samples[bound]
		if !math.IsInf(bound, 1) {
			_, _ = fmt.Fprintf(w, "%s %d\n", seriesName(h.name+"_bucket", withTag(h.tags, "le", fmt.Sprint(bound))), total)
		}
	}
	_, _ = fmt.Fprintf(w, "%s %d\n", seriesName(h.name+"_bucket", withTag(h.tags, "le", "+Inf")), total)
	_, _ = fmt.Fprintf(w, "%s %d\n", seriesName(h.name+"_count", h.tags), total)
}

// withTag returns a copy of the tags with one more.
func withTag(tags map[string]string, name, value string) map[string]string {
	extended := maps.Clone(tags)
	if extended == nil {
		extended = make(map[string]string, 1)
	}
	extended[name] = value
	return extended
}

// Capabilities implements tally.StatsReporter.
func (c *Collector) Capabilities() tally.Capabilities { return c }

// Reporting implements tally.Capabilities.
func (c *Collector) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (c *Collector) Tagging() bool { return true }

// Flush implements tally.StatsReporter. It does nothing, since values are not buffered.
func (c *Collector) Flush() {}

// ServeHTTP writes all metrics, one per line.
func (c *Collector) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if c.refresh != nil {
		c.refresh(c.scope)
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range sorter.Keys(c.counters) {
		// An error means that the scraper has closed the connection, so it is ignored.
		_, _ = fmt.Fprintf(w, "%s %d\n", name, c.counters[name])
	}
	for _, name := range sorter.Keys(c.histograms) {
		c.histograms[name].write(w)
	}
	for _, name := range sorter.Keys(c.gauges) {
		_, _ = fmt.Fprintf(w, "%s %g\n", name, c.gauges[name])
	}
}
