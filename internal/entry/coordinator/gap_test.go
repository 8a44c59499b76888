package coordinator_test

import (
	"context"
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/entry/coordinator"
	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
)

var allTopics = []storer.Topic{storer.Jobs, storer.Claims, storer.Operators, storer.Workers, storer.Reports}

// gapStore is the store as a host accesses it that is cut off for longer than the store keeps records.
type gapStore struct {
	storer.Store

	mu sync.Mutex
	// cut has the topics that the host can't reach.
	cut map[storer.Topic]bool
	// first has the first offset of each topic that the store still has.
	first map[storer.Topic]int64
}

func (s *gapStore) setCut(isCut bool, topics ...storer.Topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, topic := range topics {
		s.cut[topic] = isCut
	}
}

// trim drops the records that are in the store now.
func (s *gapStore) trim(t *testing.T) {
	for _, topic := range allTopics {
		page, err := s.Store.Newest(t.Context(), topic, "")
		require.NoError(t, err)
		s.mu.Lock()
		s.first[topic] = page.End
		s.mu.Unlock()
	}
}

func (s *gapStore) check(topic storer.Topic, from int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.cut[topic]:
		return errors.Errorf("cut off: %w", storer.ErrRefused)
	case from < s.first[topic]:
		return errors.Errorf("read from %d: %w", from, storer.ErrRecordsRemoved)
	}
	return nil
}

func (s *gapStore) Read(ctx context.Context, topic storer.Topic, from int64, wait time.Duration) (storer.Batch, error) {
	if err := s.check(topic, from); err != nil {
		return storer.Batch{}, err
	}
	return s.Store.Read(ctx, topic, from, wait)
}

func (s *gapStore) Newest(ctx context.Context, topic storer.Topic, after string) (storer.Page, error) {
	if err := s.check(topic, math.MaxInt64); err != nil {
		return storer.Page{}, err
	}
	return s.Store.Newest(ctx, topic, after)
}

func (s *gapStore) Append(ctx context.Context, call storer.Append) (int64, error) {
	if err := s.check(call.Topic, math.MaxInt64); err != nil {
		return 0, err
	}
	return s.Store.Append(ctx, call)
}

// TestHostThatMissedRemovalsRunsNoEndedJob guards against a host that was cut off for longer than the store
// keeps records, still has jobs whose removal it missed, and runs them again once it holds the cell.
func TestHostThatMissedRemovalsRunsNoEndedJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1)
		defer c.shutDown()
		s := &gapStore{Store: c.store, first: make(map[storer.Topic]int64), cut: make(map[storer.Topic]bool)}
		address, peers := c.network.add("h-gap", "incarnation-gap")
		k := coordinator.New(coordinator.Options{
			Name: "h-gap", Incarnation: "incarnation-gap", DataCentre: "brno", PeerAddress: address, Messenger: peers, Store: s, Decoder: jsonDecoder{},
			Workers: c.fleet, Advisor: failingAdvisor{}, Clock: clockwork.NewRealClock(),
		})
		ctx, cancel := context.WithCancel(context.Background())
		go k.Run(ctx)
		c.shutdowns = append(c.shutdowns, func() {
			cancel()
			c.network.disconnect(address)
		})
		time.Sleep(2 * time.Second)
		require.NoError(t, c.submit(0, "a", 40))
		time.Sleep(800 * time.Millisecond)
		s.setCut(true, storer.Claims)
		// The host reads the submission of this job, but no progress of it.
		queue, _, err := c.hosts[0].Route("a.example", "/orders/b")
		require.NoError(t, err)
		record, err := journaler.NewJob(&describer.Job{ID: "b", Queue: queue, Steps: []describer.Step{{Count: 1, Need: describer.Resources{MilliCPU: 1000}}}})
		require.NoError(t, err)
		c.store.Put(storer.Jobs, storer.Entry{Record: record})
		time.Sleep(2 * time.Second)
		s.setCut(true, allTopics...)
		time.Sleep(6 * time.Minute)
		for _, id := range []describer.JobID{"a", "b"} {
			_, err = c.status(0, id)
			require.True(t, errors.Is(err, coordinator.ErrJobNotFound), "%v", err)
		}
		s.trim(t)
		s.setCut(false, allTopics...)
		time.Sleep(10 * time.Second)
		c.shutdowns[0]()
		time.Sleep(12 * time.Second)
		require.True(t, k.IsHolder())
		tasks := []string{"b.0.0.0"}
		for i := range 40 {
			tasks = append(tasks, fmt.Sprintf("a.0.0.%d", i))
		}
		for _, task := range tasks {
			require.Equal(t, 1, c.fleet.Starts(task), task)
		}
		require.Zero(t, k.Counts().Jobs)
	})
}
