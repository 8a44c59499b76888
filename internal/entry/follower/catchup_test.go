package follower_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"lentilrock.example/internal/entry/follower"
	"lentilrock.example/internal/entry/storer"
)

// TestCatchUpReadsAllPartsOfLog guards against a refresh or a takeover that takes the first reply of the store,
// which holds a part of the log, for all of it, and against one that never ends in a busy cell.
func TestCatchUpReadsAllPartsOfLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &partialStore{startedAt: time.Now(), period: 10 * time.Millisecond, maxRecords: 30}
		time.Sleep(4 * time.Second)
		end, next := s.end(), int64(0)
		r := follower.Reader{
			Store: s, Clock: clockwork.NewRealClock(), Logger: zap.NewNop(),
			Next:  func(storer.Topic) int64 { return next },
			Apply: map[storer.Topic]func(storer.Batch){storer.Claims: func(batch storer.Batch) { next = batch.Next }},
		}
		startedAt := time.Now()
		require.NoError(t, r.ReadAll(t.Context()))
		require.GreaterOrEqual(t, next, end)
		require.LessOrEqual(t, time.Since(startedAt), 150*time.Millisecond, "reads of 400 records in parts of 30")
		next = 0
		r.CatchUp(storer.Claims, func() bool { return true })
		require.GreaterOrEqual(t, next, end)
	})
}
