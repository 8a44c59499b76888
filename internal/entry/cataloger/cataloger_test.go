package cataloger_test

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"lentilrock.example/internal/entry/cataloger"
	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
)

// decoder is a fake that derives a version, a wave or a worker's service from the value of an
// entry. It fails to decode the value "bad".
type decoder struct{}

func decodeError(value []byte) error {
	if string(value) == "bad" {
		return errors.New("bad")
	}
	return nil
}

func (decoder) Config(key string, value []byte) (describer.Config, bool, error) {
	return describer.Config{Version: int64(len(value))}, key == "config", decodeError(value)
}

func (decoder) Wave(key string, value []byte) (describer.Wave, bool, error) {
	return describer.Wave{Number: 1, MaxDown: len(value)}, strings.HasPrefix(key, "wave/"), decodeError(value)
}

func (decoder) Worker(id string, value []byte) (describer.Worker, error) {
	return describer.Worker{ID: id, Service: string(value)}, decodeError(value)
}

func entry(key, value string) storer.Entry {
	return storer.Entry{Record: journaler.Record{Key: key, Value: []byte(value)}}
}

// TestTakeOperators guards against a configuration that is replaced by an older one, and a wave
// of upkeep that changes after it was recorded.
func TestTakeOperators(t *testing.T) {
	c := cataloger.New(decoder{}, zap.NewNop())
	require.True(t, c.ApplyOperators([]storer.Entry{entry("config", "12345")}))
	require.False(t, c.ApplyOperators([]storer.Entry{entry("config", "1234"), entry("config", "bad"), entry("other", "1")}))
	require.Equal(t, int64(5), c.Config.Version, "an older configuration must not replace a newer one")
	require.True(t, c.ApplyOperators([]storer.Entry{entry("wave/1", "11")}))
	require.False(t, c.ApplyOperators([]storer.Entry{entry("wave/1", "1")}))
	require.Equal(t, 2, c.Waves[1].MaxDown, "a recorded wave must not change")
}

// TestTakeWorkers guards against one entry that can't be decoded hiding other workers, and
// against workers that stay listed after their entry was removed.
func TestTakeWorkers(t *testing.T) {
	now := time.Unix(1_000, 0)
	c := cataloger.New(decoder{}, zap.NewNop())
	require.True(t, c.ListedAt.IsZero())
	c.ResetWorkers([]storer.Entry{entry("a", "x"), entry("b", "bad"), entry("c", "x")}, now)
	require.Len(t, c.Workers(), 2, "the entries that can be decoded must be listed")
	c.ApplyWorkers([]storer.Entry{entry("a", ""), entry("c", "bad"), entry("d", "x")}, now)
	require.Equal(t, []describer.Worker{{ID: "d", Service: "x"}}, c.Workers())
	c.ResetWorkers(nil, now.Add(time.Second))
	require.Empty(t, c.Workers())
	require.Equal(t, now.Add(time.Second), c.ListedAt)
}

// TestOlderEntriesOfWorkersChangeNothing guards against a worker that is taken for what it was before, since
// the log is read again from the first page of a list on, whose later pages are newer.
func TestOlderEntriesOfWorkersChangeNothing(t *testing.T) {
	now := time.Unix(1_000, 0)
	c := cataloger.New(decoder{}, zap.NewNop())
	at := func(offset int64, key, value string) storer.Entry {
		e := entry(key, value)
		e.Offset = offset
		return e
	}
	c.ResetWorkers([]storer.Entry{at(460, "a", "ready"), at(500, "b", "draining")}, now)
	for _, older := range []string{"ready", "", "bad"} {
		c.ApplyWorkers([]storer.Entry{at(470, "b", older)}, now)
		require.ElementsMatch(t, []describer.Worker{{ID: "a", Service: "ready"}, {ID: "b", Service: "draining"}}, c.Workers(), older)
	}
	c.ApplyWorkers([]storer.Entry{at(510, "a", ""), at(520, "b", "ready")}, now)
	require.Equal(t, []describer.Worker{{ID: "b", Service: "ready"}}, c.Workers())
}
