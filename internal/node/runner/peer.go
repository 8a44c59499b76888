package runner

import (
	"cmp"
	"context"
	"slices"
	"time"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/container/sorter"
	"lentilrock.example/internal/core/signaller"
	"lentilrock.example/internal/node/pauser"
	"lentilrock.example/internal/peer/messenger"
	"lentilrock.example/internal/peer/speaker"
)

const (
	// greetPause is the time between two heartbeats to a peer.
	greetPause  = 400 * time.Millisecond
	peerTimeout = time.Second
)

func (r *Runner) handlePeers() {
	m := r.options.Messenger
	messenger.Handle(m, speaker.CallGreeting, func(_ context.Context, _ messenger.Hello, g speaker.Greeting) (speaker.Greeting, error) {
		r.Offer(signaller.PeerHeard{Host: g.Host, DataCentre: g.DataCentre})
		return r.greeting(), nil
	})
	messenger.Handle(m, speaker.CallHeir, func(ctx context.Context, _ messenger.Hello, q speaker.HeirQuestion) (speaker.Word, error) {
		ok := r.ask(ctx, func(ref uint64) signaller.Event {
			return signaller.HeirAsked{
				Ref: ref, Holder: q.Holder, Shard: q.Shard, Epoch: q.Epoch,
				Held: q.Held, Renounce: q.Renounce,
			}
		})
		return speaker.Word{OK: ok}, nil
	})
	messenger.Handle(m, speaker.CallDispatcher, func(ctx context.Context, _ messenger.Hello, q speaker.DispatcherQuestion) (speaker.Word, error) {
		if q.Host != r.self {
			return speaker.Word{}, nil
		}
		ended := r.ask(ctx, func(ref uint64) signaller.Event {
			return signaller.DispatcherAsked{Ref: ref, Key: q.Key}
		})
		return speaker.Word{OK: ended}, nil
	})
	messenger.Handle(m, speaker.CallRequest, func(ctx context.Context, _ messenger.Hello, q speaker.CallerRequest) (speaker.CallerAnswer, error) {
		return r.serveForwarded(ctx, q), nil
	})
	messenger.Handle(m, speaker.CallPropose, func(ctx context.Context, _ messenger.Hello, q speaker.Proposal) (speaker.Outcome, error) {
		return r.Propose(ctx, q), nil
	})
}

// serveForwarded serves a request that another host sent here: itself where it is of this
// host's data centre and held elsewhere, it goes on to the holder once.
func (r *Runner) serveForwarded(ctx context.Context, q speaker.CallerRequest) speaker.CallerAnswer {
	shard := r.options.Settings.Layout.ShardOf(q.Key)
	holder := r.routes.Load().Holders[shard].Holder
	isOurs := shard.DataCentre == r.options.Settings.DataCentre
	entry, found := r.routes.Load().Entries[holder.Name]
	if isOurs && holder != r.self && found {
		answer, err := r.forward(ctx, entry, q)
		if err == nil {
			return answer
		}
		return speaker.CallerAnswer{
			Key: q.Key, State: signaller.AnswerNotKnownYet, RetryAfter: time.Second,
			Reason: "the holder of the key's shard did not answer",
		}
	}
	return r.requestHere(ctx, q)
}

func (r *Runner) greeting() speaker.Greeting {
	return speaker.Greeting{Host: r.self, DataCentre: r.options.Settings.DataCentre}
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
		pauser.Pause(ctx, r.options.Clock, greetPause)
	}
}

func (r *Runner) greet(ctx context.Context, entry descriptor.Host) {
	calling, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := messenger.Call[speaker.Greeting, speaker.Greeting](
		calling, r.options.Messenger, entry.Address, speaker.CallGreeting, r.greeting())
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
	word, err := messenger.Call[speaker.HeirQuestion, speaker.Word](calling, r.options.Messenger, entry.Address, speaker.CallHeir, speaker.HeirQuestion{
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
	word, err := messenger.Call[speaker.DispatcherQuestion, speaker.Word](
		calling, r.options.Messenger, entry.Address, speaker.CallDispatcher, speaker.DispatcherQuestion{Host: a.Host, Key: a.Key})
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
