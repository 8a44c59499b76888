package claimant_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"lentilrock.example/internal/entry/claimant"
	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/fleet/journaler"
)

// slowAppender takes a second for each append and returns the errors in turn.
type slowAppender struct {
	clock  *clockwork.FakeClock
	errs   []error
	sentAt time.Time
}

func (a *slowAppender) Append(context.Context, storer.Append) (int64, error) {
	a.sentAt = a.clock.Now()
	a.clock.Advance(time.Second)
	err := a.errs[0]
	a.errs = a.errs[1:]
	return 0, err
}

// appender returns an error for each append.
type appender func(call storer.Append) error

func (a appender) Append(_ context.Context, call storer.Append) (int64, error) { return 0, a(call) }

// TestSentAtIsNotAfterTheAppend guards against a holder that counts its claim as confirmed from a later
// time on than that of its append, or from that of a claim of another epoch.
func TestSentAtIsNotAfterTheAppend(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a := &slowAppender{clock: clock, errs: []error{storer.ErrRefused, nil, storer.ErrOutcomeUnknown, storer.ErrRefused}}
	c := claimant.New(claimant.Options{Self: "a", Appender: a, Clock: clock, Logger: zap.NewNop()})
	require.Zero(t, c.SentAt(3))
	c.Claim(t.Context(), journaler.Claim{Epoch: 3}, "test")
	requireAttempted(t, c, 0, time.Time{}, "a refused claim")
	refusedAt := a.sentAt
	c.Claim(t.Context(), journaler.Claim{Epoch: 3}, "test")
	requireAttempted(t, c, 3, clock.Now(), "a claim that was appended")
	require.Equal(t, a.sentAt, c.SentAt(3))
	require.True(t, a.sentAt.After(refusedAt))
	c.Claim(t.Context(), journaler.Claim{Epoch: 4}, "test")
	requireAttempted(t, c, 4, clock.Now(), "a claim of unknown outcome may be in force")
	require.Equal(t, a.sentAt, c.SentAt(4))
	require.Zero(t, c.SentAt(3))
	require.Zero(t, c.SentAt(5))
	attemptedAt := clock.Now()
	c.Claim(t.Context(), journaler.Claim{Epoch: 5}, "test")
	requireAttempted(t, c, 4, attemptedAt, "a refused claim changes nothing")
	require.Equal(t, a.sentAt, c.SentAt(5))
}

// requireAttempted requires the last attempt that was not refused, and when its reply arrived.
func requireAttempted(t *testing.T, c *claimant.Claimant, epoch int64, at time.Time, message string) {
	t.Helper()
	attemptedEpoch, attemptedAt := c.Attempted()
	require.Equal(t, epoch, attemptedEpoch, message)
	require.Equal(t, at, attemptedAt, message)
}

// TestRunClaimsAsDecided guards against claims without a reason or with other terms than those of their epoch,
// and against a refused claim that is retried at once.
func TestRunClaimsAsDecided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewRealClock()
		start := clock.Now()
		var attempts, reads []time.Duration
		a := appender(func(call storer.Append) error {
			attempts = append(attempts, clock.Since(start))
			state := journaler.New()
			_, err := state.Apply(call.Records[0], 0)
			require.NoError(t, err)
			require.Equal(t, journaler.Claim{Epoch: 7, Host: "a", Incarnation: "x", Lease: time.Second}, state.Claim)
			require.Equal(t, int64(7), call.Epoch)
			return storer.ErrRefused
		})
		ctx, cancel := context.WithTimeout(t.Context(), 1300*time.Millisecond)
		defer cancel()
		c := claimant.New(claimant.Options{
			Self: "a", Incarnation: "x", Appender: a, Clock: clock, Logger: zap.NewNop(),
			Decide: func() (int64, string) {
				if clock.Since(start) < 200*time.Millisecond {
					return 0, ""
				}
				return 7, "test"
			},
			Terms:       func(epoch int64) journaler.Claim { return journaler.Claim{Epoch: epoch, Lease: time.Second} },
			OnAttempted: func() { reads = append(reads, clock.Since(start)) },
		})
		c.Run(ctx)
		require.Equal(t, []time.Duration{200 * time.Millisecond, 650 * time.Millisecond, 1100 * time.Millisecond}, attempts)
		require.Equal(t, attempts, reads)
	})
}
