// Package delegator runs operators' commands on the host that holds the claim, which has the most
// complete view of the cell.
//
// # Usage
//
//	d := delegator.New(delegator.Options{Processor: processor, Messenger: peers, Holder: remoteHolder})
//	reply := d.Execute(ctx, command)
package delegator

import (
	"context"
	"net/netip"
	"time"

	"lentilrock.example/internal/fleet/journaler"
	"lentilrock.example/internal/peer/messenger"
	"lentilrock.example/internal/query/processor"
)

const (
	// commandKind is the message kind of the call by which a host forwards a command.
	commandKind = "command"
	// commandTimeout bounds a forwarded command.
	commandTimeout = 2 * time.Second
)

// Options configure a Delegator.
type Options struct {
	Processor *processor.Processor
	// Messenger calls the peers; nil means that there are none.
	Messenger *messenger.Messenger
	// Holder returns the host that holds the claim; false if that is this host or no host.
	Holder func() (journaler.Host, bool)
}

// Delegator runs commands on the holder.
type Delegator struct {
	options Options
}

// New returns a Delegator and registers the handler for the commands of its peers.
func New(options Options) *Delegator {
	if options.Messenger != nil {
		messenger.Handle(options.Messenger, commandKind, func(ctx context.Context, _ messenger.Hello, c processor.Command) (processor.Reply, error) {
			return options.Processor.Execute(ctx, c), nil
		})
	}
	return &Delegator{options: options}
}

// Execute runs a command on the holder, or on this host if the holder does not reply.
func (d *Delegator) Execute(ctx context.Context, c processor.Command) processor.Reply {
	if holder, found := d.options.Holder(); found {
		if address, err := netip.ParseAddrPort(holder.Address); err == nil {
			callCtx, cancel := context.WithTimeout(ctx, commandTimeout)
			defer cancel()
			reply, err := messenger.Call[processor.Command, processor.Reply](callCtx, d.options.Messenger, address, commandKind, c)
			if err == nil {
				return reply
			}
		}
	}
	return d.options.Processor.Execute(ctx, c)
}
