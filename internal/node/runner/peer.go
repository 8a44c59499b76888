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
	heartbeatInterval = 400 * time.Millisecond
	peerTimeout       = time.Second
)

func (r *Runner) registerPeerHandlers() {
	m := r.options.Messenger
	messenger.Handle(m, speaker.CallHeartbeat, func(_ context.Context, _ messenger.Hello, g speaker.Heartbeat) (speaker.Heartbeat, error) {
		r.Offer(signaller.PeerHeard{Host: g.Host, DataCentre: g.DataCentre})
		return r.heartbeat(), nil
	})
	messenger.Handle(m, speaker.CallHeir, func(ctx context.Context, _ messenger.Hello, q speaker.HeirRequest) (speaker.Confirmation, error) {
		ok := r.queryCore(ctx, func(ref uint64) signaller.Event {
			return signaller.HeirAsked{
				Ref: ref, Holder: q.Holder, Shard: q.Shard, Epoch: q.Epoch,
				Held: q.Held, Renounce: q.Renounce,
			}
		})
		return speaker.Confirmation{OK: ok}, nil
	})
	messenger.Handle(m, speaker.CallDispatcher, func(ctx context.Context, _ messenger.Hello, q speaker.DispatcherRequest) (speaker.Confirmation, error) {
		if q.Host != r.self {
			return speaker.Confirmation{}, nil
		}
		ended := r.queryCore(ctx, func(ref uint64) signaller.Event {
			return signaller.DispatcherAsked{Ref: ref, Key: q.Key}
		})
		return speaker.Confirmation{OK: ended}, nil
	})
	messenger.Handle(m, speaker.CallRequest, func(ctx context.Context, _ messenger.Hello, q speaker.CallerRequest) (speaker.CallerReply, error) {
		return r.serveForwarded(ctx, q), nil
	})
	messenger.Handle(m, speaker.CallPropose, func(ctx context.Context, _ messenger.Hello, q speaker.Proposal) (speaker.Outcome, error) {
		return r.Propose(ctx, q), nil
	})
}

// serveForwarded serves a request that another host forwarded to this one. If another host of this data centre holds
// the key's shard, it forwards the request there, without a second try. Otherwise this host's core serves it.
func (r *Runner) serveForwarded(ctx context.Context, q speaker.CallerRequest) speaker.CallerReply {
	shard := r.options.Settings.Layout.ShardOf(q.Key)
	holder := r.routes.Load().Holders[shard].Holder
	isLocal := shard.DataCentre == r.options.Settings.DataCentre
	entry, found := r.routes.Load().Entries[holder.Name]
	if isLocal && holder != r.self && found {
		reply, err := r.forward(ctx, entry, q)
		if err == nil {
			return reply
		}
		return speaker.CallerReply{
			Key: q.Key, State: signaller.AnswerNotKnownYet, RetryAfter: time.Second,
			Reason: "the holder of the key's shard did not answer",
		}
	}
	return r.submitToCore(ctx, q)
}

// heartbeat returns the heartbeat of this host, which is called a greeting on the wire.
func (r *Runner) heartbeat() speaker.Heartbeat {
	return speaker.Heartbeat{Host: r.self, DataCentre: r.options.Settings.DataCentre}
}

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

func (r *Runner) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		for _, entry := range r.entriesOf(r.options.Settings.DataCentre) {
			go r.sendHeartbeat(ctx, entry)
		}
		pauser.Pause(ctx, r.options.Clock, heartbeatInterval)
	}
}

// sendHeartbeat sends one heartbeat. The reply shows the core that the peer is alive; a failed call is ignored.
func (r *Runner) sendHeartbeat(ctx context.Context, entry descriptor.Host) {
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := messenger.Call[speaker.Heartbeat, speaker.Heartbeat](
		callCtx, r.options.Messenger, entry.Address, speaker.CallHeartbeat, r.heartbeat())
	if err != nil {
		return
	}
	r.Offer(signaller.PeerHeard{Host: reply.Host, DataCentre: reply.DataCentre})
}

// queryHeir sends a query of the core to a shard's heir (designated successor). Without a reply, the core gets no
// event.
func (r *Runner) queryHeir(ctx context.Context, a signaller.AskHeir) {
	entry, found := r.routes.Load().Entries[a.Heir.Name]
	if !found {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := messenger.Call[speaker.HeirRequest, speaker.Confirmation](callCtx, r.options.Messenger, entry.Address, speaker.CallHeir, speaker.HeirRequest{
		Holder: r.self, Shard: a.Shard, Epoch: a.Epoch, Held: a.Held, Renounce: a.Renounce,
	})
	if err != nil {
		return
	}
	event := signaller.HeirAnswered{
		Heir: a.Heir, Shard: a.Shard, Epoch: a.Epoch, AskedAt: a.AskedAt, OK: reply.OK,
		Renounced: a.Renounce,
	}
	for _, intent := range a.Held {
		event.HeldKeys = append(event.HeldKeys, intent.Key)
	}
	r.Put(ctx, event)
}

// queryDispatcher asks another host whether it may still dispatch a request. Without a reply, the core gets no event.
func (r *Runner) queryDispatcher(ctx context.Context, a signaller.AskDispatcher) {
	entry, found := r.routes.Load().Entries[a.Host.Name]
	if !found {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := messenger.Call[speaker.DispatcherRequest, speaker.Confirmation](
		callCtx, r.options.Messenger, entry.Address, speaker.CallDispatcher, speaker.DispatcherRequest{Host: a.Host, Key: a.Key})
	if err != nil {
		return
	}
	r.Put(ctx, signaller.DispatcherAnswered{Key: a.Key, Host: a.Host, Ended: reply.OK})
}

// EntriesOf lists the entry hosts of a data centre except this one, sorted by name.
func (r *Runner) EntriesOf(dataCentre string) []descriptor.Host { return r.entriesOf(dataCentre) }

// OtherHolders lists the other hosts that hold shards of this data centre, sorted by name.
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

// Routes returns the newest routes of this host. The caller must not change them.
func (r *Runner) Routes() *Routes { return r.routes.Load() }
