package replayer

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against changes of the decision core that break the outcomes of recorded traces.
func TestRecordedTracesMeetTheirOutcomes(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.trace")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			data, err := os.ReadFile(path)
			require.NoError(t, err)
			result, err := Play(data)
			require.NoError(t, err)
			require.Empty(t, result.Faults)
			require.NotZero(t, result.Actions)
		})
	}
}

// Guards against a check that accepts every outcome: then no recorded trace could fail.
func TestPlayReportsWrongAndMalformedOutcomes(t *testing.T) {
	data, err := os.ReadFile("testdata/whole.trace")
	require.NoError(t, err)
	events, _, _ := bytes.Cut(data, []byte("-- outcomes --\n"))
	tests := []struct {
		name, outcomes string
		faults         int
		wantError      string
	}{
		{"a wrong count is a fault", "count 2 Dispatch Key=alert-1\n", 1, ""},
		{"an excluded action that occurs is a fault", "none Dispatch Key=alert-1\n", 1, ""},
		{"an expected action that does not occur is a fault", "some Dispatch Key=alert-9\n", 1, ""},
		{"a trace without outcomes is an error", "# nothing\n", 0, "states no outcome"},
		{"an unknown verb is an error", "maybe Dispatch Key=alert-1\n", 0, "unknown"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			result, err := Play([]byte(string(events) + "-- outcomes --\n" + test.outcomes))
			if test.wantError != "" {
				require.ErrorContains(t, err, test.wantError)
				return
			}
			require.NoError(t, err)
			require.Len(t, result.Faults, test.faults)
		})
	}
}
