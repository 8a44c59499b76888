// Command loader measures the latency that an entry host adds to a quick request. It sends requests
// at a fixed rate, each both directly to an upstream and through the host, and prints the latencies
// of both routes.
//
// # Usage
//
//	loader --host 127.0.0.1:7100 --upstream 127.0.0.1:7300 --service objednavky
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"lentilrock.example/internal/node/handler"
	"lentilrock.example/internal/platform/messages"
)

type command struct {
	Host     netip.AddrPort `required:"" help:"Address of an entry host."`
	Upstream netip.AddrPort `required:"" help:"Address of an upstream."`
	Service  string         `required:"" help:"Service of the upstream."`
	Rate     int            `default:"1000" help:"Requests per second on each route."`
	For      time.Duration  `default:"5s" help:"Duration of the measurement."`
	Once     bool           `help:"Send requests that must run at most once; each waits for a log append."`
}

const (
	maxMicroseconds   = 60_000_000
	significantDigits = 3
	idlePerHost       = 512
)

// route is one of the two routes that requests take, with its measured latencies.
type route struct {
	name       string
	newRequest func(i int) (*http.Request, error)
	mu         sync.Mutex
	latencies  *hdrhistogram.Histogram
	failed     int
}

func newRoute(name string, newRequest func(i int) (*http.Request, error)) *route {
	return &route{name: name, newRequest: newRequest, latencies: hdrhistogram.New(1, maxMicroseconds, significantDigits)}
}

func (rt *route) record(latency time.Duration, err error) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if err != nil {
		rt.failed++
		return
	}
	// RecordValue fails for a latency beyond the range of the histogram, which ends at 60 s. Such
	// a latency is counted neither as a reply nor as a failure.
	_ = rt.latencies.RecordValue(latency.Microseconds())
}

func (rt *route) print() {
	const median, high = 50, 99
	fmt.Printf("%-10s %6d replies, %d failed: p50 %s, p99 %s\n", rt.name, rt.latencies.TotalCount(), rt.failed,
		time.Duration(rt.latencies.ValueAtQuantile(median))*time.Microsecond,
		time.Duration(rt.latencies.ValueAtQuantile(high))*time.Microsecond)
}

func (c command) directRequest(i int) (*http.Request, error) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost,
		"http://"+c.Upstream.String()+"/v1/run", strings.NewReader("25 boxes"))
	if err != nil {
		return nil, errors.Errorf("create request: %w", err)
	}
	request.Header.Set(messages.HeaderRequestID, "straight-"+strconv.Itoa(i))
	request.Header.Set(messages.HeaderAttempt, "1")
	return request, nil
}

func (c command) routedRequest(i int) (*http.Request, error) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost,
		"http://"+c.Host.String()+"/v1/requests/"+c.Service, strings.NewReader("25 boxes"))
	if err != nil {
		return nil, errors.Errorf("create request: %w", err)
	}
	request.Header.Set(handler.HeaderRepeatable, strconv.FormatBool(!c.Once))
	if c.Once {
		request.Header.Set(handler.HeaderKey, "once-"+strconv.Itoa(i)+"-"+strconv.Itoa(c.Rate))
	}
	return request, nil
}

func (c command) run() {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idlePerHost}}
	clock := clockwork.NewRealClock()
	routes := []*route{newRoute("straight", c.directRequest), newRoute("through", c.routedRequest)}
	interval := time.Second / time.Duration(c.Rate)
	startedAt := clock.Now()
	var group sync.WaitGroup
	for i := 0; clock.Since(startedAt) < c.For; i++ {
		due := startedAt.Add(time.Duration(i) * interval)
		if wait := due.Sub(clock.Now()); wait > 0 {
			clock.Sleep(wait)
		}
		for _, rt := range routes {
			group.Go(func() { rt.record(measure(client, clock, rt, i)) })
		}
	}
	group.Wait()
	for _, rt := range routes {
		rt.print()
	}
}

func measure(client *http.Client, clock clockwork.Clock, rt *route, i int) (time.Duration, error) {
	request, err := rt.newRequest(i)
	if err != nil {
		return 0, err
	}
	startedAt := clock.Now()
	reply, err := client.Do(request)
	if err != nil {
		return 0, errors.Errorf("send request: %w", err)
	}
	defer reply.Body.Close()
	if _, err := io.Copy(io.Discard, reply.Body); err != nil {
		return 0, errors.Errorf("read reply: %w", err)
	}
	if reply.StatusCode != http.StatusOK {
		return 0, errors.Newf("reply has status %s", reply.Status)
	}
	return clock.Since(startedAt), nil
}

func main() {
	var c command
	kong.Parse(&c, kong.Name("loader"))
	c.run()
}
