package runner

import (
	"cmp"
	"context"
	"slices"
	"time"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/cell/recorder"
	"lentilrock.example/internal/container/sorter"
	"lentilrock.example/internal/core/signaller"
	"lentilrock.example/internal/peer/messenger"
)

const (
	// greetPause is the time between two heartbeats to a peer.
	greetPause  = 400 * time.Millisecond
	peerTimeout = time.Second

	callDispatcher = "dispatcher"
	callGreeting   = "greeting"
	callHeir       = "heir"
	callPropose    = "propose"
)

// Greeting is the heartbeat between hosts of a data centre.
type Greeting struct {
	Host       descriptor.HostID `cbor:"host"`
	DataCentre string            `cbor:"data_centre"`
}

// HeirQuestion asks an heir for its word.
type HeirQuestion struct {
	Holder   descriptor.HostID  `cbor:"holder"`
	Shard    descriptor.ShardID `cbor:"shard"`
	Epoch    int64              `cbor:"epoch"`
	Held     []recorder.Intent  `cbor:"held,omitempty"`
	Renounce []string           `cbor:"renounce,omitempty"`
}

// DispatcherQuestion asks whether a host may still dispatch a request.
type DispatcherQuestion struct {
	Host descriptor.HostID `cbor:"host"`
	Key  string            `cbor:"key"`
}

// Word is a yes or no.
type Word struct {
	OK bool `cbor:"ok"`
}

func (r *Runner) handlePeers() {
	m := r.options.Messenger
	messenger.Handle(m, callGreeting, func(_ context.Context, _ messenger.Hello, g Greeting) (Greeting, error) {
		r.Offer(signaller.PeerHeard{Host: g.Host, DataCentre: g.DataCentre})
		return r.greeting(), nil
	})
	messenger.Handle(m, callHeir, func(ctx context.Context, _ messenger.Hello, q HeirQuestion) (Word, error) {
		ok := r.ask(ctx, func(ref uint64) signaller.Event {
			return signaller.HeirAsked{
				Ref: ref, Holder: q.Holder, Shard: q.Shard, Epoch: q.Epoch,
				Held: q.Held, Renounce: q.Renounce,
			}
		})
		return Word{OK: ok}, nil
	})
	messenger.Handle(m, callDispatcher, func(ctx context.Context, _ messenger.Hello, q DispatcherQuestion) (Word, error) {
		if q.Host != r.self {
			return Word{}, nil
		}
		ended := r.ask(ctx, func(ref uint64) signaller.Event {
			return signaller.DispatcherAsked{Ref: ref, Key: q.Key}
		})
		return Word{OK: ended}, nil
	})
	messenger.Handle(m, callRequest, func(ctx context.Context, _ messenger.Hello, q CallerRequest) (CallerAnswer, error) {
		return r.serveForwarded(ctx, q), nil
	})
	messenger.Handle(m, callPropose, func(ctx context.Context, _ messenger.Hello, q Proposal) (Outcome, error) {
		return r.Propose(ctx, q), nil
	})
}

// serveForwarded serves a request that another host sent here: itself where it is of this
// host's data centre and held elsewhere, it goes on to the holder once.
func (r *Runner) serveForwarded(ctx context.Context, q CallerRequest) CallerAnswer {
	shard := r.options.Settings.Layout.ShardOf(q.Key)
	holder := r.routes.Load().Holders[shard].Holder
	isOurs := shard.DataCentre == r.options.Settings.DataCentre
	entry, found := r.routes.Load().Entries[holder.Name]
	if isOurs && holder != r.self && found {
		answer, err := r.forward(ctx, entry, q)
		if err == nil {
			return answer
		}
		return CallerAnswer{
			Key: q.Key, State: signaller.AnswerNotKnownYet, RetryAfter: time.Second,
			Reason: "the holder of the key's shard did not answer",
		}
	}
	return r.requestHere(ctx, q)
}

func (r *Runner) greeting() Greeting {
	return Greeting{Host: r.self, DataCentre: r.options.Settings.DataCentre}
}

// entriesOf lists the entry hosts of a data centre but this one, by name.
func (r *Runner) entriesOf(dataCentre string) []descriptor.Host {
	var entries []descriptor.Host
	for name, host := range r.routes.Load().Entries {
		if host.DataCentre == dataCentre && name != r.self.Name {
			entries = append(entries, host)
		}
	}
	slices.SortFunc(entries, func(a, b descriptor.Host) int { return cmp.Compare(a.Name, b.Name) })
	return entries
}

// greetPeers sends heartbeats to the other hosts of the data centre.
func (r *Runner) greetPeers(ctx context.Context) {
	for ctx.Err() == nil {
		for _, entry := range r.entriesOf(r.options.Settings.DataCentre) {
			go r.greet(ctx, entry)
		}
		r.pause(ctx, greetPause)
	}
}

func (r *Runner) greet(ctx context.Context, entry descriptor.Host) {
	calling, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := messenger.Call[Greeting, Greeting](
		calling, r.options.Messenger, entry.Address, callGreeting, r.greeting())
	if err != nil {
		return
	}
	r.Offer(signaller.PeerHeard{Host: reply.Host, DataCentre: reply.DataCentre})
}

func (r *Runner) askHeir(ctx context.Context, a signaller.AskHeir) {
	entry, found := r.routes.Load().Entries[a.Heir.Name]
	if !found {
		return
	}
	calling, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	word, err := messenger.Call[HeirQuestion, Word](calling, r.options.Messenger, entry.Address, callHeir, HeirQuestion{
		Holder: r.self, Shard: a.Shard, Epoch: a.Epoch, Held: a.Held, Renounce: a.Renounce,
	})
	if err != nil {
		return
	}
	answer := signaller.HeirAnswered{
		Heir: a.Heir, Shard: a.Shard, Epoch: a.Epoch, AskedAt: a.AskedAt, OK: word.OK,
		Renounced: a.Renounce,
	}
	for _, intent := range a.Held {
		answer.HeldKeys = append(answer.HeldKeys, intent.Key)
	}
	r.Put(ctx, answer)
}

func (r *Runner) askDispatcher(ctx context.Context, a signaller.AskDispatcher) {
	entry, found := r.routes.Load().Entries[a.Host.Name]
	if !found {
		return
	}
	calling, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	word, err := messenger.Call[DispatcherQuestion, Word](
		calling, r.options.Messenger, entry.Address, callDispatcher, DispatcherQuestion{Host: a.Host, Key: a.Key})
	if err != nil {
		return
	}
	r.Put(ctx, signaller.DispatcherAnswered{Key: a.Key, Host: a.Host, Ended: word.OK})
}

// EntriesOf lists the entry hosts of a data centre but this one, by name.
func (r *Runner) EntriesOf(dataCentre string) []descriptor.Host { return r.entriesOf(dataCentre) }

// OtherHolders lists the hosts but this one that hold shards of the data centre, by name.
func (r *Runner) OtherHolders() []descriptor.Host {
	routes := r.routes.Load()
	seen := make(map[string]descriptor.Host)
	for _, claim := range routes.Holders {
		entry, found := routes.Entries[claim.Holder.Name]
		if found && claim.Holder != r.self {
			seen[entry.Name] = entry
		}
	}
	var holders []descriptor.Host
	for _, name := range sorter.Keys(seen) {
		holders = append(holders, seen[name])
	}
	return holders
}

// Routes returns where requests go, as this host knows it.
func (r *Runner) Routes() *Routes { return r.routes.Load() }
