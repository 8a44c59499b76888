package claimant_test

import (
	"context"
	"testing"
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

// TestSentAtIsNotAfterTheAppend guards against a holder that counts its claim as confirmed from a later
// time on than that of its append, or from that of a claim of another epoch.
func TestSentAtIsNotAfterTheAppend(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a := &slowAppender{clock: clock, errs: []error{storer.ErrRefused, nil, storer.ErrOutcomeUnknown}}
	c := claimant.New(claimant.Options{Self: "a", Appender: a, Clock: clock, Logger: zap.NewNop()})
	require.Zero(t, c.SentAt(3))
	require.False(t, c.Claim(t.Context(), journaler.Claim{Epoch: 3}, "test"))
	refusedAt := a.sentAt
	require.True(t, c.Claim(t.Context(), journaler.Claim{Epoch: 3}, "test"))
	require.Equal(t, a.sentAt, c.SentAt(3))
	require.True(t, a.sentAt.After(refusedAt))
	require.True(t, c.Claim(t.Context(), journaler.Claim{Epoch: 4}, "test"), "a claim of unknown outcome may be in force")
	require.Equal(t, a.sentAt, c.SentAt(4))
	require.Zero(t, c.SentAt(3))
	require.Zero(t, c.SentAt(5))
}
