//go:build review

package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/netip"
	"net/url"
	"sync/atomic"
	"time"

	"lentilrock.example/internal/fleet/describer"
)

const (
	// recordBytes is record-bytes of the settings: the largest record that the store takes.
	recordBytes = 262_144
	// lengthBytes is the size of the length before each record.
	lengthBytes = 4
	// frequentTimes is the number of occurrences of a job every 3 s for a day and an hour, which the case
	// plays with frequentInterval between them.
	frequentTimes    = 30_000
	frequentInterval = 2 * time.Millisecond
	frequentJobID    = "00000000000000e2"
)

// storeProxy stands in front of the store and refuses records that are too large.
type storeProxy struct {
	world   *world
	proxy   *httputil.ReverseProxy
	refused atomic.Int64
}

// newStoreProxy puts a proxy between the hosts and the store.
func newStoreProxy(w *world) *storeProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	p := &storeProxy{world: w, proxy: httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: w.store.String()})}
	go func() { _ = http.Serve(listener, p) }()
	w.store = netip.MustParseAddrPort(listener.Addr().String())
	return p
}

// ServeHTTP passes a call on, unless it appends a record that is too large.
func (p *storeProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/log-append" {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if size := largestRecord(body); size > recordBytes {
			if p.refused.Add(1)%100 == 1 {
				p.world.note("store: an append to %s with a record of %d bytes is refused; refused so far: %d", r.URL.RawQuery, size, p.refused.Load())
			}
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
	}
	p.proxy.ServeHTTP(w, r)
}

// largestRecord returns the size of the largest record in the body of an append.
func largestRecord(body []byte) int {
	largest := 0
	for len(body) >= lengthBytes {
		size := int(binary.BigEndian.Uint32(body))
		largest = max(largest, size)
		body = body[min(lengthBytes+size, len(body)):]
	}
	return largest
}

func init() {
	scenarios["progress"] = scenario{
		prepare: func(w *world) {
			w.runTime = func(ref describer.TaskRef) time.Duration {
				if ref.Job == frequentJobID {
					return 50 * time.Millisecond
				}
				return 2 * time.Second
			}
			w.addWorkers(4, 16000)
			newStoreProxy(w)
		},
		play: playProgress,
	}
}

// playProgress hands in a scheduled job with many occurrences, and others near its end.
func playProgress(w *world, hasTrouble bool) error {
	if err := w.addHosts(3); err != nil {
		return err
	}
	times := fewTimes
	if hasTrouble {
		times = frequentTimes
	}
	first := time.Now()
	if err := w.submit("/orders/"+frequentJobID, map[string]any{
		"spec": "frequent", "repeat-count": times, "start-at-ms": first.UnixMilli(), "interval-ms": frequentInterval.Milliseconds(),
		"steps": []any{map[string]any{"count": 1, "cpu": 10, "mem-mb": 1, "estimate-ms": 50}},
	}); err != nil {
		return err
	}
	w.isTerse = true
	accepted := []string{frequentJobID}
	step := map[string]any{"count": 4, "cpu": 1000, "mem-mb": 100, "estimate-ms": 2000}
	job := map[string]any{"spec": "plan", "steps": []any{step, map[string]any{
		"count": 4, "cpu": 1000, "mem-mb": 100, "estimate-ms": 2000, "after": []int{0},
	}}}
	for i := range 12 {
		time.Sleep(6 * time.Second)
		id := fmt.Sprintf("00000000000001%02d", i)
		status, _ := w.call(w.hosts[i%3], http.MethodPost, "/orders/"+id, job)
		// The first ones end long before the record is too large.
		if status == http.StatusOK && i >= 8 {
			accepted = append(accepted, id)
		}
	}
	// Clients ask for their jobs 14 s after the traffic (finish_s).
	time.Sleep(14 * time.Second)
	w.note("%d starts so far", w.startCount())
	w.judgeJobs(accepted)
	return nil
}
