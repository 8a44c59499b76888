package holder_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"lentilrock.example/internal/entry/holder"
	"lentilrock.example/internal/entry/repeater"
	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/dispatcher"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/standin/fencer"
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
	for _, delay := range []time.Duration{10 * time.Millisecond, 200 * time.Millisecond, 350 * time.Millisecond} {
		for phase := time.Duration(0); phase < 400*time.Millisecond; phase += 50 * time.Millisecond {
			t.Run(fmt.Sprint(delay, phase), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					h := &host{clock: clockwork.NewRealClock(), state: journaler.New()}
					store := &silentStore{host: h, delay: delay}
					appender := repeater.New(repeater.Options{Store: store, Check: store.check, Clock: h.clock})
					h.fleet = fencer.NewFleet(h.clock, func(describer.TaskRef) time.Duration { return time.Hour },
						func(describer.TaskRef) describer.Resources { return describer.Resources{MilliCPU: 3000} })
					for i := range 2 {
						h.fleet.Add(describer.Worker{ID: fmt.Sprintf("w-%d", i), Service: "kitchen", Capacity: describer.Resources{MilliCPU: 4000}, Incarnation: 1})
					}
					h.dispatcher = dispatcher.New(dispatcher.Options{Epoch: epoch}, h.state, h.clock.Now())
					h.dispatcher.SetWorkers(h.clock.Now(), h.fleet.Workers())
					h.holder = holder.New(holder.Options{
						Epoch: epoch, Store: store, Appender: appender, Workers: h.fleet, Clock: h.clock, Logger: zap.NewNop(),
						Update: h.update, OnFenced: func(string) { h.holder.Cancel() }, OnAppended: h.apply,
						StoreReplies: func(ctx context.Context) bool { return store.check(ctx) == nil },
					})
					step := describer.Step{Count: 2, LongRunning: true, MaxUnavailable: 1, Need: describer.Resources{MilliCPU: 3000}}
					record, err := journaler.NewJob(&describer.Job{ID: job, Queue: describer.Queue{Service: "kitchen"}, Steps: []describer.Step{step}})
					require.NoError(t, err)
					ctx, cancel := context.WithCancel(t.Context())
					t.Cleanup(cancel)
					h.holder.Run(ctx)
					require.NoError(t, h.holder.Submit(ctx, job, record))
					time.Sleep(4*time.Second + phase)
					store.isSilent.Store(true)
					time.Sleep(9 * time.Second)
					store.isSilent.Store(false)
					time.Sleep(5 * time.Second)
					// The reads of the repeater end.
					cancel()
					time.Sleep(2 * time.Second)
					for index := range 2 {
						task := describer.TaskRef{Job: job, Index: index}.String()
						require.Equal(t, 1, h.fleet.Starts(task), "task %s lapsed", task)
					}
				})
			})
		}
	}
}
