package keeper_test

import (
	"context"
	"encoding/json"
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

	"lentilrock.example/internal/entry/keeper"
	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/fleet/orderer"
	"lentilrock.example/internal/standin/fencer"
)

const workTime = 400 * time.Millisecond

// decoder reads entries as the tests write them.
type decoder struct{}

func (decoder) Config(key string, value []byte) (describer.Config, bool, error) {
	if key != "config" {
		return describer.Config{}, false, nil
	}
	var config describer.Config
	return config, true, json.Unmarshal(value, &config)
}

func (decoder) Wave(key string, value []byte) (describer.Wave, bool, error) {
	if !strings.HasPrefix(key, "wave/") {
		return describer.Wave{}, false, nil
	}
	var wave describer.Wave
	return wave, true, json.Unmarshal(value, &wave)
}

func (decoder) Worker(_ string, value []byte) (describer.Worker, error) {
	var w describer.Worker
	err := json.Unmarshal(value, &w)
	return w, err
}

// noAdvice answers no question.
type noAdvice struct{}

func (noAdvice) Advise(context.Context, orderer.Advise) (orderer.Advice, error) {
	return orderer.Advice{}, errors.New("there is no advice here")
}

// gate is a host's way to the store, which may refuse that host alone.
type gate struct {
	storer.Store
	isShut atomic.Bool
}

func (g *gate) Append(ctx context.Context, call storer.Append) (int64, error) {
	if g.isShut.Load() {
		return 0, errors.Errorf("append: %w", storer.ErrRefused)
	}
	return g.Store.Append(ctx, call)
}

// cell is some hosts with one store and one fleet, in a synctest bubble.
type cell struct {
	t       *testing.T
	store   *fencer.Store
	network network
	fleet   *fencer.Fleet
	hosts   []*keeper.Keeper
	ends    []context.CancelFunc
	// gates are the hosts' ways to the store.
	gates []*gate
	// cores is the size of the hosts that start.
	cores float64
}

func newCell(t *testing.T, hosts int) *cell {
	clock := clockwork.NewRealClock()
	c := &cell{t: t, store: fencer.NewStore(clock)}
	c.fleet = fencer.NewFleet(clock, func(describer.TaskRef) time.Duration { return workTime },
		func(describer.TaskRef) describer.Resources { return describer.Resources{MilliCPU: 1000} })
	for i := range 4 {
		info := describer.Worker{ID: fmt.Sprintf("w-%d", i), Service: "kitchen", Capacity: describer.Resources{MilliCPU: 4000}, Incarnation: 1}
		c.fleet.Add(info)
		c.put(storer.Workers, info.ID, info)
	}
	c.put(storer.Operators, "config", describer.Config{Version: 3, Queues: []describer.Queue{
		{Name: "orders", Host: "a.example", Prefix: "/orders/", Service: "kitchen", MaxAttempts: 2},
		{Name: "urgent", Host: "a.example", Prefix: "/orders/urgent/", Service: "kitchen", MaxAttempts: 2},
	}})
	for i := range hosts {
		c.start(fmt.Sprintf("h-%d", i), fmt.Sprintf("life-%d", i))
	}
	time.Sleep(time.Second)
	return c
}

func (c *cell) put(topic storer.Topic, key string, value any) {
	data, err := json.Marshal(value)
	require.NoError(c.t, err)
	c.store.Put(topic, storer.Entry{Record: journaler.Record{Key: key, Value: data}})
}

func (c *cell) start(name, incarnation string) {
	address, peers := c.network.add(name, incarnation)
	way := &gate{Store: c.store}
	c.gates = append(c.gates, way)
	k := keeper.New(keeper.Options{
		Name: name, Incarnation: incarnation, DataCentre: "brno", Cores: c.cores, PeerAddress: address, Messenger: peers, Store: way, Decoder: decoder{},
		Workers: c.fleet, Advisor: noAdvice{}, Clock: clockwork.NewRealClock(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	go k.Run(ctx)
	c.hosts, c.ends = append(c.hosts, k), append(c.ends, func() {
		cancel()
		c.network.cut(address)
	})
}

func (c *cell) end() {
	for _, end := range c.ends {
		end()
	}
	time.Sleep(10 * time.Second)
}

// holder returns the host that holds the cell.
func (c *cell) holder() int {
	for i, k := range c.hosts {
		if k.IsHolder() {
			return i
		}
	}
	return -1
}

func (c *cell) submit(host int, id describer.JobID, count int) error {
	queue, _, err := c.hosts[host].Route("a.example", "/orders/"+string(id))
	require.NoError(c.t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return c.hosts[host].Submit(ctx, &describer.Job{ID: id, Queue: queue, Steps: []describer.Step{
		{Count: count, Need: describer.Resources{MilliCPU: 1000}, Estimate: workTime},
	}})
}

func (c *cell) status(host int, id describer.JobID) (describer.JobState, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return c.hosts[host].Status(ctx, id)
}

// requireCompleted checks that every host tells that a job is completed, and that no task
// ran twice at a time.
func (c *cell) requireCompleted(id describer.JobID) {
	for i := range c.hosts {
		state, err := c.status(i, id)
		require.NoError(c.t, err)
		require.Equal(c.t, describer.JobCompleted, state, "host %d", i)
	}
	overlaps, overfull := c.fleet.Faults()
	require.Empty(c.t, overlaps)
	require.Empty(c.t, overfull)
}

func TestAnyHostTakesInAndAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 3)
		defer c.end()
		require.GreaterOrEqual(t, c.holder(), 0)
		for host := range c.hosts {
			require.True(t, c.hosts[host].IsReady())
			require.NoError(t, c.submit(host, describer.JobID(fmt.Sprintf("job-%d", host)), 4))
		}
		time.Sleep(2 * time.Second)
		for host := range c.hosts {
			c.requireCompleted(describer.JobID(fmt.Sprintf("job-%d", host)))
			require.Zero(t, c.hosts[host].Pending("orders"))
		}
	})
}

func TestRoutes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1)
		defer c.end()
		for _, test := range []struct {
			host, path, queue, rest string
		}{
			{"a.example", "/orders/x", "orders", "x"},
			{"a.example", "/orders/urgent/x", "urgent", "x"},
			{"a.example", "/other/x", "", ""},
			{"b.example", "/orders/x", "", ""},
		} {
			queue, rest, err := c.hosts[0].Route(test.host, test.path)
			require.Equal(t, test.queue, queue.Name, test.path)
			require.Equal(t, test.rest, rest)
			require.Equal(t, test.queue == "", errors.Is(err, keeper.ErrNoJob))
		}
	})
}

func TestUnknownJobsAreDenied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 2)
		defer c.end()
		_, err := c.status(0, "nobody")
		require.True(t, errors.Is(err, keeper.ErrNoJob))
		require.True(t, errors.Is(c.hosts[1].Cancel(t.Context(), "nobody"), keeper.ErrNoJob))
	})
}

func TestHolderDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 3)
		defer c.end()
		require.NoError(t, c.submit(0, "a", 40))
		time.Sleep(600 * time.Millisecond)
		dead := c.holder()
		c.ends[dead]()
		c.hosts = append(c.hosts[:dead], c.hosts[dead+1:]...)
		time.Sleep(2200 * time.Millisecond)
		require.GreaterOrEqual(t, c.holder(), 0, "nobody took over")
		time.Sleep(4 * time.Second)
		c.requireCompleted("a")
	})
}

func TestHolderLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 3)
		defer c.end()
		require.NoError(t, c.submit(0, "a", 40))
		time.Sleep(200 * time.Millisecond)
		leaving := c.holder()
		c.hosts[leaving].Leave(t.Context())
		require.False(t, c.hosts[leaving].IsReady())
		time.Sleep(700 * time.Millisecond)
		require.GreaterOrEqual(t, c.holder(), 0, "a released claim is taken at once")
		time.Sleep(4 * time.Second)
		c.requireCompleted("a")
	})
}

func TestLargerHostTakesTheCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 0)
		defer c.end()
		c.cores = 0.2
		c.start("small", "life-0")
		time.Sleep(2 * time.Second)
		require.Equal(t, 0, c.holder())
		require.NoError(t, c.submit(0, "a", 64))
		c.cores = 0.8
		c.start("large", "life-1")
		time.Sleep(8 * time.Second)
		require.Equal(t, 1, c.holder(), "the small host gives the claim to the large one")
		c.requireCompleted("a")
		c.ends[1]()
		time.Sleep(6 * time.Second)
		require.Equal(t, 0, c.holder(), "the small host holds the cell where no large one is left")
	})
}

func TestEndedJobsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 2)
		defer c.end()
		require.NoError(t, c.submit(0, "a", 4))
		require.NoError(t, c.submit(1, "b", 4))
		time.Sleep(2 * time.Minute)
		c.requireCompleted("a")
		c.end()
		c.hosts, c.ends = nil, nil
		c.start("h-0", "second life")
		time.Sleep(2 * time.Minute)
		c.requireCompleted("b")
		time.Sleep(2 * time.Minute)
		_, err := c.status(0, "a")
		require.True(t, errors.Is(err, keeper.ErrNoJob), "%v", err)
		require.Zero(t, c.hosts[0].Counts().Jobs)
		page, err := c.store.Newest(t.Context(), storer.Jobs, "")
		require.NoError(t, err)
		for _, e := range page.Entries {
			require.False(t, strings.HasPrefix(e.Key, "j/") && len(e.Value) > 0, e.Key)
		}
	})
}

func TestHolderIsRefusedAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 3)
		defer c.end()
		former := c.holder()
		c.gates[former].isShut.Store(true)
		time.Sleep(2200 * time.Millisecond)
		next := c.holder()
		require.NotEqual(t, former, next, "a holder that the store refuses is replaced")
		require.GreaterOrEqual(t, next, 0)
		began := time.Now()
		require.NoError(t, c.submit(former, "a", 4))
		require.Less(t, time.Since(began), time.Second, "others keep what the store refuses here")
		time.Sleep(2 * time.Second)
		c.requireCompleted("a")
	})
}

func TestAllHostsDie(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 3)
		defer c.end()
		require.NoError(t, c.submit(0, "a", 40))
		time.Sleep(600 * time.Millisecond)
		for _, end := range c.ends {
			end()
		}
		time.Sleep(time.Second)
		c.hosts = nil
		for i := range 3 {
			c.start(fmt.Sprintf("h-%d", i), "second life")
		}
		time.Sleep(6 * time.Second)
		c.requireCompleted("a")
	})
}

func TestStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 2)
		defer c.end()
		// The holder knows of it at once, without reading the log.
		require.NoError(t, c.submit(c.holder(), "a", 64))
		// A job begins once the log says so, some 20 ms after it was accepted.
		time.Sleep(50 * time.Millisecond)
		c.store.SetDown(true)
		time.Sleep(1500 * time.Millisecond)
		done := c.fleet.Done()
		require.Positive(t, done, "what was accepted goes on")
		began := time.Now()
		err := c.submit(1, "b", 1)
		require.True(t, errors.Is(err, storer.ErrRefused), "%v", err)
		require.Less(t, time.Since(began), time.Second, "what can't be kept is refused at once")
		time.Sleep(10 * time.Second)
		c.store.SetDown(false)
		time.Sleep(3 * time.Second)
		c.requireCompleted("a")
		_, err = c.status(0, "b")
		require.True(t, errors.Is(err, keeper.ErrNoJob), "a refused job never runs")
	})
}

// TestSlowStore answers a store whose appends take 60 times as long: appends of each host
// apart would wait longer than callers do.
func TestSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 12)
		defer c.end()
		c.store.SetSlow(300 * time.Millisecond)
		time.Sleep(time.Second)
		var waiting sync.WaitGroup
		accepted := make([]error, 120)
		for i := range accepted {
			waiting.Go(func() { accepted[i] = c.submit(i%12, describer.JobID(fmt.Sprintf("job-%d", i)), 1) })
			time.Sleep(50 * time.Millisecond)
		}
		waiting.Wait()
		lost := 0
		for _, err := range accepted {
			if err != nil {
				lost++
			}
		}
		require.LessOrEqual(t, lost, 12, "of %d jobs within 6 s; a tenth may be lost until the store's speed is known", len(accepted))
		c.store.SetSlow(0)
		time.Sleep(8 * time.Second)
		for i, err := range accepted {
			state, statusErr := c.status(i%12, describer.JobID(fmt.Sprintf("job-%d", i)))
			switch {
			case err == nil:
				require.NoError(t, statusErr)
				require.Equal(t, describer.JobCompleted, state)
			case errors.Is(err, storer.ErrRefused):
				require.True(t, errors.Is(statusErr, keeper.ErrNoJob), "a refused job never runs")
			}
		}
	})
}

func TestLostAnswersOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 2)
		defer c.end()
		c.store.LoseAnswers(4)
		require.NoError(t, c.submit(0, "a", 8))
		time.Sleep(500 * time.Millisecond)
		c.store.LoseAnswers(4)
		time.Sleep(5 * time.Second)
		c.requireCompleted("a")
		require.Equal(t, 8, c.fleet.Done())
	})
}
