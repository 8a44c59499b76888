package follower_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"lentilrock.example/internal/entry/follower"
	"lentilrock.example/internal/entry/storer"
)

// silentStore gets no replies until a time: calls that arrive before wait until their context ends.
type silentStore struct {
	storer.Store
	until time.Time
}

func (s *silentStore) reply(ctx context.Context, after time.Duration) error {
	if time.Now().Before(s.until) {
		<-ctx.Done()
		return errors.Wrap(storer.ErrOutcomeUnknown, "test")
	}
	select {
	case <-time.After(after):
		return nil
	case <-ctx.Done():
		return errors.Wrap(storer.ErrOutcomeUnknown, "test")
	}
}

func (s *silentStore) Read(ctx context.Context, _ storer.Topic, _ int64, wait time.Duration) (storer.Batch, error) {
	return storer.Batch{}, s.reply(ctx, 5*time.Millisecond+wait)
}

func (s *silentStore) Newest(ctx context.Context, _ storer.Topic, _ string) (storer.Page, error) {
	return storer.Page{}, s.reply(ctx, 5*time.Millisecond)
}

// TestReadsResumeAfterSilentStore answers the pattern of a store that gets silent for seconds. It
// guards against a host that waits for the time limit of a read that was sent during the outage, so
// that nobody takes over, and nothing is accepted, for seconds after the store is back.
func TestReadsResumeAfterSilentStore(t *testing.T) {
	for _, test := range []struct {
		name    string
		silence time.Duration
	}{
		{"from the first read on", 0}, {"4.5 s", 4500 * time.Millisecond}, {"7 s", 7 * time.Second}, {"9.3 s", 9300 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &silentStore{}
				if test.silence == 0 {
					s.until = time.Now().Add(7 * time.Second)
				}
				var appliedAt time.Time
				apply := func(storer.Batch) { appliedAt = time.Now() }
				f := follower.Follower{
					Store: s, Clock: clockwork.NewRealClock(), Logger: zap.NewNop(), Topic: storer.Claims, Reset: apply, Apply: apply,
					Pause: func() time.Duration { return 600 * time.Millisecond },
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go f.Run(ctx)
				if test.silence > 0 {
					time.Sleep(3 * time.Second)
					s.until = time.Now().Add(test.silence)
				}
				time.Sleep(time.Until(s.until))
				// A read waits up to follower.ReadWait for records. Another second is the time limit for the
				// hosts to notice that the store is back.
				time.Sleep(follower.ReadWait + time.Second)
				require.True(t, appliedAt.After(s.until), "the topic was not read within a second")
				cancel()
				time.Sleep(5 * time.Second)
			})
		})
	}
}
