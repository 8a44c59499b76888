// Package announcer tells the other entry hosts where this host is, and keeps which of them
// were heard of lately.
//
// # Usage
//
//	a := announcer.New(announcer.Options{Self: host, Store: store, Clock: clock, Logger: logger})
//	go a.Run(ctx)
//	a.Heard(name, now)
//	hosts := a.Live(state.Hosts, now)
package announcer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"lentilrock.example/internal/container/sorter"
	"lentilrock.example/internal/entry/storer"
	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/node/pauser"
)

const (
	// announceEvery is how often a host shows its peers that it is still there.
	announceEvery = 20 * time.Second
	// announceTimeout bounds an announcement before it is repeated.
	announceTimeout = time.Second
	// announcePause separates announcements that the store refuses.
	announcePause = 400 * time.Millisecond
	// hostSilence is when a host counts as gone that was not heard of: three announcements,
	// and an outage of the store in between.
	hostSilence = 3*announceEvery + 15*time.Second
)

// Options are what an announcer is made from.
type Options struct {
	Self   journaler.Host
	Store  storer.Store
	Clock  clockwork.Clock
	Logger *zap.Logger
}

// Announcer announces this host and keeps who else is there.
type Announcer struct {
	options Options

	mu sync.Mutex
	// heard has when each host was last heard of.
	heard map[string]time.Time
	// announcedAt is when this host was announced first.
	announcedAt time.Time
	storeDelay  time.Duration
}

// New returns an announcer that has heard of nobody.
func New(options Options) *Announcer {
	return &Announcer{options: options, heard: make(map[string]time.Time)}
}

// Run announces this host until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	record, err := journaler.NewHost(a.options.Self)
	if err != nil {
		a.options.Logger.Error("host: Can't be announced.", zap.String("error", err.Error()))
		return
	}
	for ctx.Err() == nil {
		pause := announceEvery
		if err := a.announce(ctx, record); err != nil {
			pause = announcePause
			if !errors.Is(err, storer.ErrRefused) {
				a.options.Logger.Warn("host: Was not announced.", zap.String("error", err.Error()))
			}
		}
		pauser.Pause(ctx, a.options.Clock, pause)
	}
}

func (a *Announcer) announce(ctx context.Context, record journaler.Record) error {
	began := a.options.Clock.Now()
	appending, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	_, err := a.options.Store.Append(appending, storer.Append{Topic: storer.Jobs, Records: []journaler.Record{record}})
	if err != nil {
		return errors.Errorf("announce: %w", err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.options.Clock.Now()
	a.storeDelay = now.Sub(began)
	if a.announcedAt.IsZero() {
		a.announcedAt = now
	}
	return nil
}

// AnnouncedAt returns when this host was announced first; zero before that.
func (a *Announcer) AnnouncedAt() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.announcedAt
}

// StoreDelay returns how long the store took for the newest announcement.
func (a *Announcer) StoreDelay() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.storeDelay
}

// Heard notes that a host's announcement was read.
func (a *Announcer) Heard(name string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.heard[name] = now
}

// Live returns the hosts that were heard of lately, by name. The time is when the
// announcements were last read: while they can't be, nobody can be heard.
func (a *Announcer) Live(hosts map[string]journaler.Host, readAt time.Time) []journaler.Host {
	a.mu.Lock()
	defer a.mu.Unlock()
	live := make([]journaler.Host, 0, len(hosts))
	for _, name := range sorter.Keys(hosts) {
		if readAt.Sub(a.heard[name]) <= hostSilence {
			live = append(live, hosts[name])
		}
	}
	return live
}
