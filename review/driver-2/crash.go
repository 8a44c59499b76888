//go:build review2

package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/fleet/describer"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/platform/emulator"
)

func init() { cases["crash"] = playCrash }

const (
	// longestKey is the longest key that a record of a keyed topic can have.
	longestKey = 255
	// checkInInterval is the heartbeat-ms of the sites.
	checkInInterval = 1500 * time.Millisecond
	checkIns        = 10
	// maxOwnEnds is how often processes may end by themselves on two hosts, or a tenth of them.
	maxOwnEnds = 2
)

// playCrash writes the entry of another writer among the workers' entries, whose key is as long as a key may be.
// The entry can't be read, so that it names no worker to use.
func playCrash(ctx context.Context, r *recorder, hasTrouble bool) (outcome, error) {
	c, err := newCell(r, emulator.Options{
		RunTime: func(ref describer.TaskRef) time.Duration {
			r.log("a worker starts %s", ref)
			return 600 * time.Millisecond
		},
	}, 12)
	if err != nil {
		return outcome{}, err
	}
	defer c.close()
	if err := c.startHosts(ctx, 3); err != nil {
		return outcome{}, err
	}
	go func() {
		for i := 0; ctx.Err() == nil; i++ {
			_, _ = c.do(c.hosts[i%len(c.hosts)], "POST", fmt.Sprintf("%016x", i+1),
				`{"spec":"check","steps":[{"count":2,"cpu":1000,"mem-mb":512,"estimate-ms":600}]}`)
			time.Sleep(300 * time.Millisecond)
		}
	}()
	time.Sleep(3 * time.Second)
	for i := range checkIns {
		if hasTrouble {
			c.log("another writer writes an entry with a key of %d bytes among the workers", longestKey)
			c.platform.Store.Put(storer.Workers, storer.Entry{Record: journaler.Record{
				Key: strings.Repeat("w", longestKey), Value: fmt.Appendf(nil, `{"seq":%d}`, i),
			}})
		}
		time.Sleep(checkInInterval)
	}
	time.Sleep(2 * time.Second)
	count, text := 0, ""
	for _, h := range c.hosts {
		h.mu.Lock()
		text += fmt.Sprintf(" %s %d", h.name, h.ownEnds)
		if h.ownEnds > maxOwnEnds {
			count++
		}
		h.mu.Unlock()
	}
	return outcome{isBroken: count >= 2, text: "processes that ended by themselves:" + text}, nil
}
