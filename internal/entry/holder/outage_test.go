package holder_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/entry/repeater"
	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/fleet/describer"
)

// silentStore takes appends after a delay. While it is silent, it never replies.
type silentStore struct {
	*host
	delay    time.Duration
	isSilent atomic.Bool
}

func (s *silentStore) Append(ctx context.Context, call storer.Append) (int64, error) {
	if s.isSilent.Load() {
		<-ctx.Done()
		return 0, errors.Errorf("append: %w", storer.ErrOutcomeUnknown)
	}
	time.Sleep(s.delay)
	return s.host.Append(ctx, call)
}

func (s *silentStore) check(ctx context.Context) error {
	if s.isSilent.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// TestRunsOutliveASilentOutage guards against runs that lapse in an outage of 9 s in which the store does not reply at all.
func TestRunsOutliveASilentOutage(t *testing.T) {
	play := func(t *testing.T, delay, phase time.Duration) {
		store := &silentStore{delay: delay}
		h := newHostWith(t, func(h *host) storer.Appender {
			store.host = h
			return repeater.New(repeater.Options{Store: store, Check: store.check, Clock: h.clock})
		})
		time.Sleep(4*time.Second + phase)
		store.isSilent.Store(true)
		time.Sleep(9 * time.Second)
		store.isSilent.Store(false)
		time.Sleep(5 * time.Second)
		// The reads of the repeater end.
		h.holder.Cancel()
		time.Sleep(2 * time.Second)
		for index := range 2 {
			task := describer.TaskRef{Job: job, Index: index}.String()
			require.Equal(t, 1, h.fleet.Starts(task), "task %s lapsed", task)
		}
	}
	for _, delay := range []time.Duration{10 * time.Millisecond, 200 * time.Millisecond, 350 * time.Millisecond} {
		for phase := time.Duration(0); phase < 400*time.Millisecond; phase += 50 * time.Millisecond {
			t.Run(fmt.Sprint("appends take ", delay, ", outage after ", phase), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { play(t, delay, phase) })
			})
		}
	}
}
