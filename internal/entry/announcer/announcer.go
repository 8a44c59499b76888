// Package announcer handles membership of the entry hosts: it appends this host's address to the
// log at regular intervals, and tracks which other hosts have announced themselves lately.
//
// # Usage
//
//	a := announcer.New(announcer.Options{Self: host, Store: store, Clock: clock, Logger: logger})
//	go a.Run(ctx)
//	a.MarkSeen(name, now)
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
	// announceInterval separates the announcements of a host.
	announceInterval = 20 * time.Second
	// announceTimeout bounds the append of an announcement before it is retried.
	announceTimeout = time.Second
	// retryInterval separates attempts after a failed announcement.
	retryInterval = 400 * time.Millisecond
	// hostExpiry is how long a host counts as live after its last announcement: three missing
	// announcements and an outage of the store in between.
	hostExpiry = 3*announceInterval + 15*time.Second
)

// Options configure an Announcer.
type Options struct {
	Self   journaler.Host
	Store  storer.Store
	Clock  clockwork.Clock
	Logger *zap.Logger
}

// Announcer announces this host and tracks the announcements of the others.
type Announcer struct {
	options Options

	mu sync.Mutex
	// lastSeen is when an announcement of each host was last read.
	lastSeen map[string]time.Time
	// announcedAt is when this host was first announced.
	announcedAt time.Time
	// storeDelay is the duration of the latest successful announcement's append.
	storeDelay time.Duration
}

// New returns an Announcer without live hosts.
func New(options Options) *Announcer {
	return &Announcer{options: options, lastSeen: make(map[string]time.Time)}
}

// Run announces this host at regular intervals until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	record, err := journaler.NewHost(a.options.Self)
	if err != nil {
		a.options.Logger.Error("host: Record of this host can't be encoded; the host is not announced.", zap.String("error", err.Error()))
		return
	}
	for ctx.Err() == nil {
		pause := announceInterval
		if err := a.announce(ctx, record); err != nil {
			pause = retryInterval
			if !errors.Is(err, storer.ErrRefused) {
				a.options.Logger.Warn("host: Announcement failed and is retried.", zap.String("error", err.Error()))
			}
		}
		pauser.Pause(ctx, a.options.Clock, pause)
	}
}

func (a *Announcer) announce(ctx context.Context, record journaler.Record) error {
	startedAt := a.options.Clock.Now()
	appendCtx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	_, err := a.options.Store.Append(appendCtx, storer.Append{Topic: storer.Jobs, Records: []journaler.Record{record}})
	if err != nil {
		return errors.Errorf("append the announcement: %w", err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.options.Clock.Now()
	a.storeDelay = now.Sub(startedAt)
	if a.announcedAt.IsZero() {
		a.announcedAt = now
	}
	return nil
}

// AnnouncedAt returns when this host was first announced; zero before that.
func (a *Announcer) AnnouncedAt() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.announcedAt
}

// IsAnnouncedFor reports whether this host was announced at least a duration ago.
func (a *Announcer) IsAnnouncedFor(duration time.Duration) bool {
	at := a.AnnouncedAt()
	return !at.IsZero() && a.options.Clock.Now().Sub(at) >= duration
}

// StoreDelay returns how long the append of the latest successful announcement took.
func (a *Announcer) StoreDelay() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.storeDelay
}

// MarkSeen records that an announcement of a host was read at now.
func (a *Announcer) MarkSeen(name string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastSeen[name] = now
}

// Live returns the hosts with a recent announcement, sorted by name. readAt is when the
// announcements were last read: ages are relative to it, so that no host expires while the log
// can't be read.
func (a *Announcer) Live(hosts map[string]journaler.Host, readAt time.Time) []journaler.Host {
	a.mu.Lock()
	defer a.mu.Unlock()
	live := make([]journaler.Host, 0, len(hosts))
	for _, name := range sorter.Keys(hosts) {
		if readAt.Sub(a.lastSeen[name]) <= hostExpiry {
			live = append(live, hosts[name])
		}
	}
	return live
}
