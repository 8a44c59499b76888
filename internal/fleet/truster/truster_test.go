package truster_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/truster"
)

func TestTrust(t *testing.T) {
	now := time.Unix(1_000, 0)
	for _, test := range []struct {
		name    string
		failed  []describer.JobID
		isTrust bool
	}{
		{"two failures", []describer.JobID{"a", "b"}, true},
		{"a bad job that fails again and again", []describer.JobID{"a", "a", "a", "a", "a"}, true},
		{"failures of several jobs", []describer.JobID{"a", "b", "a"}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var trust truster.Trust
			for _, id := range test.failed {
				trust.Failed(now, id)
			}
			require.Equal(t, test.isTrust, trust.TakesWork(now))
		})
	}
	t.Run("a distrusted worker is tried again, and cleared by a success", func(t *testing.T) {
		var trust truster.Trust
		for _, id := range []describer.JobID{"a", "b", "c"} {
			trust.Failed(now, id)
		}
		require.False(t, trust.TakesWork(now.Add(time.Second)))
		now := now.Add(3 * time.Second)
		require.True(t, trust.TakesWork(now))
		require.True(t, trust.Failed(now, "d"), "one more failure is enough")
		require.False(t, trust.TakesWork(now.Add(3*time.Second)), "the pause doubles")
		trust.Succeeded()
		require.True(t, trust.TakesWork(now))
	})
}
