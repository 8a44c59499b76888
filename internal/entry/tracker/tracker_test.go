package tracker_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/entry/tracker"
)

// TestIsStoreDown guards against requests that are sent to a store that is down, and against a host
// that refuses requests although the store replies to some of its reads.
func TestIsStoreDown(t *testing.T) {
	start := time.Unix(1_000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, test := range []struct {
		name   string
		record func(k *tracker.Tracker)
		now    time.Time
		want   bool
	}{
		{"nothing was read yet", func(*tracker.Tracker) {}, at(0), true},
		{"a recent read", func(k *tracker.Tracker) { k.RecordJobs(at(0)) }, at(1500), false},
		{"no reply for longer than a read waits", func(k *tracker.Tracker) { k.RecordClaims(at(0)) }, at(2000), true},
		{"errors since the last reply", func(k *tracker.Tracker) { k.RecordClaims(at(0)); k.ClaimsFailedAt = at(200) }, at(800), true},
		{"an error before the last reply", func(k *tracker.Tracker) { k.ClaimsFailedAt = at(0); k.RecordJobs(at(100)) }, at(1000), false},
		{"a reply to a read of another topic", func(k *tracker.Tracker) { k.RecordJobs(at(0)); k.RecordReply(at(1500)) }, at(2500), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var k tracker.Tracker
			test.record(&k)
			require.Equal(t, test.want, k.IsStoreDown(test.now))
		})
	}
}

// TestViewAtIsTheOlderRead guards against a job that is reported as missing because only one of the
// topics with submissions was read recently.
func TestViewAtIsTheOlderRead(t *testing.T) {
	var k tracker.Tracker
	require.True(t, k.ViewAt().IsZero())
	k.RecordJobs(time.Unix(20, 0))
	require.False(t, k.HasReadAll())
	require.True(t, k.ViewAt().IsZero())
	k.RecordClaims(time.Unix(10, 0))
	require.True(t, k.HasReadAll())
	require.Equal(t, time.Unix(10, 0), k.ViewAt())
	k.RecordClaims(time.Unix(30, 0))
	require.Equal(t, time.Unix(20, 0), k.ViewAt())
}
