package collector_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"lentilrock.example/internal/metrics/collector"
)

// Guards against samples that are missing from the output and buckets that are not cumulative. Values are
// reported when the closer is called, so the second scrape has all of them.
func TestServeHTTPWritesGaugesCountersAndCumulativeBuckets(t *testing.T) {
	c, closer := collector.New(func(scope tally.Scope) { scope.Gauge("jobs").Update(7) })
	c.Scope().Tagged(map[string]string{"outcome": "refused"}).Counter("submissions").Inc(3)
	h := c.Scope().Histogram("wait_seconds", tally.DurationBuckets{10 * time.Millisecond, time.Second})
	for _, d := range []time.Duration{time.Millisecond, 5 * time.Millisecond, 500 * time.Millisecond, time.Minute} {
		h.RecordDuration(d)
	}
	c.ServeHTTP(httptest.NewRecorder(), nil)
	require.NoError(t, closer.Close(), "the closer makes the last report")
	response := httptest.NewRecorder()
	c.ServeHTTP(response, nil)
	lines := strings.Split(strings.TrimSpace(response.Body.String()), "\n")
	for _, want := range []string{
		`lentilrock_jobs 7`,
		`lentilrock_submissions{outcome="refused"} 3`,
		`lentilrock_wait_seconds_bucket{le="0.01"} 2`,
		`lentilrock_wait_seconds_bucket{le="1"} 3`,
		`lentilrock_wait_seconds_bucket{le="+Inf"} 4`,
		`lentilrock_wait_seconds_count 4`,
	} {
		require.Contains(t, lines, want)
	}
}
