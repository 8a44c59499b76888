// Package prober asks the holder of the cell again and again whether it still holds it. The
// log shows a dead holder only after some of its beats are missing; a connection that is
// reset, or questions without an answer, show it sooner.
//
// # Usage
//
//	p := prober.New(prober.Options{Messenger: peers, Clock: clock, Holder: holder, Held: held, Doubt: readClaims})
//	go p.Run(ctx)
//	view := p.View()
package prober

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/node/pauser"
	"lentilrock.example/internal/peer/messenger"
)

const (
	// heldKind names the call that asks which claim a host holds.
	heldKind = "held"
	// probePause separates questions, and grows by hostPause for each host of the cell.
	probePause = 250 * time.Millisecond
	hostPause  = 2 * time.Millisecond
	// failedPause separates questions to a holder that did not answer.
	failedPause = 100 * time.Millisecond
	// answerTimeout is when a question counts as unanswered: several round trips between
	// regions, and what a busy host takes.
	answerTimeout = 350 * time.Millisecond
)

// Options are what a prober is made from.
type Options struct {
	// Messenger reaches the peers; nil means that there are none.
	Messenger *messenger.Messenger
	Clock     clockwork.Clock
	// Holder returns the holder with the epoch of its claim; false where that is this host or
	// nobody.
	Holder func() (journaler.Host, int64, bool)
	// Hosts returns how many hosts the cell has.
	Hosts func() int
	// Held returns the epoch of the claim that this host holds; 0 where it holds none.
	Held func() int64
	// Doubt is called when the holder does not answer, or says that it holds no more.
	Doubt func()
}

// errHeldNoMore is the answer of a host that lives and does not hold.
var errHeldNoMore = errors.New("it holds no more")

// View is what the questions to a holder have shown.
type View struct {
	// Epoch is that of the claim which was asked about.
	Epoch int64
	// AnsweredAt is when the holder last said that it holds; zero before that.
	AnsweredAt time.Time
	// FailingSince is when the questions that have no answer since began; zero where the last
	// one was answered.
	FailingSince time.Time
	// IsSilent reports that the last question had no answer at all: the holder may be gone.
	IsSilent bool
}

// Prober asks the holder.
type Prober struct {
	options Options

	mu   sync.Mutex
	view View
}

// New returns a prober that answers its peers.
func New(options Options) *Prober {
	p := &Prober{options: options}
	if options.Messenger != nil {
		messenger.Handle(options.Messenger, heldKind, func(context.Context, messenger.Hello, struct{}) (int64, error) {
			return options.Held(), nil
		})
	}
	return p
}

// View returns what the questions have shown so far.
func (p *Prober) View() View {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view
}

// Run asks until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	if p.options.Messenger == nil {
		return
	}
	for ctx.Err() == nil {
		pause := probePause + time.Duration(p.options.Hosts())*hostPause
		if holder, epoch, found := p.options.Holder(); found {
			began := p.options.Clock.Now()
			err := p.ask(ctx, holder, epoch)
			p.note(epoch, began, err)
			if err != nil {
				pause = failedPause
				p.options.Doubt()
			}
		}
		pauser.Pause(ctx, p.options.Clock, pause)
	}
}

// ask asks a host whether it holds a claim.
func (p *Prober) ask(ctx context.Context, holder journaler.Host, epoch int64) error {
	address, err := netip.ParseAddrPort(holder.Address)
	if err != nil {
		return errors.Errorf("read address of %s: %w", holder.Name, err)
	}
	asking, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	held, err := messenger.Call[struct{}, int64](asking, p.options.Messenger, address, heldKind, struct{}{})
	if err != nil {
		return errors.Errorf("ask %s: %w", holder.Name, err)
	}
	if held < epoch {
		return errors.Wrapf(errHeldNoMore, "host %s", holder.Name)
	}
	return nil
}

// note takes in the outcome of a question about a claim that was sent at began.
func (p *Prober) note(epoch int64, began time.Time, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.view.Epoch != epoch {
		p.view = View{Epoch: epoch}
	}
	p.view.IsSilent = err != nil && !errors.Is(err, errHeldNoMore)
	switch {
	case err == nil:
		p.view.AnsweredAt, p.view.FailingSince = p.options.Clock.Now(), time.Time{}
	case p.view.FailingSince.IsZero():
		p.view.FailingSince = began
	}
}
