package holder_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"lentilrock.example/internal/entry/holder"
	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/fleet/confirmer"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/dispatcher"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/standin/fencer"
)

const (
	job   = describer.JobID("00000000000000a1")
	epoch = 1
)

// host is a host that holds a cell of two workers, each with one of the two long-running tasks of a step
// of which one may be down. Its log accepts every append until another host claims the cell.
type host struct {
	clock    clockwork.Clock
	fleet    *fencer.Fleet
	machines *fencer.Machines
	holder   *holder.Holder

	mu         sync.Mutex
	dispatcher *dispatcher.Dispatcher
	state      *journaler.State
	offset     int64
	// resumed is closed when a pause of the process ends; nil while the process runs.
	resumed atomic.Pointer[chan struct{}]
	// isSucceeded makes the store refuse the appends, as a later holder has appended.
	isSucceeded atomic.Bool
	// isFailing makes the store refuse the appends for other reasons.
	isFailing atomic.Bool
	// losesReplies makes the store lose the replies to appends. replyOnce makes a failing one take a single append.
	losesReplies atomic.Bool
	replyOnce    atomic.Bool
	// maxRecord makes the store reject larger records for good; 0 accepts any.
	maxRecord atomic.Int64
}

func newHost(t *testing.T) *host {
	return newHostWith(t, func(h *host) storer.Appender { return h })
}

// newHostWith returns a host whose holder appends through the appender that appenderOf returns for it.
func newHostWith(t *testing.T, appenderOf func(h *host) storer.Appender) *host {
	h := &host{clock: clockwork.NewRealClock(), state: journaler.New()}
	h.fleet = fencer.NewFleet(h.clock, func(describer.TaskRef) time.Duration { return time.Hour },
		func(describer.TaskRef) describer.Resources { return describer.Resources{MilliCPU: 3000} })
	for i := range 2 {
		h.fleet.Add(describer.Worker{
			ID: fmt.Sprintf("w-%d", i), Service: "kitchen", Capacity: describer.Resources{MilliCPU: 4000}, Incarnation: 1,
		})
	}
	h.machines = fencer.NewMachines(h.fleet)
	h.dispatcher = dispatcher.New(dispatcher.Options{Epoch: epoch}, h.state, h.clock.Now())
	h.dispatcher.SetWorkers(h.clock.Now(), h.fleet.Workers())
	h.holder = holder.New(holder.Options{
		Epoch: epoch, Store: h, Appender: appenderOf(h), Workers: h.fleet, Machines: h.machines, Clock: h.clock, Logger: zap.NewNop(),
		Update: h.update, OnFenced: func(string) { h.holder.Cancel() }, OnAppended: h.apply,
		StoreReplies: func(context.Context) bool { return true },
	})
	step := describer.Step{Count: 2, LongRunning: true, MaxUnavailable: 1, Need: describer.Resources{MilliCPU: 3000}}
	record, err := journaler.NewJob(&describer.Job{ID: job, Queue: describer.Queue{Service: "kitchen"}, Steps: []describer.Step{step}})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	h.holder.Run(ctx)
	require.NoError(t, h.holder.Submit(ctx, job, record))
	return h
}

// update calls change with the dispatcher, after the end of a pause of the process.
func (h *host) update(_ *holder.Holder, change func(now time.Time, d *dispatcher.Dispatcher)) bool {
	if resumed := h.resumed.Load(); resumed != nil {
		<-*resumed
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	change(h.clock.Now(), h.dispatcher)
	return true
}

// pause stops the process for a duration.
func (h *host) pause(duration time.Duration) {
	resumed := make(chan struct{})
	h.resumed.Store(&resumed)
	time.Sleep(duration)
	h.resumed.Store(nil)
	close(resumed)
}

// Append implements storer.Appender.
func (h *host) Append(_ context.Context, call storer.Append) (int64, error) {
	if h.isSucceeded.Load() {
		return 0, errors.Errorf("append: %w", storer.ErrFenced)
	}
	if h.losesReplies.Load() {
		return 0, errors.Errorf("append: %w", storer.ErrOutcomeUnknown)
	}
	if h.isFailing.Load() && !h.replyOnce.CompareAndSwap(true, false) {
		return 0, errors.Errorf("append: %w", storer.ErrRefused)
	}
	for _, r := range call.Records {
		if limit := h.maxRecord.Load(); limit > 0 && int64(len(r.Value)) > limit {
			return 0, errors.Mark(errors.Errorf("append: %w", storer.ErrRefused), storer.ErrInvalid)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	offset := h.offset
	h.offset += int64(len(call.Records))
	return offset, nil
}

func (h *host) Read(context.Context, storer.Topic, int64, time.Duration) (storer.Batch, error) {
	return storer.Batch{}, storer.ErrRefused
}

func (h *host) Newest(context.Context, storer.Topic, string) (storer.Page, error) {
	return storer.Page{}, storer.ErrRefused
}

// apply applies appended records.
func (h *host) apply(records []journaler.Record, offset int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, r := range records {
		if entry, err := h.state.Apply(r, offset+int64(i)); err == nil && entry != nil {
			h.dispatcher.JobChanged(h.clock.Now(), entry)
		}
	}
}

// startWave starts a wave of upkeep of both machines, and returns once the first one is down.
func (h *host) startWave(t *testing.T) {
	time.Sleep(4 * time.Second)
	wave := describer.Wave{Number: 1, Machines: []string{"m-w-0", "m-w-1"}, MaxDown: 2, Duration: 30 * time.Second}
	h.update(nil, func(now time.Time, d *dispatcher.Dispatcher) { d.SetWave(now, wave) })
	for range 1000 {
		if h.machines.Upkeeps(1) > 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	require.Fail(t, "no upkeep began")
}

// TestPausedHolderOrdersNoUpkeep guards against a holder that was stopped while another host claimed the
// cell, and that takes a machine down with its old fencing token when it goes on (review/1).
func TestPausedHolderOrdersNoUpkeep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost(t)
		h.startWave(t)
		h.isSucceeded.Store(true)
		h.pause(4 * time.Second)
		time.Sleep(5 * time.Second)
		require.Equal(t, 1, h.machines.Upkeeps(1), "the former holder took the second machine down")
	})
}

// TestPausedHolderDecidesNothing guards against a former holder that gives up the runs of all workers when
// it goes on, since their leases have expired by its clock, and starts the tasks again.
func TestPausedHolderDecidesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost(t)
		time.Sleep(time.Second)
		h.isSucceeded.Store(true)
		// The successor keeps the runs alive.
		for _, w := range h.fleet.Workers() {
			_, verdict := h.fleet.Poll(t.Context(), orderer.Poll{Worker: w, Token: epoch + 1, Deadline: time.Minute})
			require.Equal(t, orderer.Accepted, verdict)
		}
		h.pause(6 * time.Second)
		time.Sleep(time.Second)
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, w := range h.dispatcher.Registrar().Ordered {
			require.Len(t, w.Runs, 1, "the former holder gave up the run on %s", w.Info.ID)
		}
	})
}

// TestUnconfirmedHolderOrdersNoUpkeep guards against a holder that takes machines down while its appends
// fail, as another host may have claimed the cell.
func TestUnconfirmedHolderOrdersNoUpkeep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost(t)
		time.Sleep(4 * time.Second)
		h.isFailing.Store(true)
		wave := describer.Wave{Number: 1, Machines: []string{"m-w-0", "m-w-1"}, MaxDown: 2, Duration: 30 * time.Second}
		time.Sleep(2 * time.Second)
		h.update(nil, func(now time.Time, d *dispatcher.Dispatcher) { d.SetWave(now, wave) })
		time.Sleep(7 * time.Second)
		require.Zero(t, h.machines.Upkeeps(1))
		require.Empty(t, h.machines.Reports())
		h.isFailing.Store(false)
		time.Sleep(10 * time.Second)
		require.Equal(t, 1, h.machines.Upkeeps(1))
		require.Equal(t, []orderer.WaveReport{{Wave: 1}}, h.machines.Reports())
	})
}

// TestUnconfirmedHolderEndsItsLeases guards against a holder without the store that acts for longer than its successor
// waits, and against one whose runs lapse in an outage that is shorter by a second.
func TestUnconfirmedHolderEndsItsLeases(t *testing.T) {
	play := func(t *testing.T, delay, outage time.Duration, isLapsed bool) {
		h := newHost(t)
		time.Sleep(4*time.Second + delay)
		h.losesReplies.Store(true)
		time.Sleep(outage)
		for _, w := range h.fleet.Workers() {
			require.Equal(t, isLapsed, len(h.fleet.Running(w.ID)) == 0, "worker %s after %v", w.ID, outage)
		}
		h.losesReplies.Store(false)
		time.Sleep(2 * time.Second)
		for index := range 2 {
			task := describer.TaskRef{Job: job, Index: index}.String()
			require.Equal(t, isLapsed, h.fleet.Starts(task) == 2, "task %s was started %d times", task, h.fleet.Starts(task))
		}
	}
	for delay := time.Duration(0); delay < 2800*time.Millisecond; delay += 35 * time.Millisecond {
		t.Run(fmt.Sprint("outage after ", delay), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { play(t, delay, confirmer.Authority-time.Second, false) })
		})
	}
	t.Run("longer outage", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { play(t, 0, confirmer.Authority+500*time.Millisecond, true) })
	})
}

// TestRepeatedAppendConfirmsItsFirstSending guards against a holder that counts the repeat of an append without a reply as
// sent later: the first one may have taken effect, and a successor may have claimed the cell since.
func TestRepeatedAppendConfirmsItsFirstSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost(t)
		time.Sleep(time.Second)
		h.losesReplies.Store(true)
		sentBy := time.Now().Add(500 * time.Millisecond)
		time.Sleep(3 * time.Second)
		h.losesReplies.Store(false)
		h.isFailing.Store(true)
		time.Sleep(3 * time.Second)
		h.replyOnce.Store(true)
		time.Sleep(time.Second)
		h.mu.Lock()
		defer h.mu.Unlock()
		require.False(t, h.dispatcher.Registrar().Claim.ConfirmedAt().After(sentBy))
	})
}

// TestRunsAreGivenUpOnlyAfterAConfirmation guards against a holder without the store that takes a run for lost by its
// own clock while its successor renews the lease of the worker, and starts the task again.
func TestRunsAreGivenUpOnlyAfterAConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost(t)
		time.Sleep(time.Second)
		h.isFailing.Store(true)
		w := h.fleet.Workers()[0]
		// The successor reaches this worker only, and the former holder the other one only.
		_, verdict := h.fleet.Poll(t.Context(), orderer.Poll{Worker: w, Token: epoch + 1, Deadline: time.Minute})
		require.Equal(t, orderer.Accepted, verdict)
		h.fleet.Update(w.ID, func(w *fencer.Worker) { w.IsUnresponsive = true })
		time.Sleep(30 * time.Second)
		h.mu.Lock()
		require.Len(t, h.dispatcher.Registrar().Workers[w.ID].Runs, 1)
		h.mu.Unlock()
		h.isFailing.Store(false)
		time.Sleep(time.Second)
		h.mu.Lock()
		defer h.mu.Unlock()
		require.Empty(t, h.dispatcher.Registrar().Workers[w.ID].Runs, "no other host had claimed the cell")
	})
}

// TestPausedHolderGoesOn guards against a holder that decides nothing more after a pause in which no other
// host claimed the cell.
func TestPausedHolderGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost(t)
		h.startWave(t)
		h.pause(4 * time.Second)
		time.Sleep(15 * time.Second)
		require.Equal(t, 2, h.machines.Upkeeps(1))
	})
}

// TestRejectedRecordHoldsUpNoOthers guards against a holder that repeats an append for ever since the store does
// not take one of its records, so that nothing else is persisted any more.
func TestRejectedRecordHoldsUpNoOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost(t)
		time.Sleep(time.Second)
		h.maxRecord.Store(200)
		ids := []describer.JobID{"00000000000000b1", "00000000000000b2", "00000000000000b3"}
		results := make(chan error, 1)
		isRefused := make(map[describer.JobID]bool)
		for i, id := range ids {
			step := describer.Step{Count: 1, Need: describer.Resources{MilliCPU: 100}}
			spec := strings.Repeat("x", 300*(i%2))
			record, err := journaler.NewJob(&describer.Job{ID: id, Queue: describer.Queue{Service: "kitchen"}, Spec: spec, Steps: []describer.Step{step}})
			require.NoError(t, err)
			go func() { results <- h.holder.Submit(t.Context(), id, record) }()
			err = <-results
			isRefused[id] = errors.Is(err, storer.ErrRefused)
			require.Equal(t, isRefused[id], err != nil)
		}
		require.Equal(t, map[describer.JobID]bool{ids[0]: false, ids[1]: true, ids[2]: false}, isRefused)
		time.Sleep(time.Second)
		require.True(t, h.holder.HasStoreAccess())
		h.mu.Lock()
		defer h.mu.Unlock()
		require.Contains(t, h.state.Jobs, ids[2])
	})
}
