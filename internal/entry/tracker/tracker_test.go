package tracker_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/entry/tracker"
	"lentilrock.example/internal/fleet/journaler"
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
		{"a recent read", func(k *tracker.Tracker) { k.RecordJobs(at(0), storer.Batch{}) }, at(1500), false},
		{"no reply for longer than a read waits", func(k *tracker.Tracker) { k.RecordClaims(at(0), storer.Batch{}) }, at(2000), true},
		{"errors since the last reply", func(k *tracker.Tracker) { k.RecordClaims(at(0), storer.Batch{}); k.ClaimsFailedAt = at(200) }, at(800), true},
		{"an error before the last reply", func(k *tracker.Tracker) { k.ClaimsFailedAt = at(0); k.RecordJobs(at(100), storer.Batch{}) }, at(1000), false},
		{"a reply to a read of another topic", func(k *tracker.Tracker) { k.RecordJobs(at(0), storer.Batch{}); k.RecordReply(at(1500)) }, at(2500), false},
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
	k.RecordJobs(time.Unix(20, 0), storer.Batch{})
	require.False(t, k.HasReadAll())
	require.True(t, k.ViewAt().IsZero())
	k.RecordClaims(time.Unix(10, 0), storer.Batch{})
	require.True(t, k.HasReadAll())
	require.Equal(t, time.Unix(10, 0), k.ViewAt())
	k.RecordClaims(time.Unix(30, 0), storer.Batch{})
	require.Equal(t, time.Unix(20, 0), k.ViewAt())
}

// TestPartOfLogIsNoView guards against a view that counts as complete or recent although the store replied with
// a part of the records.
func TestPartOfLogIsNoView(t *testing.T) {
	var k tracker.Tracker
	part, rest := storer.Batch{Next: 4, End: 9}, storer.Batch{Next: 9, End: 9}
	k.RecordJobs(time.Unix(10, 0), part)
	k.RecordClaims(time.Unix(10, 0), part)
	require.False(t, k.HasReadAll())
	require.False(t, k.IsStoreDown(time.Unix(10, 0)), "the store replies")
	k.RecordJobs(time.Unix(11, 0), rest)
	k.RecordClaims(time.Unix(12, 0), rest)
	require.True(t, k.HasReadAll())
	k.RecordJobs(time.Unix(20, 0), part)
	k.RecordClaims(time.Unix(21, 0), part)
	require.Equal(t, time.Unix(11, 0), k.ViewAt())
	require.Equal(t, time.Unix(12, 0), k.ClaimsAt)
}

// TestRecordsAreReadOnce guards against records that are missed since a list has newer ones, and against
// records that are applied again, after those that replaced them, by a second reader of the topic.
func TestRecordsAreReadOnce(t *testing.T) {
	var k tracker.Tracker
	batch := func(next int64, offsets ...int64) storer.Batch {
		b := storer.Batch{Next: next}
		for _, offset := range offsets {
			b.Entries = append(b.Entries, storer.Entry{Offset: offset, Record: journaler.Record{Key: "a"}})
		}
		return b
	}
	require.Zero(t, k.Next(storer.Jobs))
	for _, step := range []struct {
		name string
		read storer.Batch
		want storer.Batch
	}{
		{"a list with a record beyond its extent", batch(10, 3, 7, 14), batch(10, 3, 7, 14)},
		{"the read that follows the list", batch(15, 10, 11, 12, 13, 14), batch(15, 10, 11, 12, 13, 14)},
		{"a read by another reader of the same range and more", batch(17, 13, 14, 15, 16), batch(17, 15, 16)},
		{"a late reply with older records", batch(16, 14, 15), batch(17)},
		{"no records", batch(17), batch(17)},
		{"a list after records were removed", batch(40, 3, 20, 39), batch(40, 20, 39)},
	} {
		require.Equal(t, step.want.Entries, k.RecordJobs(time.Unix(1, 0), step.read), step.name)
		require.Equal(t, step.want.Next, k.Next(storer.Jobs), step.name)
		require.Zero(t, k.Next(storer.Claims), "the topics are apart")
	}
	require.Len(t, k.RecordClaims(time.Unix(1, 0), batch(2, 1)), 1)
	require.Equal(t, int64(2), k.Next(storer.Claims))
}
