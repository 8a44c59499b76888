package starter

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/cell/recorder"
	"lentilrock.example/internal/container/sorter"
	"lentilrock.example/internal/core/decider"
	"lentilrock.example/internal/platform/messages"
	"lentilrock.example/internal/settings/checker"
)

// other returns an entry host that is not e.
func (c *cell) other(e *entry) *entry {
	for _, o := range c.entries {
		if o != e {
			return o
		}
	}
	return nil
}

func TestHolderDiesWithWorkRunning(t *testing.T) {
	inCell(t, brno, 8, 4, func(c *cell) {
		holder := setUp(c, 3)
		c.mustDo(holder, "submit service dispatch team svacinka tasks 4 cores 1 memory 512Mi")
		c.mustDo(holder, "submit batch plan team svacinka tasks 60 cores 4 memory 1Gi run_time 3s retries 3")
		c.wait("the service to run", 10*time.Second, func() bool { return c.running("dispatch") == 4 })
		c.kill(holder)
		next := c.waitHeld(0, 20*time.Second)
		c.wait("the batch to end", 2*time.Minute, func() bool {
			return len(c.do(next, "show jobs where job = plan and state = done").Table.Rows) == 1
		})
		require.Equal(t, 4, c.running("dispatch"), "the service went on through the takeover")
		c.checkWorkers()
	})
}

func TestOrderRunsOnceThoughItsHolderDies(t *testing.T) {
	for _, moment := range []time.Duration{time.Millisecond, 5 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second} {
		t.Run(moment.String(), func(t *testing.T) {
			inCell(t, brno, 2, 4, func(c *cell) {
				holder := setUp(c, 3)
				for _, u := range c.upstreams {
					u.SetFault(messages.UpstreamFault{Delay: 700 * time.Millisecond})
				}
				front := c.other(holder)
				var group sync.WaitGroup
				var first reply
				group.Go(func() { first = c.order(front, "order-1", "25 boxes", true, 20*time.Second) })
				time.Sleep(moment)
				c.kill(holder)
				group.Wait()
				c.waitHeld(0, 20*time.Second)
				var last reply
				c.wait("the order's end", time.Minute, func() bool {
					last = c.order(front, "order-1", "25 boxes", true, 5*time.Second)
					return last.state == "done" || last.state == "not_run"
				})
				time.Sleep(30 * time.Second)
				checkOnce(t, c, "order-1", first, last)
			})
		})
	}
}

// checkOnce compares what callers were told of a request with what ran.
func checkOnce(t *testing.T, c *cell, key string, replies ...reply) {
	t.Helper()
	runs := c.runsOf(key)
	require.LessOrEqual(t, runs, 1, "a request that may not be repeated ran twice")
	for _, r := range replies {
		switch r.state {
		case "done":
			require.Equal(t, 1, runs, "the caller was told done: %+v", r)
		case "not_run":
			require.Equal(t, 0, runs, "the caller was told not run: %+v", r)
		}
	}
}

func TestOrderRunsOnceThoughAcknowledgementsAreLost(t *testing.T) {
	inCell(t, brno, 2, 4, func(c *cell) {
		holder := setUp(c, 2)
		for i := range 10 {
			key := fmt.Sprintf("order-%d", i)
			c.log.SetFault(messages.LogFault{LoseAcks: 1})
			first := c.order(holder, key, "25 boxes", true, 5*time.Second)
			again := c.order(c.other(holder), key, "25 boxes", true, 5*time.Second)
			require.Equal(t, "done", first.state, first.body)
			require.Equal(t, first, again)
			checkOnce(t, c, key, first, again)
			require.Equal(t, 1, c.runsOf(key))
		}
	})
}

func TestLostReplyOfUpstreamIsSettledByAsking(t *testing.T) {
	inCell(t, brno, 2, 3, func(c *cell) {
		holder := setUp(c, 2)
		for _, u := range c.upstreams {
			u.SetFault(messages.UpstreamFault{DropReplies: 1})
		}
		got := c.order(holder, "order-1", "25 boxes", true, 10*time.Second)
		require.Equal(t, reply{state: "done", body: "done: 25 boxes"}, got)
		require.Equal(t, 1, c.runsOf("order-1"))
	})
}

func TestAnswerIsWholeOrAnError(t *testing.T) {
	const body = "a long order of many boxes, with allergens for each of the classes"
	tests := []struct {
		name  string
		fault messages.UpstreamFault
		once  bool
		want  string
	}{
		{"parts out of order, doubled and stale", messages.UpstreamFault{Shuffle: true}, true, "done"},
		{"the last part is missing", messages.UpstreamFault{Truncate: true}, false, "not_known_yet"},
		{"the last part is missing of one that may not be repeated", messages.UpstreamFault{Truncate: true}, true, "done"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inCell(t, brno, 2, 3, func(c *cell) {
				holder := setUp(c, 2)
				for _, u := range c.upstreams {
					u.SetFault(test.fault)
				}
				got := c.order(holder, "order-1", body, test.once, 10*time.Second)
				require.Equal(t, test.want, got.state, got.body)
				if test.want == "done" {
					require.Equal(t, "done: "+body, got.body)
				}
			})
		})
	}
}

func TestOutageOfThePlatformDoesNotStopOrders(t *testing.T) {
	inCell(t, brno, 4, 4, func(c *cell) {
		holder := setUp(c, 3)
		c.mustDo(holder, "submit service dispatch team svacinka tasks 2 cores 1 memory 512Mi")
		c.wait("the service to run", 10*time.Second, func() bool { return c.running("dispatch") == 2 })
		c.log.SetFault(messages.LogFault{Down: true})
		time.Sleep(8 * time.Second)
		first := c.order(holder, "order-1", "25 boxes", true, 5*time.Second)
		require.Equal(t, "done", first.state, first.body)
		again := c.order(c.other(holder), "order-1", "25 boxes", true, 5*time.Second)
		require.Equal(t, first, again)
		c.log.SetFault(messages.LogFault{})
		c.wait("the intent in the log", 10*time.Second, func() bool {
			return len(c.do(holder, "show requests where request = order-1 and state = run").Table.Rows) == 1
		})
		require.Equal(t, 1, c.runsOf("order-1"))
		require.Equal(t, 2, c.running("dispatch"))
		c.checkWorkers()
	})
}

func TestHolderDiesDuringOutage(t *testing.T) {
	inCell(t, brno, 4, 4, func(c *cell) {
		holder := setUp(c, 3)
		c.mustDo(holder, "submit service dispatch team svacinka tasks 2 cores 1 memory 512Mi")
		c.wait("the service to run", 10*time.Second, func() bool { return c.running("dispatch") == 2 })
		c.log.SetFault(messages.LogFault{Down: true})
		time.Sleep(4 * time.Second)
		first := c.order(holder, "order-1", "25 boxes", true, 5*time.Second)
		require.Equal(t, "done", first.state, first.body)
		c.kill(holder)
		time.Sleep(15 * time.Second)
		require.Equal(t, 2, c.running("dispatch"), "the heir cares for what runs")
		c.log.SetFault(messages.LogFault{})
		next := c.waitHeld(0, 30*time.Second)
		again := c.order(next, "order-1", "25 boxes", true, 20*time.Second)
		require.Equal(t, first, again, "the heir held the intent and asked the upstream")
		require.Equal(t, 1, c.runsOf("order-1"))
		c.checkWorkers()
	})
}

func TestRefusingDuringOutageIsASetting(t *testing.T) {
	inCell(t, brno, 2, 2, func(c *cell) {
		refuse := func(s *checker.Settings) { s.Requests.RefuseInOutage = true }
		c.addEntry(0, 1, refuse)
		c.addEntry(0, 2, refuse)
		holder := c.waitHeld(0, 20*time.Second)
		c.mustDo(holder, "quota svacinka = 60")
		c.log.SetFault(messages.LogFault{Down: true})
		time.Sleep(4 * time.Second)
		got := c.order(holder, "order-1", "25 boxes", true, 3*time.Second)
		require.Equal(t, "refused", got.state, got.body)
		c.log.SetFault(messages.LogFault{})
		time.Sleep(20 * time.Second)
		require.Equal(t, 0, c.runsOf("order-1"), "a refused order does not run later")
	})
}

func TestDataCentreCutOffGoesOn(t *testing.T) {
	inCell(t, []string{"morava-brno", "cechy-praha"}, 4, 3, func(c *cell) {
		holder := setUp(c, 3)
		far := c.addEntry(1, 1)
		c.addEntry(1, 2)
		c.waitHeld(1, 30*time.Second)
		c.mustDo(holder, "submit service morava-brno:dispatch team svacinka tasks 2 cores 1 memory 512Mi")
		c.wait("the service to run", 10*time.Second, func() bool { return c.running("morava-brno:dispatch") == 2 })
		c.isolate(0)
		time.Sleep(6 * time.Second)

		answer := make(chan reply, 1)
		go func() { answer <- c.order(far, "morava-brno:order-9", "9 boxes", true, 4*time.Second) }()
		require.Equal(t, "not_known_yet", (<-answer).state, "the home of the order is out of reach")
		missing := c.do(far, "show jobs").Table.Missing
		require.Len(t, missing, 1)
		require.Contains(t, missing[0], "morava-brno")
		require.Equal(t, 2, c.running("morava-brno:dispatch"), "what runs goes on")

		c.heal()
		c.waitHeld(0, 30*time.Second)
		got := c.order(far, "morava-brno:order-9", "9 boxes", true, 20*time.Second)
		require.Equal(t, "done", got.state, got.body)
		require.Equal(t, 1, c.runsOf("morava-brno:order-9"))
		c.checkWorkers()
	})
}

func TestLeavingUpstreamGetsNothingNew(t *testing.T) {
	inCell(t, brno, 2, 2, func(c *cell) {
		holder := setUp(c, 2)
		leaving := c.upstreams["morava-brno-u0"]
		c.list.Leave("morava-brno-u0")
		time.Sleep(3 * time.Second)
		before := len(leaving.Runs().Runs)
		for i := range 30 {
			got := c.order(holder, fmt.Sprintf("order-%d", i), "box", true, 5*time.Second)
			require.Equal(t, "done", got.state, got.body)
		}
		require.Len(t, leaving.Runs().Runs, before)
	})
}

func TestUpstreamThatSaysItLeavesGetsNothingNewThoughTheListLags(t *testing.T) {
	inCell(t, brno, 2, 2, func(c *cell) {
		holder := setUp(c, 2)
		c.upstreams["morava-brno-u0"].SetFault(messages.UpstreamFault{Leaving: true})
		for i := range 30 {
			got := c.order(holder, fmt.Sprintf("order-%d", i), "box", true, 5*time.Second)
			require.Equal(t, "done", got.state, got.body)
			require.Equal(t, 1, c.runsOf(fmt.Sprintf("order-%d", i)))
		}
		require.Empty(t, c.upstreams["morava-brno-u0"].Runs().Runs)
	})
}

func TestGracefulShutdownCutsNothingOff(t *testing.T) {
	inCell(t, brno, 2, 3, func(c *cell) {
		holder := setUp(c, 3)
		for _, u := range c.upstreams {
			u.SetFault(messages.UpstreamFault{Delay: 3 * time.Second})
		}
		replies := make(chan reply, 20)
		for i := range 20 {
			go func() { replies <- c.order(holder, fmt.Sprintf("order-%d", i), "box", i%2 == 0, 15*time.Second) }()
		}
		time.Sleep(500 * time.Millisecond)
		holder.signals <- stopSignal{}
		for range 20 {
			got := <-replies
			require.Equal(t, "done", got.state, "%+v", got)
		}
		require.NoError(t, <-holder.done)
		delete(c.entries, holder.name)
		for i := range 20 {
			require.Equal(t, 1, c.runsOf(fmt.Sprintf("order-%d", i)))
		}
		c.waitHeld(0, 5*time.Second)
	})
}

func TestDrainedHostHandsItsShardOverUnderLoad(t *testing.T) {
	inCell(t, brno, 2, 3, func(c *cell) {
		holder := setUp(c, 3)
		for _, u := range c.upstreams {
			u.SetFault(messages.UpstreamFault{Delay: 50 * time.Millisecond})
		}
		front := c.other(holder)
		stop := make(chan struct{})
		replies := make(chan reply, 4096)
		var group sync.WaitGroup
		for caller := range 4 {
			group.Go(func() {
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					default:
						replies <- c.order(front, fmt.Sprintf("order-%d-%d", caller, i), "box", true, 10*time.Second)
					}
				}
			})
		}
		time.Sleep(time.Second)
		c.mustDo(front, "drain host "+holder.name)
		c.wait("another holder", 10*time.Second, func() bool {
			next := c.holder(0)
			return next != nil && next != holder
		})
		time.Sleep(time.Second)
		close(stop)
		group.Wait()
		close(replies)
		for got := range replies {
			require.Equal(t, "done", got.state, got.body)
		}
		require.False(t, holder.node.runner.Routes().Ready)
		c.mustDo(front, "undrain host "+holder.name)
		c.wait("readiness", 5*time.Second, func() bool { return holder.node.runner.Routes().Ready })
	})
}

func TestShutdownTellsWhyItCutOff(t *testing.T) {
	tests := []struct {
		name   string
		second bool
		want   error
	}{
		{"a second signal", true, ErrSecondSignal},
		{"the deadline", false, ErrDeadline},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inCell(t, brno, 2, 3, func(c *cell) {
				holder := setUp(c, 2)
				for _, u := range c.upstreams {
					u.SetFault(messages.UpstreamFault{Delay: 40 * time.Second})
				}
				go c.order(holder, "order-1", "box", true, time.Minute)
				time.Sleep(500 * time.Millisecond)
				holder.signals <- stopSignal{}
				if test.second {
					time.Sleep(2 * time.Second)
					holder.signals <- stopSignal{}
				}
				require.ErrorIs(t, <-holder.done, test.want)
				delete(c.entries, holder.name)
				time.Sleep(time.Minute)
			})
		})
	}
}

// stopSignal asks a node under test to leave.
type stopSignal struct{}

func (stopSignal) Signal()        {}
func (stopSignal) String() string { return "stop" }

func TestOfTwoRacingOperatorsOneIsToldThatItLost(t *testing.T) {
	inCell(t, brno, 2, 1, func(c *cell) {
		holder := setUp(c, 2)
		before := c.do(holder, "show config where key = quota.svacinka").Table.Rows[0][2]
		require.Equal(t, "1", before)
		outcomes := make(chan bool, 2)
		for i, e := range []*entry{holder, c.other(holder)} {
			go func() {
				outcomes <- c.do(e, fmt.Sprintf("quota svacinka = %d if version 1", 10+i)).Failed()
			}()
		}
		first, second := <-outcomes, <-outcomes
		require.NotEqual(t, first, second, "exactly one wins")
		lost := c.do(holder, "show audit where action = set and outcome ~ lost").Table.Rows
		require.Len(t, lost, 1)
	})
}

func TestConfigurationSurvivesTrimmingAndOutage(t *testing.T) {
	inCell(t, brno, 2, 1, func(c *cell) {
		holder := setUp(c, 2)
		for i := range 60 {
			c.mustDo(holder, fmt.Sprintf("quota svacinka = %d", i%50))
		}
		c.mustDo(holder, "quota svacinka = 77")
		c.wait("a snapshot", 10*time.Second, func() bool {
			return len(c.log.Records(recorder.SnapshotStream(recorder.ConfigStream))) > 0
		})
		c.log.Trim(recorder.ConfigStream, 30)
		fresh := c.addEntry(0, 3)
		c.wait("the new host to be ready", 10*time.Second, func() bool { return fresh.node.runner.Routes().Ready })
		row := c.do(fresh, "show config where key = quota.svacinka").Table.Rows[0]
		require.Equal(t, []string{"77", "62"}, row[1:3])

		c.log.SetFault(messages.LogFault{Down: true})
		late := c.addEntry(0, 4)
		time.Sleep(10 * time.Second)
		require.False(t, late.node.runner.Routes().Ready, "a host without a configuration takes no work")
		c.log.SetFault(messages.LogFault{})
		c.wait("the late host to be ready", 20*time.Second, func() bool { return late.node.runner.Routes().Ready })
		require.Equal(t, "77", c.do(late, "show config where key = quota.svacinka").Table.Rows[0][1])
	})
}

func TestChangeOfConfigurationIsInForceEverywhereInSeconds(t *testing.T) {
	inCell(t, []string{"morava-brno", "cechy-praha"}, 1, 1, func(c *cell) {
		holder := setUp(c, 3)
		c.addEntry(1, 1)
		c.addEntry(1, 2)
		c.waitHeld(1, 30*time.Second)
		begun := time.Now()
		c.mustDo(holder, "quota lakeshore = 33")
		c.wait("the change on every host", 5*time.Second, func() bool {
			for _, e := range c.entries {
				if len(c.do(e, "show config where key = quota.lakeshore and value = 33").Table.Rows) == 0 {
					return false
				}
			}
			return true
		})
		require.Less(t, time.Since(begun), 5*time.Second)
	})
}

func TestWorkerThatFailsEverythingIsHeldBack(t *testing.T) {
	inCell(t, brno, 4, 1, func(c *cell) {
		holder := setUp(c, 2)
		bad := c.workers["morava-brno-w1"]
		bad.SetFault(messages.WorkerFault{FailAll: true})
		for i := range 12 {
			c.mustDo(holder, fmt.Sprintf("submit batch job-%d team svacinka tasks 10 cores 2 memory 1Gi run_time 500ms retries 2", i))
		}
		c.wait("the jobs to end", 2*time.Minute, func() bool {
			return len(c.do(holder, "show jobs where state = done").Table.Rows) == 12
		})
		require.Less(t, len(bad.Runs().Runs), 24, "the worker drew no work by looking idle")
		bad.SetFault(messages.WorkerFault{})
		before := len(bad.Runs().Runs)
		c.wait("the worker to be let back in", 5*time.Minute, func() bool {
			c.do(holder, fmt.Sprintf("submit batch more-%d team svacinka tasks 8 cores 8 memory 1Gi run_time 5s", time.Now().Unix()))
			time.Sleep(10 * time.Second)
			return len(bad.Runs().Runs) > before+2
		})
		c.checkWorkers()
	})
}

func TestJobThatFailsEverywhereIsStopped(t *testing.T) {
	inCell(t, brno, 4, 1, func(c *cell) {
		holder := setUp(c, 2)
		c.mustDo(holder, "submit batch warm team svacinka tasks 60 cores 1 memory 1Gi run_time 100ms")
		c.wait("every worker to have shown that it works", 30*time.Second, func() bool {
			return len(c.do(holder, "show jobs where state = done").Table.Rows) == 1
		})
		for _, w := range c.workers {
			w.SetFault(messages.WorkerFault{FailAll: true})
		}
		c.mustDo(holder, "submit batch broken team svacinka tasks 1 cores 1 memory 1Gi run_time 100ms retries 2")
		c.wait("the job to be given up", time.Minute, func() bool {
			return len(c.do(holder, "show jobs where job = broken and state = failed").Table.Rows) == 1
		})
		runs := 0
		for _, w := range c.workers {
			for _, run := range w.Runs().Runs {
				if run.Task.Job == "broken" {
					runs++
				}
			}
		}
		require.LessOrEqual(t, runs, 5)
		holds := 0
		holder.node.runner.Look(context.Background(), func(d *decider.Decider) { holds = len(d.Tracker().Holds()) })
		require.Zero(t, holds, "one job's failures hold no worker back")
	})
}

func TestLostRepliesToStartsOvercommitNothing(t *testing.T) {
	inCell(t, brno, 3, 1, func(c *cell) {
		holder := setUp(c, 2)
		for _, w := range c.workers {
			w.SetFault(messages.WorkerFault{LoseReplies: 5})
		}
		c.mustDo(holder, "submit batch plan team svacinka tasks 40 cores 5.4 memory 1Gi run_time 2s retries 3")
		c.wait("the batch to end", 3*time.Minute, func() bool {
			return len(c.do(holder, "show jobs where state = done").Table.Rows) == 1
		})
		c.checkWorkers()
	})
}

// silence makes a worker that runs tasks answer nothing more; the tasks run on until their
// leases lapse.
func (c *cell) silence() {
	c.t.Helper()
	// Leases have been renewed by then, so that they outlive the silence for long.
	time.Sleep(3 * time.Second)
	for _, name := range sorter.Keys(c.workers) {
		if w := c.workers[name]; len(w.Runs().Runs) > 0 {
			w.SetFault(messages.WorkerFault{Down: true})
			return
		}
	}
	c.t.Fatal("no worker runs a task")
}

func TestTasksOfALostWorkerRunElsewhereOnlyAfterTheirLeases(t *testing.T) {
	for _, hosts := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d entry hosts", hosts), func(t *testing.T) {
			inCell(t, brno, 4, 1, func(c *cell) {
				holder := setUp(c, hosts)
				c.mustDo(holder, "submit service dispatch team svacinka tasks 4 cores 1 memory 512Mi")
				c.wait("the service to run", 10*time.Second, func() bool { return c.running("dispatch") == 4 })
				c.silence()
				time.Sleep(20 * time.Second)
				c.wait("the service to run whole again", 2*time.Minute, func() bool { return c.running("dispatch") == 4 })
				c.checkWorkers()
			})
		})
	}
}

func TestTakeoverWithASilentWorker(t *testing.T) {
	inCell(t, brno, 4, 1, func(c *cell) {
		holder := setUp(c, 3)
		c.mustDo(holder, "submit service dispatch team svacinka tasks 4 cores 6 memory 512Mi")
		c.wait("the service to run", 10*time.Second, func() bool { return c.running("dispatch") == 4 })
		c.silence()
		c.kill(holder)
		c.waitHeld(0, 2*time.Minute)
		time.Sleep(20 * time.Second)
		c.wait("the service to run whole again", 2*time.Minute, func() bool { return c.running("dispatch") == 4 })
		c.checkWorkers()
	})
}

func TestUpstreamsGetNoMoreThanTheirSlots(t *testing.T) {
	inCell(t, brno, 2, 2, func(c *cell) {
		holder := setUp(c, 3)
		for _, u := range c.upstreams {
			u.SetFault(messages.UpstreamFault{Delay: 300 * time.Millisecond})
		}
		const callers = 60
		replies := make(chan reply, callers)
		for i := range callers {
			go func() { replies <- c.order(holder, fmt.Sprintf("order-%d", i), "box", i%3 == 0, 20*time.Second) }()
			if i == callers/2 {
				time.Sleep(100 * time.Millisecond)
				c.kill(holder)
				holder = c.waitHeld(0, 20*time.Second)
			}
		}
		for range callers {
			<-replies
		}
		for name, u := range c.upstreams {
			require.LessOrEqualf(t, u.Runs().PeakBusy, 8, "%s has 8 slots", name)
		}
	})
}

func TestNotRunMeansNotRun(t *testing.T) {
	inCell(t, brno, 2, 1, func(c *cell) {
		holder := setUp(c, 2)
		var told []reply
		for i := range 20 {
			// The only upstream drops what it gets, or is slow to begin it.
			c.upstreams["morava-brno-u0"].SetFault(messages.UpstreamFault{
				Down: i%2 == 0, DropReplies: i % 3, Begin: time.Duration(i%4) * 500 * time.Millisecond,
			})
			go func() {
				time.Sleep(time.Duration(i%5) * 600 * time.Millisecond)
				c.upstreams["morava-brno-u0"].SetFault(messages.UpstreamFault{})
			}()
			patience := 8 * time.Second
			if i%4 == 3 {
				// The dispatch ends before the upstream begins what it has read.
				patience = 300 * time.Millisecond
			}
			key := fmt.Sprintf("order-%d", i)
			c.order(holder, key, "box", true, patience)
			got := c.order(holder, key, "box", true, 8*time.Second)
			told = append(told, got)
			time.Sleep(4 * time.Second)
		}
		time.Sleep(30 * time.Second)
		kinds := make(map[string]int)
		for i, got := range told {
			kinds[got.state]++
			checkOnce(t, c, fmt.Sprintf("order-%d", i), got)
		}
		require.NotZero(t, kinds["not_run"], "the test brings the case about: %v", kinds)
		require.NotZero(t, kinds["done"], "%v", kinds)
	})
}

func TestBadInputChangesNothing(t *testing.T) {
	inCell(t, brno, 2, 1, func(c *cell) {
		holder := setUp(c, 2)
		before := c.log.Appends()
		tests := []struct{ statement, want string }{
			{"shwo jobs", "did you mean show?"},
			{"show jbos", "did you mean jobs?"},
			{"show jobs where stat = done", "did you mean state?"},
			{"submit batch j team svacinka cores -1 memory 1Gi", "milli_cores is -1000, want 0 or more"},
			{"submit batch j team svacinka cores 1 memory 1Gi tasks 0", "tasks is 0, want 1 to"},
			{"submit batch j team nobody cores 1 memory 1Gi", `team "nobody" is unknown`},
			{"submit batch j team svacinka cores 1 memory 1Zi", "read \"1Zi\" as bytes"},
			{"submit service j team svacinka cores 1 memory 1Gi one_shot", "one_shot is set"},
			{"set quota.svacinka = 140", "percentage from 0 to 100"},
			{"set colour = red", `key "colour" is unknown`},
			{"cancel where state = running", "no open job matches"},
			{"drain worker morava-brno-w9", "is not on the host list; did you mean morava-brno-w0?"},
		}
		for _, test := range tests {
			reply := c.do(holder, test.statement)
			require.True(t, reply.Failed(), test.statement)
			text := reply.Error
			for _, o := range reply.Outcomes {
				text += o.Reason
			}
			require.Contains(t, text, test.want, test.statement)
		}
		require.Equal(t, before, c.log.Appends(), "nothing was written")
		got := c.order(holder, "order-1", "box", true, -time.Second)
		require.Contains(t, got.body, "header Request-Timeout is")
		got = c.order(holder, "", "box", true, time.Second)
		require.Contains(t, got.body, "Idempotency-Key is missing")
		got = c.order(holder, "order 1", "box", true, time.Second)
		require.Contains(t, got.body, "has a character outside")
		got = c.order(holder, "order-1", string(make([]byte, 1<<20+10)), true, time.Second)
		require.Contains(t, got.body, "body is over")
	})
}

func TestAJobIsDrainedWithoutFallingBelowItsMinimum(t *testing.T) {
	inCell(t, brno, 4, 1, func(c *cell) {
		holder := setUp(c, 2)
		c.mustDo(holder, "submit service dispatch team svacinka tasks 4 cores 8 memory 1Gi min_running 3")
		c.wait("the service to run", 10*time.Second, func() bool { return c.running("dispatch") == 4 })
		for name := range c.workers {
			if len(c.workers[name].Runs().Runs) > 0 {
				c.mustDo(holder, "drain worker "+name)
				lowest := 4
				c.wait("the worker to be empty", time.Minute, func() bool {
					lowest = min(lowest, c.running("dispatch"))
					left := 0
					for _, run := range c.workers[name].Runs().Runs {
						if run.State == messages.TaskRunning {
							left++
						}
					}
					return left == 0 && c.running("dispatch") == 4
				})
				require.GreaterOrEqual(t, lowest, 3)
				break
			}
		}
		c.checkWorkers()
	})
}

func TestOneShotTasksRunAtMostOnce(t *testing.T) {
	inCell(t, brno, 4, 1, func(c *cell) {
		holder := setUp(c, 3)
		c.mustDo(holder, "submit batch bills team svacinka tasks 12 cores 4 memory 1Gi run_time 4s one_shot")
		time.Sleep(1200 * time.Millisecond)
		c.kill(holder)
		next := c.waitHeld(0, 20*time.Second)
		c.workers["morava-brno-w1"].SetFault(messages.WorkerFault{Down: true})
		c.wait("the job to be over", 3*time.Minute, func() bool {
			return len(c.do(next, "show jobs where job = bills and state != running and state != waiting").Table.Rows) == 1
		})
		runs := make(map[string]int)
		for _, w := range c.workers {
			for _, run := range w.Runs().Runs {
				runs[run.Task.String()]++
			}
		}
		for task, n := range runs {
			require.Equal(t, 1, n, task)
		}
	})
}
