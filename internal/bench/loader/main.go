// Command loader measures what an entry host adds to a quick request: it sends requests at
// a fixed rate, straight to an upstream and through the host by turns, and prints both.
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

	"lentilrock.example/internal/node/listener"
	"lentilrock.example/internal/platform/messages"
)

type command struct {
	Host     netip.AddrPort `required:"" help:"Address of an entry host."`
	Upstream netip.AddrPort `required:"" help:"Address of an upstream."`
	Service  string         `required:"" help:"Service of the upstream."`
	Rate     int            `default:"1000" help:"Requests a second of each way."`
	For      time.Duration  `default:"5s" help:"How long to send."`
	Once     bool           `help:"Requests may not be repeated, so each waits for the log."`
}

const (
	maxMicroseconds   = 60_000_000
	significantDigits = 3
	idlePerHost       = 512
)

// way is one of the two ways that requests take.
type way struct {
	name   string
	send   func(i int) (*http.Request, error)
	mu     sync.Mutex
	times  *hdrhistogram.Histogram
	failed int
}

func newWay(name string, send func(i int) (*http.Request, error)) *way {
	return &way{name: name, send: send, times: hdrhistogram.New(1, maxMicroseconds, significantDigits)}
}

func (w *way) record(took time.Duration, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.failed++
		return
	}
	// Times beyond the range would be failures.
	_ = w.times.RecordValue(took.Microseconds())
}

func (w *way) print() {
	const median, high = 50, 99
	fmt.Printf("%-10s %6d answers, %d failed: p50 %s, p99 %s\n", w.name, w.times.TotalCount(), w.failed,
		time.Duration(w.times.ValueAtQuantile(median))*time.Microsecond,
		time.Duration(w.times.ValueAtQuantile(high))*time.Microsecond)
}

func (c command) straight(i int) (*http.Request, error) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost,
		"http://"+c.Upstream.String()+"/v1/run", strings.NewReader("25 boxes"))
	if err != nil {
		return nil, errors.Errorf("make request: %w", err)
	}
	request.Header.Set(messages.HeaderRequestID, "straight-"+strconv.Itoa(i))
	request.Header.Set(messages.HeaderAttempt, "1")
	return request, nil
}

func (c command) through(i int) (*http.Request, error) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost,
		"http://"+c.Host.String()+"/v1/requests/"+c.Service, strings.NewReader("25 boxes"))
	if err != nil {
		return nil, errors.Errorf("make request: %w", err)
	}
	request.Header.Set(listener.HeaderRepeatable, strconv.FormatBool(!c.Once))
	if c.Once {
		request.Header.Set(listener.HeaderKey, "once-"+strconv.Itoa(i)+"-"+strconv.Itoa(c.Rate))
	}
	return request, nil
}

func (c command) run() {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idlePerHost}}
	clock := clockwork.NewRealClock()
	ways := []*way{newWay("straight", c.straight), newWay("through", c.through)}
	pause := time.Second / time.Duration(c.Rate)
	begun := clock.Now()
	var group sync.WaitGroup
	for i := 0; clock.Since(begun) < c.For; i++ {
		due := begun.Add(time.Duration(i) * pause)
		if wait := due.Sub(clock.Now()); wait > 0 {
			clock.Sleep(wait)
		}
		for _, w := range ways {
			group.Go(func() { w.record(measure(client, clock, w, i)) })
		}
	}
	group.Wait()
	for _, w := range ways {
		w.print()
	}
}

func measure(client *http.Client, clock clockwork.Clock, w *way, i int) (time.Duration, error) {
	request, err := w.send(i)
	if err != nil {
		return 0, err
	}
	begun := clock.Now()
	answer, err := client.Do(request)
	if err != nil {
		return 0, errors.Errorf("send: %w", err)
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return 0, errors.Errorf("read answer: %w", err)
	}
	if answer.StatusCode != http.StatusOK {
		return 0, errors.Newf("answered %s", answer.Status)
	}
	return clock.Since(begun), nil
}

func main() {
	var c command
	kong.Parse(&c, kong.Name("loader"))
	c.run()
}
